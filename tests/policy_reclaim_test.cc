/* At least 30% fewer tokens are computed again in the reclaim wave than with
 * the best plain baseline; bench/BOUNDS.md. */
#include <gtest/gtest.h>

#include "support/policy_cells.h"

namespace
{

double
Bound (size_t site)
{
  return 0.7
         * std::min (
             PolicyRun (site, SCENARIO_RECLAIM, ARM_ROUND_ROBIN, 15).recomputed,
             PolicyRun (site, SCENARIO_RECLAIM, ARM_LEAST_IN_FLIGHT, 15)
                 .recomputed);
}

TEST (PolicyReclaim, Kovacik)
{
  EXPECT_LE (PolicyRun (1, SCENARIO_RECLAIM, ARM_TODAY, 15).recomputed,
             Bound (1));
}

TEST (PolicyReclaim, BothWhereCachesAreExported)
{
  for (size_t site = 0; site < n_site_options; site++)
    EXPECT_LE (PolicyRun (site, SCENARIO_RECLAIM, ARM_EXPORT, 15).recomputed,
               Bound (site));
}

} // namespace
