/* What an operator does before a rescue must not harm, and
 * the VM that docs/OPERATIONS.md names must be the right one. */
#include <cstdlib>

#include "replica_sim.h"

extern "C"
{
#include "shell/replica_load.h"
#include "shell/replica_rescue.h"
}

/* A look at an empty folder, as OPERATIONS.md asks for on each control VM that
 * is left, must not give it an identity: a second empty folder of the same VM
 * would get the same, and count as the disk that was lost. */
TEST (ReplicaRescue, ALookLeavesAnEmptyFolderWithoutIdentity)
{
  char path[] = "/tmp/review-rescue-XXXXXX";
  br_settings_t settings = {};
  br_rescue_t rescue = {};
  br_error_t err;
  br_log_t quiet = {};

  ASSERT_NE (mkdtemp (path), nullptr);
  settings.vm = br_name_from ("vm-0");
  br_buf_append (&settings.data_folder, br_str_from (path));
  EXPECT_FALSE (br_replica_rescue (&settings, false, &rescue, &err));
  br_rescue_release (&rescue);

  br_replica_folder_t folder = {};
  br_replica_saved_t saved = {};
  uint64_t disk = 777;

  folder.path = path;
  folder.log = &quiet;
  br_store_t *store = br_replica_open_folder (&folder, &disk, &saved, &err);
  ASSERT_NE (store, nullptr) << err.text;
  EXPECT_EQ (disk, 777u) << "the look has given the folder an identity";
  br_replica_saved_release (&saved);
  br_store_close (store);
  br_buf_free (&settings.data_folder);
}

/* The copy with the higher index may lack the acknowledged entries: the term of
 * the last entry decides first, as docs/OPERATIONS.md says. */
TEST (ReplicaRescue, HighestLastTermHoldsWhatWasAcknowledged)
{
  sim_options options;

  options.vms = options.voters = 5;
  replica_sim sim (options);
  size_t old = (size_t)sim.run_to_leader ();
  sim.propose (old);
  sim.run (200);
  sim.isolate (old, true);
  for (int i = 0; i < 20; i++)
    sim.propose (old);
  sim.run (3000);
  size_t next = (size_t)sim.run_to_leader ();
  ASSERT_NE (next, old);
  size_t n = sim.propose (next);
  sim.run (200);
  ASSERT_EQ (sim.proposals ()[n].outcome, SIM_COMMITTED);
  /* The disks of the three others are lost; OLD and NEXT are left. */
  auto last
      = [&] (size_t i) { return sim.vm (i).disk.entries.rbegin ()->first; };
  auto last_term = [&] (size_t i) {
    br_record_t record = {};
    br_error_t err;
    const std::string &bytes = sim.vm (i).disk.entries.rbegin ()->second;

    EXPECT_TRUE (br_record_unpack (br_str_make (bytes.data (), bytes.size ()),
                                   &record, &err));
    uint64_t term = record.entry.term;
    br_entry_release (&record.entry);
    return term;
  };
  auto rank
      = [&] (size_t i) { return std::make_pair (last_term (i), last (i)); };
  EXPECT_GT (last (old), last (next)) << "the index alone misleads";
  size_t chosen = rank (old) > rank (next) ? old : next;
  bool found = false;
  for (const auto &each : sim.vm (chosen).disk.entries)
    found = found
            || each.second.find (sim.proposals ()[n].key) != std::string::npos;
  EXPECT_TRUE (found) << "last_index " << last (old) << " without and "
                      << last (next) << " with the acknowledged entry";
}

/* Returns a voter whose copy of the log holds N committed entries of TERM after
 * a snapshot at BASE. */
static br_replica_t *
old_copy (uint64_t base, uint64_t n, uint64_t term)
{
  br_replica_options_t options = {};
  br_replica_saved_t saved = {};
  br_config_t *config = &saved.snapshot.config;

  for (const char *vm : { "vm-0", "vm-1", "vm-2" })
    br_config_put (
        config, br_config_member_t{ br_name_from (vm), (uint64_t)vm[3], true });
  saved.snapshot.index = base;
  saved.snapshot.term = term;
  for (uint64_t i = 1; i <= n; i++)
    {
      br_entry_t entry = {};

      entry.index = base + i;
      entry.term = term;
      br_entries_push (&saved.entries, entry);
    }
  saved.hard_state.term = term;
  saved.hard_state.commit = base + n;
  options.vm = br_name_from ("vm-1");
  options.disk = '1';
  options.voter = true;
  br_replica_peers_push (&options.peers,
                         br_replica_peer_t{ br_name_from ("vm-0"), true });
  options.heartbeat_ms = 50;
  options.election_min_ms = 200;
  options.election_max_ms = 400;
  br_replica_t *replica = br_replica_new (&options, &saved, 1000);
  br_replica_peers_free (&options.peers);
  return replica;
}

