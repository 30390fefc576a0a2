/* Pauses of a process, as on a machine that has too few processors, are not
 * silence of the others. */
#include "replica_sim.h"

static size_t
leaders (replica_sim &sim)
{
  size_t n = 0;

  for (size_t i = 0; i < 3; i++)
    n += br_replica_has_lease (sim.vm (i).replica, sim.now ())
         && !sim.vm (i).frozen;
  return n;
}

static uint64_t
term_of (replica_sim &sim, int i)
{
  return br_replica_term (sim.vm ((size_t)i).replica);
}

/* All VMs pause for PAUSE_MS. */
static void
pause_all (br_ms_t pause_ms)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  uint64_t term = term_of (sim, leader);
  sim.run (100);
  for (size_t i = 0; i < 3; i++)
    sim.freeze (i, true);
  sim.run (pause_ms);
  /* It may not act before it knows that it still leads. */
  EXPECT_FALSE (
      br_replica_has_lease (sim.vm ((size_t)leader).replica, sim.now ()));
  for (size_t i = 0; i < 3; i++)
    sim.freeze (i, false);
  sim.propose ((size_t)leader);
  sim.read ((size_t)leader);
  EXPECT_EQ (sim.reads_done, 0u);
  sim.run (30);
  EXPECT_TRUE (
      br_replica_has_lease (sim.vm ((size_t)leader).replica, sim.now ()));
  EXPECT_EQ (sim.proposals ()[0].outcome, SIM_COMMITTED);
  EXPECT_EQ (sim.reads_done, 1u);
  sim.run (1000);
  EXPECT_EQ (sim.find_leader (), leader);
  EXPECT_EQ (term_of (sim, leader), term);
  sim.check_outcomes ();
}

TEST (ReplicaPause, AllPauseAndTheLeaderStays) { pause_all (300); }

/* Longer than the longest election timeout. */
TEST (ReplicaPause, AllPauseForLongAndTheLeaderStays) { pause_all (500); }

TEST (ReplicaPause, FollowersPauseAndTheLeaderStays)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  uint64_t term = term_of (sim, leader);
  sim.run (100);
  for (int i = 0; i < 3; i++)
    sim.freeze ((size_t)i, i != leader);
  sim.run (300);
  EXPECT_EQ (leaders (sim), 0u);
  for (size_t i = 0; i < 3; i++)
    sim.freeze (i, false);
  sim.run (1000);
  EXPECT_EQ (sim.find_leader (), leader);
  EXPECT_EQ (term_of (sim, leader), term);
}

/* The timer of a follower may run before the heartbeats that waited are
 * read. */
TEST (ReplicaPause, FollowerReadsBeforeItStartsAnElection)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  size_t other = ((size_t)leader + 1) % 3;
  br_replica_t *replica = sim.vm (other).replica;
  sim.run (100);
  sim.freeze (other, true);
  sim.run (1000);
  sim.freeze (other, false);
  br_replica_tick (replica, sim.now ());
  EXPECT_EQ (br_replica_role (replica), BR_ROLE_FOLLOWER);
  /* Without a heartbeat it does start one. */
  sim.isolate (other, true);
  sim.run (500);
  EXPECT_EQ (br_replica_role (replica), BR_ROLE_PRE_CANDIDATE);
}

TEST (ReplicaPause, LeaderWithoutTheLeaseDoesNothingUntilItIsAnswered)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  br_replica_t *replica = sim.vm ((size_t)leader).replica;
  uint64_t last = br_replica_log_last_index (br_replica_log (replica));
  sim.run (100);
  sim.isolate ((size_t)leader, true);
  sim.run (215);
  EXPECT_FALSE (br_replica_has_lease (replica, sim.now ()));
  sim.propose ((size_t)leader);
  sim.read ((size_t)leader);
  sim.run (20);
  EXPECT_EQ (br_replica_log_last_index (br_replica_log (replica)), last);
  EXPECT_EQ (sim.reads_done, 0u);
  sim.run (300);
  EXPECT_NE (br_replica_role (replica), BR_ROLE_LEADER);
  EXPECT_EQ (sim.proposals ()[0].outcome, SIM_REFUSED);
  sim.isolate ((size_t)leader, false);
  sim.run (2000);
  sim.check_outcomes ();
  sim.check_equal ();
}

TEST (ReplicaPause, NeverTwoLeasesWhileVmsPause)
{
  for (uint64_t seed = 1; seed <= 60; seed++)
    {
      sim_options options;

      options.seed = seed;
      options.delay_max = 20;
      replica_sim sim (options);
      ASSERT_GE (sim.run_to_leader (), 0);
      br_ms_t until[3] = { 0 };
      for (int step = 0; step < 4000 && !HasFailure (); step++)
        {
          size_t i = br_random_below (sim.random (), 3);

          if (br_random_below (sim.random (), 100) == 0 && !sim.vm (i).frozen)
            {
              sim.freeze (i, true);
              until[i]
                  = sim.now () + (br_ms_t)br_random_below (sim.random (), 700);
            }
          for (size_t j = 0; j < 3; j++)
            if (sim.vm (j).frozen && sim.now () >= until[j])
              sim.freeze (j, false);
          if (step % 97 == 0 && !sim.vm (i).frozen)
            {
              sim.propose (i);
              sim.read (i);
            }
          sim.run (1);
          EXPECT_LE (leaders (sim), 1u) << "seed " << seed;
        }
      for (size_t j = 0; j < 3; j++)
        sim.freeze (j, false);
      sim.run (3000);
      sim.check_outcomes ();
      sim.check_equal ();
    }
}
