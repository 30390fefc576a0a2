#include "replica_sim.h"

static size_t
count (replica_sim &sim, sim_outcome outcome)
{
  size_t n = 0;

  for (const sim_proposal &proposal : sim.proposals ())
    n += proposal.outcome == outcome;
  return n;
}

/* Returns a replica that is connected to nothing; the test passes it broken
 * messages. */
static br_replica_t *
lone_replica ()
{
  br_replica_options_t options = {};

  options.vm = br_name_from ("vm-1");
  options.disk = 9;
  options.voter = true;
  br_replica_peers_push (&options.peers,
                         br_replica_peer_t{ br_name_from ("vm-0"), true });
  options.heartbeat_ms = 50;
  options.election_min_ms = 200;
  options.election_max_ms = 400;
  options.append_max_bytes = 512;
  options.snapshot_chunk_bytes = 64;
  br_replica_t *replica = br_replica_new (&options, nullptr, 1000);
  br_replica_peers_free (&options.peers);
  return replica;
}

TEST (Replica, SingleVoterCommits)
{
  sim_options options;

  options.vms = options.voters = 1;
  replica_sim sim (options);
  sim.run (20);
  sim.propose (0);
  sim.read (0);
  sim.run (20);
  EXPECT_EQ (count (sim, SIM_COMMITTED), 1u);
  EXPECT_EQ (sim.reads_done, 1u);
}

TEST (Replica, ThreeVotersElectAndCommitFromAnyVm)
{
  replica_sim sim (sim_options{});

  ASSERT_GE (sim.run_to_leader (), 0);
  for (size_t i = 0; i < 30; i++)
    {
      sim.propose (i % 3);
      sim.read (i % 3);
      sim.run (2);
    }
  sim.run (300);
  EXPECT_EQ (count (sim, SIM_COMMITTED), 30u);
  EXPECT_EQ (sim.reads_done, 30u);
  sim.check_outcomes ();
  sim.check_equal ();
}

TEST (Replica, NewLeaderAfterACrash)
{
  replica_sim sim (sim_options{});
  int first = sim.run_to_leader ();

  ASSERT_GE (first, 0);
  sim.crash ((size_t)first);
  sim.run (200);
  int second = sim.run_to_leader ();
  ASSERT_GE (second, 0);
  EXPECT_NE (first, second);
  sim.propose ((size_t)second);
  sim.run (50);
  EXPECT_EQ (count (sim, SIM_COMMITTED), 1u);
}

/* A restarted VM has the saved commit index before there is a leader. */
TEST (Replica, CommitIndexSurvivesARestart)
{
  br_replica_options_t options = {};
  br_replica_saved_t saved = {};
  br_replica_writes_t writes;

  options.vm = br_name_from ("vm-0");
  options.disk = 7;
  options.voter = true;
  options.election_min_ms = 200;
  options.election_max_ms = 400;
  br_replica_t *replica = br_replica_new (&options, nullptr, 1000);
  ASSERT_TRUE (br_replica_take_writes (replica, &writes));
  br_replica_persisted (replica, 1000, writes.change);
  ASSERT_EQ (br_replica_commit_index (replica), writes.last);
  EXPECT_FALSE (br_replica_has_writes (replica));
  br_replica_save_commit (replica);
  ASSERT_TRUE (br_replica_take_writes (replica, &writes));
  ASSERT_TRUE (writes.has_hard_state);
  EXPECT_EQ (writes.hard_state.commit, writes.last);

  saved.hard_state = writes.hard_state;
  for (uint64_t i = 1; i <= writes.last; i++)
    br_entries_push (&saved.entries, br_entry_copy (br_replica_log_entry (
                                         br_replica_log (replica), i)));
  /* The saved commit index is past the last entry on this disk. */
  saved.hard_state.commit++;
  br_replica_peers_push (&options.peers,
                         br_replica_peer_t{ br_name_from ("vm-1"), true });
  br_replica_t *again = br_replica_new (&options, &saved, 2000);
  EXPECT_EQ (br_replica_commit_index (again), writes.last);
  EXPECT_EQ (br_replica_applied_index (again), 0u);
  EXPECT_NE (br_replica_next_committed (again), nullptr);
  br_replica_free (again);
  br_replica_free (replica);
  br_replica_peers_free (&options.peers);
}

