#include "support/domain_fixture.h"

TEST_P (Seeded, DeadVmIsMarkedDownByAll)
{
  bus->dead[3] = true;
  bus_run (bus, 10000);
  EXPECT_EQ (count_views_not_in (bus, 3, BR_VM_DOWN), 0);
  EXPECT_EQ (count_views_not_up (bus), 0);
}

TEST_P (Seeded, LossAndDuplicationMarkNoVmDown)
{
  bus->loss = 0.1;
  bus->duplicated = 0.3;
  bus_run (bus, 60000);
  EXPECT_EQ (count_events_of (bus, BR_VM_DOWN), 0);
}

TEST_P (Seeded, NoticeReachesAllVmsWithinASecondUnderLoss)
{
  br_notice_t notice = notice_make ("e1", 5, bus->now);

  bus->loss = 0.1;
  br_membership_announce (bus->vms[4], &notice, bus->now);
  bus_drain (bus, 4);
  bus_run (bus, 3000);
  EXPECT_EQ (count_vms_with_notices (bus), 7);
}

TEST_P (Seeded, RestartedVmHasAHigherIncarnation)
{
  bus->dead[2] = true;
  bus_run (bus, (br_ms_t)(GetParam () % 9) * 1000);
  bus_start (bus, 2, BUS_INCARNATION + 1);
  bus_link_up (bus, 2);
  bus_run (bus, 15000);
  for (int by = 0; by < bus->n; by++)
    if (by != 2)
      {
        EXPECT_EQ (bus_view (bus, 2, by)->vm.incarnation, BUS_INCARNATION + 1);
        EXPECT_EQ (bus_view (bus, 2, by)->vm.state, BR_VM_UP);
      }
}

TEST_P (Seeded, LeavingIsStickyUntilTheNextIncarnation)
{
  br_notice_t notice = notice_make ("vm-002", BUS_INCARNATION, bus->now);

  notice.kind = BR_NOTICE_VM_LEAVING;
  br_membership_announce (bus->vms[5], &notice, bus->now);
  bus_drain (bus, 5);
  bus_run (bus, 5000);
  for (int by = 0; by < bus->n; by++)
    {
      if (by != 2)
        {
          EXPECT_TRUE (bus_view (bus, 2, by)->vm.leaving);
        }
    }
  EXPECT_TRUE (br_membership_is_leaving (bus->vms[2]));
  bus_start (bus, 2, BUS_INCARNATION + 1);
  bus_link_up (bus, 2);
  bus_run (bus, 10000);
  for (int by = 0; by < bus->n; by++)
    {
      if (by != 2)
        {
          EXPECT_FALSE (bus_view (bus, 2, by)->vm.leaving);
        }
    }
  EXPECT_FALSE (br_membership_is_leaving (bus->vms[2]));
}

TEST_P (Seeded, ResumedVmMarksNoOtherVmDown)
{
  bus->frozen[3] = true;
  bus_run (bus, 20000);
  EXPECT_EQ (count_views_not_in (bus, 3, BR_VM_DOWN), 0);
  bus->frozen[3] = false;
  bus_run (bus, 20000);
  EXPECT_EQ (count_views_not_up (bus), 0);
  for (size_t i = 0; i < bus->events.len; i++)
    {
      const bus_event_t *event = &bus->events.items[i];

      if (event->from == 3 && event->output.kind == BR_MEMBERSHIP_VM)
        {
          EXPECT_NE (event->output.vm.state, BR_VM_DOWN);
        }
    }
}

TEST (Merge, OrderAndNumberOfViewsDoNotMatter)
{
  br_random_t random;

  br_random_seed (&random, 42);
  for (int round = 0; round < 10000; round++)
    {
      br_vm_t views[3] = {};
      br_vm_t a;
      br_vm_t b;

      for (br_vm_t &view : views)
        {
          view.name = br_name_from ("x");
          view.incarnation = br_random_below (&random, 3);
          view.version = (uint32_t)br_random_below (&random, 3);
          view.state = (br_vm_state_t)br_random_below (&random, 3);
          view.leaving = br_random_below (&random, 2) == 1;
        }
      a = views[0];
      br_vm_merge (&a, &views[1]);
      br_vm_merge (&a, &views[2]);
      b = views[2];
      br_vm_merge (&b, &views[0]);
      br_vm_merge (&b, &views[1]);
      EXPECT_FALSE (br_vm_merge (&b, &views[0]));
      EXPECT_EQ (a.incarnation, b.incarnation);
      EXPECT_EQ (a.version, b.version);
      EXPECT_EQ (a.state, b.state);
      EXPECT_EQ (a.leaving, b.leaving);
    }
}

TEST (Message, MutatedBytesAreRefusedOrBounded)
{
  bus_t *bus = bus_new (4, 9);
  br_random_t random;

  br_random_seed (&random, 7);
  bus_run (bus, 1000);
  for (int round = 0; round < 20000; round++)
    {
      br_domain_message_t message = {};
      br_buf_t bytes = {};
      br_error_t err = {};

      message.n_vms = 2;
      message.vms[0].name = bus_name (1);
      message.vms[1].name = bus_name (2);
      message.n_notices = 1;
      message.notices[0] = notice_make ("e1", 1, 50);
      br_domain_message_pack (&message, 0, &bytes);
      for (int i = 0; i < 3; i++)
        bytes.data[br_random_below (&random, bytes.len)]
            = (char)br_random_below (&random, 256);
      if (!br_domain_message_unpack (br_buf_str (&bytes), "vm-001", 0, &message,
                                     &err))
        EXPECT_STREQ (err.peer, "vm-001");
      else
        {
          br_name_t from = bus_name (1);

          br_membership_receive (bus->vms[0], &from, &message, bus->now);
        }
      br_buf_free (&bytes);
    }
  bus_free (bus);
}
