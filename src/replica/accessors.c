#include "replica/replica_private.h"

static const char *const role_names[] = {
#define X(id, name) name,
  BR_REPLICA_ROLE_TABLE (X)
#undef X
};

br_replica_role_t
br_replica_role (const br_replica_t *replica)
{
  return replica->role;
}

const char *
br_replica_role_name (br_replica_role_t role)
{
  return role_names[role];
}

uint64_t
br_replica_term (const br_replica_t *replica)
{
  return replica->hard_state.term;
}

const br_hard_state_t *
br_replica_hard_state (const br_replica_t *replica)
{
  return &replica->hard_state;
}

const br_name_t *
br_replica_leader (const br_replica_t *replica)
{
  return &replica->leader;
}

uint64_t
br_replica_commit_index (const br_replica_t *replica)
{
  return replica->commit;
}

uint64_t
br_replica_applied_index (const br_replica_t *replica)
{
  return replica->applied;
}

const br_replica_log_t *
br_replica_log (const br_replica_t *replica)
{
  return &replica->log;
}

const br_replica_snapshot_t *
br_replica_snapshot (const br_replica_t *replica)
{
  return &replica->snapshot;
}

static br_replica_follower_t
accessor_follower (const br_replica_t *replica, const br_progress_t *progress)
{
  return (br_replica_follower_t){
    .vm = progress->vm,
    .voter = br_config_is_voter (br_replica_config (replica), &progress->vm,
                                 progress->disk),
    .matched = progress->match,
    .last_seen_ms = BR_MAX (progress->last_seen_ms, progress->since_ms),
  };
}

size_t
br_replica_followers (const br_replica_t *replica,
                      br_replica_follower_t *followers,
                      size_t max)
{
  size_t n = 0;

  for (size_t i = 0; i < replica->progresses.len && n < max; i++)
    followers[n++] = accessor_follower (replica, &replica->progresses.items[i]);
  return n;
}

bool
br_replica_follower (const br_replica_t *replica,
                     const br_config_member_t *member,
                     br_replica_follower_t *follower)
{
  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];

      if (progress->disk != member->disk
          || !br_name_equal (&progress->vm, &member->vm))
        continue;
      *follower = accessor_follower (replica, progress);
      return true;
    }
  return false;
}
