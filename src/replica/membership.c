#include "replica/replica_private.h"

/* A learner at most this many entries behind has caught up. */
#define CAUGHT_UP_ENTRIES 64

/* A leader with this many followers ignores further join requests. */
#define FOLLOWERS_MAX 1024

/* A learner that answers nothing for this many heartbeats is dropped. */
#define LEARNER_TIMEOUT_HEARTBEATS 100

/* No VM gets a vote while a voter has not answered for this many heartbeats. */
#define LATE_HEARTBEATS 2

/* --- joining --- */

/* A voter without a leader for this many of the longest election timeouts has
 * no part in the log: it cannot know whether it still is a voter. */
#define LEADERLESS_ELECTIONS 3

/* An answer to a join request counts for this many heartbeats. */
#define JOIN_ANSWER_HEARTBEATS 10

void
br_replica_contacts (const br_replica_t *replica, br_names_t *vms)
{
  const br_config_t *config = br_replica_config (replica);
  const br_name_t *self = &replica->options.vm;

  br_contacts_list (&replica->contacts, self, vms);
  for (size_t i = 0; i < config->members.len; i++)
    if (!br_name_equal (&config->members.items[i].vm, self))
      br_contacts_put (vms, &config->members.items[i].vm);
  if (replica->leader.len > 0 && !br_name_equal (&replica->leader, self))
    br_contacts_put (vms, &replica->leader);
}

void
br_replica_tick_join (br_replica_t *replica)
{
  br_replica_message_t join = { .kind = BR_REPLICA_JOIN };
  br_names_t vms = { 0 };

  if (replica->leaves)
    {
      br_replica_send_leave (replica);
      return;
    }
  br_contacts_expire (&replica->contacts);
  if (replica->leader.len > 0 || replica->now < replica->join_at_ms)
    return;
  replica->join_at_ms = replica->now + replica->options.heartbeat_ms;
  br_replica_tick_founding (replica);
  join.term = replica->hard_state.term;
  join.join.voter_requested = replica->options.voter;
  br_replica_contacts (replica, &vms);
  for (size_t i = 0; i < vms.len; i++)
    br_replica_send (replica, &vms.items[i], join, replica->change);
  br_names_free (&vms);
}

void
br_replica_set_seeds (br_replica_t *replica, const br_names_t *vms)
{
  br_contacts_set_seeds (&replica->contacts, vms);
}

void
br_replica_set_voters_min (br_replica_t *replica, size_t voters_min)
{
  replica->options.voters_min = voters_min;
}

void
br_replica_add_contact (br_replica_t *replica, br_ms_t now, const br_name_t *vm)
{
  br_replica_advance (replica, now);
  br_contacts_add (&replica->contacts, vm, replica->now);
}

/* Tells a VM that wants to join which members and which leader this VM knows,
 * because only the leader can let it in. */
static void
membership_answer_join (br_replica_t *replica,
                        const br_replica_message_t *message)
{
  br_replica_message_t answer = { .kind = BR_REPLICA_JOIN_ANSWER };

  answer.term = replica->hard_state.term;
  answer.to_disk = message->disk;
  answer.join_answer.leader = replica->leader;
  br_config_copy (&answer.join_answer.config,
                  br_replica_log_config (&replica->log));
  br_replica_send (replica, &message->vm, answer, 0);
}

void
br_replica_on_join (br_replica_t *replica, const br_replica_message_t *message)
{
  br_progress_t *progress;

  if (replica->role != BR_ROLE_LEADER)
    {
      membership_answer_join (replica, message);
      return;
    }
  progress = br_replica_progress (replica, &message->vm, message->disk);
  if (progress == NULL && replica->progresses.len >= FOLLOWERS_MAX)
    return;
  if (progress == NULL)
    progress = br_replica_add_progress (replica, &message->vm, message->disk);
  if (progress->voter_requested && !message->join.voter_requested)
    progress->leaves_ms = replica->now;
  else
    {
      progress->voter_requested = message->join.voter_requested;
      progress->leaves_ms = 0;
    }
  br_replica_replicate (replica, progress, true);
}

