/* Simulates replicas, their disks and the network between them on a manual
 * clock, and checks the invariants after each step.  For tests only. */
#ifndef BR_TESTS_REPLICA_SIM_H
#define BR_TESTS_REPLICA_SIM_H

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "replica/replica.h"

struct sim_disk
{
  uint64_t id = 0;
  br_hard_state_t hard_state = {};
  std::string snapshot;
  std::map<uint64_t, std::string> entries; /* packed records by index */
};

/* What a write changes on a disk once it is done. */
struct sim_write
{
  uint64_t change = 0; /* of the replica */
  bool has_hard_state = false;
  br_hard_state_t hard_state = {};
  bool has_snapshot = false; /* it replaces all entries */
  std::string snapshot;
  uint64_t first = 0; /* entries from here on are replaced, unless none is */
  std::map<uint64_t, std::string> entries;
};

struct sim_message
{
  size_t from;
  size_t to;
  std::string bytes;
  br_ms_t at;
};

struct sim_vm
{
  br_name_t name = {};
  bool voter = true;
  bool joins = false;   /* added later; knows only its seeds */
  bool founding = true; /* its disk is the one of the first start */
  std::set<size_t>
      first_voters;          /* in its settings; empty: as the options say */
  std::vector<size_t> seeds; /* of a VM that joins */
  bool up = false;
  bool frozen = false;
  bool has_space = true;
  bool refuses = false; /* its disk; a write waits */
  sim_disk disk;
  br_replica_t *replica = nullptr;
  uint64_t incarnation = 0;
  uint64_t last_ticket = 0;
  std::string state; /* hash chain of the applied entries */
  bool writing = false;
  sim_write write;
  br_ms_t written_at = 0;
  std::set<uint64_t> led_terms;
};

enum sim_outcome
{
  SIM_OPEN,
  SIM_COMMITTED,
  SIM_REFUSED,
  SIM_UNKNOWN
};

struct sim_proposal
{
  size_t vm;
  uint64_t incarnation;
  uint64_t ticket;
  sim_outcome outcome = SIM_OPEN;
  br_ms_t since;
  br_ms_t duration = -1;
  std::string key;
};

struct sim_options
{
  size_t vms = 3;
  size_t voters = 3;
  uint64_t seed = 1;
  double drop = 0;
  double duplicate = 0;
  br_ms_t delay_min = 1;
  br_ms_t delay_max = 1;
  br_ms_t write_max = 1;
  size_t compact_after = 0;
  br_ms_t heartbeat_ms = 50;
  br_ms_t election_min_ms = 200;
  br_ms_t election_max_ms = 400;
  br_ms_t remove_unreachable_ms = 0;
  br_ms_t replace_silent_ms = 0;
  size_t voters_min = 3;
  bool lease_is_used = false;
  bool founding = true; /* first voters know that they start a new site */
};

class replica_sim
{
public:
  explicit replica_sim (const sim_options &options) : options_ (options)
  {
    br_random_seed (&random_, options.seed);
    cut_.assign (options.vms, std::vector<bool> (options.vms, false));
    vms_.resize (options.vms);
    for (size_t i = 0; i < options.vms; i++)
      {
        vms_[i].name = br_name_from (("vm-" + std::to_string (i)).c_str ());
        vms_[i].voter = i < options.voters;
        vms_[i].disk.id = new_disk ();
        start (i);
      }
  }

  ~replica_sim ()
  {
    for (sim_vm &vm : vms_)
      br_replica_free (vm.replica);
  }

  replica_sim (const replica_sim &) = delete;
  replica_sim &operator= (const replica_sim &) = delete;

