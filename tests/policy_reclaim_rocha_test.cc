/* At least 30% fewer tokens are computed again in the reclaim wave than with
 * the best plain baseline; bench/BOUNDS.md. */
#include <gtest/gtest.h>

#include "support/policy_cells.h"

TEST (PolicyReclaim, Rocha)
{
  double best = std::min (
      PolicyRun (0, SCENARIO_RECLAIM, ARM_ROUND_ROBIN, 15).recomputed,
      PolicyRun (0, SCENARIO_RECLAIM, ARM_LEAST_IN_FLIGHT, 15).recomputed);
  EXPECT_LE (PolicyRun (0, SCENARIO_RECLAIM, ARM_TODAY, 15).recomputed,
             0.7 * best);
}
