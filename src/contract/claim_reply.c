#include "contract/claim_reply.h"

#define RETRY_AFTER_MS 1000

void
br_claim_reply_error (br_claim_t *claim,
                      const br_error_t *err,
                      br_claim_actions_t *outbox)
{
  br_claim_action_t action = { .kind = BR_CLAIM_ACTION_FAIL, .error = *err };

  if (claim->replied)
    return;
  claim->replied = true;
  br_claim_actions_push (outbox, action);
}

void
br_claim_fail (br_claim_t *claim,
               const br_error_t *err,
               br_claim_actions_t *outbox)
{
  claim->step = BR_CLAIM_STEP_OVER;
  br_claim_reply_error (claim, err, outbox);
}

void
br_claim_refuse (br_claim_t *claim,
                 const char *text,
                 br_claim_actions_t *outbox)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNAVAILABLE, "claim key", "", "%s", text);
  err.retry_after_ms = RETRY_AFTER_MS;
  br_claim_fail (claim, &err, outbox);
}

void
br_claim_refuse_cut_off (br_claim_t *claim, br_claim_actions_t *outbox)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNAVAILABLE, "claim key", "",
                "no majority of voters can be reached; this request did not "
                "run, and an earlier one with the same key may have");
  err.retry_after_ms = RETRY_AFTER_MS;
  err.key_unknown = true;
  br_claim_fail (claim, &err, outbox);
}

void
br_claim_reply_answer (br_claim_t *claim,
                       const br_claim_record_t *record,
                       br_claim_actions_t *outbox)
{
  br_claim_action_t action = { .kind = BR_CLAIM_ACTION_ANSWER };
  br_error_t err;

  if (!record->body_kept)
    {
      br_error_set (&err, BR_ERROR_ANSWER_GONE, "read claim", record->owner->vm,
                    "the work ran once and %s; its answer is not kept",
                    record->settled ? "was settled as answered" : "ended");
      br_claim_fail (claim, &err, outbox);
      return;
    }
  action.status = record->status;
  br_buf_append (&action.bytes, br_message_str (record->body));
  claim->step = BR_CLAIM_STEP_OVER;
  claim->replied = true;
  br_claim_actions_push (outbox, action);
}

void
br_claim_fail_unknown (br_claim_t *claim,
                       const char *vm,
                       const char *text,
                       br_claim_actions_t *outbox)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNKNOWN_OUTCOME, "read claim", vm, "%s", text);
  err.retry_after_ms = RETRY_AFTER_MS;
  br_claim_fail (claim, &err, outbox);
}

void
br_claim_fail_other_body (br_claim_t *claim, br_claim_actions_t *outbox)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_CONFLICT, "claim key", "",
                "Idempotency-Key: was used with another method, path or body");
  br_claim_fail (claim, &err, outbox);
}
