/* Tests a voter that gives its vote back before it stops. */
#include "replica_sim.h"

/* Time after which a VM that is back has its vote, in milliseconds: the
 * platform's bound CatchUpS. */
#define CATCH_UP_MS 4000

static sim_options
options (size_t vms)
{
  sim_options options;

  options.vms = options.voters = vms;
  options.heartbeat_ms = 80;
  options.election_min_ms = 320;
  options.election_max_ms = 640;
  options.remove_unreachable_ms = 3000;
  options.replace_silent_ms = 1000;
  return options;
}

TEST (ReplicaLeave, NextLossIsBorneRightAfterTheStop)
{
  replica_sim sim (options (4));
  size_t leader = (size_t)sim.run_to_leader ();
  size_t leaving = (leader + 1) % 4;

  br_replica_leave (sim.vm (leaving).replica);
  sim.run (500);
  EXPECT_FALSE (sim.is_voter (leaving));
  sim.crash (leaving);
  sim.crash ((leader + 2) % 4);
  sim.run (500);
  size_t before = sim.committed ();
  sim.propose (leader);
  sim.run (500);
  EXPECT_GT (sim.committed (), before) << sim.describe ();
  sim.check_outcomes ();
}

TEST (ReplicaLeave, LeaderGivesItsVoteBackAfterTheTransfer)
{
  replica_sim sim (options (4));
  size_t leader = (size_t)sim.run_to_leader ();

  br_replica_leave (sim.vm (leader).replica);
  EXPECT_TRUE (br_replica_transfer (sim.vm (leader).replica, sim.now ()));
  sim.run (700);
  EXPECT_NE (sim.find_leader (), (int)leader);
  EXPECT_FALSE (sim.is_voter (leader)) << sim.describe ();
}

TEST (ReplicaLeave, VoteStaysWhileTooFewOthersHaveOne)
{
  replica_sim sim (options (3));
  size_t leader = (size_t)sim.run_to_leader ();
  size_t leaving = (leader + 1) % 3;

  br_replica_leave (sim.vm (leaving).replica);
  sim.run (3000);
  EXPECT_TRUE (sim.is_voter (leaving)) << sim.describe ();
}

/* Messages of the stopped process and the first ones of the new one may be
 * lost. */
TEST (ReplicaLeave, VmThatIsBackGetsItsVoteAgain)
{
  for (uint64_t seed = 1; seed <= 200 && !HasFailure (); seed++)
    for (br_ms_t away_ms : { 10, 200, 2000, 12000 })
      {
        sim_options lossy = options (4);

        lossy.seed = seed;
        lossy.drop = 0.2;
        lossy.delay_max = 20;
        replica_sim sim (lossy);
        size_t leaving = (size_t)sim.run_to_leader ();

        leaving = (leaving + seed % 2) % 4;
        br_replica_transfer (sim.vm (leaving).replica, sim.now ());
        br_replica_leave (sim.vm (leaving).replica);
        sim.run ((br_ms_t)(seed % 10) * 100);
        sim.crash (leaving);
        sim.run (away_ms);
        sim.start (leaving);
        sim.run (300);
        sim.set_drop (0);
        sim.run (CATCH_UP_MS);
        EXPECT_TRUE (sim.is_voter (leaving))
            << "seed " << seed << ", away " << away_ms << "\n"
            << sim.describe ();
      }
}

/* Two of five VMs are gone and not removed yet.  The one that leaves still runs
 * and belongs to every majority. */
TEST (ReplicaLeave, VoteStaysWhileTheMajorityNeedsIt)
{
  replica_sim sim (options (5));
  size_t leader = (size_t)sim.run_to_leader ();

  sim.run (100);
  sim.crash ((leader + 1) % 5);
  sim.crash ((leader + 2) % 5);
  sim.run (300);
  br_replica_leave (sim.vm ((leader + 3) % 5).replica);
  sim.run (500);
  size_t before = sim.committed ();
  sim.propose (leader);
  sim.run (500);
  EXPECT_GT (sim.committed (), before) << sim.describe ();
  /* The voters that are gone are removed first. */
  sim.run (4000);
  sim.crash ((leader + 3) % 5);
  sim.run (1000);
  before = sim.committed ();
  sim.propose (leader);
  sim.run (500);
  EXPECT_GT (sim.committed (), before) << sim.describe ();
}

/* Two of four VMs stop at the same time, each asking in every tick. */
TEST (ReplicaLeave, LeaderIsNotHandedToAndFro)
{
  for (uint64_t seed = 1; seed <= 20 && !HasFailure (); seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      sim_options four = options (4);

      four.seed = seed;
      replica_sim sim (four);
      size_t first = (size_t)sim.run_to_leader ();
      size_t second = (first + 1 + seed % 3) % 4;

      sim.run (100);
      uint64_t term = br_replica_term (sim.vm (first).replica);
      for (int tick = 0; tick < 40; tick++)
        {
          for (size_t i : { first, second })
            {
              br_replica_leave (sim.vm (i).replica);
              br_replica_transfer (sim.vm (i).replica, sim.now ());
            }
          sim.run (25);
        }
      uint64_t last = br_replica_term (sim.vm (first).replica);
      EXPECT_LE (last - term, 2u) << sim.describe ();
      size_t before = sim.committed ();
      sim.propose (second);
      sim.run (300);
      EXPECT_GT (sim.committed (), before) << sim.describe ();
    }
}
