/* Fixture of seven memberships on a bus, run with many seeds, and helpers that
 * count their views and events. */
#ifndef BR_TESTS_DOMAIN_FIXTURE_H
#define BR_TESTS_DOMAIN_FIXTURE_H

#include <gtest/gtest.h>

#include "domain_bus.h"

#define SEEDS 200

/* Counts the views of OF by the other live VMs that are not in STATE. */
static inline int
count_views_not_in (const bus_t *bus, int of, br_vm_state_t state)
{
  int n = 0;

  for (int by = 0; by < bus->n; by++)
    if (by != of && !bus->dead[by] && bus_view (bus, of, by)->vm.state != state)
      n++;
  return n;
}

static inline int
count_views_not_up (const bus_t *bus)
{
  int n = 0;

  for (int of = 0; of < bus->n; of++)
    if (!bus->dead[of])
      n += count_views_not_in (bus, of, BR_VM_UP);
  return n;
}

static inline int
count_events_of (const bus_t *bus, br_vm_state_t state)
{
  int n = 0;

  for (size_t i = 0; i < bus->events.len; i++)
    n += bus->events.items[i].output.kind == BR_MEMBERSHIP_VM
         && bus->events.items[i].output.vm.state == state;
  return n;
}

static inline br_notice_t
notice_make (const char *name, uint64_t incarnation, br_ms_t now)
{
  br_notice_t notice = {};

  notice.kind = BR_NOTICE_UPSTREAM_LEAVING;
  notice.name = br_name_from (name);
  notice.incarnation = incarnation;
  notice.expires_ms = now + BR_NOTICE_LIFE_MS;
  return notice;
}

static inline int
count_vms_with_notices (const bus_t *bus)
{
  bool has_notice[BUS_VMS_MAX] = {};
  int n = 0;

  for (size_t i = 0; i < bus->events.len; i++)
    if (bus->events.items[i].output.kind == BR_MEMBERSHIP_NOTICE)
      has_notice[bus->events.items[i].from] = true;
  for (int i = 0; i < bus->n; i++)
    n += has_notice[i];
  return n;
}

class Seeded : public testing::TestWithParam<int>
{
protected:
  bus_t *bus = bus_new (7, (uint64_t)GetParam () * 7919 + 1);

  void
  SetUp () override
  {
    bus_run (bus, 3000);
    ASSERT_EQ (count_views_not_up (bus), 0);
    bus_events_clear (&bus->events);
  }

  void
  TearDown () override
  {
    bus_free (bus);
  }
};

INSTANTIATE_TEST_SUITE_P (Seeds, Seeded, testing::Range (0, SEEDS));

#endif
