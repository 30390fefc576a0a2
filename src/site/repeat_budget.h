/* Limits how many requests one entry VM may repeat on another upstream: its
 * share of the limit for all entry VMs together. */
#ifndef BR_SITE_REPEAT_BUDGET_H
#define BR_SITE_REPEAT_BUDGET_H

#include <stdbool.h>

#include "base/clock.h"

BR_BEGIN_DECLS

/* Parts of the window in which requests and repeats are counted. */
#define BR_REPEAT_SLICES 10

typedef struct
{
  double ratio;      /* repeats for each request */
  double slack;      /* further repeats, of this VM */
  br_ms_t window_ms; /* over which both are counted */
} br_repeat_limits_t;

/* Counts of one service; an all-zero value is empty. */
typedef struct
{
  double requests[BR_REPEAT_SLICES];
  double repeats[BR_REPEAT_SLICES];
  int64_t slice; /* number of the newest slice */
} br_repeat_budget_t;

void br_repeat_budget_request (br_repeat_budget_t *budget,
                               const br_repeat_limits_t *limits,
                               br_ms_t now);

/* Takes one repeat.  Returns false when the budget is used up. */
bool br_repeat_budget_take (br_repeat_budget_t *budget,
                            const br_repeat_limits_t *limits,
                            br_ms_t now);

/* Returns the repeats that may be taken now; below 0 when the number of
 * requests in the window has fallen. */
double br_repeat_budget_remaining (br_repeat_budget_t *budget,
                                   const br_repeat_limits_t *limits,
                                   br_ms_t now);

BR_END_DECLS

#endif
