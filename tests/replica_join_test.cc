/* Checks that an empty VM joins the log through the VMs that it knows, whatever
 * these are, and what it reports until then. */
#include "replica_sim.h"

/* The platform's bound CatchUpS. */
#define CATCH_UP_MS 4000

static sim_options
four_voters (uint64_t seed = 1)
{
  sim_options options;

  options.vms = options.voters = 4;
  options.seed = seed;
  return options;
}

static br_replica_standing_t
standing (replica_sim &sim, size_t i)
{
  return br_replica_standing (sim.vm (i).replica);
}

/* Returns the VMs that are up and do not lead. */
static std::vector<size_t>
followers (replica_sim &sim, size_t vms)
{
  std::vector<size_t> found;

  for (size_t i = 0; i < vms; i++)
    if (sim.vm (i).up && (int)i != sim.find_leader ())
      found.push_back (i);
  return found;
}

TEST (ReplicaJoin, ThroughVmsThatDoNotLead)
{
  replica_sim sim (four_voters ());

  ASSERT_GE (sim.run_to_leader (), 0);
  size_t last = sim.add ({ followers (sim, 4)[0] });
  sim.run (300);
  EXPECT_TRUE (sim.is_voter (last)) << sim.describe ();
  sim.propose (last);
  sim.read (last);
  sim.run (300);
  EXPECT_EQ (sim.reads_done, 1u);
  sim.check_outcomes ();
}

TEST (ReplicaJoin, SaysWhatItWaitsFor)
{
  replica_sim sim (four_voters ());

  ASSERT_GE (sim.run_to_leader (), 0);
  size_t leader = (size_t)sim.find_leader ();
  size_t known = followers (sim, 4)[0];
  size_t empty = sim.add ({});
  size_t last = sim.add ({ empty });
  sim.crash (empty);
  sim.run (1000);
  EXPECT_EQ (standing (sim, last), BR_STANDING_UNANSWERED);
  sim.start (empty);
  sim.run (200);
  EXPECT_EQ (standing (sim, last), BR_STANDING_NO_LOG);
  sim.cut (leader, last, true);
  sim.set_seeds (last, { known });
  sim.run (200);
  EXPECT_EQ (standing (sim, last), BR_STANDING_LEADER_SILENT);
  EXPECT_STREQ (br_replica_named_leader (sim.vm (last).replica)->data,
                sim.vm (leader).name.data);
  for (size_t i = 0; i < 4; i++)
    if (i != known)
      sim.crash (i);
  sim.run (3000);
  EXPECT_EQ (standing (sim, last), BR_STANDING_NO_LEADER);
  for (size_t i = 0; i < 4; i++)
    if (i != known)
      sim.start (i);
  sim.cut (leader, last, false);
  sim.run (CATCH_UP_MS);
  EXPECT_EQ (standing (sim, last), BR_STANDING_VOTER) << sim.describe ();
}

TEST (ReplicaJoin, SeedsAreAllGoneUntilTheSettingsChange)
{
  replica_sim sim (four_voters ());

  ASSERT_GE (sim.run_to_leader (), 0);
  size_t gone = sim.add ({ 0 });
  sim.run (300);
  sim.crash (gone);
  size_t last = sim.add ({ gone });
  sim.run (CATCH_UP_MS);
  EXPECT_EQ (standing (sim, last), BR_STANDING_UNANSWERED);
  sim.set_seeds (last, { gone, followers (sim, 4)[1] });
  sim.run (500);
  EXPECT_TRUE (sim.is_voter (last)) << sim.describe ();
}

/* A VM that was down while all VMs that it knew were replaced joins again
 * through its settings. */
