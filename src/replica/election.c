#include "replica/replica_private.h"

/* Resets the votes: one progress, not granted, per other voter. */
static void
election_reset_votes (br_replica_t *replica)
{
  const br_config_t *config = br_replica_config (replica);

  br_progresses_clear (&replica->progresses);
  for (size_t i = 0; i < config->members.len; i++)
    {
      const br_config_member_t *member = &config->members.items[i];

      if (member->voter && member->disk != 0
          && !br_name_equal (&member->vm, &replica->options.vm))
        br_replica_add_progress (replica, &member->vm, member->disk);
    }
}

static size_t
election_votes (const br_replica_t *replica)
{
  size_t votes = 1;

  for (size_t i = 0; i < replica->progresses.len; i++)
    votes += replica->progresses.items[i].granted;
  return votes;
}

static void
election_request_votes (br_replica_t *replica, bool pre_vote, bool transfer)
{
  br_replica_message_t request = { .kind = BR_REPLICA_VOTE_REQUEST };

  request.term = replica->hard_state.term + (pre_vote ? 1 : 0);
  request.vote_request = (br_vote_request_t){
    .last_index = br_replica_log_last_index (&replica->log),
    .last_term = br_replica_log_last_term (&replica->log),
    .pre_vote = pre_vote,
    .transfer = transfer,
  };
  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      request.to_disk = replica->progresses.items[i].disk;
      br_replica_send (replica, &replica->progresses.items[i].vm, request,
                       replica->change);
    }
}

static void
election_check_majority (br_replica_t *replica)
{
  size_t majority = br_config_majority (br_replica_config (replica));

  if (election_votes (replica) < majority)
    return;
  if (replica->role == BR_ROLE_PRE_CANDIDATE)
    br_replica_campaign (replica, false, false);
  else
    br_replica_lead (replica);
}

void
br_replica_campaign (br_replica_t *replica, bool pre_vote, bool transfer)
{
  static const br_name_t no_vm;

  replica->leader = no_vm;
  br_replica_reset_election (replica);
  if (!pre_vote)
    br_replica_set_hard_state (replica, replica->hard_state.term + 1,
                               &replica->options.vm);
  br_replica_set_role (replica,
                       pre_vote ? BR_ROLE_PRE_CANDIDATE : BR_ROLE_CANDIDATE);
  replica->in_transfer_election = transfer;
  election_reset_votes (replica);
  election_request_votes (replica, pre_vote, transfer);
  election_check_majority (replica);
}

static bool
election_log_is_current (const br_replica_t *replica,
                         const br_vote_request_t *request)
{
  uint64_t last_term = br_replica_log_last_term (&replica->log);

  if (request->last_term != last_term)
    return request->last_term > last_term;
  return request->last_index >= br_replica_log_last_index (&replica->log);
}

/* Returns whether this replica holds the lease, or received a message from the
 * leader within the minimum election timeout. */
static bool
election_leader_is_live (const br_replica_t *replica)
{
  if (replica->role == BR_ROLE_LEADER)
    return br_replica_has_lease (replica, replica->now);
  return replica->leader.len > 0
         && replica->now - replica->leader_last_seen_ms
                < replica->options.election_min_ms;
}

static void
election_answer (br_replica_t *replica,
                 const br_replica_message_t *request,
                 bool granted)
{
  br_replica_message_t answer = { .kind = BR_REPLICA_VOTE_ANSWER };

  answer.term = granted ? request->term : replica->hard_state.term;
  answer.vote_answer.pre_vote = request->vote_request.pre_vote;
  answer.vote_answer.granted = granted;
  answer.to_disk = request->disk;
  br_replica_send (replica, &request->vm, answer, replica->change);
}

void
br_replica_on_vote_request (br_replica_t *replica,
                            const br_replica_message_t *message)
{
  const br_vote_request_t *request = &message->vote_request;
  const br_name_t *vote = &replica->hard_state.vote;
  bool granted;

  if (replica->conflicts || br_replica_bootstrap_is_stale (replica, message))
    return;
  if (message->term < replica->hard_state.term)
    {
      election_answer (replica, message, false);
      return;
    }
  if (election_leader_is_live (replica) && !request->transfer)
    return;
  if (!request->pre_vote && message->term > replica->hard_state.term)
    br_replica_become_follower (replica, message->term, NULL);
  if (request->pre_vote)
    granted = message->term > replica->hard_state.term;
  else
    granted = vote->len == 0 || br_name_equal (vote, &message->vm);
  granted = granted && election_log_is_current (replica, request);
  if (granted && !request->pre_vote)
    {
      br_replica_set_hard_state (replica, message->term, &message->vm);
      br_replica_reset_election (replica);
    }
  election_answer (replica, message, granted);
}

void
br_replica_on_vote_answer (br_replica_t *replica,
                           const br_replica_message_t *message)
{
  const br_vote_answer_t *answer = &message->vote_answer;
  br_replica_role_t role
      = answer->pre_vote ? BR_ROLE_PRE_CANDIDATE : BR_ROLE_CANDIDATE;
  uint64_t term = replica->hard_state.term + (answer->pre_vote ? 1 : 0);
  br_progress_t *progress;

  if (replica->role != role || !answer->granted || message->term != term)
    return;
  /* The vote of a voter that lost its disk does not count: it has returned with
   * another disk. */
  progress = br_replica_progress (replica, &message->vm, message->disk);
  if (progress == NULL)
    return;
  progress->granted = true;
  election_check_majority (replica);
}

void
br_replica_suspect (br_replica_t *replica, br_ms_t now, const br_name_t *vm)
{
  const br_replica_options_t *options = &replica->options;
  br_ms_t soon;

  br_replica_advance (replica, now);
  if (!br_name_equal (vm, &replica->leader) || replica->leader.len == 0)
    return;
  if (replica->role == BR_ROLE_LEARNER)
    {
      br_replica_become_follower (replica, replica->hard_state.term, NULL);
      replica->join_at_ms = replica->now;
    }
  if (replica->role != BR_ROLE_FOLLOWER)
    return;
  if (!options->lease_is_used)
    replica->leader_last_seen_ms = replica->now - options->election_min_ms;
  soon = BR_MAX (replica->now,
                 replica->leader_last_seen_ms + options->election_min_ms)
         + (br_ms_t)br_random_below (&replica->random,
                                     (uint64_t)options->heartbeat_ms);
  replica->election_at_ms = BR_MIN (replica->election_at_ms, soon);
}

void
br_replica_on_timeout_now (br_replica_t *replica,
                           const br_replica_message_t *message)
{
  if (message->term == replica->hard_state.term
      && br_name_equal (&message->vm, &replica->leader)
      && replica->role == BR_ROLE_FOLLOWER)
    br_replica_campaign (replica, false, true);
}
