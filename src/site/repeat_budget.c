#include "site/repeat_budget.h"

#include <string.h>

/* Advances to the slice of NOW, clears the slices in between and returns its
 * index. */
static size_t
budget_advance (br_repeat_budget_t *budget,
                const br_repeat_limits_t *limits,
                br_ms_t now)
{
  br_ms_t slice_ms = limits->window_ms / BR_REPEAT_SLICES;
  int64_t slice = now / (slice_ms > 0 ? slice_ms : 1);

  if (slice - budget->slice >= BR_REPEAT_SLICES || slice < budget->slice)
    {
      memset (budget, 0, sizeof *budget);
      budget->slice = slice;
    }
  while (budget->slice < slice)
    {
      budget->slice++;
      budget->requests[budget->slice % BR_REPEAT_SLICES] = 0;
      budget->repeats[budget->slice % BR_REPEAT_SLICES] = 0;
    }
  return (size_t)(slice % BR_REPEAT_SLICES);
}

void
br_repeat_budget_request (br_repeat_budget_t *budget,
                          const br_repeat_limits_t *limits,
                          br_ms_t now)
{
  size_t at = budget_advance (budget, limits, now);

  budget->requests[at]++;
}

double
br_repeat_budget_remaining (br_repeat_budget_t *budget,
                            const br_repeat_limits_t *limits,
                            br_ms_t now)
{
  double requests = 0;
  double repeats = 0;

  budget_advance (budget, limits, now);
  for (size_t i = 0; i < BR_REPEAT_SLICES; i++)
    {
      requests += budget->requests[i];
      repeats += budget->repeats[i];
    }
  return requests * limits->ratio + limits->slack - repeats;
}

bool
br_repeat_budget_take (br_repeat_budget_t *budget,
                       const br_repeat_limits_t *limits,
                       br_ms_t now)
{
  if (br_repeat_budget_remaining (budget, limits, now) < 1)
    return false;
  budget->repeats[budget_advance (budget, limits, now)]++;
  return true;
}
