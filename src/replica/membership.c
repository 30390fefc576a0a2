#include "replica/replica_private.h"

/* A learner this close to the end of the log has caught up. */
#define CAUGHT_UP_ENTRIES 64

/* Followers without a vote that one leader serves. */
#define LEARNERS_MAX 1024

/* A learner that was not heard of for this many heartbeats is forgotten. */
#define LEARNER_SILENCE_HEARTBEATS 100

/* Voters that stay in any case: with fewer, one more loss stops the log. */
#define VOTERS_KEPT 3

/* --- before the first configuration --- */

static bool
membership_is_empty (const br_replica_t *replica)
{
  return br_replica_log_last_index (&replica->log) == 0
         && replica->hard_state.term == 0;
}

/* An empty voter takes nothing from a founder that has lost its disk since
 * it last asked. */
bool
br_replica_founder_is_stale (const br_replica_t *replica,
                             const br_replica_message_t *message)
{
  return replica->founder_disk != 0
         && br_replica_log_last_index (&replica->log) == 0
         && br_name_equal (&message->vm, &replica->founder)
         && message->disk != replica->founder_disk;
}

/* The names of the first voters, sorted; disks are not known yet. */
static void
membership_first_voters (const br_replica_t *replica, br_config_t *config)
{
  const br_replica_options_t *options = &replica->options;

  if (options->voter && !options->joins)
    br_config_put (config,
                   (br_config_member_t){ options->vm, options->disk, true });
  for (size_t i = 0; i < options->peers.len; i++)
    if (options->peers.items[i].voter)
      br_config_put (
          config, (br_config_member_t){ options->peers.items[i].vm, 0, true });
}

static uint64_t
membership_voters_digest (const br_replica_t *replica)
{
  br_config_t config = { 0 };
  uint64_t digest = 1;

  membership_first_voters (replica, &config);
  for (size_t i = 0; i < config.members.len; i++)
    digest = br_str_hash (br_name_str (&config.members.items[i].vm), digest);
  br_config_release (&config);
  return digest;
}

/* The first of the voters asks all others whether their disks are empty. */
static void
membership_ask_voters (br_replica_t *replica)
{
  br_replica_message_t message = { .kind = BR_REPLICA_BOOTSTRAP };
  br_config_t config = { 0 };

  membership_first_voters (replica, &config);
  message.bootstrap.voters_digest = membership_voters_digest (replica);
  if (config.members.len > 0
      && br_name_equal (&config.members.items[0].vm, &replica->options.vm))
    for (size_t i = 1; i < config.members.len; i++)
      br_replica_send (replica, &config.members.items[i].vm, message,
                       replica->change);
  br_config_release (&config);
}

void
br_replica_on_bootstrap (br_replica_t *replica,
                         const br_replica_message_t *message)
{
  br_replica_message_t answer = { .kind = BR_REPLICA_BOOTSTRAP_ANSWER };

  answer.bootstrap_answer.empty
      = membership_is_empty (replica) && replica->options.voter;
  answer.bootstrap_answer.agrees
      = message->bootstrap.voters_digest == membership_voters_digest (replica);
  if (answer.bootstrap_answer.empty)
    {
      replica->founder = message->vm;
      replica->founder_disk = message->disk;
    }
  answer.to_disk = message->disk;
  br_replica_send (replica, &message->vm, answer, replica->change);
}

/* Writes the first configuration once every voter said that it is empty. */
static void
membership_found (br_replica_t *replica)
{
  br_config_t config = { 0 };
  br_entry_t entry = { .index = 1, .term = 1, .kind = BR_ENTRY_CONFIG };

  membership_first_voters (replica, &config);
  if (replica->empty_voters.len + 1 == br_config_voters (&config))
    {
      for (size_t i = 0; i < replica->empty_voters.len; i++)
        br_config_put (&config, replica->empty_voters.items[i]);
      br_config_print (&config, &entry.data);
      br_replica_set_hard_state (replica, 1, &replica->options.vm);
      br_replica_append_entry (replica, entry);
      br_replica_campaign (replica, true, false);
    }
  br_config_release (&config);
}

void
br_replica_on_bootstrap_answer (br_replica_t *replica,
                                const br_replica_message_t *message)
{
  br_config_members_t *empty = &replica->empty_voters;
  br_config_member_t member = { message->vm, message->disk, true };
  size_t i = 0;

  if (!membership_is_empty (replica) || !message->bootstrap_answer.empty
      || !message->bootstrap_answer.agrees)
    return;
  while (i < empty->len && !br_name_equal (&empty->items[i].vm, &message->vm))
    i++;
  if (i == empty->len)
    br_config_members_push (empty, member);
  empty->items[i] = member;
  membership_found (replica);
}

/* --- joining --- */

void
br_replica_tick_join (br_replica_t *replica)
{
  br_replica_message_t join = { .kind = BR_REPLICA_JOIN };

  if (replica->leader.len > 0 || replica->now < replica->join_at_ms)
    return;
  replica->join_at_ms = replica->now + replica->options.heartbeat_ms;
  if (membership_is_empty (replica))
    membership_ask_voters (replica);
  join.term = replica->hard_state.term;
  join.join.wants_vote = replica->options.voter;
  for (size_t i = 0; i < replica->options.peers.len; i++)
    br_replica_send (replica, &replica->options.peers.items[i].vm, join,
                     replica->change);
}

