/* A voter that is about to stop gives its vote back, so that the majority does
 * not count it until it is found silent. */
#include "replica/replica_private.h"

/* A voter that asked to give its vote back is about to stop for this many
 * heartbeats. */
#define LEAVE_HEARTBEATS 10

/* A voter that has answered what was sent in this many heartbeats is live. */
#define LIVE_HEARTBEATS 2

void
br_replica_leave (br_replica_t *replica)
{
  replica->leaves = true;
}

void
br_replica_send_leave (br_replica_t *replica)
{
  br_replica_message_t join = { .kind = BR_REPLICA_JOIN };

  if (replica->leader.len == 0 || replica->role == BR_ROLE_LEADER
      || replica->now < replica->join_at_ms)
    return;
  replica->join_at_ms = replica->now + replica->options.heartbeat_ms;
  join.term = replica->hard_state.term;
  br_replica_send (replica, &replica->leader, join, replica->change);
}

bool
br_replica_is_leaving (const br_replica_t *replica,
                       const br_progress_t *progress)
{
  return progress->leaves_ms > 0
         && replica->now - progress->leaves_ms
                <= replica->options.heartbeat_ms * LEAVE_HEARTBEATS;
}

/* Returns whether a majority of CONFIG without the voter of LEAVING answers.
 * Otherwise the log would stop while that voter still runs. */
static bool
leave_keeps_majority (const br_replica_t *replica,
                      const br_config_t *config,
                      const br_progress_t *leaving)
{
  size_t live = br_replica_is_voter (replica);

  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];

      if (progress != leaving
          && br_config_is_voter (config, &progress->vm, progress->disk)
          && br_replica_silent_ms (replica, progress)
                 <= replica->options.heartbeat_ms * LIVE_HEARTBEATS)
        live++;
    }
  return live > (br_config_voters (config) - 1) / 2;
}

bool
br_replica_remove_leaving (const br_replica_t *replica, br_config_t *config)
{
  if (!br_replica_can_remove (replica, config))
    return false;
  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];

      if (br_replica_is_leaving (replica, progress)
          && br_config_is_voter (config, &progress->vm, progress->disk)
          && leave_keeps_majority (replica, config, progress))
        {
          br_config_remove (config, &progress->vm);
          return true;
        }
    }
  return false;
}
