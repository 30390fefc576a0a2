#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "route/resend.h"
#include "route/retry.h"
}

namespace
{

TEST (Retry, NeverRetriesNonRepeatableWorkThatMayHaveRun)
{
  br_random_t random;
  br_retry_budget_t budget;
  br_random_seed (&random, 1);
  br_retry_budget_init (&budget, 0);
  br_retry_query_t query = { 1, false, true, false };
  EXPECT_FALSE (br_retry_decide (&budget, &query, &random, 0).retry);
  query.may_have_run = false;
  EXPECT_TRUE (br_retry_decide (&budget, &query, &random, 0).retry);
  query.repeatable = query.may_have_run = true;
  EXPECT_TRUE (br_retry_decide (&budget, &query, &random, 0).retry);
  query.attempts = BR_RETRY_ATTEMPTS_MAX;
  EXPECT_FALSE (br_retry_decide (&budget, &query, &random, 0).retry);
}

/* All attempts fail at once and keep failing: the retries stay within the
 * budget in each second, and no work is dropped because of the budget. */
TEST (Retry, BudgetPreventsRetryStorm)
{
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      br_random_t random;
      br_retry_budget_t budget;
      br_random_seed (&random, seed);
      br_retry_budget_init (&budget, 0);
      std::vector<int> per_second (200, 0);
      for (int i = 0; i < 120; i++)
        {
          br_retry_query_t query = { 1, true, true, false };
          br_retry_decision_t decision
              = br_retry_decide (&budget, &query, &random, 0);
          ASSERT_TRUE (decision.retry);
          ASSERT_LT (decision.wait_ms, 200 * 1000);
          per_second[(size_t)(decision.wait_ms / 1000)]++;
        }
      EXPECT_LE (per_second[0], BR_RETRY_BUDGET_MAX + BR_RETRY_PER_S)
          << "seed " << seed;
      for (size_t s = 1; s < per_second.size (); s++)
        EXPECT_LE (per_second[s], BR_RETRY_PER_S) << "seed " << seed;
    }
}

TEST (Retry, BudgetGrowsWithSuccesses)
{
  br_random_t random;
  br_retry_budget_t budget;
  br_random_seed (&random, 1);
  br_retry_budget_init (&budget, 0);
  br_retry_query_t query = { 1, true, true, false };
  for (int i = 0; i < BR_RETRY_BUDGET_MAX; i++)
    br_retry_decide (&budget, &query, &random, 0);
  for (int i = 0; i < 100; i++)
    br_retry_budget_success (&budget, 0);
  int at_once = 0;
  for (int i = 0; i < 30; i++)
    at_once += br_retry_decide (&budget, &query, &random, 0).wait_ms
               <= BR_RETRY_BACKOFF_MS;
  EXPECT_EQ (at_once, 100 * BR_RETRY_PER_SUCCESS / 1000);
}

TEST (Retry, BacksOffWithJitter)
{
  br_random_t random;
  br_random_seed (&random, 3);
  br_ms_t longest[BR_RETRY_ATTEMPTS_MAX] = {};
  for (uint32_t attempts = 1; attempts < BR_RETRY_ATTEMPTS_MAX; attempts++)
    for (int i = 0; i < 1000; i++)
      {
        br_retry_budget_t budget;
        br_retry_budget_init (&budget, 0);
        br_retry_query_t query = { attempts, true, true, false };
        br_ms_t wait = br_retry_decide (&budget, &query, &random, 0).wait_ms;
        ASSERT_LE (wait, BR_RETRY_BACKOFF_MS << (attempts - 1));
        longest[attempts] = std::max (longest[attempts], wait);
      }
  for (uint32_t attempts = 2; attempts < BR_RETRY_ATTEMPTS_MAX; attempts++)
    EXPECT_GT (longest[attempts], longest[attempts - 1]);
}

br_resend_query_t
Query (const char *workload, const char *key, const char *body)
{
  return { br_str_from (workload), br_str_from ("contract-lm"),
           br_str_from ("/v1/x"), br_str_from (key), br_str_from (body) };
}

TEST (Resend, IsDetectedWhileTheFirstRequestRuns)
{
  br_resends_t *resends = br_resends_new ();
  br_error_t err;
  br_resend_query_t keyed = Query ("drafts", "order-1", "{1}");
  br_resend_query_t bare = Query ("drafts", "", "{1}");
  br_resend_query_t other_body = Query ("drafts", "order-1", "{2}");
  br_resend_query_t other_workload = Query ("permits", "", "{1}");
  EXPECT_EQ (br_resends_find (resends, &keyed, &err), 0u);
  br_resends_put (resends, &keyed, 7);
  br_resends_put (resends, &bare, 8);
  EXPECT_EQ (br_resends_find (resends, &keyed, &err), 7u);
  EXPECT_EQ (br_resends_find (resends, &bare, &err), 8u);
  EXPECT_EQ (br_resends_find (resends, &other_workload, &err), 0u);
  EXPECT_EQ (err.code, BR_ERROR_OK);
  EXPECT_EQ (br_resends_find (resends, &other_body, &err), 0u);
  EXPECT_EQ (err.code, BR_ERROR_CONFLICT);
  br_resends_drop (resends, 7);
  br_resends_drop (resends, 7);
  EXPECT_EQ (br_resends_find (resends, &keyed, &err), 0u);
  br_resends_free (resends);
}

} // namespace
