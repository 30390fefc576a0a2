#include "replica/replica_private.h"

void
br_replica_send (br_replica_t *replica,
                 const br_name_t *to,
                 br_replica_message_t message,
                 uint64_t after)
{
  /* It could only be sent after the write, and would be old then. */
  if (replica->disk_refuses && after > replica->persisted_change)
    {
      br_replica_message_release (&message);
      return;
    }
  message.vm = *to;
  message.disk = replica->options.disk;
  message.after = after;
  br_replica_messages_push (&replica->outbox, message);
}

void
br_replica_event (br_replica_t *replica, br_replica_event_t event)
{
  br_replica_events_push (&replica->events, event);
}

const br_config_t *
br_replica_config (const br_replica_t *replica)
{
  if (br_replica_log_last_index (&replica->log) == 0
      && replica->founding.members.len > 0)
    return &replica->founding;
  return br_replica_log_config (&replica->log);
}

bool
br_replica_is_voter (const br_replica_t *replica)
{
  return !replica->conflicts
         && br_config_is_voter (br_replica_config (replica),
                                &replica->options.vm, replica->options.disk);
}

void
br_replica_set_conflicts (br_replica_t *replica, bool conflicts)
{
  replica->conflicts = conflicts;
  br_replica_set_role (replica, br_replica_is_voter (replica)
                                    ? BR_ROLE_FOLLOWER
                                    : BR_ROLE_LEARNER);
}

void
br_replica_set_role (br_replica_t *replica, br_replica_role_t role)
{
  if (replica->role == role)
    return;
  replica->role = role;
  br_replica_event (replica,
                    (br_replica_event_t){ .kind = BR_REPLICA_EVENT_ROLE });
}

void
br_replica_set_hard_state (br_replica_t *replica,
                           uint64_t term,
                           const br_name_t *vote)
{
  br_hard_state_t *state = &replica->hard_state;

  assert (term >= state->term);
  if (term == state->term && br_name_equal (&state->vote, vote))
    return;
  state->term = term;
  state->vote = *vote;
  replica->write_hard_state = true;
  replica->hard_change = ++replica->change;
}

void
br_replica_reset_election (br_replica_t *replica)
{
  const br_replica_options_t *options = &replica->options;
  br_ms_t spread = options->election_max_ms - options->election_min_ms;

  replica->election_at_ms = replica->now + options->election_min_ms;
  if (spread > 0)
    replica->election_at_ms
        += (br_ms_t)br_random_below (&replica->random, (uint64_t)spread);
}

void
br_replica_become_follower (br_replica_t *replica,
                            uint64_t term,
                            const br_name_t *leader)
{
  static const br_name_t no_vm;

  if (replica->role == BR_ROLE_LEADER)
    {
      br_replica_drop_reads (replica);
      br_replica_keep_silences (replica);
      replica->leader_last_seen_ms = replica->now;
    }
  if (term > replica->hard_state.term)
    br_replica_set_hard_state (replica, term, &no_vm);
  replica->leader = leader != NULL ? *leader : no_vm;
  replica->in_transfer_election = false;
  br_replica_set_role (replica, br_replica_is_voter (replica)
                                    ? BR_ROLE_FOLLOWER
                                    : BR_ROLE_LEARNER);
  br_replica_reset_election (replica);
}

br_progress_t *
br_replica_progress (br_replica_t *replica, const br_name_t *vm, uint64_t disk)
{
  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      br_progress_t *progress = &replica->progresses.items[i];

      if (progress->disk == disk && br_name_equal (&progress->vm, vm))
        return progress;
    }
  return NULL;
}

br_progress_t *
br_replica_add_progress (br_replica_t *replica,
                         const br_name_t *vm,
                         uint64_t disk)
{
  br_progress_t *progress = br_replica_progress (replica, vm, disk);
  br_progress_t fresh = {
    .vm = *vm,
    .disk = disk,
    .next = br_replica_log_last_index (&replica->log) + 1,
    .since_ms = replica->now,
    .paused_ms = replica->paused_ms,
    .join_number = replica->join_count,
  };

  if (progress != NULL)
    return progress;
  replica->join_count++;
  return br_progresses_push (&replica->progresses, fresh);
}

void
br_replica_append_entry (br_replica_t *replica, br_entry_t entry)
{
  br_entry_kind_t kind = entry.kind;

  size_t voters = br_config_voters (br_replica_config (replica));

  br_replica_log_append (&replica->log, entry);
  if (br_config_voters (br_replica_config (replica)) > voters)
    replica->grown_ms = replica->now;
  replica->change++;
  if (kind == BR_ENTRY_CONFIG)
    br_replica_event (replica,
                      (br_replica_event_t){ .kind = BR_REPLICA_EVENT_CONFIG,
                                            .index = entry.index });
}

