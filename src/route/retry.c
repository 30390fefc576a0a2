#include "route/retry.h"

#include <assert.h>

#define BALANCE_PER_RETRY 1000
#define MS_PER_S 1000
#define DOUBLINGS_MAX 16

/* Maximum number of retries by which the budget may be overdrawn; further
 * retries wait as long as the last of these. */
#define OVERDRAFT_MAX 200

static void
budget_fill (br_retry_budget_t *budget, br_ms_t now)
{
  if (now <= budget->filled_ms)
    return;
  budget->balance += (now - budget->filled_ms) * BR_RETRY_PER_S
                     * BALANCE_PER_RETRY / MS_PER_S;
  budget->balance = BR_MIN (budget->balance,
                            (int64_t)BR_RETRY_BUDGET_MAX * BALANCE_PER_RETRY);
  budget->filled_ms = now;
}

void
br_retry_budget_init (br_retry_budget_t *budget, br_ms_t now)
{
  *budget = (br_retry_budget_t){
    .balance = (int64_t)BR_RETRY_BUDGET_MAX * BALANCE_PER_RETRY,
    .filled_ms = now,
  };
}

void
br_retry_budget_success (br_retry_budget_t *budget, br_ms_t now)
{
  budget_fill (budget, now);
  budget->balance = BR_MIN (budget->balance + BR_RETRY_PER_SUCCESS,
                            (int64_t)BR_RETRY_BUDGET_MAX * BALANCE_PER_RETRY);
}

/* Takes one retry from the budget and returns how long it must wait until the
 * budget covers it. */
static br_ms_t
budget_take (br_retry_budget_t *budget, br_ms_t now)
{
  budget_fill (budget, now);
  if (budget->balance > -(int64_t)OVERDRAFT_MAX * BALANCE_PER_RETRY)
    budget->balance -= BALANCE_PER_RETRY;
  if (budget->balance >= 0)
    return 0;
  return -budget->balance / BR_RETRY_PER_S;
}

static br_ms_t
backoff_ms (uint32_t attempts, br_random_t *random)
{
  uint32_t doublings = BR_MIN (attempts - 1, DOUBLINGS_MAX);
  br_ms_t bound = (br_ms_t)BR_RETRY_BACKOFF_MS << doublings;

  bound = BR_MIN (bound, BR_RETRY_BACKOFF_MAX_MS);
  return (br_ms_t)br_random_below (random, (uint64_t)bound + 1);
}

br_retry_decision_t
br_retry_decide (br_retry_budget_t *budget,
                 const br_retry_query_t *query,
                 br_random_t *random,
                 br_ms_t now)
{
  br_retry_decision_t decision = { 0 };
  br_ms_t budget_ms;

  assert (query->attempts > 0);
  if ((query->may_have_run && !query->repeatable)
      || query->attempts >= BR_RETRY_ATTEMPTS_MAX)
    return decision;
  decision.retry = true;
  /* For an overloaded upstream, the backoff is that of one further attempt. */
  decision.wait_ms
      = backoff_ms (query->attempts + (query->refused ? 1 : 0), random);
  budget_ms = budget_take (budget, now);
  budget->granted++;
  if (budget_ms > decision.wait_ms)
    {
      budget->delayed++;
      decision.wait_ms = budget_ms;
    }
  return decision;
}
