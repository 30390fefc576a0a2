/* Checks that two VMs never hold the lease at the same time if
 * connections are reset. */
#include "replica_sim.h"

static void
check_leases (replica_sim &sim)
{
  size_t leases = 0;

  for (size_t i = 0; i < sim.vms (); i++)
    leases += br_replica_has_lease (sim.vm (i).replica, sim.now ());
  EXPECT_LE (leases, 1u) << sim.describe ();
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
