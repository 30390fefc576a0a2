#include "replica/replica_private.h"

/* A follower with more entries than this in flight is sent no further ones. */
#define INFLIGHT_ENTRIES_MAX 8192

/* A snapshot chunk is sent again when it is not answered for this many
 * heartbeats. */
#define CHUNK_RETRY_HEARTBEATS 4

static br_replica_message_t
replicate_message (br_replica_t *replica, br_replica_message_kind_t kind)
{
  br_replica_message_t message = { .kind = kind };

  message.term = replica->hard_state.term;
  replica->round++;
  return message;
}

/* Adds the voters that do not answer, so that the next leader knows since
 * when. */
static void
replicate_silent (const br_replica_t *replica, br_silent_voters_t *silent)
{
  const br_config_t *config = br_replica_config (replica);

  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];
      br_ms_t for_ms = br_replica_silent_ms (replica, progress);

      if (for_ms >= replica->options.election_min_ms
          && br_config_is_voter (config, &progress->vm, progress->disk))
        br_silent_voters_push (
            silent,
            (br_silent_voter_t){ progress->vm, progress->disk, for_ms });
    }
}

/* Sends an empty append as a heartbeat to a follower that is receiving a
 * snapshot. */
static void
replicate_heartbeat (br_replica_t *replica, const br_progress_t *progress)
{
  br_replica_message_t message = replicate_message (replica, BR_REPLICA_APPEND);

  message.append
      = (br_append_t){ .round = replica->round, .sent_ms = replica->now };
  replicate_silent (replica, &message.append.silent);
  message.to_disk = progress->disk;
  br_replica_send (replica, &progress->vm, message, replica->hard_change);
}

static void
replicate_chunk (br_replica_t *replica, br_progress_t *progress)
{
  const br_replica_snapshot_t *snapshot = &replica->snapshot;
  br_replica_message_t message
      = replicate_message (replica, BR_REPLICA_SNAPSHOT);
  size_t remaining = snapshot->state.len - progress->snapshot_offset;
  size_t len = BR_MIN (remaining, replica->options.snapshot_chunk_bytes);

  message.snapshot = (br_snapshot_chunk_t){
    .last_index = snapshot->index,
    .last_term = snapshot->term,
    .offset = progress->snapshot_offset,
    .total = snapshot->state.len,
    .round = replica->round,
    .sent_ms = replica->now,
  };
  br_config_copy (&message.snapshot.config, &snapshot->config);
  br_buf_append (
      &message.snapshot.data,
      br_str_make (snapshot->state.data + progress->snapshot_offset, len));
  progress->snapshot_sent_ms = replica->now;
  message.to_disk = progress->disk;
  br_replica_send (replica, &progress->vm, message, replica->hard_change);
}

static void
replicate_snapshot (br_replica_t *replica,
                    br_progress_t *progress,
                    bool heartbeat)
{
  br_ms_t retry = replica->options.heartbeat_ms * CHUNK_RETRY_HEARTBEATS;

  if (progress->snapshot_index != replica->snapshot.index
      || progress->snapshot_offset > replica->snapshot.state.len)
    {
      progress->snapshot_index = replica->snapshot.index;
      progress->snapshot_offset = 0;
      progress->snapshot_sent_ms = 0;
    }
  if (progress->snapshot_sent_ms == 0
      || replica->now - progress->snapshot_sent_ms >= retry)
    replicate_chunk (replica, progress);
  else if (heartbeat)
    replicate_heartbeat (replica, progress);
}

static void
replicate_fill (br_replica_t *replica,
                const br_progress_t *progress,
                br_append_t *append)
{
  size_t bytes = 0;

  if (progress->next > progress->match + INFLIGHT_ENTRIES_MAX)
    return;
  for (uint64_t index = progress->next;
       append->entries.len < BR_APPEND_ENTRIES_MAX
       && bytes < replica->options.append_max_bytes;
       index++)
    {
      const br_entry_t *entry = br_replica_log_entry (&replica->log, index);

      if (entry == NULL)
        return;
      br_entries_push (&append->entries, br_entry_copy (entry));
      bytes += entry->data.len;
    }
}

void
br_replica_replicate (br_replica_t *replica,
                      br_progress_t *progress,
                      bool heartbeat)
{
  br_replica_message_t message;

  /* A first voter whose disk is not known yet sends a join request. */
  if (progress->disk == 0)
    return;
  if (progress->next <= replica->log.base_index)
    {
      replicate_snapshot (replica, progress, heartbeat);
      return;
    }
  if (!heartbeat && progress->next > br_replica_log_last_index (&replica->log))
    return;
  message = replicate_message (replica, BR_REPLICA_APPEND);
  message.append = (br_append_t){
    .prev_index = progress->next - 1,
    .prev_term = br_replica_log_term (&replica->log, progress->next - 1),
    .commit = replica->commit,
    .round = replica->round,
    .sent_ms = replica->now,
  };
  replicate_silent (replica, &message.append.silent);
  replicate_fill (replica, progress, &message.append);
  progress->next += message.append.entries.len;
  message.to_disk = progress->disk;
  br_replica_send (replica, &progress->vm, message, replica->hard_change);
}
