#include <gtest/gtest.h>

#include "upstream/registry.h"

static br_upstream_t
upstream_make (const char *name, uint64_t incarnation)
{
  br_upstream_t upstream = {};

  upstream.name = br_name_from (name);
  upstream.incarnation = incarnation;
  return upstream;
}

static br_upstream_state_t
state_of (br_registry_t *registry, const char *name)
{
  return br_registry_find (registry, br_str_from (name))->state;
}

TEST (Registry, StaleListDoesNotUndoLeaving)
{
  br_registry_t registry = {};

  br_registry_put (&registry, upstream_make ("e1", 7));
  EXPECT_TRUE (br_registry_leave (&registry, br_str_from ("e1"), 7, 100));
  EXPECT_FALSE (br_registry_leave (&registry, br_str_from ("e1"), 7, 200));
  br_registry_put (&registry, upstream_make ("e1", 7));
  EXPECT_EQ (state_of (&registry, "e1"), BR_UPSTREAM_LEAVING);
  br_registry_put (&registry, upstream_make ("e1", 6));
  EXPECT_EQ (state_of (&registry, "e1"), BR_UPSTREAM_LEAVING);
  br_registry_put (&registry, upstream_make ("e1", 8));
  EXPECT_EQ (state_of (&registry, "e1"), BR_UPSTREAM_LIVE);
  br_registry_release (&registry);
}

TEST (Registry, NoticeBeforeTheListMarksAsLeaving)
{
  br_registry_t registry = {};

  br_registry_leave (&registry, br_str_from ("e2"), 3, 0);
  br_registry_put (&registry, upstream_make ("e2", 3));
  EXPECT_EQ (state_of (&registry, "e2"), BR_UPSTREAM_LEAVING);
  br_registry_release (&registry);
}

TEST (Registry, RemovedUpstreamIsFreedOnceNothingIsInFlight)
{
  br_registry_t registry = {};
  br_upstream_t *e1 = br_registry_put (&registry, upstream_make ("e1", 1));

  e1->in_flight = 1;
  br_upstream_set_removed (e1, true, 5);
  br_registry_sweep (&registry);
  EXPECT_EQ (state_of (&registry, "e1"), BR_UPSTREAM_LEAVING);
  e1->in_flight = 0;
  br_registry_sweep (&registry);
  EXPECT_EQ (br_registry_find (&registry, br_str_from ("e1")), nullptr);
  br_registry_release (&registry);
}

TEST (Registry, OlderLoadReportIsIgnored)
{
  br_upstream_t upstream = upstream_make ("e1", 1);
  br_load_t load = {};

  load.taken_ms = 50;
  load.running = 4;
  EXPECT_TRUE (br_upstream_set_load (&upstream, &load));
  load.taken_ms = 40;
  load.running = 9;
  EXPECT_FALSE (br_upstream_set_load (&upstream, &load));
  EXPECT_EQ (upstream.load.running, 4u);
}

TEST (Registry, DownAndUpAgain)
{
  br_upstream_t upstream = upstream_make ("e1", 1);

  EXPECT_TRUE (br_upstream_set_down (&upstream, true, 10));
  EXPECT_FALSE (br_upstream_set_down (&upstream, true, 11));
  EXPECT_EQ (upstream.state, BR_UPSTREAM_DOWN);
  EXPECT_EQ (upstream.state_ms, 10);
  EXPECT_TRUE (br_upstream_set_down (&upstream, false, 12));
  EXPECT_EQ (upstream.state, BR_UPSTREAM_LIVE);
}
