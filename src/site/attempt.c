#include "site/attempt.h"

static const char *const next_names[] = {
#define X(id, name) name,
  BR_ATTEMPT_NEXT_TABLE (X)
#undef X
};

const char *
br_attempt_next_name (br_attempt_next_t next)
{
  return next_names[next];
}

br_attempt_next_t
br_attempt_give_up (const br_attempt_query_t *query)
{
  if (query->begun)
    return BR_ATTEMPT_BREAK_OFF;
  if (query->ran == 0)
    return BR_ATTEMPT_REFUSE;
  return query->remaining_ms < BR_ATTEMPT_REMAINING_MIN_MS ? BR_ATTEMPT_TIME_OUT
                                                           : BR_ATTEMPT_FAIL;
}

static bool
query_may_repeat (const br_attempt_query_t *query)
{
  switch (query->kind)
    {
    case BR_ROUTE_IDEMPOTENT:
      return true;
    case BR_ROUTE_STREAM:
      return query->resumable;
    case BR_ROUTE_NON_IDEMPOTENT:
      break;
    }
  return false;
}

br_attempt_next_t
br_attempt_decide (const br_attempt_query_t *query)
{
  if (query->remaining_ms < BR_ATTEMPT_REMAINING_MIN_MS)
    return br_attempt_give_up (query);
  /* The caller already has the start of the stream, so a refusal does not end
   * it. */
  if (query->begun && !query->may_have_run)
    return BR_ATTEMPT_LATER;
  if (query->ran >= query->max_attempts
      || query->refused > BR_ATTEMPT_REFUSALS_MAX)
    return br_attempt_give_up (query);
  if (query->ran > 0 && !query_may_repeat (query))
    return br_attempt_give_up (query);
  return BR_ATTEMPT_AGAIN;
}