  void
  start (size_t i)
  {
    sim_vm &vm = vms_[i];
    br_replica_options_t options = {};
    br_replica_saved_t saved = load (vm.disk);

    options.vm = vm.name;
    options.disk = vm.disk.id;
    options.incarnation = vm.incarnation = ++last_incarnation_;
    options.voter = vm.voter;
    options.joins = vm.joins;
    options.founding = options_.founding && vm.founding && !vm.joins;
    for (size_t j : vm.seeds)
      br_replica_peers_push (&options.peers,
                             br_replica_peer_t{ vms_[j].name, false });
    for (size_t j = 0; j < options_.vms && !vm.joins; j++)
      if (j != i)
        br_replica_peers_push (
            &options.peers,
            br_replica_peer_t{
                br_name_from (("vm-" + std::to_string (j)).c_str ()),
                vm.first_voters.empty () ? j < options_.voters
                                         : vm.first_voters.count (j) > 0 });
    options.heartbeat_ms = options_.heartbeat_ms;
    options.election_min_ms = options_.election_min_ms;
    options.election_max_ms = options_.election_max_ms;
    options.remove_unreachable_ms = options_.remove_unreachable_ms;
    options.replace_silent_ms = options_.replace_silent_ms;
    options.voters_min = options_.voters_min;
    options.lease_is_used = options_.lease_is_used;
    options.proposal_wait_ms = 300;
    options.proposal_max_ms = 1000;
    options.append_max_bytes = 512;
    options.snapshot_chunk_bytes = 64;
    options.seed = br_random_below (&random_, 1u << 30);
    vm.state = saved.snapshot.index > 0 ? std::string (
                   saved.snapshot.state.data, saved.snapshot.state.len)
                                        : "";
    vm.replica = br_replica_new (&options, &saved, now_);
    br_replica_peers_free (&options.peers);
    br_replica_set_has_space (vm.replica, vm.has_space);
    br_replica_set_disk_refuses (vm.replica, vm.refuses);
    vm.up = true;
    vm.frozen = false;
    vm.writing = false;
    vm.last_ticket = 0;
  }

  /* Starts a further, empty VM that wants a vote and knows only SEEDS; returns
   * its number. */
  size_t
  add (const std::vector<size_t> &seeds)
  {
    size_t i = vms_.size ();

    vms_.emplace_back ();
    vms_[i].name = br_name_from (("vm-" + std::to_string (i)).c_str ());
    vms_[i].joins = true;
    vms_[i].seeds = seeds;
    vms_[i].disk.id = new_disk ();
    for (auto &row : cut_)
      row.push_back (false);
    cut_.push_back (std::vector<bool> (vms_.size (), false));
    start (i);
    return i;
  }

  /* Changes the seeds in the settings of I, as a reload does. */
  void
  set_seeds (size_t i, const std::vector<size_t> &seeds)
  {
    br_names_t names = {};

    vms_[i].seeds = seeds;
    for (size_t j : seeds)
      br_names_push (&names, vms_[j].name);
    if (vms_[i].up)
      br_replica_set_seeds (vms_[i].replica, &names);
    br_names_free (&names);
  }

  /* Returns whether I follows the log or leads, and has a vote. */
  bool
  is_voter (size_t i) const
  {
    return vms_[i].up
           && br_replica_standing (vms_[i].replica) == BR_STANDING_VOTER;
  }

  /* Sets the share of the messages that are lost. */
  void
  set_drop (double drop)
  {
    options_.drop = drop;
  }

  /* Ends the process.  An unfinished write is lost, and the outcome of every
   * open proposal becomes unknown. */
  void
  crash (size_t i)
  {
    sim_vm &vm = vms_[i];

    br_replica_free (vm.replica);
    vm.replica = nullptr;
    vm.up = vm.frozen = vm.writing = false;
    for (sim_proposal &proposal : proposals_)
      if (proposal.vm == i && proposal.outcome == SIM_OPEN)
        proposal.outcome = SIM_UNKNOWN;
    for (size_t m = 0; m < network_.size ();)
      if (network_[m].to == i && br_random_unit (&random_) < 0.5)
        network_.erase (network_.begin () + (long)m);
      else
        m++;
  }

  void
  wipe (size_t i)
  {
    vms_[i].disk = sim_disk ();
    vms_[i].disk.id = new_disk ();
    vms_[i].founding = false;
  }

  void
  freeze (size_t i, bool frozen)
  {
    vms_[i].frozen = frozen;
  }

  void
  set_has_space (size_t i, bool has_space)
  {
    vms_[i].has_space = has_space;
    if (vms_[i].up)
      br_replica_set_has_space (vms_[i].replica, has_space);
  }

  void
  set_disk_refuses (size_t i, bool refuses)
  {
    vms_[i].refuses = refuses;
    if (vms_[i].up)
      br_replica_set_disk_refuses (vms_[i].replica, refuses);
  }

