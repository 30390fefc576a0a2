/* A model checker for two or three VMs that run the real replica: it explores
 * every order of deliveries, timeouts, writes and crashes up to a bound.  For
 * tests only.
 *
 * Two states are equal when they differ only in absolute times and in the
 * numbers of rounds and changes.  Election timeouts are not random here. */
#ifndef BR_TESTS_REPLICA_MODEL_H
#define BR_TESTS_REPLICA_MODEL_H

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "replica/replica_private.h"

#define MODEL_ELECTION_MS 100
#define MODEL_HEARTBEAT_MS 60

struct model_disk
{
  br_hard_state_t hard_state = {};
  std::vector<br_entry_t> entries; /* data: a configuration or one letter */
};

struct model_vm
{
  br_replica_t *replica = nullptr; /* NULL while it is down */
  br_ms_t now = 1000;
  model_disk disk;
};

struct model_message
{
  size_t from;
  size_t to;
  std::string bytes;
  std::string canonical; /* without rounds and send times */

  bool
  operator== (const model_message &other) const
  {
    return from == other.from && to == other.to && bytes == other.bytes;
  }
};

struct model_limits
{
  size_t depth;
  int timeouts;
  int crashes;
  int duplicates;
  int proposals;
  size_t network = 8; /* messages in flight; beyond it the oldest are lost */
};

template <typename vec_t>
static void
model_copy_vec (vec_t *vec)
{
  auto *items = vec->items;

  if (items == nullptr)
    return;
  vec->items = (decltype (items))br_alloc (vec->cap * sizeof *items);
  memcpy ((void *)vec->items, (const void *)items, vec->len * sizeof *items);
}

static inline br_replica_t *
model_clone (const br_replica_t *from)
{
  br_replica_t *to = (br_replica_t *)br_alloc (sizeof *to);

  *to = *from;
  model_copy_vec (&to->options.peers);
  model_copy_vec (&to->log.entries);
  for (size_t i = 0; i < to->log.entries.len; i++)
    to->log.entries.items[i] = br_entry_copy (&from->log.entries.items[i]);
  model_copy_vec (&to->log.configs);
  for (size_t i = 0; i < to->log.configs.len; i++)
    model_copy_vec (&to->log.configs.items[i].config.members);
  model_copy_vec (&to->outbox);
  for (size_t i = to->outbox_head; i < to->outbox.len; i++)
    to->outbox.items[i] = br_replica_message_copy (&from->outbox.items[i]);
  model_copy_vec (&to->events);
  model_copy_vec (&to->pendings);
  for (size_t i = 0; i < to->pendings.len; i++)
    {
      to->pendings.items[i].command = br_buf_t{};
      br_buf_append (&to->pendings.items[i].command,
                     br_buf_str (&from->pendings.items[i].command));
    }
  model_copy_vec (&to->progresses);
  model_copy_vec (&to->quorum_reads);
  model_copy_vec (&to->tickets);
  model_copy_vec (&to->empty_voters);
  model_copy_vec (&to->founding.members);
  model_copy_vec (&to->silences);
  model_copy_vec (&to->contacts.seeds);
  model_copy_vec (&to->contacts.named);
  return to;
}

/* One state of the whole system, with the budget that remains. */
class model_state
{
public:
  std::vector<model_vm> vms;
  std::vector<model_message> network; /* oldest first, each once */
  model_limits remaining = {};
  std::map<uint64_t, size_t> leaders;        /* by term */
  std::map<uint64_t, uint64_t> committed;    /* term by index */
  std::map<uint64_t, uint64_t> committed_in; /* term of the commit by index */
  std::string violation;

  model_state () = default;

  model_state (const model_state &other)
      : vms (other.vms), network (other.network), remaining (other.remaining),
        leaders (other.leaders), committed (other.committed),
        committed_in (other.committed_in), violation (other.violation),
        known_ (other.known_)
  {
    for (model_vm &vm : vms)
      {
        if (vm.replica != nullptr)
          vm.replica = model_clone (vm.replica);
        for (br_entry_t &entry : vm.disk.entries)
          entry = br_entry_copy (&entry);
      }
  }