TEST (ReplicaJoin, ReturnsAfterAllThatItKnewAreGone)
{
  sim_options options = four_voters ();

  options.remove_unreachable_ms = 1000;
  replica_sim sim (options);
  ASSERT_GE (sim.run_to_leader (), 0);
  sim.crash (0);
  std::vector<size_t> up = { 1, 2, 3 };
  for (size_t i = 1; i < 4; i++)
    {
      up.push_back (sim.add (up));
      sim.run (CATCH_UP_MS);
      sim.crash (i);
      up.erase (up.begin ());
      sim.run (CATCH_UP_MS);
    }
  ASSERT_GE (sim.find_leader (), 0) << sim.describe ();
  size_t known = followers (sim, 7)[0];
  sim.start (0);
  sim.set_seeds (0, { known });
  sim.run (CATCH_UP_MS);
  EXPECT_TRUE (sim.is_voter (0)) << sim.describe ();
  sim.check_outcomes ();
}

TEST (ReplicaJoin, WhileTheLeaderChanges)
{
  for (uint64_t seed = 1; seed <= 200 && !HasFailure (); seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      sim_options options = four_voters (seed);

      options.drop = 0.05 * (double)(seed % 3);
      options.delay_max = 1 + (br_ms_t)(seed % 5) * 8;
      options.compact_after = seed % 2 ? 5 : 0;
      replica_sim sim (options);
      ASSERT_GE (sim.run_to_leader (), 0);
      for (size_t i = 0; i < 8; i++)
        sim.propose (i % 4);
      sim.run ((br_ms_t)br_random_below (sim.random (), 200));
      size_t leader = (size_t)sim.find_leader ();
      std::vector<size_t> seeds = followers (sim, 4);
      size_t last = sim.add ({ seeds[seed % seeds.size ()] });
      sim.run ((br_ms_t)br_random_below (sim.random (), 150));
      if (seed % 2)
        sim.freeze (leader, true);
      else
        sim.crash (leader);
      sim.run ((br_ms_t)br_random_below (sim.random (), 2000));
      if (seed % 2)
        sim.freeze (leader, false);
      else
        sim.start (leader);
      sim.run (CATCH_UP_MS);
      EXPECT_TRUE (sim.is_voter (last)) << sim.describe ();
      sim.check_outcomes ();
    }
}

/* A VM that was removed while it was away, and reaches none of the VMs that it
 * knows, must not report that it has a vote: an operator sees nothing else. */
TEST (ReplicaJoin, RemovedWhileAwayDoesNotReportAVote)
{
  sim_options options = four_voters ();

  options.remove_unreachable_ms = 1000;
  replica_sim sim (options);
  ASSERT_GE (sim.run_to_leader (), 0);
  sim.crash (0);
  std::vector<size_t> up = { 1, 2, 3 };
  for (size_t i = 1; i < 4; i++)
    {
      up.push_back (sim.add (up));
      sim.run (CATCH_UP_MS);
      sim.crash (i);
      up.erase (up.begin ());
      sim.run (CATCH_UP_MS);
    }
  ASSERT_GE (sim.find_leader (), 0) << sim.describe ();
  sim.start (0);
  sim.run (20000);
  EXPECT_NE (standing (sim, 0), BR_STANDING_VOTER)
      << "outside for 20 s, and it says that it has a vote\n"
      << sim.describe ();
}

/* The VM is wiped and its settings name only VMs that are gone; those that send
 * to its former disk let it in. */
TEST (ReplicaJoin, WipedWithSeedsThatAreGone)
{
  for (uint64_t seed = 1; seed <= 50 && !HasFailure (); seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      sim_options options = four_voters (seed);

      options.heartbeat_ms = 80;
      options.election_min_ms = 320;
      options.election_max_ms = 640;
      options.remove_unreachable_ms = 3000;
      options.replace_silent_ms = 1000;
      replica_sim sim (options);
      ASSERT_GE (sim.run_to_leader (), 0);
      size_t gone = sim.add ({ 0 });
      sim.run (500);
      sim.crash (gone);
      sim.run (4000);
      size_t wiped
          = seed % 2 ? (size_t)sim.find_leader () : followers (sim, 4)[0];
      sim.crash (wiped);
      sim.wipe (wiped);
      sim.vm (wiped).joins = true;
      sim.set_seeds (wiped, { gone });
      sim.run (200 + (br_ms_t)br_random_below (sim.random (), 1000));
      sim.start (wiped);
      sim.run (CATCH_UP_MS);
      EXPECT_TRUE (sim.is_voter (wiped)) << sim.describe ();
    }
}

