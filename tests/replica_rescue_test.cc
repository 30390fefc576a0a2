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
