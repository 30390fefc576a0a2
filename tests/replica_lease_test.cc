/* Checks that two VMs never hold the lease at the same time. */
#include "replica_sim.h"

static void
check_leases (replica_sim &sim)
{
  size_t leases = 0;

  for (size_t i = 0; i < sim.vms (); i++)
    leases += br_replica_has_lease (sim.vm (i).replica, sim.now ());
  EXPECT_LE (leases, 1u) << sim.describe ();
}

/* Links are cut and restored in one direction, and VMs are cut off. */
TEST (ReplicaLease, LinksAreCut)
{
  for (uint64_t seed = 1; seed <= 60 && !HasFailure (); seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      sim_options options;
      size_t vms = seed % 2 == 0 ? 3 : 5;

      options.vms = options.voters = vms;
      options.seed = seed;
      options.delay_max = 20;
      replica_sim sim (options);
      ASSERT_GE (sim.run_to_leader (), 0);
      for (int step = 0; step < 6000 && !HasFailure (); step++)
        {
          size_t i = br_random_below (sim.random (), vms);
          size_t j = br_random_below (sim.random (), vms);

          if (br_random_below (sim.random (), 40) == 0 && i != j)
            sim.cut (i, j, br_random_below (sim.random (), 2) == 0);
          if (br_random_below (sim.random (), 400) == 0)
            sim.isolate (i, true);
          if (br_random_below (sim.random (), 200) == 0)
            sim.isolate (i, false);
          sim.run (1);
          check_leases (sim);
        }
    }
}

/* The leader hands over and is cut off before it knows that it has. */
TEST (ReplicaLease, LeaderIsCutOffWhileItHandsOver)
{
  sim_options options;
  replica_sim sim (options);
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  sim.run (300);
  ASSERT_TRUE (
      br_replica_transfer (sim.vm ((size_t)leader).replica, sim.now ()));
  for (size_t i = 0; i < 3; i++)
    sim.cut (i, (size_t)leader, true);
  for (int step = 0; step < 400 && !HasFailure (); step++)
    {
      sim.run (1);
      check_leases (sim);
    }
}

/* The connections of the leader are reset, and it cannot be reached after
 * that. */
TEST (ReplicaLease, ConnectionsOfTheLeaderAreLost)
{
  for (uint64_t seed = 1; seed <= 20 && !HasFailure (); seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      sim_options options;

      options.seed = seed;
      options.lease_is_used = true;
      replica_sim sim (options);
      int leader = sim.run_to_leader ();

      ASSERT_GE (leader, 0);
      sim.run (300);
      sim.isolate ((size_t)leader, true);
      for (size_t i = 0; i < 3; i++)
        if (i != (size_t)leader)
          sim.suspect (i, (size_t)leader);
      for (int step = 0; step < 400 && !HasFailure (); step++)
        {
          sim.run (1);
          check_leases (sim);
        }
    }
}