  model_state &operator= (const model_state &) = delete;

  ~model_state ()
  {
    for (model_vm &vm : vms)
      {
        br_replica_free (vm.replica);
        for (br_entry_t &entry : vm.disk.entries)
          br_entry_release (&entry);
      }
  }

  /* TERMS holds, for each VM, the terms of the entries after the first
   * configuration, and last its current term. */
  explicit model_state (const std::vector<std::vector<uint64_t>> &terms)
  {
    vms.resize (terms.size ());
    for (size_t i = 0; i < terms.size (); i++)
      {
        add_config (vms[i].disk);
        for (size_t j = 0; j + 1 < terms[i].size (); j++)
          add_entry (vms[i].disk, terms[i][j]);
        vms[i].disk.hard_state.term = terms[i].back ();
      }
    for (size_t i = 0; i < vms.size (); i++)
      start (i);
    committed[1] = committed_in[1] = 1;
  }

  /* Returns first voters whose logs are empty.  KNOWN[i] holds the VMs whose
   * disks VM i knows. */
  static model_state
  first_voters (const std::vector<std::set<size_t>> &known)
  {
    model_state state;

    state.known_ = known;
    state.vms.resize (known.size ());
    for (size_t i = 0; i < known.size (); i++)
      state.start (i);
    return state;
  }

  static br_name_t
  name (size_t i)
  {
    return br_name_from (i == 0 ? "a" : i == 1 ? "b" : "c");
  }

  void
  start (size_t i)
  {
    br_replica_options_t options = {};
    br_replica_saved_t saved = {};
    model_vm &vm = vms[i];

    options.vm = name (i);
    options.disk = i + 1;
    options.incarnation = 1;
    options.voter = true;
    options.founding = !known_.empty ();
    for (size_t j = 0; j < vms.size (); j++)
      if (j != i)
        br_replica_peers_push (&options.peers,
                               br_replica_peer_t{ name (j), true });
    options.heartbeat_ms = MODEL_HEARTBEAT_MS;
    options.election_min_ms = options.election_max_ms = MODEL_ELECTION_MS;
    options.proposal_wait_ms = options.proposal_max_ms = 1000000;
    options.append_max_bytes = 1;
    options.snapshot_chunk_bytes = 64;
    saved.hard_state = vm.disk.hard_state;
    for (const br_entry_t &entry : vm.disk.entries)
      br_entries_push (&saved.entries, br_entry_copy (&entry));
    vm.replica = br_replica_new (&options, &saved, vm.now);
    vm.replica->join_at_ms = BR_MS_NEVER;
    br_replica_peers_free (&options.peers);
    if (!known_.empty ())
      know_first_voters (i);
    process_output (i);
  }

  void
  crash (size_t i)
  {
    br_replica_free (vms[i].replica);
    vms[i].replica = nullptr;
  }

  void
  timeout (size_t i)
  {
    model_vm &vm = vms[i];

    br_ms_t until = std::max (vm.now + 1, br_replica_deadline (vm.replica));

    while (vm.now < until)
      {
        vm.now = std::min (until, vm.now + MODEL_HEARTBEAT_MS);
        br_replica_tick (vm.replica, vm.now);
      }
    process_output (i);
  }

  void
  deliver (size_t m, bool keep)
  {
    model_message message = network[m];
    br_name_t from = name (message.from);
    br_replica_message_t unpacked;

    if (!keep)
      network.erase (network.begin () + (long)m);
    if (!br_replica_unpack (
            br_str_make (message.bytes.data (), message.bytes.size ()), &from,
            &unpacked, nullptr))
      abort ();
    br_replica_step (vms[message.to].replica, vms[message.to].now, unpacked);
    process_output (message.to);
  }