TEST (Replica, LostConnectionsStartAnElection)
{
  sim_options options;

  options.vms = 4;
  replica_sim sim (options);
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  size_t a = ((size_t)leader + 1) % 3;
  size_t b = ((size_t)leader + 2) % 3;
  sim.run (100);
  /* A single suspecting voter gets no pre-vote. */
  sim.suspect (a, (size_t)leader);
  sim.run (100);
  EXPECT_EQ (sim.find_leader (), leader);
  sim.crash ((size_t)leader);
  sim.run (5); /* messages in flight arrive */
  sim.suspect (a, (size_t)leader);
  sim.suspect (b, (size_t)leader);
  sim.suspect (3, (size_t)leader);
  sim.propose (3);
  sim.run (150);
  EXPECT_EQ (count (sim, SIM_COMMITTED), 1u) << "through the learner";
  EXPECT_GE (sim.find_leader (), 0) << sim.describe ();
}

TEST (Replica, IsolatedLeaderRefusesWithinASecond)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  sim.isolate ((size_t)leader, true);
  sim.run (500);
  size_t p = sim.propose ((size_t)leader);
  sim.run (400);
  EXPECT_EQ (sim.proposals ()[p].outcome, SIM_REFUSED);
  sim.isolate ((size_t)leader, false);
  sim.run (2000);
  sim.check_outcomes ();
  sim.check_equal ();
}

TEST (Replica, FrozenLeaderStepsDownWhenResumed)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  sim.freeze ((size_t)leader, true);
  sim.run (1000);
  ASSERT_GE (sim.find_leader (), 0);
  sim.propose ((size_t)sim.find_leader ());
  sim.run (100);
  sim.freeze ((size_t)leader, false);
  sim.propose ((size_t)leader);
  EXPECT_NE (br_replica_role (sim.vm ((size_t)leader).replica), BR_ROLE_LEADER);
  sim.read ((size_t)leader);
  sim.run (2000);
  sim.check_outcomes ();
  sim.check_equal ();
}

TEST (Replica, LearnersReplicateAndPropose)
{
  sim_options options;

  options.vms = 5;
  replica_sim sim (options);
  ASSERT_GE (sim.run_to_leader (), 0);
  for (int i = 0; i < 10; i++)
    sim.propose (4);
  sim.run (1000);
  EXPECT_EQ (count (sim, SIM_COMMITTED), 10u);
  EXPECT_EQ (br_replica_role (sim.vm (4).replica), BR_ROLE_LEARNER);
  sim.check_equal ();
}

TEST (Replica, WipedVoterRejoinsAsLearnerAndIsPromoted)
{
  sim_options options;

  options.compact_after = 20;
  replica_sim sim (options);
  int leader = sim.run_to_leader ();
  ASSERT_GE (leader, 0);
  size_t lost = ((size_t)leader + 1) % 3;

  for (int i = 0; i < 50; i++)
    sim.propose ((size_t)leader);
  sim.run (100);
  sim.crash (lost);
  sim.wipe (lost);
  sim.start (lost);
  EXPECT_EQ (br_replica_role (sim.vm (lost).replica), BR_ROLE_LEARNER);
  sim.run (2000);
  EXPECT_EQ (br_replica_role (sim.vm (lost).replica), BR_ROLE_FOLLOWER);
  EXPECT_GE (sim.installs, 1u);
  /* The first configuration, one change that removes the vote and one that
   * returns it. */
  EXPECT_EQ (sim.configs (), 3u);
  /* A second VM is lost right after the first has its vote back. */
  sim.crash ((size_t)leader);
  sim.run (200);
  ASSERT_GE (sim.run_to_leader (), 0);
  sim.propose ((size_t)sim.find_leader ());
  sim.run (100);
  EXPECT_EQ (count (sim, SIM_COMMITTED), 51u);
  sim.check_outcomes ();
}

TEST (Replica, LeadershipTransfer)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  sim.run (100);
  ASSERT_TRUE (
      br_replica_transfer (sim.vm ((size_t)leader).replica, sim.now ()));
  sim.run (20);
  ASSERT_GE (sim.find_leader (), 0);
  EXPECT_NE (sim.find_leader (), leader);
}

TEST (Replica, RemovedVoterStaysALearnerUntilAllowed)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  size_t other = ((size_t)leader + 1) % 3;
  br_replica_t *replica = sim.vm ((size_t)leader).replica;
  sim.run (100);
  ASSERT_TRUE (
      br_replica_remove_voter (replica, sim.now (), &sim.vm (other).name));
  sim.run (3000);
  EXPECT_EQ (br_replica_role (sim.vm (other).replica), BR_ROLE_LEARNER);
  ASSERT_TRUE (
      br_replica_allow_voter (replica, sim.now (), &sim.vm (other).name));
  sim.run (1000);
  EXPECT_EQ (br_replica_role (sim.vm (other).replica), BR_ROLE_FOLLOWER);
  EXPECT_EQ (sim.find_leader (), leader);
}

