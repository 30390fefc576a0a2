#include "replica/replica_private.h"

/* A leader whose disk is full hands over again after this many of the longest
 * election timeouts. */
#define HAND_OVER_ELECTIONS 2

static bool
leader_is_voter (const br_replica_t *replica, const br_progress_t *progress)
{
  return br_config_is_voter (br_replica_config (replica), &progress->vm,
                             progress->disk);
}

br_ms_t
br_replica_silent_ms (const br_replica_t *replica,
                      const br_progress_t *progress)
{
  return replica->now - BR_MAX (progress->last_seen_ms, progress->since_ms);
}

bool
br_replica_quorum_is_lost (const br_replica_t *replica)
{
  br_ms_t election_max_ms = replica->options.election_max_ms;
  size_t live = br_replica_is_voter (replica);

  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];
      br_ms_t paused_ms
          = BR_MIN (replica->paused_ms - progress->paused_ms, election_max_ms);

      if (leader_is_voter (replica, progress)
          && br_replica_silent_ms (replica, progress) - paused_ms
                 < election_max_ms)
        live++;
    }
  return live < br_config_majority (br_replica_config (replica));
}

static int
time_compare (const void *a, const void *b)
{
  br_ms_t left = *(const br_ms_t *)a;
  br_ms_t right = *(const br_ms_t *)b;

  return (left < right) - (left > right);
}

/* Returns the send time of the latest message that a quorum has answered. */
static br_ms_t
leader_quorum_ms (const br_replica_t *replica)
{
  br_ms_t seen[BR_VOTERS_MAX + 1] = { 0 };
  size_t n = 0;

  if (br_replica_is_voter (replica))
    seen[n++] = replica->now;
  for (size_t i = 0; i < replica->progresses.len; i++)
    if (leader_is_voter (replica, &replica->progresses.items[i]))
      seen[n++]
          = replica->now
            - br_replica_silent_ms (replica, &replica->progresses.items[i]);
  assert (n <= BR_VOTERS_MAX);
  qsort (seen, n, sizeof seen[0], time_compare);
  return seen[br_config_majority (br_replica_config (replica)) - 1];
}

void
br_replica_leave_quorum (br_replica_t *replica)
{
  br_replica_event_t event = {
    .kind = BR_REPLICA_EVENT_QUORUM_LOST,
    .silent_ms = replica->now - leader_quorum_ms (replica),
    .pause_ms = replica->pause_ms,
    .resumed_ms = replica->now - replica->resumed_ms,
  };
  br_ms_t answered_ms = replica->leads_since_ms;

  for (size_t i = 0; i < replica->progresses.len; i++)
    if (leader_is_voter (replica, &replica->progresses.items[i]))
      answered_ms
          = BR_MAX (answered_ms, replica->progresses.items[i].answered_ms);
  event.answered_ms = replica->now - answered_ms;
  br_replica_event (replica, event);
  br_replica_become_follower (replica, replica->hard_state.term, NULL);
}

bool
br_replica_has_lease (const br_replica_t *replica, br_ms_t now)
{
  size_t live = br_replica_is_voter (replica);

  /* Voters elect the target of a transfer although this leader is live. */
  if (replica->role != BR_ROLE_LEADER || replica->transfer_to.len > 0)
    return false;
  now = BR_MAX (replica->now, now);
  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];

      if (leader_is_voter (replica, progress)
          && now - BR_MAX (progress->last_seen_ms, progress->since_ms)
                 < replica->options.election_min_ms)
        live++;
    }
  return live >= br_config_majority (br_replica_config (replica));
}

/* Adds a progress for every other voter of the configuration in force. */
static void
leader_add_voters (br_replica_t *replica)
{
  const br_config_t *config = br_replica_config (replica);

  for (size_t i = 0; i < config->members.len; i++)
    {
      const br_config_member_t *member = &config->members.items[i];

      if (member->voter && !br_name_equal (&member->vm, &replica->options.vm))
        br_replica_add_progress (replica, &member->vm, member->disk)
            ->voter_requested
            = true;
    }
}