void
br_replica_add_peer (br_replica_t *replica, const br_name_t *vm)
{
  br_replica_peers_t *peers = &replica->options.peers;

  if (br_name_equal (vm, &replica->options.vm))
    return;
  for (size_t i = 0; i < peers->len; i++)
    if (br_name_equal (&peers->items[i].vm, vm))
      return;
  br_replica_peers_push (peers, (br_replica_peer_t){ .vm = *vm });
}

void
br_replica_on_join (br_replica_t *replica, const br_replica_message_t *message)
{
  br_progress_t *progress;

  if (replica->role != BR_ROLE_LEADER)
    return;
  progress = br_replica_progress (replica, &message->vm, message->disk);
  if (progress == NULL && replica->progresses.len >= LEARNERS_MAX)
    return;
  if (progress == NULL)
    progress = br_replica_add_progress (replica, &message->vm, message->disk);
  progress->wants_vote = message->join.wants_vote;
  br_replica_replicate (replica, progress, true);
}

/* --- changes of the configuration --- */

static bool
membership_may_change (const br_replica_t *replica)
{
  return replica->role == BR_ROLE_LEADER
         && replica->commit >= br_replica_log_config_index (&replica->log)
         && replica->commit >= replica->noop_index;
}

static void
membership_change (br_replica_t *replica, const br_config_t *config)
{
  br_buf_t data = { 0 };

  br_config_print (config, &data);
  br_replica_lead_append (replica, BR_ENTRY_CONFIG, NULL, br_buf_str (&data));
  br_buf_free (&data);
}

/* A voter that came back with another disk loses its vote; it gets a new one
 * after it has caught up. */
static bool
membership_is_lost (const br_config_t *config, const br_progress_t *progress)
{
  const br_config_member_t *member = br_config_find (config, &progress->vm);

  return member != NULL && member->voter && member->disk != progress->disk
         && progress->round > 0;
}

static bool
membership_is_ready (const br_replica_t *replica, const br_progress_t *progress)
{
  const br_config_t *config = br_replica_config (replica);
  uint64_t last = br_replica_log_last_index (&replica->log);

  return progress->wants_vote && br_config_find (config, &progress->vm) == NULL
         && br_config_voters (config) < BR_VOTERS_MAX && progress->match > 0
         && progress->match + CAUGHT_UP_ENTRIES >= last
         && replica->now - progress->last_seen_ms
                < replica->options.election_min_ms;
}

/* A voter that is gone for good would count against every majority. */
static bool
membership_is_gone (const br_replica_t *replica,
                    const br_config_t *config,
                    const br_progress_t *progress)
{
  br_ms_t limit = replica->options.remove_unreachable_ms;
  br_ms_t heard = BR_MAX (progress->last_seen_ms, progress->joined_ms);

  return limit > 0 && br_config_voters (config) > VOTERS_KEPT
         && !br_name_equal (&progress->vm, &replica->options.vm)
         && br_config_is_voter (config, &progress->vm, progress->disk)
         && replica->now - heard > limit;
}

static void
membership_forget_silent (br_replica_t *replica)
{
  br_progresses_t *all = &replica->progresses;
  br_ms_t silence = replica->options.heartbeat_ms * LEARNER_SILENCE_HEARTBEATS;

  for (size_t i = 0; i < all->len;)
    {
      br_progress_t *progress = &all->items[i];
      br_ms_t heard = BR_MAX (progress->last_seen_ms, progress->joined_ms);

      if (!br_config_is_voter (br_replica_config (replica), &progress->vm,
                               progress->disk)
          && replica->now - heard > silence)
        all->items[i] = all->items[--all->len];
      else
        i++;
    }
}

void
br_replica_tick_membership (br_replica_t *replica)
{
  br_config_t config = { 0 };
  bool changed = false;

  membership_forget_silent (replica);
  if (!membership_may_change (replica))
    return;
  br_config_copy (&config, br_replica_config (replica));
  for (size_t i = 0; i < replica->progresses.len && !changed; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];

      changed = true;
      if (membership_is_lost (&config, progress)
          || membership_is_gone (replica, &config, progress))
        br_config_remove (&config, &progress->vm);
      else if (membership_is_ready (replica, progress))
        br_config_put (&config, (br_config_member_t){ progress->vm,
                                                      progress->disk, true });
      else
        changed = false;
    }
  if (changed)
    membership_change (replica, &config);
  br_config_release (&config);
}

bool
br_replica_remove_voter (br_replica_t *replica,
                         br_ms_t now,
                         const br_name_t *vm)
{
  const br_config_member_t *member
      = br_config_find (br_replica_config (replica), vm);
  br_config_t config = { 0 };

  replica->now = BR_MAX (replica->now, now);
  if (!membership_may_change (replica) || member == NULL || !member->voter
      || br_config_voters (br_replica_config (replica)) == 1)
    return false;
  br_config_copy (&config, br_replica_config (replica));
  br_config_put (&config, (br_config_member_t){ *vm, member->disk, false });
  membership_change (replica, &config);
  br_config_release (&config);
  return true;
}

bool
br_replica_allow_voter (br_replica_t *replica, br_ms_t now, const br_name_t *vm)
{
  const br_config_member_t *member
      = br_config_find (br_replica_config (replica), vm);
  br_config_t config = { 0 };

  replica->now = BR_MAX (replica->now, now);
  if (!membership_may_change (replica) || member == NULL || member->voter)
    return false;
  br_config_copy (&config, br_replica_config (replica));
  br_config_remove (&config, vm);
  membership_change (replica, &config);
  br_config_release (&config);
  return true;
}
