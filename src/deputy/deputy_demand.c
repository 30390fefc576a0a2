#include "deputy/deputy_demand.h"

/* Interval of one measurement in milliseconds, and the least weight of one in
 * the average, which so spans some 20 s.  With seven requests of 100 to 50,000
 * tokens a second, the demand of 2 s deviates by half, this average by a
 * sixth. */
#define SPAN_MS 1000
#define WEIGHT_MIN 0.08

br_deputy_demand_t *
br_deputy_demands_get (br_deputy_demands_t *demands,
                       const br_name_t *organisation)
{
  br_deputy_demand_t fresh = { .organisation = *organisation };

  for (size_t i = 0; i < demands->len; i++)
    if (br_name_equal (&demands->items[i].organisation, organisation))
      return &demands->items[i];
  return br_deputy_demands_push (demands, fresh);
}

void
br_deputy_demand_update (br_deputy_demand_t *demand,
                         double requested,
                         br_ms_t now)
{
  br_ms_t span = now - demand->at_ms;
  double per_s;

  /* The count begins again when the reports stopped for long. */
  if (demand->at_ms == 0 || requested < demand->requested)
    {
      demand->requested = requested;
      demand->at_ms = now;
      return;
    }
  if (span < SPAN_MS)
    return;
  per_s = (requested - demand->requested) * 1000 / (double)span;
  demand->measured++;
  demand->per_s
      += BR_MAX (1.0 / demand->measured, WEIGHT_MIN) * (per_s - demand->per_s);
  demand->requested = requested;
  demand->at_ms = now;
}
