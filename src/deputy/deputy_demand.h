/* The demand of each organisation, averaged over seconds.  Every control VM
 * keeps it from the entry VMs' reports, to have it at once when no control VM
 * leads. */
#ifndef BR_DEPUTY_DEPUTY_DEMAND_H
#define BR_DEPUTY_DEPUTY_DEMAND_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t organisation;
  double requested; /* units in all, at AT_MS */
  double per_s;
  br_ms_t at_ms;
  uint32_t measured; /* times */
  bool was_open;     /* in the sums that were sent last */
} br_deputy_demand_t;

/* An all-zero value is empty. */
BR_VEC (br_deputy_demands, br_deputy_demand_t);

/* Returns the entry of ORGANISATION; adds it if it is missing. */
br_deputy_demand_t *br_deputy_demands_get (br_deputy_demands_t *demands,
                                           const br_name_t *organisation);

/* Takes the units REQUESTED of all entry VMs since they were first counted. */
void br_deputy_demand_update (br_deputy_demand_t *demand,
                              double requested,
                              br_ms_t now);

BR_END_DECLS

#endif
