#include <gtest/gtest.h>

extern "C"
{
#include "route/drain.h"
}

namespace
{

br_drain_work_t
Work (uint64_t number,
      uint64_t context,
      uint64_t uncached,
      uint64_t least,
      uint64_t most)
{
  br_drain_work_t work = {};
  work.work = number;
  work.context = context;
  work.uncached = uncached;
  work.remaining_min = least;
  work.remaining_max = most;
  work.started = true;
  return work;
}

br_drain_work_t
Plan (br_drain_options_t options,
      std::initializer_list<br_drain_work_t> all,
      uint64_t number)
{
  br_drain_works_t works = {};
  br_drain_work_t found = {};
  for (const auto &each : all)
    br_drain_works_push (&works, each);
  br_drain_plan (&options, &works);
  for (size_t i = 0; i < works.len; i++)
    if (works.items[i].work == number)
      found = works.items[i];
  br_drain_works_free (&works);
  return found;
}

TEST (Drain, WorkThatFinishesInTimeStays)
{
  br_drain_work_t work
      = Plan ({ 5000, 28, 0, 0 }, { Work (1, 2000, 500, 50, 100) }, 1);
  EXPECT_EQ (work.action, BR_DRAIN_FINISH);
  EXPECT_EQ (work.recomputed, 0u);
}

TEST (Drain, UnfinishableWorkCachedElsewhereMovesAtOnce)
{
  br_drain_work_t work
      = Plan ({ 5000, 28, 0, 0 }, { Work (1, 2000, 100, 1000, 1000) }, 1);
  EXPECT_EQ (work.action, BR_DRAIN_MOVE);
  EXPECT_EQ (work.at_ms, 0);
  EXPECT_EQ (work.recomputed, 100u);
}

TEST (Drain, UnfinishableWorkStaysWhenMovingCostsMore)
{
  br_drain_work_t work
      = Plan ({ 5000, 28, 0, 0 }, { Work (1, 2000, 2000, 1000, 1000) }, 1);
  EXPECT_EQ (work.action, BR_DRAIN_FINISH);
  /* When all upstreams of the service leave, moving costs even more. */
  work = Plan ({ 5000, 28, 0, 1 }, { Work (1, 2000, 170, 1000, 1000) }, 1);
  EXPECT_EQ (work.action, BR_DRAIN_FINISH);
}

TEST (Drain, ExportsWorkThatFitsAndSavesMost)
{
  br_drain_options_t options = { 5000, 28, 1000, 0 };
  auto all = { Work (1, 3000, 3000, 1000, 1000), Work (2, 3000, 10, 1000, 1000),
               Work (3, 1500, 1500, 1000, 1000), Work (4, 1000, 800, 10, 20) };
  EXPECT_EQ (Plan (options, all, 1).action, BR_DRAIN_EXPORT);
  EXPECT_EQ (Plan (options, all, 1).recomputed, 0u);
  EXPECT_EQ (Plan (options, all, 2).action, BR_DRAIN_MOVE);
  EXPECT_EQ (Plan (options, all, 3).action, BR_DRAIN_EXPORT);
  EXPECT_EQ (Plan (options, all, 4).action, BR_DRAIN_FINISH);
  /* The exports do not overlap and end before the upstream does. */
  EXPECT_LE (Plan (options, all, 3).at_ms + 1501, Plan (options, all, 1).at_ms);
  EXPECT_LE (Plan (options, all, 1).at_ms + 3001, 5000);
}

TEST (Drain, WorkNotStartedMovesAtOnceWithoutCost)
{
  br_drain_work_t queued = Work (1, 2000, 2000, 10, 20);
  queued.started = false;
  br_drain_work_t work = Plan ({ 5000, 28, 1000, 0 }, { queued }, 1);
  EXPECT_EQ (work.action, BR_DRAIN_MOVE);
  EXPECT_EQ (work.recomputed, 0u);
}

} // namespace
