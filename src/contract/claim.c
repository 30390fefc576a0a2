#include "contract/claim.h"

#include <assert.h>
#include <string.h>

#include "contract/claim_command.h"
#include "contract/claim_reply.h"

#define TAKE_PROPOSALS_MAX 4
#define SENT_PROPOSALS_MAX 3
#define PROPOSE_AGAIN_MS 300

/* Time for the proof that nothing ran.  After it, the caller gets an unknown
 * outcome. */
#define FENCE_TIMEOUT_MS 3000

/* How long a resend waits for the contract that has the key. */
#define WAIT_TIMEOUT_MS 30000
#define RETRY_AFTER_MS 1000

static const char *const step_names[] = {
#define X(id, name) name,
  BR_CLAIM_STEP_TABLE (X)
#undef X
};

const char *
br_claim_step_name (br_claim_step_t step)
{
  return step_names[step];
}

bool
br_claim_init (br_claim_t *claim,
               const br_claim_options_t *options,
               br_error_t *err)
{
  *claim = (br_claim_t){ 0 };
  br_buf_append (&claim->key, options->organisation);
  br_buf_append_char (&claim->key, '/');
  br_buf_append (&claim->key, options->service);
  br_buf_append_char (&claim->key, '/');
  br_buf_append (&claim->key, options->key);
  if (claim->key.len > BR_STATE_CLAIM_KEY_MAX)
    {
      br_claim_release (claim);
      return br_error_set (err, BR_ERROR_INVALID, "read request", "",
                           "Idempotency-Key: is longer than %d characters "
                           "with organisation and service",
                           BR_STATE_CLAIM_KEY_MAX);
    }
  claim->digest = br_digest_of (options->body);
  claim->contract = options->contract;
  claim->retention_ms = options->retention_ms;
  return true;
}

void
br_claim_release (br_claim_t *claim)
{
  br_buf_free (&claim->key);
  br_buf_free (&claim->body);
}

void
br_claim_actions_release (br_claim_actions_t *actions)
{
  for (size_t i = 0; i < actions->len; i++)
    br_buf_free (&actions->items[i].bytes);
  br_claim_actions_free (actions);
}

static bool
record_is_own (const br_claim_t *claim, const br_claim_record_t *record)
{
  br_claim_owner_t owner = br_claim_owner_of (claim);

  return record != NULL && record->attempt == claim->attempt
         && br_claim_owner_equal (record->owner, &owner);
}

/* Returns whether RECORD is another contract's, of this attempt or a later
 * one. */
static bool
record_is_later (const br_claim_t *claim, const br_claim_record_t *record)
{
  return record != NULL && record->attempt >= claim->attempt
         && !record_is_own (claim, record);
}

static void
claim_propose (const br_claim_t *claim,
               br_claim_proposal_t proposal,
               br_claim_actions_t *outbox)
{
  br_claim_action_t action = { .kind = BR_CLAIM_ACTION_PROPOSE };

  action.proposal = proposal;
  action.attempt = claim->attempt;
  switch (proposal)
    {
    case BR_CLAIM_PROPOSE_TAKE:
      br_claim_pack_take (claim, &action.bytes);
      break;
    case BR_CLAIM_PROPOSE_SENT:
      br_claim_pack_sent (claim, &action.bytes);
      break;
    case BR_CLAIM_PROPOSE_END:
      br_claim_pack_end (claim, &action.bytes);
      break;
    }
  br_claim_actions_push (outbox, action);
}

/* Proposes the proof that nothing was sent.  Nothing is sent from here on. */
static void
claim_fence (br_claim_t *claim,
             br_ms_t now,
             const br_error_t *failure,
             br_claim_actions_t *outbox)
{
  claim->step = BR_CLAIM_STEP_FENCING;
  claim->end = BR_CLAIM_NOT_RUN;
  claim->failure = *failure;
  claim->propose_at_ms = BR_MS_NEVER;
  claim->reply_by_ms = now + FENCE_TIMEOUT_MS;
  claim_propose (claim, BR_CLAIM_PROPOSE_END, outbox);
}

static void
claim_fence_with_text (br_claim_t *claim,
                       br_ms_t now,
                       const char *text,
                       br_claim_actions_t *outbox)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNAVAILABLE, "claim key", "", "%s", text);
  err.retry_after_ms = RETRY_AFTER_MS;
  claim_fence (claim, now, &err, outbox);
}