void
br_replica_truncate (br_replica_t *replica, uint64_t index)
{
  assert (index > replica->commit);
  br_replica_log_truncate (&replica->log, index);
  replica->written = BR_MIN (replica->written, index - 1);
  replica->writing = BR_MIN (replica->writing, index - 1);
  replica->persisted = BR_MIN (replica->persisted, index - 1);
  replica->change++;
}

void
br_replica_set_commit (br_replica_t *replica, uint64_t commit)
{
  assert (commit <= br_replica_log_last_index (&replica->log));
  replica->commit = BR_MAX (replica->commit, commit);
}

static void
replica_load (br_replica_t *replica, br_replica_saved_t *saved)
{
  replica->hard_state = saved->hard_state;
  if (saved->snapshot.index > 0)
    br_replica_log_reset (&replica->log, saved->snapshot.index,
                          saved->snapshot.term, &saved->snapshot.config);
  replica->snapshot = saved->snapshot;
  for (size_t i = 0; i < saved->entries.len; i++)
    br_replica_log_append (&replica->log, saved->entries.items[i]);
  br_entries_free (&saved->entries);
  *saved = (br_replica_saved_t){ 0 };
  replica->written = br_replica_log_last_index (&replica->log);
  replica->applied = replica->snapshot.index;
  /* The commit index may be past the last entry on this disk: a leader commits
   * entries that the other voters have stored, before its own write is done. */
  replica->commit = BR_MAX (
      replica->applied, BR_MIN (replica->hard_state.commit, replica->written));
  replica->writing = replica->persisted = replica->written;
}

/* Appends the first configuration of a VM without peers. */
static void
replica_bootstrap_alone (br_replica_t *replica)
{
  br_config_t config = { 0 };
  br_entry_t entry = { .index = 1, .term = 1, .kind = BR_ENTRY_CONFIG };

  br_config_put (&config, (br_config_member_t){ replica->options.vm,
                                                replica->options.disk, true });
  br_config_print (&config, &entry.data);
  br_config_release (&config);
  br_replica_set_hard_state (replica, 1, &replica->options.vm);
  br_replica_append_entry (replica, entry);
}

br_replica_t *
br_replica_new (const br_replica_options_t *options,
                br_replica_saved_t *saved,
                br_ms_t now)
{
  br_replica_t *replica = br_alloc_zero (sizeof *replica);

  replica->options = *options;
  replica->options.peers = (br_replica_peers_t){ 0 };
  for (size_t i = 0; i < options->peers.len; i++)
    {
      br_replica_peers_push (&replica->options.peers, options->peers.items[i]);
      br_contacts_put (&replica->contacts.seeds, &options->peers.items[i].vm);
    }
  br_random_seed (&replica->random, options->seed);
  replica->now = replica->started_ms = now;
  replica->has_space = true;
  /* A vote may have been sent just before the restart. */
  replica->leader_last_seen_ms = now;
  if (saved != NULL)
    replica_load (replica, saved);
  if (options->peers.len == 0 && !options->joins
      && br_replica_log_last_index (&replica->log) == 0)
    replica_bootstrap_alone (replica);
  br_replica_become_follower (replica, replica->hard_state.term, NULL);
  if (br_replica_is_voter (replica)
      && br_config_voters (br_replica_config (replica)) == 1)
    br_replica_campaign (replica, false, false);
  return replica;
}

void
br_replica_free (br_replica_t *replica)
{
  if (replica == NULL)
    return;
  for (size_t i = replica->outbox_head; i < replica->outbox.len; i++)
    br_replica_message_release (&replica->outbox.items[i]);
  br_replica_messages_free (&replica->outbox);
  for (size_t i = 0; i < replica->pendings.len; i++)
    br_buf_free (&replica->pendings.items[i].command);
  br_pendings_free (&replica->pendings);
  br_replica_events_free (&replica->events);
  br_replica_peers_free (&replica->options.peers);
  br_replica_log_release (&replica->log);
  br_replica_snapshot_release (&replica->snapshot);
  br_replica_snapshot_release (&replica->incoming);
  br_progresses_free (&replica->progresses);
  br_quorum_reads_free (&replica->quorum_reads);
  br_tickets_free (&replica->tickets);
  br_config_members_free (&replica->empty_voters);
  br_config_release (&replica->founding);
  br_contacts_release (&replica->contacts);
  br_silences_free (&replica->silences);
  free (replica);
}

/* Returns whether a message of a higher term does not advance this replica's
 * term. */
