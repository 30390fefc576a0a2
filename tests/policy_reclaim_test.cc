/* In the reclaim wave, at least 30% fewer tokens are recomputed than with the
 * best plain baseline (see bench/BOUNDS.md). */
#include <gtest/gtest.h>

#include "support/policy_cells.h"

namespace
{

double
Bound (size_t site)
{
  return 0.7
         * std::min (PolicyRun (site, SCENARIO_RECLAIM, ARM_ROUND_ROBIN, 15)
                         .recomputed_tokens,
                     PolicyRun (site, SCENARIO_RECLAIM, ARM_LEAST_IN_FLIGHT, 15)
                         .recomputed_tokens);
}

TEST (PolicyReclaim, Kovacik)
{
  EXPECT_LE (PolicyRun (1, SCENARIO_RECLAIM, ARM_TODAY, 15).recomputed_tokens,
             Bound (1));
}

TEST (PolicyReclaim, BothWhereCachesAreExported)
{
  for (size_t site = 0; site < n_site_options; site++)
    EXPECT_LE (
        PolicyRun (site, SCENARIO_RECLAIM, ARM_EXPORT, 15).recomputed_tokens,
        Bound (site));
}

} // namespace
