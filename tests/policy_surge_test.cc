/* No small organisation's share within the target falls by more than 5 points
 * while a large one surges; bench/BOUNDS.md. */
#include <gtest/gtest.h>

#include "support/policy_cells.h"

TEST (PolicySurge, Rocha)
{
  double steady = PolicyRun (0, SCENARIO_STEADY, ARM_TODAY, 15).small;
  EXPECT_GE (PolicyRun (0, SCENARIO_SURGE, ARM_TODAY, 15).small, steady - 5);
}