  /* Reports to I that its connection to J was lost. */
  void
  suspect (size_t i, size_t j)
  {
    br_replica_suspect (vms_[i].replica, now_, &vms_[j].name);
  }

  /* Cuts or restores the link in one direction. */
  void
  cut (size_t from, size_t to, bool is_cut)
  {
    cut_[from][to] = is_cut;
  }

  void
  isolate (size_t i, bool is_cut)
  {
    for (size_t j = 0; j < vms_.size (); j++)
      if (j != i)
        cut_[i][j] = cut_[j][i] = is_cut;
  }

  size_t
  propose (size_t i)
  {
    sim_proposal proposal = {};
    sim_vm &vm = vms_[i];

    proposal.vm = i;
    proposal.incarnation = vm.incarnation;
    proposal.ticket = ++vm.last_ticket;
    proposal.since = now_;
    proposal.key = "c" + std::to_string (proposals_.size ());
    proposals_.push_back (proposal);
    br_replica_propose (vm.replica, now_, proposal.ticket,
                        br_str_from (proposal.key.c_str ()));
    process_output (i);
    return proposals_.size () - 1;
  }

  uint64_t
  read (size_t i)
  {
    uint64_t ticket = ++vms_[i].last_ticket;

    reads_[{ vms_[i].incarnation, ticket }] = highest_reported_;
    br_replica_read (vms_[i].replica, now_, ticket);
    process_output (i);
    return ticket;
  }

  void
  run (br_ms_t ms)
  {
    for (br_ms_t end = now_ + ms;
         now_ < end && !::testing::Test::HasFailure ();)
      step ();
  }

  /* Runs until a leader has committed an entry of its term and returns it, or
   * -1 when none has within BOUND. */
  int
  run_to_leader (br_ms_t bound = 10000)
  {
    for (br_ms_t end = now_ + bound; now_ < end;)
      {
        step ();
        int leader = find_leader ();

        if (leader >= 0)
          return leader;
      }
    return -1;
  }

  int
  find_leader () const
  {
    int found = -1;
    uint64_t term = 0;

    for (size_t i = 0; i < vms_.size (); i++)
      if (vms_[i].up && !vms_[i].frozen
          && br_replica_role (vms_[i].replica) == BR_ROLE_LEADER
          && br_replica_term (vms_[i].replica) > term)
        {
          term = br_replica_term (vms_[i].replica);
          found = (int)i;
        }
    if (found < 0)
      return -1;
    const br_replica_t *replica = vms_[(size_t)found].replica;
    const br_replica_log_t *log = br_replica_log (replica);
    uint64_t commit = br_replica_commit_index (replica);

    return br_replica_log_term (log, commit) == term ? found : -1;
  }

  br_ms_t
  now () const
  {
    return now_;
  }

  sim_vm &
  vm (size_t i)
  {
    return vms_[i];
  }

  std::vector<sim_proposal> &
  proposals ()
  {
    return proposals_;
  }

  br_random_t *
  random ()
  {
    return &random_;
  }

  size_t
  vms () const
  {
    return vms_.size ();
  }

  size_t
  committed () const
  {
    return committed_.size ();
  }

  /* Returns the number of committed configurations. */
  size_t
  configs () const
  {
    size_t n = 0;

    for (const auto &each : committed_)
      n += each.second.find ("/" + std::to_string (BR_ENTRY_CONFIG) + "/")
           != std::string::npos;
    return n;
  }

  /* Returns whether a message is lost. */
  std::function<bool (const br_replica_message_t &)> drop_message;

  /* Returns whether the sender has no connection for a message and knows it. */
  std::function<bool (const br_replica_message_t &)> fail_message;

  /* Called with every message that is sent. */
  std::function<void (size_t, size_t, br_str_t)> on_send;
  size_t reads_done = 0;
  size_t installs = 0;

  /* Checks at the end of a run, when all VMs are up and connected, that each
   * committed proposal was applied once and no refused one was. */
  void
  check_outcomes ()
  {
    for (const sim_proposal &proposal : proposals_)
      {
        size_t times = times_committed_[proposal.key];

        EXPECT_LE (times, 1u) << proposal.key;
        if (proposal.outcome == SIM_COMMITTED)
          {
            EXPECT_EQ (times, 1u) << proposal.key << " lost";
          }
        if (proposal.outcome == SIM_REFUSED)
          {
            EXPECT_EQ (times, 0u) << proposal.key << " refused but committed";
          }
      }
  }