/* Half of the VMs are cut off for seconds, then another half, a second later:
 * the half with more VMs must go on each time. */
TEST (ReplicaJoin, HalvesCutOneAfterTheOther)
{
  const size_t sites[][2] = { { 5, 1 }, { 5, 2 }, { 6, 2 }, { 7, 2 },
                              { 8, 2 }, { 9, 2 }, { 9, 1 } };

  for (uint64_t seed = 1; seed <= 40 && !HasFailure (); seed++)
    for (const auto &site : sites)
      {
        SCOPED_TRACE ("seed " + std::to_string (seed) + " VMs "
                      + std::to_string (site[0]) + " losses "
                      + std::to_string (site[1]));
        sim_options options;

        options.vms = options.voters = site[0];
        options.seed = seed;
        options.heartbeat_ms = 80;
        options.election_min_ms = 320;
        options.election_max_ms = 640;
        options.remove_unreachable_ms = 3000;
        options.replace_silent_ms = 1000;
        options.voters_min = 2 * site[1] + 1;
        options.delay_max = 1 + (br_ms_t)(seed % 4) * 3;
        replica_sim sim (options);
        ASSERT_GE (sim.run_to_leader (), 0);
        for (int round = 0; round < 4; round++)
          {
            std::vector<size_t> order;

            for (size_t i = 0; i < site[0]; i++)
              order.push_back (i);
            for (size_t i = site[0]; i > 1; i--)
              std::swap (order[i - 1],
                         order[br_random_below (sim.random (), i)]);
            size_t larger = site[0] / 2 + 1;
            auto cut = [&] (bool is_cut) {
              for (size_t i = 0; i < larger; i++)
                for (size_t j = larger; j < site[0]; j++)
                  {
                    sim.cut (order[i], order[j], is_cut);
                    sim.cut (order[j], order[i], is_cut);
                  }
            };
            cut (true);
            sim.run (4000 + (br_ms_t)br_random_below (sim.random (), 3000));
            size_t n = sim.propose (order[0]);
            sim.run (1000);
            EXPECT_EQ (sim.proposals ()[n].outcome, SIM_COMMITTED)
                << "round " << round << "\n"
                << sim.describe ();
            cut (false);
            sim.run (1000);
          }
        sim.run (CATCH_UP_MS);
        for (size_t i = 0; i < site[0]; i++)
          EXPECT_TRUE (sim.is_voter (i)) << sim.describe ();
        sim.check_outcomes ();
      }
}

/* "A voter that is gone goes first, so that the majority does not grow"
 * (membership.c, design/platform.md): also if its successor comes at once. */
TEST (ReplicaJoin, SuccessorThatComesAtOnceDoesNotGrowTheMajority)
{
  sim_options options = four_voters ();

  options.heartbeat_ms = 80;
  options.election_min_ms = 320;
  options.election_max_ms = 640;
  options.remove_unreachable_ms = 3000;
  options.replace_silent_ms = 1000;
  replica_sim sim (options);
  ASSERT_GE (sim.run_to_leader (), 0);
  size_t leader = (size_t)sim.find_leader ();
  sim.crash (followers (sim, 4)[0]);
  sim.run (200);
  sim.add ({ leader });
  br_ms_t began = sim.now ();
  br_ms_t grown = 0;
  for (int i = 0; i < 500; i++)
    {
      sim.run (10);
      const br_config_t *config
          = br_replica_log_config (br_replica_log (sim.vm (leader).replica));

      grown += br_config_voters (config) > 4 ? 10 : 0;
    }
  EXPECT_EQ (grown, 0) << "five voters, one of them gone, for " << grown
                       << " ms of " << sim.now () - began;
}