static void
claim_propose_sent (br_claim_t *claim, br_ms_t now, br_claim_actions_t *outbox)
{
  if (++claim->sent_proposals > SENT_PROPOSALS_MAX)
    {
      claim_fence_with_text (claim, now, "the claim is no longer in the log",
                             outbox);
      return;
    }
  claim->sent_proposed_ms = now;
  claim->sent_before_take = false;
  claim_propose (claim, BR_CLAIM_PROPOSE_SENT, outbox);
}

static void
claim_take (br_claim_t *claim,
            br_ms_t now,
            uint32_t attempt,
            br_claim_actions_t *outbox)
{
  if (claim->no_majority)
    {
      br_claim_refuse_cut_off (claim, outbox);
      return;
    }
  if (++claim->takes > TAKE_PROPOSALS_MAX)
    {
      br_claim_refuse (claim, "other contracts keep taking the key", outbox);
      return;
    }
  claim->step = BR_CLAIM_STEP_TAKING;
  claim->attempt = attempt;
  claim->taken = claim->sent_refused = false;
  claim->sent_proposals = 0;
  claim_propose (claim, BR_CLAIM_PROPOSE_TAKE, outbox);
  claim_propose_sent (claim, now, outbox);
}

static void
claim_wait (br_claim_t *claim, br_ms_t now)
{
  if (claim->step != BR_CLAIM_STEP_WAITING)
    claim->reply_by_ms = now + WAIT_TIMEOUT_MS;
  claim->step = BR_CLAIM_STEP_WAITING;
}

/* Acts on the record of another contract, or on a missing one. */
static void
claim_on_other_record (br_claim_t *claim,
                       br_ms_t now,
                       const br_claim_record_t *record,
                       br_claim_actions_t *outbox)
{
  br_str_t digest = br_str_make ((const char *)claim->digest.bytes,
                                 sizeof claim->digest.bytes);

  if (record == NULL)
    {
      claim_take (claim, now, 1, outbox);
      return;
    }
  if (!br_str_equal (br_message_str (record->digest), digest))
    {
      br_claim_fail_other_body (claim, outbox);
      return;
    }
  switch (record->state)
    {
    case BR_CLAIM_CLAIMED:
    case BR_CLAIM_SENT:
      claim_wait (claim, now);
      break;
    case BR_CLAIM_ANSWERED:
      br_claim_reply_answer (claim, record, outbox);
      break;
    case BR_CLAIM_NOT_RUN:
      claim_take (claim, now, record->attempt + 1, outbox);
      break;
    default:
      br_claim_fail_unknown (claim, record->owner->vm,
                             "the work of this key may have run", outbox);
      break;
    }
}

static void
claim_start (br_claim_t *claim,
             br_ms_t now,
             const br_claim_record_t *record,
             br_claim_actions_t *outbox)
{
  assert (claim->step == BR_CLAIM_STEP_NEW);
  /* An operator may have settled the claim in the log, and this VM's state may
   * lag behind.  The log decides. */
  if (record != NULL && record->state == BR_CLAIM_UNKNOWN)
    claim_take (claim, now, record->attempt + 1, outbox);
  else
    claim_on_other_record (claim, now, record, outbox);
}

static void
claim_on_taken (br_claim_t *claim, br_ms_t now, br_claim_actions_t *outbox)
{
  claim->taken = true;
  if (claim->sent_refused)
    claim_fence_with_text (
        claim, now, "the log refused the record before the first byte", outbox);
  else if (claim->sent_before_take)
    claim_propose_sent (claim, now, outbox);
}

static void
claim_on_take_outcome (br_claim_t *claim,
                       br_ms_t now,
                       const br_claim_result_t *result,
                       br_claim_actions_t *outbox)
{
  br_error_t err;

  if (result->verdict == BR_CLAIM_OUTCOME_OK)
    claim_on_taken (claim, now, outbox);
  else if (record_is_own (claim, result->claim))
    claim_fence_with_text (claim, now, "another VM gave this claim up", outbox);
  else if (result->verdict == BR_CLAIM_OUTCOME_OTHER_BODY)
    br_claim_fail_other_body (claim, outbox);
  else if (result->verdict == BR_CLAIM_OUTCOME_EXISTS
           || result->verdict == BR_CLAIM_OUTCOME_STALE)
    claim_on_other_record (claim, now, result->claim, outbox);
  else
    {
      br_error_set (&err, BR_ERROR_LIMITED, "claim key", "",
                    "the log refused the claim: %s",
                    br_claim_outcome_name (result->verdict));
      err.retry_after_ms = RETRY_AFTER_MS;
      br_claim_fail (claim, &err, outbox);
    }
}

