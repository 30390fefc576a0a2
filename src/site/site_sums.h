/* Sums over all entry VMs: the load at each upstream and the demand of each
 * organisation.  The cost grows linearly with the number of reported entries.
 */
#ifndef BR_SITE_SITE_SUMS_H
#define BR_SITE_SITE_SUMS_H

#include "base/clock.h"
#include "base/name_index.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t upstream;
  uint32_t in_flight;
  uint64_t prefill_tokens; /* sent, no first event yet */
  uint32_t unreachable;    /* entry VMs that got no connection to it */
  uint32_t pace;           /* newest, in percent; 0: not known */
  br_ms_t pace_age_ms;
  double speed; /* in force; 0: none */
} br_load_sum_t;

typedef struct
{
  br_name_t organisation;
  double units_per_s;
} br_demand_sum_t;

BR_VEC (br_load_sum_list, br_load_sum_t);
BR_VEC (br_demand_sum_list, br_demand_sum_t);

/* An all-zero value is empty. */
typedef struct
{
  br_load_sum_list_t list;
  br_name_index_t index;
} br_load_sums_t;

typedef struct
{
  br_demand_sum_list_t list;
  br_name_index_t index;
} br_demand_sums_t;

/* Adds one entry VM's load at LOAD->upstream, and sets pace and speed if LOAD
 * has them. */
void br_load_sums_add (br_load_sums_t *sums, const br_load_sum_t *load);
void br_load_sums_release (br_load_sums_t *sums);

/* Adds one entry VM's demand of DEMAND->organisation. */
void br_demand_sums_add (br_demand_sums_t *sums, const br_demand_sum_t *demand);

/* Returns the demand of ORGANISATION in units a second; 0 when none was added.
 */
double br_demand_sums_find (const br_demand_sums_t *sums,
                            br_str_t organisation);
void br_demand_sums_release (br_demand_sums_t *sums);

BR_END_DECLS

#endif