  void
  propose (size_t i)
  {
    br_replica_propose (vms[i].replica, vms[i].now,
                        (uint64_t)(100 - remaining.proposals),
                        br_str_from ("x"));
    process_output (i);
  }

  void
  write (size_t i)
  {
    model_vm &vm = vms[i];
    br_replica_writes_t writes;

    br_replica_take_writes (vm.replica, &writes);
    if (writes.has_hard_state)
      vm.disk.hard_state = writes.hard_state;
    for (uint64_t at = writes.first; at <= writes.last; at++)
      {
        const br_entry_t *entry = br_replica_log_entry (&vm.replica->log, at);

        while (vm.disk.entries.size () >= at)
          {
            br_entry_release (&vm.disk.entries.back ());
            vm.disk.entries.pop_back ();
          }
        vm.disk.entries.push_back (br_entry_copy (entry));
      }
    br_replica_persisted (vm.replica, vm.now, writes.change);
    process_output (i);
  }

  /* Writes and delivers everything between A and B until nothing remains. */
  void
  drain (size_t a, size_t b)
  {
    for (bool busy = true; busy;)
      {
        busy = false;
        for (size_t i : { a, b })
          if (br_replica_has_writes (vms[i].replica))
            {
              write (i);
              busy = true;
            }
        for (size_t m = 0; m < network.size () && !busy; m++)
          if ((network[m].from == a && network[m].to == b)
              || (network[m].from == b && network[m].to == a))
            {
              deliver (m, false);
              busy = true;
            }
      }
  }

  /* Makes A the leader with the vote of B; the third VM receives nothing. */
  void
  elect (size_t a, size_t b)
  {
    nominate (a, b);
    for (int i = 0; i < 200 && vms[a].replica->role != BR_ROLE_LEADER; i++)
      {
        for (size_t each : { a, b })
          if (br_replica_has_writes (vms[each].replica))
            write (each);
        for (size_t m = 0; m < network.size (); m++)
          if ((network[m].from == a && network[m].to == b)
              || (network[m].from == b && network[m].to == a))
            {
              deliver (m, false);
              break;
            }
      }
    assert (vms[a].replica->role == BR_ROLE_LEADER);
  }

  /* Replicates entries from the leader A to B until the match index of B on A
   * is at least INDEX. */
  void
  replicate (size_t a, size_t b, uint64_t index)
  {
    const br_progresses_t *all = &vms[a].replica->progresses;

    for (int i = 0; i < 200; i++)
      {
        for (size_t p = 0; p < all->len; p++)
          if (br_name_equal (&all->items[p].vm, &vms[b].replica->options.vm)
              && all->items[p].match >= index)
            return;
        if (br_replica_has_writes (vms[b].replica))
          write (b);
        for (size_t m = 0; m < network.size (); m++)
          if ((network[m].from == a && network[m].to == b)
              || (network[m].from == b && network[m].to == a))
            {
              deliver (m, false);
              break;
            }
      }
    assert (!"the entry is not replicated");
  }

  /* Delivers the oldest message from A to B, if there is one. */
  void
  deliver_first (size_t a, size_t b)
  {
    for (size_t m = 0; m < network.size (); m++)
      if (network[m].from == a && network[m].to == b)
        {
          deliver (m, false);
          return;
        }
  }

  /* Makes A a candidate with the pre-vote of B. */
  void
  nominate (size_t a, size_t b)
  {
    timeout (a);
    deliver_first (a, b);
    deliver_first (b, a);
    if (br_replica_has_writes (vms[a].replica))
      write (a);
  }

  void
  drop_messages ()
  {
    network.clear ();
  }

  /* Sends the messages that may be sent, applies the committed entries and
   * checks the invariants. */
  void
  process_output (size_t i)
  {
    br_replica_t *replica = vms[i].replica;
    br_replica_message_t message;
    br_replica_event_t event;

    br_replica_flush (replica);
    while (br_replica_next_committed (replica) != nullptr)
      br_replica_applied (replica, vms[i].now);
    while (br_replica_take_event (replica, &event))
      ;
    while (br_replica_take_message (replica, &message))
      {
        send (i, message);
        br_replica_message_release (&message);
      }
    check (i);
  }