static void
claim_on_take (br_claim_t *claim,
               br_ms_t now,
               const br_claim_input_t *input,
               br_claim_actions_t *outbox)
{
  if (claim->step != BR_CLAIM_STEP_TAKING)
    return;
  switch (input->proposal.outcome)
    {
    case BR_PROPOSAL_COMMITTED:
      claim_on_take_outcome (claim, now, input->proposal.result, outbox);
      break;
    case BR_PROPOSAL_REFUSED:
      br_claim_refuse_cut_off (claim, outbox);
      break;
    case BR_PROPOSAL_UNKNOWN:
      claim_fence_with_text (claim, now,
                             "no majority of voters answered in time", outbox);
      break;
    }
}

static void
claim_send (br_claim_t *claim, br_ms_t now, br_claim_actions_t *outbox)
{
  br_claim_action_t action = { .kind = BR_CLAIM_ACTION_SEND };

  action.not_after_ms = claim->sent_proposed_ms + BR_STATE_SEND_BOUND_MS;
  if (now > action.not_after_ms)
    {
      claim_fence_with_text (
          claim, now, "the log committed the record too late to send", outbox);
      return;
    }
  claim->step = BR_CLAIM_STEP_RUNNING;
  br_claim_actions_push (outbox, action);
}

static void
claim_on_sent (br_claim_t *claim,
               br_ms_t now,
               const br_claim_input_t *input,
               br_claim_actions_t *outbox)
{
  const br_claim_result_t *result = input->proposal.result;

  if (claim->step != BR_CLAIM_STEP_TAKING)
    return;
  if (input->proposal.outcome == BR_PROPOSAL_UNKNOWN)
    claim_fence_with_text (claim, now, "no majority of voters answered in time",
                           outbox);
  else if (input->proposal.outcome == BR_PROPOSAL_REFUSED && claim->taken)
    claim_fence_with_text (
        claim, now, "the log refused the record before the first byte", outbox);
  else if (input->proposal.outcome == BR_PROPOSAL_REFUSED)
    claim->sent_refused = true;
  else if (result->verdict == BR_CLAIM_OUTCOME_OK)
    claim_send (claim, now, outbox);
  else if (record_is_own (claim, result->claim)
           || record_is_later (claim, result->claim))
    claim_fence_with_text (claim, now, "another VM gave this claim up", outbox);
  else if (claim->taken)
    claim_propose_sent (claim, now, outbox);
  else
    claim->sent_before_take = true;
}

static void
claim_on_fenced (br_claim_t *claim,
                 br_ms_t now,
                 const br_claim_input_t *input,
                 br_claim_actions_t *outbox)
{
  bool committed = input->proposal.outcome == BR_PROPOSAL_COMMITTED;
  br_claim_outcome_t outcome
      = committed ? input->proposal.result->verdict : BR_CLAIM_OUTCOME_FULL;

  if (outcome == BR_CLAIM_OUTCOME_STALE && !claim->replied
      && input->proposal.result->claim != NULL
      && !record_is_own (claim, input->proposal.result->claim))
    claim_on_other_record (claim, now, input->proposal.result->claim, outbox);
  else if (outcome == BR_CLAIM_OUTCOME_OK || outcome == BR_CLAIM_OUTCOME_STALE)
    br_claim_fail (claim, &claim->failure, outbox);
  else
    claim->propose_at_ms = now + PROPOSE_AGAIN_MS;
}

