/* Runs cells of the policy bench for the tests that check its bounds. */
#ifndef BR_TESTS_POLICY_CELLS_H
#define BR_TESTS_POLICY_CELLS_H

#include <algorithm>

extern "C"
{
#include "model/model.h"
}

/* Seeds of every cell: 1 to this. */
constexpr int kPolicySeeds = 3;

struct PolicyCell
{
  double cost = 0;
  double within = 0;
  double small = 100;
  double recomputed = 0;
  int lost = 0;
  int doubled = 0;
};

inline double
PolicyShare (int part, int whole)
{
  return whole > 0 ? 100.0 * part / whole : 100;
}

/* The sum over the seeds; small is the least share within the target of the
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
      sum.asked += run.asked;
      sum.within += run.within;
      sum.cost += run.cost;
      sum.recomputed_tokens += run.recomputed_tokens;
      cell.lost += run.lost;
      cell.doubled += run.doubled;
      for (int i = 0; i < ORGANISATIONS; i++)
        {
          sum.org_asked[i] += run.org_asked[i];
          sum.org_within[i] += run.org_within[i];
        }
      run_result_release (&run);
    }
  cell.cost = 1000 * sum.cost / std::max (sum.within, 1);
  cell.within = PolicyShare (sum.within, sum.asked);
  cell.recomputed = (double)sum.recomputed_tokens;
  for (int i = 2; i < ORGANISATIONS; i++)
    cell.small = std::min (cell.small,
                           PolicyShare (sum.org_within[i], sum.org_asked[i]));
  return cell;
}

#endif
