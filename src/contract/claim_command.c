#include "contract/claim_command.h"

br_claim_owner_t
br_claim_owner_of (const br_claim_t *claim)
{
  br_claim_owner_t owner = BR__STATE__CLAIM_OWNER__INIT;

  owner.vm = (char *)claim->contract.vm.data;
  owner.incarnation = claim->contract.incarnation;
  owner.number = claim->contract.number;
  return owner;
}

static ProtobufCBinaryData
claim_digest (const br_claim_t *claim)
{
  return br_message_bytes (br_str_make ((const char *)claim->digest.bytes,
                                        sizeof claim->digest.bytes));
}

void
br_claim_pack_take (const br_claim_t *claim, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;
  Br__State__ClaimTake take = BR__STATE__CLAIM_TAKE__INIT;
  br_claim_owner_t owner = br_claim_owner_of (claim);

  take.key = claim->key.data;
  take.digest = claim_digest (claim);
  take.owner = &owner;
  take.attempt = claim->attempt;
  take.retention_ms = claim->retention_ms;
  command.body_case = BR__STATE__COMMAND__BODY_CLAIM_TAKE;
  command.claim_take = &take;
  br_command_pack (&command, out);
}

void
br_claim_pack_sent (const br_claim_t *claim, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;
  Br__State__ClaimSent sent = BR__STATE__CLAIM_SENT__INIT;
  br_claim_owner_t owner = br_claim_owner_of (claim);

  sent.key = claim->key.data;
  sent.owner = &owner;
  sent.attempt = claim->attempt;
  command.body_case = BR__STATE__COMMAND__BODY_CLAIM_SENT;
  command.claim_sent = &sent;
  br_command_pack (&command, out);
}

void
br_claim_pack_end (const br_claim_t *claim, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;
  Br__State__ClaimEnd end = BR__STATE__CLAIM_END__INIT;
  br_claim_owner_t owner = br_claim_owner_of (claim);

  end.key = claim->key.data;
  end.owner = &owner;
  end.attempt = claim->attempt;
  end.state = claim->end;
  end.status = claim->status;
  end.body = br_message_bytes (br_buf_str (&claim->body));
  end.body_kept = claim->body_kept;
  end.digest = claim_digest (claim);
  end.retention_ms = claim->retention_ms;
  command.body_case = BR__STATE__COMMAND__BODY_CLAIM_END;
  command.claim_end = &end;
  br_command_pack (&command, out);
}