  uint64_t
  fingerprint () const
  {
    std::string all;

    for (const model_vm &vm : vms)
      describe (vm, &all);
    std::vector<std::string> messages;
    for (const model_message &m : network)
      messages.push_back (std::to_string (m.from) + std::to_string (m.to)
                          + m.canonical);
    std::sort (messages.begin (), messages.end ());
    for (const std::string &m : messages)
      all += m + "|";
    put (&all,
         { (uint64_t)remaining.timeouts, (uint64_t)remaining.crashes,
           (uint64_t)remaining.duplicates, (uint64_t)remaining.proposals });
    for (const auto &each : leaders)
      put (&all, { each.first, each.second });
    for (const auto &each : committed)
      put (&all, { each.first, each.second, committed_in.at (each.first) });
    return br_str_hash (br_str_make (all.data (), all.size ()), 7);
  }

private:
  std::vector<std::set<size_t>> known_; /* empty: the log is founded */

  void
  know_first_voters (size_t i)
  {
    br_replica_t *replica = vms[i].replica;

    for (size_t j = 0; j < vms.size (); j++)
      br_config_put (&replica->founding,
                     br_config_member_t{
                         name (j), known_[i].count (j) > 0 ? j + 1 : 0, true });
    br_replica_become_follower (replica, replica->hard_state.term, nullptr);
  }

  static void
  add_config (model_disk &disk)
  {
    br_entry_t entry = {};
    br_config_t config = {};

    for (size_t i = 0; i < vm_count; i++)
      br_config_put (&config, br_config_member_t{ name (i), i + 1, true });
    br_config_print (&config, &entry.data);
    br_config_release (&config);
    entry.index = entry.term = 1;
    entry.kind = BR_ENTRY_CONFIG;
    disk.entries.push_back (entry);
  }

  static void
  add_entry (model_disk &disk, uint64_t term)
  {
    br_entry_t entry = {};

    entry.index = disk.entries.size () + 1;
    entry.term = term;
    entry.kind = BR_ENTRY_COMMAND;
    entry.proposer.vm = name (0);
    entry.proposer.ticket = term;
    br_buf_append (&entry.data, br_str_from ("y"));
    disk.entries.push_back (entry);
  }

  static void
  put (std::string *out, std::initializer_list<uint64_t> numbers)
  {
    for (uint64_t number : numbers)
      out->append ((const char *)&number, sizeof number);
  }

  static uint64_t
  relative (br_ms_t at, br_ms_t now)
  {
    return (uint64_t)std::max<br_ms_t> (
        -MODEL_ELECTION_MS, std::min<br_ms_t> (MODEL_ELECTION_MS, at - now));
  }

  static std::string
  without_round (const std::string &bytes)
  {
    br_replica_message_t message;
    br_name_t from = name (0);
    br_buf_t out = {};

    if (!br_replica_unpack (br_str_make (bytes.data (), bytes.size ()), &from,
                            &message, nullptr))
      abort ();
    if (message.kind == BR_REPLICA_APPEND)
      message.append.round = 0, message.append.sent_ms = 0;
    if (message.kind == BR_REPLICA_APPEND_ANSWER)
      message.append_answer.round = 0, message.append_answer.sent_ms = 0;
    br_replica_pack (&message, &out);
    std::string canonical (out.data, out.len);
    br_buf_free (&out);
    br_replica_message_release (&message);
    return canonical;
  }

