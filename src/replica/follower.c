#include "replica/replica_private.h"

#define SNAPSHOT_MAX_BYTES (256 * 1024 * 1024)

static void
follower_answer (br_replica_t *replica,
                 const br_replica_message_t *message,
                 br_append_answer_t content)
{
  br_replica_message_t answer = { .kind = BR_REPLICA_APPEND_ANSWER };

  answer.term = replica->hard_state.term;
  answer.append_answer = content;
  answer.to_disk = message->disk;
  br_replica_send (replica, &message->vm, answer, replica->change);
}

/* Records contact with the leader of this term and resets the election timer.
 * Returns false when the message must be ignored. */
static bool
follower_accept_leader (br_replica_t *replica,
                        const br_replica_message_t *message)
{
  bool known = br_name_equal (&replica->leader, &message->vm);

  if (replica->role == BR_ROLE_LEADER
      || br_replica_bootstrap_is_stale (replica, message))
    return false;
  if (!known || replica->role == BR_ROLE_CANDIDATE
      || replica->role == BR_ROLE_PRE_CANDIDATE)
    br_replica_become_follower (replica, message->term, &message->vm);
  replica->last_leader = message->vm;
  replica->leader_last_seen_ms = replica->now;
  br_replica_reset_election (replica);
  return true;
}

/* Returns the first uncommitted index of the term of the entry at INDEX. */
static uint64_t
follower_term_start (const br_replica_t *replica, uint64_t index)
{
  uint64_t term = br_replica_log_term (&replica->log, index);

  while (index > replica->log.base_index + 1
         && br_replica_log_term (&replica->log, index - 1) == term)
    index--;
  return BR_MAX (index, replica->commit + 1);
}

/* How an append fits to the log. */
typedef enum
{
  FIT_OK,
  FIT_BELOW_SNAPSHOT, /* it ends before the last entry of the snapshot */
  FIT_MISMATCH,       /* the log does not hold the entry before the new ones */
  FIT_CONFLICT,       /* a committed entry differs */
} follower_fit_t;

/* Returns whether the entry at INDEX, which is committed, is of TERM.  Entries
 * before the last one of the snapshot can't be compared. */
static bool
follower_is_same (const br_replica_t *replica, uint64_t index, uint64_t term)
{
  return index < replica->log.base_index
         || br_replica_log_term (&replica->log, index) == term;
}

/* Compares the entry before the new ones.  After FIT_MISMATCH, *HINT is the
 * index at which the leader should try next. */
static follower_fit_t
follower_compare_prev (const br_replica_t *replica,
                       const br_append_t *append,
                       uint64_t *hint)
{
  uint64_t last = br_replica_log_last_index (&replica->log);

  if (append->prev_index + append->entries.len < replica->log.base_index)
    return FIT_BELOW_SNAPSHOT;
  if (append->prev_index <= replica->commit)
    return follower_is_same (replica, append->prev_index, append->prev_term)
               ? FIT_OK
               : FIT_CONFLICT;
  *hint = last + 1;
  if (append->prev_index > last)
    return FIT_MISMATCH;
  if (br_replica_log_term (&replica->log, append->prev_index)
      == append->prev_term)
    return FIT_OK;
  *hint = follower_term_start (replica, append->prev_index);
  return FIT_MISMATCH;
}

/* Appends the entries that are not in the log yet and truncates conflicting
 * ones.  Returns false when one conflicts with a committed entry. */
static bool
follower_append_entries (br_replica_t *replica, br_append_t *append)
{
  for (size_t i = 0; i < append->entries.len; i++)
    {
      br_entry_t *entry = &append->entries.items[i];
      uint64_t last = br_replica_log_last_index (&replica->log);

      if (entry->index <= replica->commit)
        {
          if (!follower_is_same (replica, entry->index, entry->term))
            return false;
          continue;
        }
      if (entry->index <= last
          && br_replica_log_term (&replica->log, entry->index) == entry->term)
        continue;
      if (entry->index <= last)
        br_replica_truncate (replica, entry->index);
      br_replica_append_entry (replica, *entry);
      entry->data = (br_buf_t){ 0 };
    }
  return true;
}

/* Appends the new entries if they fit. */
static follower_fit_t
follower_append (br_replica_t *replica, br_append_t *append, uint64_t *hint)
{
  follower_fit_t fit = follower_compare_prev (replica, append, hint);

  if (fit == FIT_OK && !follower_append_entries (replica, append))
    return FIT_CONFLICT;
  return fit;
}