static bool
message_keeps_term (const br_replica_message_t *message)
{
  switch (message->kind)
    {
    case BR_REPLICA_VOTE_REQUEST:
      return true; /* br_replica_on_vote_request() decides */
    case BR_REPLICA_VOTE_ANSWER:
      return message->vote_answer.pre_vote && message->vote_answer.granted;
    case BR_REPLICA_APPEND_ANSWER:
    case BR_REPLICA_SNAPSHOT_ANSWER:
    case BR_REPLICA_APPEND:
    case BR_REPLICA_SNAPSHOT:
      return false;
    default:
      return true;
    }
}

static void
replica_dispatch (br_replica_t *replica, br_replica_message_t *message)
{
  switch (message->kind)
    {
    case BR_REPLICA_VOTE_REQUEST:
      br_replica_on_vote_request (replica, message);
      break;
    case BR_REPLICA_VOTE_ANSWER:
      br_replica_on_vote_answer (replica, message);
      break;
    case BR_REPLICA_APPEND:
      br_replica_on_append (replica, message);
      break;
    case BR_REPLICA_APPEND_ANSWER:
      br_replica_on_append_answer (replica, message);
      break;
    case BR_REPLICA_SNAPSHOT:
      br_replica_on_snapshot (replica, message);
      break;
    case BR_REPLICA_SNAPSHOT_ANSWER:
      br_replica_on_snapshot_answer (replica, message);
      break;
    case BR_REPLICA_TIMEOUT_NOW:
      br_replica_on_timeout_now (replica, message);
      break;
    case BR_REPLICA_JOIN:
      br_replica_on_join (replica, message);
      break;
    case BR_REPLICA_JOIN_ANSWER:
      br_replica_on_join_answer (replica, message);
      break;
    case BR_REPLICA_BOOTSTRAP:
      br_replica_on_bootstrap (replica, message);
      break;
    case BR_REPLICA_BOOTSTRAP_ANSWER:
      br_replica_on_bootstrap_answer (replica, message);
      break;
    case BR_REPLICA_READ:
      br_replica_on_read (replica, message);
      break;
    case BR_REPLICA_READ_ANSWER:
      br_replica_on_read_answer (replica, message);
      break;
    case BR_REPLICA_PROPOSE:
      br_replica_on_propose (replica, message);
      break;
    case BR_REPLICA_PROPOSE_ANSWER:
      br_replica_on_propose_answer (replica, message);
      break;
    case BR_REPLICA_MESSAGE_COUNT:
      break;
    }
}

void
br_replica_advance (br_replica_t *replica, br_ms_t now)
{
  br_ms_t pause_ms = now - replica->now;

  if (pause_ms > replica->options.heartbeat_ms)
    {
      replica->pause_ms = pause_ms;
      replica->resumed_ms = now;
      /* Heartbeats that arrived in the pause have not been read yet. */
      replica->election_at_ms += pause_ms - replica->options.heartbeat_ms;
      replica->paused_ms += pause_ms - replica->options.heartbeat_ms;
    }
  replica->now = BR_MAX (replica->now, now);
}

/* Advances the time.  A leader without a quorum steps down before it does
 * anything else, in particular after it was frozen for long. */
static void
replica_set_time (br_replica_t *replica, br_ms_t now)
{
  br_replica_advance (replica, now);
  if (replica->role == BR_ROLE_LEADER && br_replica_quorum_is_lost (replica))
    br_replica_leave_quorum (replica);
}

void
br_replica_step (br_replica_t *replica,
                 br_ms_t now,
                 br_replica_message_t message)
{
  replica_set_time (replica, now);
  if (replica->disk_refuses && !br_replica_reduce (replica, &message))
    {
      br_replica_message_release (&message);
      return;
    }
  if (message.to_disk != 0 && message.to_disk != replica->options.disk)
    {
      /* A VM that knows the disk that this one lost knows the log. */
      br_contacts_add (&replica->contacts, &message.vm, replica->now);
      br_replica_message_release (&message);
      return;
    }
  if (message.term > replica->hard_state.term && !message_keeps_term (&message))
    br_replica_become_follower (replica, message.term, NULL);
  replica_dispatch (replica, &message);
  br_replica_message_release (&message);
  br_replica_send_pending (replica);
}

void
br_replica_tick (br_replica_t *replica, br_ms_t now)
{
  replica_set_time (replica, now);
  if (replica->role == BR_ROLE_LEADER)
    br_replica_tick_leader (replica);
  else if (replica->now >= replica->election_at_ms)
    {
      if (br_replica_is_voter (replica))
        br_replica_campaign (replica, true, false);
      else
        br_replica_become_follower (replica, replica->hard_state.term, NULL);
    }
  br_replica_tick_join (replica);
  br_replica_tick_proposals (replica);
}