  static void
  describe (const model_vm &vm, std::string *out)
  {
    const br_replica_t *r = vm.replica;

    put (out, { vm.disk.hard_state.term, vm.disk.hard_state.commit,
                vm.disk.entries.size () });
    *out += vm.disk.hard_state.vote.data;
    for (const br_entry_t &entry : vm.disk.entries)
      put (out, { entry.term });
    if (r == nullptr)
      return;
    put (out,
         { (uint64_t)r->role, r->hard_state.term, r->commit, r->applied,
           r->change - r->persisted_change, r->written, r->persisted,
           (uint64_t)r->write_hard_state, relative (r->election_at_ms, vm.now),
           relative (r->heartbeat_at_ms, vm.now),
           relative (r->leader_last_seen_ms, vm.now), r->noop_index,
           r->log.entries.len });
    *out += std::string (r->hard_state.vote.data) + "," + r->leader.data + ",";
    for (size_t i = 0; i < r->log.entries.len; i++)
      put (out, { r->log.entries.items[i].term });
    for (size_t i = 0; i < r->progresses.len; i++)
      {
        const br_progress_t *p = &r->progresses.items[i];

        put (out, { (uint64_t)p->granted, p->next, p->match,
                    relative (p->last_seen_ms, vm.now),
                    relative (p->since_ms, vm.now) });
      }
    for (size_t i = r->outbox_head; i < r->outbox.len; i++)
      {
        br_buf_t packed = {};

        br_replica_pack (&r->outbox.items[i], &packed);
        *out += without_round (std::string (packed.data, packed.len));
        put (out, { r->outbox.items[i].after - r->persisted_change });
        br_buf_free (&packed);
      }
  }

  void
  send (size_t from, const br_replica_message_t &message)
  {
    br_buf_t out = {};
    model_message sent = { from, 0, "", "" };

    while (!(br_str_equal (br_name_str (&message.vm),
                           br_str_from (name (sent.to).data))))
      sent.to++;
    br_replica_pack (&message, &out);
    sent.bytes.assign (out.data, out.len);
    sent.canonical = without_round (sent.bytes);
    br_buf_free (&out);
    if (std::find (network.begin (), network.end (), sent) == network.end ())
      network.push_back (sent);
    if (network.size () > remaining.network)
      network.erase (network.begin ());
  }

  bool
  holds (const model_vm &vm, uint64_t index, uint64_t term) const
  {
    return vm.disk.entries.size () >= index
           && vm.disk.entries[index - 1].term == term;
  }

  void
  check (size_t i)
  {
    const br_replica_t *r = vms[i].replica;

    for (uint64_t at = 1; at <= r->commit; at++)
      check_committed (at, br_replica_log_term (&r->log, at),
                       r->hard_state.term);
    if (r->role == BR_ROLE_LEADER)
      check_leader (i);
    check_log_matching (i);
  }

  void
  check_committed (uint64_t index, uint64_t term, uint64_t in)
  {
    size_t holders = 0;
    auto known = committed.find (index);

    if (known != committed.end () && known->second != term)
      violation = "two entries are committed at one index";
    if (known != committed.end ())
      return;
    committed[index] = term;
    committed_in[index] = in;
    for (const model_vm &vm : vms)
      holders += holds (vm, index, term);
    if (holders < vms.size () / 2 + 1)
      violation = "an entry is committed without a majority of disks";
  }

  void
  check_leader (size_t i)
  {
    const br_replica_t *r = vms[i].replica;
    uint64_t term = r->hard_state.term;
    auto known = leaders.find (term);

    if (known != leaders.end () && known->second != i)
      violation = "two leaders in one term";
    if (known != leaders.end ())
      return;
    leaders[term] = i;
    for (const auto &each : committed)
      if (committed_in[each.first] < term
          && (each.first > br_replica_log_last_index (&r->log)
              || br_replica_log_term (&r->log, each.first) != each.second))
        violation = "a new leader lacks a committed entry";
  }