/* Steps an append of a leader of term 9 with one entry of TERM after
 * PREV_INDEX. */
static void
step_append (br_replica_t *replica,
             br_ms_t now,
             uint64_t prev_index,
             uint64_t prev_term,
             uint64_t term)
{
  br_replica_message_t message = {};
  br_entry_t entry = {};

  message.kind = BR_REPLICA_APPEND;
  message.vm = br_name_from ("vm-0");
  message.disk = '0';
  message.term = 9;
  message.append.prev_index = prev_index;
  message.append.prev_term = prev_term;
  message.append.round = 1;
  message.append.sent_ms = now;
  entry.index = prev_index + 1;
  entry.term = term;
  br_entries_push (&message.append.entries, entry);
  br_replica_step (replica, now, message);
}

/* Returns whether REPLICA acknowledged an entry, or granted or asked for a
 * vote. */
static bool
takes_part (br_replica_t *replica)
{
  br_replica_writes_t writes;
  br_replica_message_t message;
  bool found = false;

  if (br_replica_take_writes (replica, &writes))
    br_replica_persisted (replica, 1000, writes.change);
  while (br_replica_take_message (replica, &message))
    {
      found
          = found || message.kind == BR_REPLICA_VOTE_REQUEST
            || (message.kind == BR_REPLICA_VOTE_ANSWER
                && message.vote_answer.granted)
            || (message.kind == BR_REPLICA_APPEND_ANSWER
                && message.append_answer.ok && message.append_answer.index > 0);
      br_replica_message_release (&message);
    }
  return found;
}

/* After a rescue on another VM, a copy that was not emptied holds committed
 * entries that the new log does not have. */
TEST (ReplicaRescue, OldCopySaysThatItConflicts)
{
  const struct
  {
    uint64_t base, prev_index, prev_term, term;
  } cases[] = {
    { 0, 5, 9, 9 },   /* the entry before the new ones differs */
    { 0, 4, 3, 9 },   /* a new entry differs */
    { 10, 10, 9, 9 }, /* the last entry of the snapshot differs */
    { 10, 9, 3, 9 },  /* as a new entry */
  };

  for (const auto &each : cases)
    {
      SCOPED_TRACE ("base " + std::to_string (each.base) + " previous "
                    + std::to_string (each.prev_index));
      br_replica_t *replica = old_copy (each.base, 5, 3);

      step_append (replica, 1100, each.prev_index, each.prev_term, each.term);
      EXPECT_STREQ (
          br_replica_standing_text (br_replica_standing (replica)),
          "its log holds committed entries that the leader's log lacks");
      EXPECT_FALSE (br_replica_is_voter (replica));
      EXPECT_EQ (br_replica_commit_index (replica), each.base + 5);
      for (br_ms_t now = 1100; now < 5000; now += 25)
        br_replica_tick (replica, now);
      EXPECT_FALSE (takes_part (replica)) << "it campaigns or acknowledges";
      br_replica_message_t request = {};
      request.kind = BR_REPLICA_VOTE_REQUEST;
      request.vm = br_name_from ("vm-2");
      request.disk = '2';
      request.term = 20;
      request.vote_request.last_index = 100;
      request.vote_request.last_term = 9;
      br_replica_step (replica, 5000, request);
      EXPECT_FALSE (takes_part (replica)) << "it votes";
      br_replica_free (replica);
    }
}

/* Entries that a snapshot covers can't be compared; they are not
 * acknowledged. */
TEST (ReplicaRescue, EntriesBelowTheSnapshotAreNotAcknowledged)
{
  br_replica_t *replica = old_copy (10, 5, 3);

  step_append (replica, 1100, 4, 9, 9);
  EXPECT_FALSE (takes_part (replica));
  br_replica_free (replica);
}