br_ms_t
br_replica_deadline (const br_replica_t *replica)
{
  br_ms_t at = replica->role == BR_ROLE_LEADER ? replica->heartbeat_at_ms
                                               : replica->election_at_ms;

  if (replica->leader.len == 0)
    at = BR_MIN (at, replica->join_at_ms);
  for (size_t i = 0; i < replica->pendings.len; i++)
    {
      const br_pending_t *pending = &replica->pendings.items[i];
      br_ms_t wait = pending->state == BR_PENDING_WAITING
                         ? replica->options.proposal_wait_ms
                         : replica->options.proposal_max_ms;

      at = BR_MIN (at, pending->since_ms + wait);
    }
  return at;
}

void
br_replica_flush (br_replica_t *replica)
{
  if (replica->role == BR_ROLE_LEADER && replica->has_updates)
    br_replica_broadcast (replica);
  if (replica->role == BR_ROLE_LEADER)
    br_replica_confirm_reads (replica);
}

bool
br_replica_has_writes (const br_replica_t *replica)
{
  return replica->change != replica->persisted_change;
}

void
br_replica_save_commit (br_replica_t *replica)
{
  if (replica->commit > replica->hard_state.commit
      && !br_replica_has_writes (replica))
    replica->change++;
}

bool
br_replica_take_writes (br_replica_t *replica, br_replica_writes_t *writes)
{
  uint64_t last = br_replica_log_last_index (&replica->log);
  bool whole = replica->write_snapshot;

  if (!br_replica_has_writes (replica))
    return false;
  if (replica->commit > replica->hard_state.commit)
    {
      replica->hard_state.commit = replica->commit;
      replica->write_hard_state = true;
    }
  *writes = (br_replica_writes_t){
    .change = replica->change,
    .has_hard_state = replica->write_hard_state || whole,
    .hard_state = replica->hard_state,
    .first = whole ? replica->log.base_index + 1 : replica->written + 1,
    .last = last,
    .snapshot = whole ? &replica->snapshot : NULL,
  };
  replica->write_hard_state = false;
  replica->write_snapshot = false;
  replica->written = replica->writing = last;
  return true;
}

void
br_replica_persisted (br_replica_t *replica, br_ms_t now, uint64_t change)
{
  assert (change <= replica->change);
  replica->persisted_change = change;
  replica->persisted = replica->writing;
  replica_set_time (replica, now);
  if (replica->role == BR_ROLE_LEADER)
    br_replica_advance_commit (replica);
}

/* Returns messages in order.  A message that waits for the disk is overtaken by
 * later ones that do not wait. */
bool
br_replica_take_message (br_replica_t *replica, br_replica_message_t *message)
{
  br_replica_messages_t *outbox = &replica->outbox;

  for (size_t i = replica->outbox_head; i < outbox->len; i++)
    {
      if (outbox->items[i].after > replica->persisted_change)
        continue;
      *message = outbox->items[i];
      for (size_t j = i; j > replica->outbox_head; j--)
        outbox->items[j] = outbox->items[j - 1];
      replica->outbox_head++;
      return true;
    }
  if (replica->outbox_head == outbox->len)
    {
      br_replica_messages_clear (outbox);
      replica->outbox_head = 0;
    }
  return false;
}

const br_entry_t *
br_replica_next_committed (const br_replica_t *replica)
{
  if (replica->applied >= replica->commit)
    return NULL;
  return br_replica_log_entry (&replica->log, replica->applied + 1);
}

void
br_replica_applied (br_replica_t *replica, br_ms_t now)
{
  const br_entry_t *entry = br_replica_next_committed (replica);

  assert (entry != NULL);
  br_replica_advance (replica, now);
  replica->applied++;
  br_replica_complete_applied (replica, entry);
  br_replica_complete_reads (replica);
}

void
br_replica_make_snapshot (const br_replica_t *replica,
                          br_str_t state,
                          br_replica_snapshot_t *snapshot)
{
  *snapshot = (br_replica_snapshot_t){
    .index = replica->applied,
    .term = br_replica_log_term (&replica->log, replica->applied),
  };
  br_config_copy (&snapshot->config,
                  br_replica_log_config_at (&replica->log, replica->applied));
  br_buf_append (&snapshot->state, state);
}

void
br_replica_compact (br_replica_t *replica, br_replica_snapshot_t *snapshot)
{
  if (snapshot->index > replica->snapshot.index)
    {
      br_replica_snapshot_release (&replica->snapshot);
      replica->snapshot = *snapshot;
      br_replica_log_compact (&replica->log, snapshot->index);
    }
  else
    br_replica_snapshot_release (snapshot);
  *snapshot = (br_replica_snapshot_t){ 0 };
}

bool
br_replica_take_event (br_replica_t *replica, br_replica_event_t *event)
{
  if (replica->events_head == replica->events.len)
    {
      br_replica_events_clear (&replica->events);
      replica->events_head = 0;
      return false;
    }
  *event = replica->events.items[replica->events_head++];
  return true;
}