static void
claim_on_end_proposal (br_claim_t *claim,
                       br_ms_t now,
                       const br_claim_input_t *input,
                       br_claim_actions_t *outbox)
{
  if (claim->step == BR_CLAIM_STEP_FENCING)
    claim_on_fenced (claim, now, input, outbox);
  else if (claim->step != BR_CLAIM_STEP_RECORDING)
    return;
  else if (input->proposal.outcome == BR_PROPOSAL_COMMITTED)
    claim->step = BR_CLAIM_STEP_OVER;
  else
    claim->propose_at_ms = now + PROPOSE_AGAIN_MS;
}

static void
claim_on_proposal (br_claim_t *claim,
                   br_ms_t now,
                   const br_claim_input_t *input,
                   br_claim_actions_t *outbox)
{
  if (input->proposal.attempt != claim->attempt)
    return;
  switch (input->proposal.kind)
    {
    case BR_CLAIM_PROPOSE_TAKE:
      claim_on_take (claim, now, input, outbox);
      break;
    case BR_CLAIM_PROPOSE_SENT:
      claim_on_sent (claim, now, input, outbox);
      break;
    case BR_CLAIM_PROPOSE_END:
      claim_on_end_proposal (claim, now, input, outbox);
      break;
    }
}

static void
claim_on_end (br_claim_t *claim,
              br_ms_t now,
              const br_claim_input_t *input,
              br_claim_actions_t *outbox)
{
  if (claim->step != BR_CLAIM_STEP_RUNNING)
    return;
  if (input->end.state == BR_CLAIM_NOT_RUN)
    {
      claim_fence (claim, now, &input->end.error, outbox);
      return;
    }
  claim->step = BR_CLAIM_STEP_RECORDING;
  claim->end = input->end.state;
  claim->status = input->end.status;
  claim->propose_at_ms = BR_MS_NEVER;
  if (input->end.body.len <= BR_STATE_CLAIM_BODY_MAX_BYTES)
    br_buf_append (&claim->body, input->end.body);
  claim->body_kept = input->end.state == BR_CLAIM_ANSWERED
                     && input->end.body.len <= BR_STATE_CLAIM_BODY_MAX_BYTES;
  claim_propose (claim, BR_CLAIM_PROPOSE_END, outbox);
  if (input->end.state == BR_CLAIM_UNKNOWN)
    br_claim_reply_error (claim, &input->end.error, outbox);
  claim->replied = true;
}

static void
claim_on_time (br_claim_t *claim, br_ms_t now, br_claim_actions_t *outbox)
{
  bool proposes = claim->step == BR_CLAIM_STEP_RECORDING
                  || claim->step == BR_CLAIM_STEP_FENCING;
  br_error_t err;

  if (proposes && now >= claim->propose_at_ms)
    {
      claim->propose_at_ms = BR_MS_NEVER;
      claim_propose (claim, BR_CLAIM_PROPOSE_END, outbox);
    }
  if (claim->step == BR_CLAIM_STEP_FENCING && now >= claim->reply_by_ms)
    {
      br_error_set (&err, BR_ERROR_UNKNOWN_OUTCOME, "prove not run", "",
                    "nothing was sent, but the key may be claimed until a "
                    "majority of voters answers; resend with the same key");
      err.retry_after_ms = RETRY_AFTER_MS;
      br_claim_reply_error (claim, &err, outbox);
    }
  if (claim->step == BR_CLAIM_STEP_WAITING && now >= claim->reply_by_ms)
    br_claim_fail_unknown (claim, "",
                           "the work of this key is still running; resend with "
                           "the same key to wait for it",
                           outbox);
}

void
br_claim_handle (br_claim_t *claim,
                 br_ms_t now,
                 const br_claim_input_t *input,
                 br_claim_actions_t *outbox)
{
  switch (input->kind)
    {
    case BR_CLAIM_INPUT_START:
      claim->no_majority = input->no_majority;
      claim_start (claim, now, input->record, outbox);
      claim->no_majority = false;
      break;
    case BR_CLAIM_INPUT_PROPOSAL:
      claim_on_proposal (claim, now, input, outbox);
      break;
    case BR_CLAIM_INPUT_RECORD:
      if (claim->step == BR_CLAIM_STEP_WAITING)
        claim_on_other_record (claim, now, input->record, outbox);
      break;
    case BR_CLAIM_INPUT_END:
      claim_on_end (claim, now, input, outbox);
      break;
    case BR_CLAIM_INPUT_TIME:
      claim_on_time (claim, now, outbox);
      break;
    }
}