TEST (Replica, FullDiskRefusesAndRecovers)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  sim.set_has_space ((size_t)leader, false);
  sim.propose ((size_t)leader);
  sim.propose (((size_t)leader + 1) % 3);
  sim.run (20);
  EXPECT_EQ (count (sim, SIM_REFUSED), 2u);
  sim.set_has_space ((size_t)leader, true);
  sim.propose (((size_t)leader + 1) % 3);
  sim.run (20);
  EXPECT_EQ (count (sim, SIM_COMMITTED), 1u);
  sim.check_outcomes ();
}

/* Guards against a leader that goes on leading while its disk refuses, so that
 * changes stay unanswered. */
TEST (Replica, LeaderWhoseDiskRefusesHandsOver)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  sim.run (300);
  for (int round = 0; round < 6; round++)
    {
      size_t full = (size_t)sim.find_leader ();

      sim.set_disk_refuses (full, true);
      sim.run (400);
      ASSERT_GE (sim.find_leader (), 0) << "round " << round;
      EXPECT_NE (sim.find_leader (), (int)full) << "round " << round;
      /* The VM whose disk refuses passes them to the leader. */
      sim.propose (full);
      sim.propose ((full + 1) % 3);
      sim.run (100);
      EXPECT_EQ (count (sim, SIM_COMMITTED), 2u * (size_t)(round + 1));
      sim.set_disk_refuses (full, false);
      sim.run (1500);
    }
  EXPECT_EQ (count (sim, SIM_COMMITTED), 12u);
  sim.check_outcomes ();
}

/* Guards against entries that fill the memory of a VM whose disk refuses. */
TEST (Replica, DiskThatRefusesTakesFewEntries)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();
  std::string command (100 * 1024, 'x');

  ASSERT_GE (leader, 0);
  sim.run (300);
  size_t full = ((size_t)leader + 1) % 3;
  br_replica_t *replica = sim.vm (full).replica;
  uint64_t last = br_replica_log_last_index (br_replica_log (replica));
  uint64_t ticket = 1000000;

  sim.set_disk_refuses (full, true);
  for (int i = 0; i < 40; i++)
    {
      br_replica_propose (sim.vm ((size_t)leader).replica, sim.now (), ++ticket,
                          br_str_make (command.data (), command.size ()));
      sim.run (50);
    }
  EXPECT_GT (br_replica_log_last_index (br_replica_log (replica)), last + 5);
  EXPECT_LT (br_replica_log_last_index (br_replica_log (replica)), last + 16);
  EXPECT_TRUE (br_replica_is_choked (replica));
  EXPECT_EQ (sim.find_leader (), leader);
  sim.set_disk_refuses (full, false);
  sim.run (3000);
  EXPECT_GE (br_replica_log_last_index (br_replica_log (replica)), last + 40);
}

TEST (Replica, ReconnectedVoterDoesNotDisruptTheLeader)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  size_t other = ((size_t)leader + 1) % 3;
  uint64_t term = br_replica_term (sim.vm ((size_t)leader).replica);
  sim.isolate (other, true);
  sim.run (5000);
  sim.isolate (other, false);
  sim.run (1000);
  EXPECT_EQ (sim.find_leader (), leader);
  EXPECT_EQ (br_replica_term (sim.vm (other).replica), term);
}

/* Mutated messages, as from a broken peer, are refused or at worst delay the
 * replica; they never crash it. */
TEST (Replica, MutatedMessagesDoNotCrash)
{
  sim_options options;
  size_t refused = 0;
  size_t taken = 0;
  br_random_t random;

  options.compact_after = 10;
  replica_sim sim (options);
  br_replica_t *replica = lone_replica ();
  br_name_t peer = br_name_from ("vm-0");
  br_random_seed (&random, 1);
  sim.on_send = [&] (size_t, size_t, br_str_t bytes) {
    for (int round = 0; round < 20; round++)
      {
        std::string copy (bytes.data, bytes.len);
        br_replica_message_t message;

        for (uint64_t n = br_random_below (&random, 3) + 1; n > 0; n--)
          copy[br_random_below (&random, copy.size ())]
              ^= (char)(1 + br_random_below (&random, 255));
        if (!br_replica_unpack (br_str_make (copy.data (), copy.size ()), &peer,
                                &message, nullptr))
          {
            refused++;
            continue;
          }
        message.to_disk = 0;
        taken++;
        br_replica_step (replica, 1000 + (br_ms_t)taken, message);
        br_replica_tick (replica, 1000 + (br_ms_t)taken);
      }
  };
  for (int i = 0; i < 100; i++)
    {
      sim.run (30);
      sim.propose ((size_t)(i % 3));
    }
  sim.on_send = nullptr;
  EXPECT_GT (refused, 100u);
  EXPECT_GT (taken, 100u);
  br_replica_free (replica);
}

