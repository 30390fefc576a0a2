#include <algorithm>
#include <string>
#include <vector>

#include "support/domain_fixture.h"

TEST_P (Seeded, OneWayCutOfAPairMarksNoVmDown)
{
  bus->cut[1][2] = true;
  bus_run (bus, 60000);
  EXPECT_EQ (count_events_of (bus, BR_VM_DOWN), 0);
  EXPECT_EQ (bus_view (bus, 2, 1)->link.kind, BR_LINK_INBOUND_ONLY);
  EXPECT_EQ (bus_view (bus, 1, 2)->link.kind, BR_LINK_OUTBOUND_ONLY);
}

TEST_P (Seeded, FullCutOfAPairMarksNoVmDown)
{
  bus->cut[1][2] = bus->cut[2][1] = true;
  bus_run (bus, 60000);
  EXPECT_EQ (count_events_of (bus, BR_VM_DOWN), 0);
  EXPECT_EQ (bus_view (bus, 2, 1)->link.kind, BR_LINK_DOWN);
}

TEST_P (Seeded, OneWayCutOfADomainIsDetectedAndHeals)
{
  for (int a = 0; a < 3; a++)
    for (int b = 3; b < 7; b++)
      bus->cut[a][b] = true;
  bus_run (bus, 30000);
  for (int a = 0; a < 3; a++)
    for (int b = 3; b < 7; b++)
      EXPECT_EQ (bus_view (bus, b, a)->link.kind, BR_LINK_INBOUND_ONLY);
  memset (bus->cut, 0, sizeof bus->cut);
  bus_run (bus, 20000);
  EXPECT_EQ (count_views_not_up (bus), 0);
}

TEST_P (Seeded, OneWayCutBetweenDomainsThatAThirdReachesMarksNoVmDown)
{
  for (int a = 0; a < 2; a++)
    for (int b = 2; b < 4; b++)
      bus->cut[a][b] = true;
  bus_run (bus, 60000);
  EXPECT_EQ (count_events_of (bus, BR_VM_DOWN), 0);
}

TEST_P (Seeded, IsolatedDomainKeepsItsViewsAndHeals)
{
  for (int a = 0; a < 2; a++)
    for (int b = 2; b < 7; b++)
      bus->cut[a][b] = bus->cut[b][a] = true;
  bus_run (bus, 60000);
  EXPECT_EQ (bus_view (bus, 1, 0)->vm.state, BR_VM_UP);
  EXPECT_EQ (bus_view (bus, 5, 0)->vm.state, BR_VM_DOWN);
  EXPECT_EQ (bus_view (bus, 0, 5)->vm.state, BR_VM_DOWN);
  memset (bus->cut, 0, sizeof bus->cut);
  bus_run (bus, 20000);
  EXPECT_EQ (count_views_not_up (bus), 0);
}

TEST_P (Seeded, NoticeOnOneSideOfACutReachesTheOtherWhenItHeals)
{
  br_notice_t notice = notice_make ("e1", 5, bus->now);

  for (int a = 0; a < 2; a++)
    for (int b = 2; b < 7; b++)
      bus->cut[a][b] = bus->cut[b][a] = true;
  bus_run (bus, 5000);
  br_membership_announce (bus->vms[0], &notice, bus->now);
  bus_drain (bus, 0);
  bus_run (bus, 60000);
  EXPECT_EQ (count_vms_with_notices (bus), 2);
  memset (bus->cut, 0, sizeof bus->cut);
  bus_run (bus, 10000);
  EXPECT_EQ (count_vms_with_notices (bus), 7);
}

#define BURST 300

/* Returns the smallest number of notices that any VM has received. */
static int
fewest_notices (const bus_t *bus)
{
  std::vector<int> counts ((size_t)bus->n);

  for (size_t i = 0; i < bus->events.len; i++)
    if (bus->events.items[i].output.kind == BR_MEMBERSHIP_NOTICE)
      counts[(size_t)bus->events.items[i].from]++;
  return *std::min_element (counts.begin (), counts.end ());
}

static void
announce_burst (bus_t *bus, int at)
{
  for (int i = 0; i < BURST; i++)
    {
      std::string name = "e" + std::to_string (i);
      br_notice_t notice = notice_make (name.c_str (), 5, bus->now);

      br_membership_announce (bus->vms[at], &notice, bus->now);
    }
  bus_drain (bus, at);
}

TEST_P (Seeded, BurstOfNoticesReachesAllVmsWithinThreeSeconds)
{
  bus->loss = 0.05;
  announce_burst (bus, 4);
  bus_run (bus, 3000);
  EXPECT_EQ (fewest_notices (bus), BURST);
}

TEST_P (Seeded, BurstOfNoticesReachesTheOtherSideWhenACutHeals)
{
  for (int a = 0; a < 2; a++)
    for (int b = 2; b < 7; b++)
      bus->cut[a][b] = bus->cut[b][a] = true;
  announce_burst (bus, 0);
  bus_run (bus, 30000);
  EXPECT_EQ (fewest_notices (bus), 0);
  memset (bus->cut, 0, sizeof bus->cut);
  bus_run (bus, 15000);
  EXPECT_EQ (fewest_notices (bus), BURST);
}