/* Returns whether the VM of PROGRESS has another disk now: it is a voter with
 * another disk, or it has no vote and joined later with another disk. */
static bool
leader_disk_is_replaced (const br_replica_t *replica,
                         const br_progress_t *progress)
{
  const br_config_member_t *member
      = br_config_find (br_replica_config (replica), &progress->vm);

  if (member != NULL && member->voter)
    return member->disk != progress->disk;
  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *other = &replica->progresses.items[i];

      if (other->join_number > progress->join_number
          && br_name_equal (&other->vm, &progress->vm))
        return true;
    }
  return false;
}

static void
leader_drop_replaced_disks (br_replica_t *replica)
{
  br_progresses_t *all = &replica->progresses;

  for (size_t i = 0; i < all->len;)
    if (leader_disk_is_replaced (replica, &all->items[i]))
      all->items[i] = all->items[--all->len];
    else
      i++;
}

bool
br_replica_lead_append (br_replica_t *replica,
                        br_entry_kind_t kind,
                        const br_proposer_t *proposer,
                        br_str_t data)
{
  br_entry_t entry = {
    .index = br_replica_log_last_index (&replica->log) + 1,
    .term = replica->hard_state.term,
    .kind = kind,
  };

  assert (replica->role == BR_ROLE_LEADER);
  if (kind == BR_ENTRY_COMMAND
      && (!br_replica_takes_proposals (replica)
          || replica->transfer_to.len > 0))
    return false;
  if (proposer != NULL)
    entry.proposer = *proposer;
  br_buf_append (&entry.data, data);
  br_replica_append_entry (replica, entry);
  if (kind == BR_ENTRY_CONFIG)
    {
      leader_drop_replaced_disks (replica);
      leader_add_voters (replica);
    }
  replica->has_updates = true;
  return true;
}

void
br_replica_broadcast (br_replica_t *replica)
{
  replica->heartbeat_at_ms = replica->now + replica->options.heartbeat_ms;
  replica->has_updates = false;
  for (size_t i = 0; i < replica->progresses.len; i++)
    br_replica_replicate (replica, &replica->progresses.items[i], true);
}

/* A voter that granted its vote is not silent. */
static void
leader_drop_granted (br_replica_t *replica)
{
  br_silences_t *silences = &replica->silences;

  for (size_t i = 0; i < silences->len;)
    {
      const br_silence_t *silence = &silences->items[i];
      const br_progress_t *progress
          = br_replica_progress (replica, &silence->vm, silence->disk);

      if (progress != NULL && progress->granted)
        silences->items[i] = silences->items[--silences->len];
      else
        i++;
    }
}

/* Voters that were silent under the last leader have been silent since then.
 * Otherwise a dead voter would keep its vote while leaders change. */
static void
leader_inherit_silences (br_replica_t *replica)
{
  for (size_t i = 0; i < replica->silences.len; i++)
    {
      const br_silence_t *silence = &replica->silences.items[i];
      br_progress_t *progress
          = br_replica_progress (replica, &silence->vm, silence->disk);

      if (progress != NULL)
        progress->since_ms = BR_MIN (progress->since_ms, silence->since_ms);
    }
  br_silences_clear (&replica->silences);
}

void
br_replica_keep_silences (br_replica_t *replica)
{
  br_silences_clear (&replica->silences);
  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];
      br_ms_t silent_ms = br_replica_silent_ms (replica, progress);

      if (leader_is_voter (replica, progress)
          && silent_ms >= replica->options.election_min_ms)
        br_silences_push (&replica->silences,
                          (br_silence_t){ progress->vm, progress->disk,
                                          replica->now - silent_ms });
    }
}

/* The last leader has been silent since its last message. */
static void
leader_add_last_leader (br_replica_t *replica)
{
  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];

      if (br_name_equal (&progress->vm, &replica->last_leader))
        br_silences_push (&replica->silences,
                          (br_silence_t){ progress->vm, progress->disk,
                                          replica->leader_last_seen_ms });
    }
  replica->last_leader = (br_name_t){ 0 };
}