static void
follower_take_silences (br_replica_t *replica, const br_append_t *append)
{
  br_silences_clear (&replica->silences);
  for (size_t i = 0; i < append->silent.len; i++)
    {
      const br_silent_voter_t *voter = &append->silent.items[i];

      br_silences_push (
          &replica->silences,
          (br_silence_t){ voter->vm, voter->disk,
                          replica->now
                              - BR_MIN (voter->for_ms, replica->now) });
    }
}

void
br_replica_on_append (br_replica_t *replica, br_replica_message_t *message)
{
  br_append_t *append = &message->append;
  br_append_answer_t answer
      = { .round = append->round, .sent_ms = append->sent_ms };
  uint64_t matched;

  if (message->term < replica->hard_state.term)
    {
      follower_answer (replica, message, answer);
      return;
    }
  if (!follower_accept_leader (replica, message))
    return;
  follower_take_silences (replica, append);
  switch (follower_append (replica, append, &answer.index))
    {
    case FIT_OK:
      br_replica_set_conflicts (replica, false);
      matched = append->prev_index + append->entries.len;
      answer.ok = true;
      answer.index = matched;
      br_replica_set_commit (replica, BR_MIN (append->commit, matched));
      break;
    case FIT_BELOW_SNAPSHOT:
      answer.ok = true; /* acknowledges no entry */
      break;
    case FIT_MISMATCH:
      break;
    case FIT_CONFLICT:
      br_replica_set_conflicts (replica, true);
      return;
    }
  follower_answer (replica, message, answer);
}

static void
follower_answer_chunk (br_replica_t *replica,
                       const br_replica_message_t *message)
{
  br_replica_message_t answer = { .kind = BR_REPLICA_SNAPSHOT_ANSWER };

  answer.term = replica->hard_state.term;
  answer.snapshot_answer = (br_snapshot_answer_t){
    .last_index = message->snapshot.last_index,
    .offset = replica->incoming.state.len,
    .round = message->snapshot.round,
    .sent_ms = message->snapshot.sent_ms,
  };
  answer.to_disk = message->disk;
  br_replica_send (replica, &message->vm, answer, replica->change);
}

static void
follower_install (br_replica_t *replica)
{
  br_replica_snapshot_t *incoming = &replica->incoming;

  br_replica_log_reset (&replica->log, incoming->index, incoming->term,
                        &incoming->config);
  br_replica_snapshot_release (&replica->snapshot);
  replica->snapshot = *incoming;
  *incoming = (br_replica_snapshot_t){ 0 };
  replica->commit = replica->applied = replica->snapshot.index;
  replica->written = replica->writing = replica->snapshot.index;
  replica->persisted = 0;
  replica->write_snapshot = true;
  replica->change++;
  br_replica_set_conflicts (replica, false);
  br_replica_event (replica,
                    (br_replica_event_t){ .kind = BR_REPLICA_EVENT_SNAPSHOT,
                                          .index = replica->commit });
  br_replica_complete_snapshot (replica);
}

/* Starts a new incoming snapshot if the chunk is of another one, and appends
 * the chunk if its offset is the next one. */
static void
follower_append_chunk (br_replica_t *replica, br_snapshot_chunk_t *chunk)
{
  br_replica_snapshot_t *incoming = &replica->incoming;

  if (incoming->index != chunk->last_index
      || incoming->term != chunk->last_term)
    {
      br_replica_snapshot_release (incoming);
      *incoming = (br_replica_snapshot_t){ .index = chunk->last_index,
                                           .term = chunk->last_term };
      br_config_copy (&incoming->config, &chunk->config);
    }
  if (chunk->offset == incoming->state.len)
    br_buf_append (&incoming->state, br_buf_str (&chunk->data));
}

void
br_replica_on_snapshot (br_replica_t *replica, br_replica_message_t *message)
{
  br_snapshot_chunk_t *chunk = &message->snapshot;
  br_append_answer_t done = { .ok = true,
                              .index = chunk->last_index,
                              .round = chunk->round,
                              .sent_ms = chunk->sent_ms };
  const br_entry_t *entry;

  if (message->term < replica->hard_state.term)
    {
      done.ok = false;
      follower_answer (replica, message, done);
      return;
    }
  if (chunk->total > SNAPSHOT_MAX_BYTES
      || !follower_accept_leader (replica, message))
    return;
  entry = br_replica_log_entry (&replica->log, chunk->last_index);
  if (entry != NULL && entry->term == chunk->last_term)
    br_replica_set_commit (replica, chunk->last_index);
  if (chunk->last_index > replica->commit)
    {
      follower_append_chunk (replica, chunk);
      if (replica->incoming.state.len < chunk->total)
        {
          follower_answer_chunk (replica, message);
          return;
        }
      follower_install (replica);
    }
  follower_answer (replica, message, done);
}