  /* The same where committed proposals may be lost with their disks. */
  void
  check_outcomes_once ()
  {
    for (const sim_proposal &proposal : proposals_)
      {
        EXPECT_LE (times_committed_[proposal.key], 1u) << proposal.key;
      }
  }

  /* Returns the state of all VMs, for the message of a failed check. */
  std::string
  describe () const
  {
    std::string out;

    for (const sim_vm &vm : vms_)
      {
        if (!vm.up)
          {
            out += std::string (vm.name.data) + " is down\n";
            continue;
          }
        const br_replica_log_t *log = br_replica_log (vm.replica);

        out += std::string (vm.name.data) + " disk "
               + std::to_string (vm.disk.id) + " "
               + br_replica_role_name (br_replica_role (vm.replica)) + " term "
               + std::to_string (br_replica_term (vm.replica)) + " leader "
               + br_replica_leader (vm.replica)->data + " log "
               + std::to_string (log->base_index) + ".."
               + std::to_string (br_replica_log_last_index (log)) + " commit "
               + std::to_string (br_replica_commit_index (vm.replica))
               + " config at "
               + std::to_string (br_replica_log_config_index (log));
        const br_config_t *config = br_replica_log_config (log);
        for (size_t i = 0; i < config->members.len; i++)
          out += std::string (" ") + config->members.items[i].vm.data + "/"
                 + std::to_string (config->members.items[i].disk)
                 + (config->members.items[i].voter ? "" : "-");
        out += "\n";
      }
    return out;
  }

  void
  check_equal ()
  {
    for (sim_vm &vm : vms_)
      {
        EXPECT_EQ (br_replica_applied_index (vm.replica),
                   br_replica_applied_index (vms_[0].replica))
            << describe ();
        EXPECT_EQ (vm.state, vms_[0].state);
      }
  }

private:
  uint64_t
  new_disk ()
  {
    return ++last_disk_ * 1000;
  }

  static br_replica_saved_t
  load (const sim_disk &disk)
  {
    br_replica_saved_t saved = {};
    br_error_t err;

    saved.hard_state = disk.hard_state;
    if (!disk.snapshot.empty ())
      {
        EXPECT_TRUE (br_replica_snapshot_unpack (
            br_str_make (disk.snapshot.data (), disk.snapshot.size ()),
            &saved.snapshot, &err));
      }
    for (const auto &each : disk.entries)
      {
        br_record_t record = {};

        EXPECT_TRUE (br_record_unpack (
            br_str_make (each.second.data (), each.second.size ()), &record,
            &err));
        br_entries_push (&saved.entries, record.entry);
      }
    return saved;
  }

  void
  begin_write (sim_vm &vm)
  {
    const br_replica_log_t *log = br_replica_log (vm.replica);
    br_replica_writes_t writes;
    sim_write write;

    if (vm.writing || !br_replica_take_writes (vm.replica, &writes))
      return;
    write.change = writes.change;
    write.has_hard_state = writes.has_hard_state;
    write.hard_state = writes.hard_state;
    if (writes.snapshot != nullptr)
      {
        br_buf_t out = {};

        br_replica_snapshot_pack (writes.snapshot, &out);
        write.has_snapshot = true;
        write.snapshot.assign (out.data, out.len);
        br_buf_free (&out);
      }
    write.first = writes.first;
    for (uint64_t i = writes.first; i <= writes.last; i++)
      {
        br_record_t record = {};
        br_buf_t out = {};

        record.kind = BR_RECORD_ENTRY;
        record.entry = *br_replica_log_entry (log, i);
        br_record_pack (&record, &out);
        write.entries[i].assign (out.data, out.len);
        br_buf_free (&out);
      }
    vm.write = std::move (write);
    vm.writing = true;
    vm.written_at
        = now_
          + (br_ms_t)br_random_below (&random_, (uint64_t)options_.write_max);
  }

