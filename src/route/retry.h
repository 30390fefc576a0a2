/* Decides whether and when a failed attempt is retried: exponential backoff
 * with jitter, paced by a budget in proportion to the successes.  The budget
 * prevents a retry storm when many attempts fail at once. */
#ifndef BR_ROUTE_RETRY_H
#define BR_ROUTE_RETRY_H

#include <stdbool.h>

#include "base/clock.h"
#include "base/random.h"

BR_BEGIN_DECLS

/* Maximum number of attempts for one piece of work. */
#define BR_RETRY_ATTEMPTS_MAX 10

/* Largest and initial balance of the budget, in retries. */
#define BR_RETRY_BUDGET_MAX 20

/* Amount that each success adds to the budget, in thousandths of a retry. */
#define BR_RETRY_PER_SUCCESS 100

/* Retries a second that are added to the budget without any success. */
#define BR_RETRY_PER_S 2

/* Upper bound of the first backoff, doubled with each attempt, and its limit,
 * in milliseconds. */
#define BR_RETRY_BACKOFF_MS 20
#define BR_RETRY_BACKOFF_MAX_MS 5000

typedef struct
{
  int64_t balance; /* thousandths of a retry; below 0 when overdrawn */
  br_ms_t filled_ms;
  uint64_t granted;
  uint64_t delayed; /* granted after a longer wait than the backoff */
} br_retry_budget_t;

typedef struct
{
  uint32_t attempts; /* made so far, at least 1 */
  bool repeatable;
  bool may_have_run;
  bool refused; /* the upstream answered that it is overloaded */
} br_retry_query_t;

typedef struct
{
  bool retry;      /* false: the failure is final */
  br_ms_t wait_ms; /* until the next attempt */
} br_retry_decision_t;

void br_retry_budget_init (br_retry_budget_t *budget, br_ms_t now);
void br_retry_budget_success (br_retry_budget_t *budget, br_ms_t now);

/* Decides on a failed attempt.  Work that may have run and must not be repeated
 * is never retried.  When the budget is used up, the retry is delayed until the
 * budget covers it, not dropped. */
br_retry_decision_t br_retry_decide (br_retry_budget_t *budget,
                                     const br_retry_query_t *query,
                                     br_random_t *random,
                                     br_ms_t now);

BR_END_DECLS

#endif