/* Loses the first message of KIND that is sent from now on. */
static void
lose_first (replica_sim &sim, br_replica_message_kind_t kind)
{
  auto lost = std::make_shared<bool> (false);

  sim.drop_message = [kind, lost] (const br_replica_message_t &message) {
    if (message.kind != kind || *lost)
      return false;
    return *lost = true;
  };
}

/* A connection that is reset loses a message, and the leader stays. */
TEST (Replica, LostProposalOrReadIsSentAgain)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  size_t follower = ((size_t)leader + 1) % 3;
  sim.run (300);
  lose_first (sim, BR_REPLICA_PROPOSE);
  size_t p = sim.propose (follower);
  sim.run (500);
  EXPECT_EQ (sim.proposals ()[p].outcome, SIM_COMMITTED);
  size_t reads = 0;
  for (br_replica_message_kind_t kind :
       { BR_REPLICA_READ, BR_REPLICA_READ_ANSWER })
    {
      lose_first (sim, kind);
      sim.read (follower);
      sim.run (500);
      EXPECT_EQ (sim.reads_done, ++reads) << br_replica_message_name (kind);
    }
  sim.check_outcomes ();
}

/* The leader has received a later proposal of the same VM before the one that
 * was lost. */
TEST (Replica, LostProposalBeforeAnotherIsRefused)
{
  replica_sim sim (sim_options{});
  int leader = sim.run_to_leader ();

  ASSERT_GE (leader, 0);
  size_t follower = ((size_t)leader + 1) % 3;
  sim.run (300);
  lose_first (sim, BR_REPLICA_PROPOSE);
  size_t first = sim.propose (follower);
  size_t second = sim.propose (follower);
  sim.run (500);
  EXPECT_EQ (sim.proposals ()[first].outcome, SIM_REFUSED);
  EXPECT_EQ (sim.proposals ()[second].outcome, SIM_COMMITTED);
  sim.check_outcomes ();
}

/* A proposal reaches the leader, which commits it, and the connection is gone
 * when the proposal is sent again. */
TEST (Replica, FailedResendIsNotARefusal)
{
  for (uint64_t seed = 1; seed <= 50 && !HasFailure (); seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      sim_options options;

      options.seed = seed;
      replica_sim sim (options);
      int leader = sim.run_to_leader ();

      ASSERT_GE (leader, 0);
      size_t follower = ((size_t)leader + 1) % 3;
      sim.run (300);
      sim.propose (follower);
      sim.cut ((size_t)leader, follower, true);
      sim.run (10);
      sim.fail_message = [] (const br_replica_message_t &message) {
        return message.kind == BR_REPLICA_PROPOSE;
      };
      sim.run (1200);
      sim.fail_message = nullptr;
      sim.cut ((size_t)leader, follower, false);
      sim.run (2000);
      sim.check_outcomes ();
    }
}

/* The same, and the leader is lost then: the next one has the command in its
 * log. */
TEST (Replica, FailedResendIsNotAppendedTwice)
{
  for (uint64_t seed = 1; seed <= 50 && !HasFailure (); seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      sim_options options;

      options.seed = seed;
      replica_sim sim (options);
      int leader = sim.run_to_leader ();

      ASSERT_GE (leader, 0);
      size_t follower = ((size_t)leader + 1) % 3;
      size_t other = ((size_t)leader + 2) % 3;
      sim.run (300);
      sim.propose (follower);
      sim.run (2);
      sim.crash ((size_t)leader);
      sim.cut (other, follower, true);
      sim.fail_message = [] (const br_replica_message_t &message) {
        return message.kind == BR_REPLICA_PROPOSE;
      };
      sim.run (220);
      sim.fail_message = nullptr;
      sim.cut (other, follower, false);
      sim.run (1000);
      sim.start ((size_t)leader);
      sim.run (2000);
      sim.check_outcomes ();
    }
}