  void
  end_write (sim_vm &vm)
  {
    sim_write &write = vm.write;

    if (!vm.writing || vm.refuses || now_ < vm.written_at)
      return;
    vm.writing = false;
    if (write.has_hard_state)
      vm.disk.hard_state = write.hard_state;
    if (write.has_snapshot)
      {
        vm.disk.snapshot = std::move (write.snapshot);
        vm.disk.entries.clear ();
      }
    if (!write.entries.empty ())
      vm.disk.entries.erase (vm.disk.entries.lower_bound (write.first),
                             vm.disk.entries.end ());
    vm.disk.entries.merge (write.entries);
    br_replica_persisted (vm.replica, now_, write.change);
  }

  void
  compact (sim_vm &vm)
  {
    br_replica_snapshot_t snapshot;
    br_buf_t out = {};

    br_replica_make_snapshot (vm.replica,
                              br_str_make (vm.state.data (), vm.state.size ()),
                              &snapshot);
    br_replica_snapshot_pack (&snapshot, &out);
    vm.disk.snapshot.assign (out.data, out.len);
    vm.disk.entries.erase (vm.disk.entries.begin (),
                           vm.disk.entries.upper_bound (snapshot.index));
    br_buf_free (&out);
    br_replica_compact (vm.replica, &snapshot);
  }

  void
  send (size_t from, const br_replica_message_t &message)
  {
    br_buf_t out = {};
    size_t to = 0;

    while (to < vms_.size () && !br_name_equal (&vms_[to].name, &message.vm))
      to++;
    if (to == vms_.size () || cut_[from][to]
        || br_random_unit (&random_) < options_.drop
        || (drop_message && drop_message (message)))
      return;
    br_replica_pack (&message, &out);
    if (on_send)
      on_send (from, to, br_buf_str (&out));
    int copies = br_random_unit (&random_) < options_.duplicate ? 2 : 1;
    for (int i = 0; i < copies; i++)
      {
        br_ms_t spread = options_.delay_max - options_.delay_min + 1;
        br_ms_t at = now_ + options_.delay_min
                     + (br_ms_t)br_random_below (&random_, (uint64_t)spread);

        network_.push_back ({ from, to, std::string (out.data, out.len), at });
      }
    br_buf_free (&out);
  }

  void
  apply (size_t i, const br_entry_t *entry)
  {
    sim_vm &vm = vms_[i];
    std::string data (entry->data.len > 0 ? entry->data.data : "",
                      entry->data.len);
    std::string what = std::to_string (entry->term) + "/"
                       + std::to_string (entry->kind) + "/" + data;
    auto known = committed_.find (entry->index);

    if (known == committed_.end ())
      {
        committed_[entry->index] = what;
        committed_in_[entry->index] = br_replica_term (vm.replica);
        if (entry->kind == BR_ENTRY_COMMAND)
          times_committed_[data]++;
      }
    else
      {
        ASSERT_EQ (known->second, what) << "two entries at " << entry->index;
      }
    vm.state = std::to_string (br_str_hash (
        br_str_make (what.data (), what.size ()),
        br_str_hash (br_str_make (vm.state.data (), vm.state.size ()),
                     entry->index)));
  }

  void
  take_events (size_t i)
  {
    br_replica_event_t event;
    sim_vm &vm = vms_[i];

    while (br_replica_take_event (vm.replica, &event))
      {
        if (event.kind == BR_REPLICA_EVENT_SNAPSHOT)
          {
            const br_replica_snapshot_t *s = br_replica_snapshot (vm.replica);

            vm.state.assign (s->state.data, s->state.len);
            installs++;
          }
        else if (event.kind == BR_REPLICA_EVENT_READ)
          {
            if (event.outcome == BR_OUTCOME_COMMITTED)
              {
                reads_done++;
                uint64_t minimum
                    = reads_[std::make_pair (vm.incarnation, event.ticket)];

                EXPECT_GE (br_replica_applied_index (vm.replica), minimum)
                    << "stale read";
              }
          }
        else if (event.kind == BR_REPLICA_EVENT_PROPOSAL)
          end_proposal (vm.incarnation, event);
      }
  }

  void
  end_proposal (uint64_t incarnation, const br_replica_event_t &event)
  {
    for (size_t i = proposals_.size (); i-- > 0;)
      {
        sim_proposal &proposal = proposals_[i];

        if (proposal.ticket != event.ticket
            || proposal.incarnation != incarnation)
          continue;
        EXPECT_EQ (proposal.outcome, SIM_OPEN);
        proposal.duration = now_ - proposal.since;
        proposal.outcome = event.outcome == BR_OUTCOME_COMMITTED ? SIM_COMMITTED
                           : event.outcome == BR_OUTCOME_REFUSED ? SIM_REFUSED
                                                                 : SIM_UNKNOWN;
        if (proposal.outcome == SIM_COMMITTED)
          highest_reported_ = std::max (highest_reported_, event.index);
        return;
      }
  }

