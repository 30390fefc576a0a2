/* In a surge of a large organisation, the least share within the target among
 * the small ones is at most 5 points below the steady scenario's (see
 * bench/BOUNDS.md). */
#include <gtest/gtest.h>

#include "support/policy_cells.h"

TEST (PolicySurge, Rocha)
{
  double steady
      = PolicyRun (0, SCENARIO_STEADY, ARM_TODAY, 15).small_min_percent;
  EXPECT_GE (PolicyRun (0, SCENARIO_SURGE, ARM_TODAY, 15).small_min_percent,
             steady - 5);
}