void
br_replica_lead (br_replica_t *replica)
{
  static const br_name_t no_vm;

  replica->leader = replica->options.vm;
  replica->leads_since_ms = replica->now;
  replica->transfer_to = no_vm;
  br_tickets_clear (&replica->tickets);
  leader_add_last_leader (replica);
  leader_drop_granted (replica);
  br_progresses_clear (&replica->progresses);
  leader_add_voters (replica);
  leader_inherit_silences (replica);
  br_replica_set_role (replica, BR_ROLE_LEADER);
  if (br_replica_log_last_index (&replica->log) == 0)
    br_replica_found (replica);
  br_replica_lead_append (replica, BR_ENTRY_NOOP, NULL, br_str_from (""));
  replica->noop_index = br_replica_log_last_index (&replica->log);
  br_replica_broadcast (replica);
}

static int
index_compare (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left < right) - (left > right);
}

/* Returns the highest index that a majority of the voters has on disk. */
static uint64_t
leader_majority_index (const br_replica_t *replica)
{
  const br_config_t *config = br_replica_config (replica);
  uint64_t matched[BR_VOTERS_MAX + 1] = { 0 };
  size_t n = 0;

  if (br_replica_is_voter (replica))
    matched[n++] = replica->persisted;
  for (size_t i = 0; i < replica->progresses.len; i++)
    if (leader_is_voter (replica, &replica->progresses.items[i]))
      matched[n++] = replica->progresses.items[i].match;
  assert (n <= BR_VOTERS_MAX);
  qsort (matched, n, sizeof matched[0], index_compare);
  return matched[br_config_majority (config) - 1];
}

void
br_replica_advance_commit (br_replica_t *replica)
{
  uint64_t index = leader_majority_index (replica);

  /* Entries of earlier terms are committed only indirectly, by a later entry of
   * this term. */
  if (index <= replica->commit
      || br_replica_log_term (&replica->log, index) != replica->hard_state.term)
    return;
  br_replica_set_commit (replica, index);
  replica->has_updates = true;
  if (!br_replica_is_voter (replica)
      && br_replica_log_config_index (&replica->log) <= index)
    {
      br_replica_broadcast (replica);
      br_replica_become_follower (replica, replica->hard_state.term, NULL);
    }
}

/* Returns the length of the pauses before SENT_MS, as far as known: without the
 * last one if that ended later. */
static br_ms_t
leader_paused_before (const br_replica_t *replica, br_ms_t sent_ms)
{
  if (sent_ms >= replica->resumed_ms)
    return replica->paused_ms;
  return replica->paused_ms
         - (replica->pause_ms - replica->options.heartbeat_ms);
}

/* Records the round and the send time that an answer returns.  Returns the
 * progress of the sender, or NULL when the answer must be ignored. */
static br_progress_t *
leader_record_answer (br_replica_t *replica,
                      const br_replica_message_t *message,
                      uint64_t round,
                      br_ms_t sent_ms)
{
  br_progress_t *progress;

  if (replica->role != BR_ROLE_LEADER
      || message->term != replica->hard_state.term || round > replica->round
      || sent_ms > replica->now)
    return NULL;
  progress = br_replica_progress (replica, &message->vm, message->disk);
  if (progress == NULL)
    return NULL;
  progress->round = BR_MAX (progress->round, round);
  progress->last_seen_ms = BR_MAX (progress->last_seen_ms, sent_ms);
  progress->answered_ms = replica->now;
  progress->paused_ms
      = BR_MAX (progress->paused_ms, leader_paused_before (replica, sent_ms));
  br_replica_confirm_reads (replica);
  return progress;
}

static void
leader_continue_transfer (br_replica_t *replica, const br_progress_t *progress)
{
  br_replica_message_t timeout_now = { .kind = BR_REPLICA_TIMEOUT_NOW };

  if (!br_name_equal (&progress->vm, &replica->transfer_to)
      || progress->match < br_replica_log_last_index (&replica->log))
    return;
  timeout_now.term = replica->hard_state.term;
  timeout_now.to_disk = progress->disk;
  br_replica_send (replica, &progress->vm, timeout_now, replica->hard_change);
}