  void
  check_leader (size_t i)
  {
    sim_vm &vm = vms_[i];
    uint64_t term = br_replica_term (vm.replica);

    if (br_replica_role (vm.replica) != BR_ROLE_LEADER)
      return;
    auto known = leaders_.find (term);
    ASSERT_TRUE (known == leaders_.end () || known->second == i)
        << "two leaders in term " << term;
    if (known != leaders_.end ())
      return;
    leaders_[term] = i;
    const br_replica_log_t *log = br_replica_log (vm.replica);
    for (const auto &each : committed_)
      {
        const br_entry_t *entry = br_replica_log_entry (log, each.first);

        /* A leader of an earlier term that was elected by delayed votes need
         * not have the entry; nothing that it appends can be committed. */
        if (each.first <= log->base_index || committed_in_[each.first] >= term)
          continue;
        ASSERT_NE (entry, nullptr)
            << "leader of term " << term << " lacks " << each.first;
        ASSERT_EQ (std::to_string (entry->term),
                   each.second.substr (0, each.second.find ('/')));
      }
  }

  void
  process_output (size_t i)
  {
    sim_vm &vm = vms_[i];
    br_replica_message_t message;
    const br_entry_t *entry;
    size_t applied = 0;

    br_replica_flush (vm.replica);
    end_write (vm);
    begin_write (vm);
    end_write (vm);
    br_replica_flush (vm.replica);
    take_events (i);
    while ((entry = br_replica_next_committed (vm.replica)) != nullptr)
      {
        apply (i, entry);
        br_replica_applied (vm.replica, now_);
        applied++;
      }
    take_events (i);
    if (options_.compact_after > 0 && !vm.writing
        && !br_replica_has_writes (vm.replica)
        && br_replica_log (vm.replica)->entries.len > options_.compact_after)
      compact (vm);
    while (br_replica_take_message (vm.replica, &message))
      {
        if (fail_message && fail_message (message))
          br_replica_send_failed (vm.replica, &message);
        else
          send (i, message);
        br_replica_message_release (&message);
      }
    check_leader (i);
  }

  void
  step ()
  {
    now_++;
    for (size_t m = 0; m < network_.size ();)
      {
        const sim_vm &vm = vms_[network_[m].to];

        if (network_[m].at > now_ || (vm.up && vm.frozen))
          {
            m++;
            continue;
          }
        sim_message message = std::move (network_[m]);
        network_.erase (network_.begin () + (long)m);
        if (vm.up && !cut_[message.from][message.to])
          deliver (message);
      }
    for (size_t i = 0; i < vms_.size (); i++)
      if (vms_[i].up && !vms_[i].frozen)
        {
          if (now_ % 5 == 0)
            br_replica_tick (vms_[i].replica, now_);
          process_output (i);
        }
  }

  void
  deliver (const sim_message &from)
  {
    br_replica_message_t message;
    br_error_t err;

    ASSERT_TRUE (
        br_replica_unpack (br_str_make (from.bytes.data (), from.bytes.size ()),
                           &vms_[from.from].name, &message, &err))
        << err.text;
    br_replica_step (vms_[from.to].replica, now_, message);
    process_output (from.to);
  }

  sim_options options_;
  br_random_t random_;
  br_ms_t now_ = 1000;
  uint64_t last_disk_ = 0;
  uint64_t last_incarnation_ = 0;
  uint64_t highest_reported_ = 0;
  std::vector<sim_vm> vms_;
  std::vector<sim_message> network_;
  std::vector<std::vector<bool>> cut_;
  std::vector<sim_proposal> proposals_;
  std::map<uint64_t, std::string> committed_;
  std::map<uint64_t, uint64_t> committed_in_; /* latest possible term */
  std::map<std::string, size_t> times_committed_;
  std::map<uint64_t, size_t> leaders_;
  std::map<std::pair<uint64_t, uint64_t>, uint64_t> reads_;
};

#endif
