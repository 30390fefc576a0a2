/* What a replica does while its disk is full or refuses a write. */
#include "replica/replica_private.h"

/* Entries that a replica whose disk refuses holds in memory, in bytes. */
#define UNWRITTEN_MAX_BYTES (1024 * 1024)

void
br_replica_set_has_space (br_replica_t *replica, bool has_space)
{
  replica->has_space = has_space;
}

void
br_replica_set_disk_refuses (br_replica_t *replica, bool refuses)
{
  replica->disk_refuses = refuses;
}

bool
br_replica_takes_proposals (const br_replica_t *replica)
{
  return replica->has_space && !replica->disk_refuses;
}

bool
br_replica_is_choked (const br_replica_t *replica)
{
  uint64_t last = br_replica_log_last_index (&replica->log);
  uint64_t first = BR_MAX (replica->persisted, replica->log.base_index) + 1;
  size_t bytes = 0;

  if (!replica->disk_refuses)
    return false;
  for (uint64_t index = first; index <= last && bytes < UNWRITTEN_MAX_BYTES;
       index++)
    bytes += sizeof (br_entry_t)
             + br_replica_log_entry (&replica->log, index)->data.len;
  return bytes >= UNWRITTEN_MAX_BYTES;
}

bool
br_replica_reduce (const br_replica_t *replica, br_replica_message_t *message)
{
  switch (message->kind)
    {
    case BR_REPLICA_APPEND:
      if (br_replica_is_choked (replica))
        br_entries_release (&message->append.entries);
      return true;
    case BR_REPLICA_SNAPSHOT:
    case BR_REPLICA_BOOTSTRAP:
      return false;
    default:
      return true;
    }
}
