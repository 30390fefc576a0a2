#include "deputy/deputy_quota.h"

/* Age from which figures are not used, in milliseconds: three of the intervals
 * at which they come. */
#define LIFE_MS 1500

/* Share of the rate up to which an organisation's demand is well below it. */
#define DEMAND_SHARE 0.8

/* Part of the burst that must remain.  It covers what an organisation that
 * begins to send six times its rate gets through until all VMs know. */
#define REMAINING_SHARE 0.15

bool
br_deputy_quota_is_fresh (const br_deputy_quota_t *quota, br_ms_t now)
{
  return quota->received_ms > 0 && now - quota->received_ms < LIFE_MS;
}

/* Entry VMs that are not in the figures use up to their shares, so the others
 * have only their part of the rate. */
br_deputy_state_t
br_deputy_quota_state (const br_deputy_quota_t *quota,
                       const br_deputy_limit_t *limit)
{
  double rate = limit->rate_per_s * BR_MIN (quota->covered, 1);

  if (quota->remaining + limit->tolerated < limit->burst * REMAINING_SHARE)
    return BR_DEPUTY_SCARCE;
  return quota->demand_per_s < rate * DEMAND_SHARE ? BR_DEPUTY_OPEN
                                                   : BR_DEPUTY_SHARE;
}
