/* Runs one site, scenario and arm of the policy bench, for the tests of its
 * bounds. */
#ifndef BR_TESTS_POLICY_CELLS_H
#define BR_TESTS_POLICY_CELLS_H

#include <algorithm>

extern "C"
{
#include "model/model.h"
}

/* Seeds 1 to this are run unless a test sets another number. */
constexpr int kPolicySeeds = 3;

struct PolicyCell
{
  double cost = 0;
  double within_percent = 0;
  double small_min_percent = 100;
  double recomputed_tokens = 0;
  int lost = 0;
  int duplicated = 0;
};

inline double
PolicyPercent (int part, int whole)
{
  return whole > 0 ? 100.0 * part / whole : 100;
}

/* Returns the sums over the seeds.  cost is that of 1,000 answers within the
 * target; small_min_percent is the least share within the target among the
 * three small organisations. */
inline PolicyCell
PolicyRun (size_t site,
           scenario_t scenario,
           arm_t arm,
           int seeds = kPolicySeeds)
{
  PolicyCell cell;
  run_result_t sum = {};
  for (int seed = 1; seed <= seeds; seed++)
    {
      run_options_t options
          = { &site_options[site], arm, scenario, (uint64_t)seed };
      run_result_t run = model_run (&options);
      sum.requests += run.requests;
      sum.within_target += run.within_target;
      sum.cost += run.cost;
      sum.recomputed_tokens += run.recomputed_tokens;
      cell.lost += run.lost;
      cell.duplicated += run.duplicated;
      for (int i = 0; i < ORGANISATIONS; i++)
        {
          sum.org_requests[i] += run.org_requests[i];
          sum.org_within_target[i] += run.org_within_target[i];
        }
      run_result_release (&run);
    }
  cell.cost = 1000 * sum.cost / std::max (sum.within_target, 1);
  cell.within_percent = PolicyPercent (sum.within_target, sum.requests);
  cell.recomputed_tokens = (double)sum.recomputed_tokens;
  for (int i = 2; i < ORGANISATIONS; i++)
    cell.small_min_percent = std::min (
        cell.small_min_percent,
        PolicyPercent (sum.org_within_target[i], sum.org_requests[i]));
  return cell;
}

#endif