void
br_replica_on_append_answer (br_replica_t *replica,
                             const br_replica_message_t *message)
{
  const br_append_answer_t *answer = &message->append_answer;
  uint64_t last = br_replica_log_last_index (&replica->log);
  br_progress_t *progress
      = leader_record_answer (replica, message, answer->round, answer->sent_ms);

  if (progress == NULL || answer->index > last + 1)
    return;
  if (!answer->ok)
    {
      /* Ignore answers to messages from before NEXT was last decreased. */
      if (answer->round < progress->reset_round
          || answer->index >= progress->next)
        return;
      progress->next = BR_MAX (progress->match + 1, answer->index);
      progress->reset_round = replica->round + 1;
      br_replica_replicate (replica, progress, true);
      return;
    }
  if (answer->index > last)
    return;
  if (progress->snapshot_index > 0 && answer->index >= progress->snapshot_index)
    progress->snapshot_index = 0;
  if (answer->index > progress->match)
    {
      progress->match = answer->index;
      progress->next = BR_MAX (progress->next, progress->match + 1);
      if (leader_is_voter (replica, progress))
        br_replica_advance_commit (replica);
    }
  if (replica->role != BR_ROLE_LEADER)
    return;
  leader_continue_transfer (replica, progress);
  br_replica_replicate (replica, progress, false);
}

void
br_replica_on_snapshot_answer (br_replica_t *replica,
                               const br_replica_message_t *message)
{
  const br_snapshot_answer_t *answer = &message->snapshot_answer;
  br_progress_t *progress
      = leader_record_answer (replica, message, answer->round, answer->sent_ms);

  if (progress == NULL || progress->snapshot_index != answer->last_index)
    return;
  progress->snapshot_offset = answer->offset;
  progress->snapshot_sent_ms = 0;
  br_replica_replicate (replica, progress, false);
}

/* Returns the live voter with the highest match index, or NULL. */
static const br_progress_t *
leader_transfer_target (const br_replica_t *replica)
{
  const br_progress_t *best = NULL;
  br_ms_t since = replica->now - replica->options.election_min_ms;

  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];

      if (leader_is_voter (replica, progress) && progress->last_seen_ms > since
          && (best == NULL || progress->match > best->match))
        best = progress;
    }
  return best;
}

static bool
leader_transfer (br_replica_t *replica)
{
  const br_progress_t *target;

  if (replica->role != BR_ROLE_LEADER || replica->transfer_to.len > 0)
    return false;
  target = leader_transfer_target (replica);
  if (target == NULL)
    return false;
  replica->transfer_to = target->vm;
  replica->transfer_until_ms = replica->now + replica->options.election_max_ms;
  leader_continue_transfer (replica, target);
  return true;
}

/* Hands over because of the disk.  The next leader's may be full too, so there
 * is a pause before this one hands over again. */
static void
leader_hand_over (br_replica_t *replica)
{
  if (replica->now < replica->hand_over_at_ms || !leader_transfer (replica))
    return;
  replica->hand_over_at_ms
      = replica->now + HAND_OVER_ELECTIONS * replica->options.election_max_ms;
}

void
br_replica_tick_leader (br_replica_t *replica)
{
  static const br_name_t no_vm;

  if (replica->transfer_to.len > 0
      && replica->now >= replica->transfer_until_ms)
    replica->transfer_to = no_vm;
  if (replica->now >= replica->heartbeat_at_ms)
    {
      if (!br_replica_takes_proposals (replica))
        leader_hand_over (replica);
      br_replica_broadcast (replica);
    }
  if (br_replica_has_lease (replica, replica->now))
    br_replica_tick_membership (replica);
}

bool
br_replica_transfer (br_replica_t *replica, br_ms_t now)
{
  br_replica_advance (replica, now);
  return leader_transfer (replica);
}