  void
  check_log_matching (size_t i)
  {
    const br_replica_log_t *mine = &vms[i].replica->log;

    for (const model_vm &vm : vms)
      {
        if (vm.replica == nullptr || vm.replica == vms[i].replica)
          continue;
        const br_replica_log_t *other = &vm.replica->log;
        uint64_t last = std::min (br_replica_log_last_index (mine),
                                  br_replica_log_last_index (other));
        bool same = false;

        for (uint64_t at = last; at > 0; at--)
          {
            bool equal = br_replica_log_term (mine, at)
                         == br_replica_log_term (other, at);

            if (same && !equal)
              violation = "logs differ before an equal entry";
            same = same || equal;
          }
      }
  }

public:
  static size_t vm_count;
};

size_t model_state::vm_count = 3;

/* Visits every state within the limits. */
class model_search
{
public:
  size_t states = 0;
  size_t committed_max = 0;
  size_t leaders_max = 0;
  std::string violation;
  std::vector<std::string> trace;

  void
  visit (const model_state &state)
  {
    uint64_t hash = state.fingerprint ();
    auto seen = seen_.find (hash);

    if (!state.violation.empty ())
      {
        violation = state.violation;
        trace = path_;
        return;
      }
    if (seen == seen_.end ())
      states++;
    if (seen != seen_.end () && seen->second >= state.remaining.depth)
      return;
    seen_[hash] = state.remaining.depth;
    committed_max = std::max (committed_max, state.committed.size ());
    leaders_max = std::max (leaders_max, state.leaders.size ());
    if (state.remaining.depth == 0)
      return;
    visit_deliveries (state);
    for (size_t i = 0; i < state.vms.size (); i++)
      visit_vm (state, i);
  }

private:
  template <typename action_t>
  void
  explore (const model_state &state, const std::string &what, action_t action)
  {
    if (!violation.empty ())
      return;
    model_state next (state);

    next.remaining.depth--;
    action (next);
    path_.push_back (what);
    visit (next);
    path_.pop_back ();
  }

  void
  visit_deliveries (const model_state &state)
  {
    for (size_t m = 0; m < state.network.size (); m++)
      {
        const model_message &message = state.network[m];
        std::string what = describe (message);

        if (state.vms[message.to].replica == nullptr)
          continue;
        explore (state, what,
                 [m] (model_state &next) { next.deliver (m, false); });
        if (state.remaining.duplicates > 0)
          explore (state, what + " (twice)", [m] (model_state &next) {
            next.remaining.duplicates--;
            next.deliver (m, true);
          });
      }
  }

  void
  visit_vm (const model_state &state, size_t i)
  {
    std::string vm (1, (char)('a' + i));
    const br_replica_t *replica = state.vms[i].replica;

    if (replica == nullptr)
      {
        explore (state, "start " + vm,
                 [i] (model_state &next) { next.start (i); });
        return;
      }
    if (br_replica_has_writes (replica))
      explore (state, "write " + vm,
               [i] (model_state &next) { next.write (i); });
    if (state.remaining.timeouts > 0)
      explore (state, "timeout " + vm, [i] (model_state &next) {
        next.remaining.timeouts--;
        next.timeout (i);
      });
    if (state.remaining.crashes > 0)
      explore (state, "crash " + vm, [i] (model_state &next) {
        next.remaining.crashes--;
        next.crash (i);
      });
    if (state.remaining.proposals > 0 && replica->role == BR_ROLE_LEADER)
      explore (state, "propose " + vm, [i] (model_state &next) {
        next.remaining.proposals--;
        next.propose (i);
      });
  }

  static std::string
  describe (const model_message &message)
  {
    br_replica_message_t unpacked;
    br_name_t from = model_state::name (message.from);

    if (!br_replica_unpack (
            br_str_make (message.bytes.data (), message.bytes.size ()), &from,
            &unpacked, nullptr))
      abort ();
    std::string text
        = std::string ("deliver ") + br_replica_message_name (unpacked.kind)
          + " term " + std::to_string (unpacked.term) + " "
          + (char)('a' + message.from) + "->" + (char)('a' + message.to);
    br_replica_message_release (&unpacked);
    return text;
  }

  std::unordered_map<uint64_t, size_t> seen_;
  std::vector<std::string> path_;
};

#endif