void
br_replica_on_join_answer (br_replica_t *replica,
                           const br_replica_message_t *message)
{
  const br_join_answer_t *answer = &message->join_answer;
  const br_config_t *config = &answer->config;

  if (replica->leader.len > 0)
    return;
  replica->join_answered_ms = replica->now;
  if (config->members.len > 0)
    replica->log_named_ms = replica->now;
  for (size_t i = 0; i < config->members.len; i++)
    br_contacts_add (&replica->contacts, &config->members.items[i].vm,
                     replica->now);
  if (answer->leader.len == 0)
    return;
  br_contacts_add (&replica->contacts, &answer->leader, replica->now);
  replica->named_leader = answer->leader;
  replica->leader_named_ms = replica->now;
}

static bool
membership_is_recent (const br_replica_t *replica, br_ms_t at_ms)
{
  return at_ms > 0
         && replica->now - at_ms
                <= replica->options.heartbeat_ms * JOIN_ANSWER_HEARTBEATS;
}

static bool
membership_is_leaderless (const br_replica_t *replica)
{
  return replica->leader.len == 0
         && replica->now - replica->leader_last_seen_ms
                > replica->options.election_max_ms * LEADERLESS_ELECTIONS;
}

br_replica_standing_t
br_replica_standing (const br_replica_t *replica)
{
  if (replica->conflicts)
    return BR_STANDING_CONFLICTS;
  if (br_replica_is_voter (replica) && !membership_is_leaderless (replica)
      && br_replica_log_last_index (&replica->log) > 0)
    return BR_STANDING_VOTER;
  if (replica->leader.len > 0)
    return BR_STANDING_FOLLOWS;
  if (membership_is_recent (replica, replica->leader_named_ms))
    return BR_STANDING_LEADER_SILENT;
  if (membership_is_recent (replica, replica->log_named_ms))
    return BR_STANDING_NO_LEADER;
  if (membership_is_recent (replica, replica->join_answered_ms))
    return BR_STANDING_NO_LOG;
  return BR_STANDING_UNANSWERED;
}

const char *
br_replica_standing_text (br_replica_standing_t standing)
{
  static const char *const texts[] = {
#define X(id, text) text,
    BR_REPLICA_STANDING_TABLE (X)
#undef X
  };

  return texts[standing];
}

const br_name_t *
br_replica_named_leader (const br_replica_t *replica)
{
  return replica->leader.len > 0 ? &replica->leader : &replica->named_leader;
}

/* --- changes of the configuration --- */

static bool
membership_can_change (const br_replica_t *replica)
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

/* Returns whether a voter has returned with another disk.  It loses its vote
 * and is promoted again after it has caught up. */
static bool
membership_disk_changed (const br_config_t *config,
                         const br_progress_t *progress)
{
  const br_config_member_t *member = br_config_find (config, &progress->vm);

  return member != NULL && member->voter && member->disk != progress->disk
         && progress->round > 0;
}

/* Returns whether the learner of PROGRESS wants a vote and may have one. */
static bool
membership_is_eligible (const br_replica_t *replica,
                        const br_progress_t *progress)
{
  const br_config_t *config = br_replica_config (replica);
  uint64_t last = br_replica_log_last_index (&replica->log);

  return progress->voter_requested && !br_replica_is_leaving (replica, progress)
         && br_config_find (config, &progress->vm) == NULL
         && progress->match > 0 && progress->match + CAUGHT_UP_ENTRIES >= last
         && replica->now - progress->last_seen_ms
                < replica->options.election_min_ms;
}

/* Returns for how long the voter of PROGRESS may be silent.  A VM that got its
 * vote since then has taken its place. */
static br_ms_t
membership_silence_limit (const br_replica_t *replica,
                          const br_progress_t *progress)
{
  br_ms_t since_ms = replica->now - br_replica_silent_ms (replica, progress);

  return replica->grown_ms > since_ms ? replica->options.replace_silent_ms
                                      : replica->options.remove_unreachable_ms;
}

/* Returns the voter that has been silent for longest, and for longer than it
 * may, or NULL.  It must have had time to answer this leader. */
static const br_progress_t *
membership_silent_voter (const br_replica_t *replica,
                         const br_config_t *config,
                         bool vm_waits)
{
  const br_progress_t *longest = NULL;

  if (replica->now - replica->leads_since_ms
      <= replica->options.election_min_ms)
    return NULL;
  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];
      br_ms_t silent_ms = br_replica_silent_ms (replica, progress);
      br_ms_t limit = vm_waits ? replica->options.replace_silent_ms
                               : membership_silence_limit (replica, progress);

      if (silent_ms > limit
          && br_config_is_voter (config, &progress->vm, progress->disk)
          && (longest == NULL
              || silent_ms > br_replica_silent_ms (replica, longest)))
        longest = progress;
    }
  return longest;
}

