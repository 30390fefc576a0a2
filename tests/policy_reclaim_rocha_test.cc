/* In the reclaim wave, at least 30% fewer tokens are recomputed than with the
 * best plain baseline (see bench/BOUNDS.md). */
#include <gtest/gtest.h>

#include "support/policy_cells.h"

TEST (PolicyReclaim, Rocha)
{
  double best = std::min (
      PolicyRun (0, SCENARIO_RECLAIM, ARM_ROUND_ROBIN, 15).recomputed_tokens,
      PolicyRun (0, SCENARIO_RECLAIM, ARM_LEAST_IN_FLIGHT, 15)
          .recomputed_tokens);
  EXPECT_LE (PolicyRun (0, SCENARIO_RECLAIM, ARM_TODAY, 15).recomputed_tokens,
             0.7 * best);
}
