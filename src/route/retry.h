/* When a failed attempt is tried again: exponential backoff with jitter, paced
 * by a budget that is a share of the successes, so that retries cannot become
 * a storm when much fails at once. */
#ifndef BR_ROUTE_RETRY_H
#define BR_ROUTE_RETRY_H

#include <stdbool.h>

#include "base/clock.h"
#include "base/random.h"

BR_BEGIN_DECLS

/* Attempts for one piece of work. */
#define BR_RETRY_ATTEMPTS_MAX 10

/* Retries that the budget holds at most, and at the start. */
#define BR_RETRY_BUDGET_MAX 20

/* Retries that each success adds to the budget, in thousandths. */
#define BR_RETRY_PER_SUCCESS 100

/* Retries for each second that the budget gains without any success. */
#define BR_RETRY_PER_S 2

#define BR_RETRY_BACKOFF_MS 20
#define BR_RETRY_BACKOFF_MAX_MS 5000

typedef struct
{
  int64_t balance; /* thousandths of a retry; below 0 when taken ahead */
  br_ms_t filled_ms;
  uint64_t granted;
  uint64_t delayed; /* granted, but later than the backoff asked for */
} br_retry_budget_t;

typedef struct
{
  uint32_t attempts; /* made so far, at least 1 */
  bool repeatable;
  bool may_have_run;
  bool refused; /* the upstream said that it is overloaded */
} br_retry_query_t;

typedef struct
{
  bool retry;      /* false: the failure is final */
  br_ms_t wait_ms; /* until the next attempt */
} br_retry_decision_t;

void br_retry_budget_init (br_retry_budget_t *budget, br_ms_t now);
void br_retry_budget_success (br_retry_budget_t *budget, br_ms_t now);

/* Decides on a failed attempt.  Work that may have run and must not be
 * repeated is never tried again.  When the budget is used up the retry waits
 * for its share; it is not given up. */
br_retry_decision_t br_retry_decide (br_retry_budget_t *budget,
                                     const br_retry_query_t *query,
                                     br_random_t *random,
                                     br_ms_t now);

BR_END_DECLS

#endif