bool
br_replica_can_remove (const br_replica_t *replica, const br_config_t *config)
{
  return replica->options.remove_unreachable_ms > 0
         && br_config_voters (config) > replica->options.voters_min;
}

/* Removes the vote of a VM that is gone; returns whether CONFIG was changed.
 * It would still count towards the size of every majority.  With VM_WAITS,
 * another VM has caught up and takes its place. */
static bool
membership_remove_silent (const br_replica_t *replica,
                          br_config_t *config,
                          bool vm_waits)
{
  const br_progress_t *silent;

  if (!br_replica_can_remove (replica, config))
    return false;
  silent = membership_silent_voter (replica, config, vm_waits);
  if (silent == NULL)
    return false;
  br_config_remove (config, &silent->vm);
  return true;
}

/* Returns whether a voter may be gone that could still be removed first. */
static bool
membership_must_wait (const br_replica_t *replica, const br_config_t *config)
{
  br_ms_t late_ms = replica->options.heartbeat_ms * LATE_HEARTBEATS;

  if (!br_replica_can_remove (replica, config))
    return false;
  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];

      if (br_config_is_voter (config, &progress->vm, progress->disk)
          && br_replica_silent_ms (replica, progress) > late_ms)
        return true;
    }
  return false;
}

/* Gives a VM that has caught up a vote; returns whether CONFIG was changed.  A
 * voter that is gone goes first, so that the majority does not grow. */
static bool
membership_admit (const br_replica_t *replica, br_config_t *config)
{
  const br_progress_t *learner = NULL;

  for (size_t i = 0; i < replica->progresses.len && learner == NULL; i++)
    if (membership_is_eligible (replica, &replica->progresses.items[i]))
      learner = &replica->progresses.items[i];
  if (learner == NULL)
    return false;
  if (membership_remove_silent (replica, config, true))
    return true;
  if (br_config_voters (config) >= BR_VOTERS_MAX
      || membership_must_wait (replica, config))
    return false;
  br_config_put (config,
                 (br_config_member_t){ learner->vm, learner->disk, true });
  return true;
}

static bool
membership_remove_replaced_disk (const br_replica_t *replica,
                                 br_config_t *config)
{
  for (size_t i = 0; i < replica->progresses.len; i++)
    if (membership_disk_changed (config, &replica->progresses.items[i]))
      {
        br_config_remove (config, &replica->progresses.items[i].vm);
        return true;
      }
  return false;
}

static void
membership_expire_learners (br_replica_t *replica)
{
  br_progresses_t *all = &replica->progresses;
  br_ms_t timeout = replica->options.heartbeat_ms * LEARNER_TIMEOUT_HEARTBEATS;

  for (size_t i = 0; i < all->len;)
    {
      br_progress_t *progress = &all->items[i];
      br_ms_t last_seen_ms
          = BR_MAX (progress->last_seen_ms, progress->since_ms);

      if (!br_config_is_voter (br_replica_config (replica), &progress->vm,
                               progress->disk)
          && replica->now - last_seen_ms > timeout)
        all->items[i] = all->items[--all->len];
      else
        i++;
    }
}

void
br_replica_tick_membership (br_replica_t *replica)
{
  br_config_t config = { 0 };

  membership_expire_learners (replica);
  if (!membership_can_change (replica))
    return;
  br_config_copy (&config, br_replica_config (replica));
  if (membership_remove_replaced_disk (replica, &config)
      || br_replica_remove_leaving (replica, &config)
      || membership_remove_silent (replica, &config, false)
      || membership_admit (replica, &config))
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

  br_replica_advance (replica, now);
  if (!membership_can_change (replica) || member == NULL || !member->voter
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

  br_replica_advance (replica, now);
  if (!membership_can_change (replica) || member == NULL || member->voter)
    return false;
  br_config_copy (&config, br_replica_config (replica));
  br_config_remove (&config, vm);
  membership_change (replica, &config);
  br_config_release (&config);
  return true;
}
