#include "shell/replica_task.h"

#include <string.h>

#include "shell/replica_founding.h"
#include "shell/replica_links.h"
#include "shell/replica_load.h"
#include "shell/replica_outcome.h"
#include "shell/replica_status.h"
#include "shell/replica_watch.h"
#include "shell/replica_writer.h"

#define TICK_MS 25

/* A checkpoint is due when the log is larger than this and than twice the last
 * snapshot. */
#define CHECKPOINT_MIN_BYTES (128 * 1024)

/* Delay before a write that failed for lack of disk space is tried again. */
#define SPACE_RETRY_MS 200

/* The commit index is written to the disk when it has not changed for this
 * long.  Until then it waits for the next entry, with which it is written
 * anyway. */
#define COMMIT_SAVE_MS 100

#define DATA_FOLDER_FAILED "this VM's data folder cannot be written"
#define DISK_REFUSES "this VM's disk has no space left"

struct br_replica_task
{
  br_node_t *node;
  br_replica_t *replica;
  br_replica_writer_t *writer; /* NULL without a data folder */
  struct event *flush;
  struct event *tick;
  uint64_t last_ticket;
  uint64_t posted_index; /* of the last BR_NODE_APPLIED */
  uint64_t log_bytes;
  uint64_t commit;   /* commit index at the last tick */
  br_ms_t commit_ms; /* when a tick first saw it */
  uint64_t disk;
  bool failed;      /* the replica has been stopped */
  bool has_space;   /* on this disk */
  br_ms_t retry_ms; /* when the failed write is tried again, 0 for none */
  uint64_t writing; /* change that is being written, 0 for none */
  br_ms_t writing_since_ms;
  bool checkpointing;
  br_replica_links_t links;
  br_replica_snapshot_t checkpoint; /* the one that is being written */
  br_replica_watch_t watch;
};

static void
task_refuse (br_replica_task_t *task,
             uint64_t ticket,
             br_error_code_t code,
             const char *why)
{
  br_replica_post_refusal (task->node, br_replica_leader (task->replica),
                           ticket, code, why);
}

static void
task_fail (br_replica_task_t *task, const br_error_t *err)
{
  br_log_error (&task->node->log, "replica", "failed", err);
  task->failed = true;
  br_replica_abandon (task->replica);
}

static void
task_restore (br_replica_task_t *task)
{
  const br_replica_snapshot_t *snapshot = br_replica_snapshot (task->replica);
  br_error_t err;

  BR_LOG (&task->node->log, "replica", "snapshot installed",
          br_field_int ("index", (int64_t)snapshot->index),
          br_field_int ("bytes", (int64_t)snapshot->state.len));
  if (!br_state_restore (task->node->state, br_buf_str (&snapshot->state),
                         &err))
    task_fail (task, &err);
}

/* Handles the replica's events.  RESULT is the result of the entry that was
 * just applied, or NULL. */
static void
task_take_events (br_replica_task_t *task, br_buf_t *result)
{
  br_replica_event_t event;

  while (br_replica_take_event (task->replica, &event))
    switch (event.kind)
      {
      case BR_REPLICA_EVENT_PROPOSAL:
        br_replica_post_outcome (task->node, br_replica_leader (task->replica),
                                 &event, result);
        break;
      case BR_REPLICA_EVENT_READ:
        br_replica_post_outcome (task->node, br_replica_leader (task->replica),
                                 &event, NULL);
        break;
      case BR_REPLICA_EVENT_SNAPSHOT:
        task_restore (task);
        break;
      case BR_REPLICA_EVENT_ROLE:
        br_replica_log_role (&task->node->log, task->replica);
        break;
      case BR_REPLICA_EVENT_QUORUM_LOST:
        br_replica_log_quorum_lost (&task->node->log, &event);
        break;
      case BR_REPLICA_EVENT_CONFIG:
        br_replica_watch_config (task->replica, event.index, &task->node->log);
        br_replica_links_set (&task->links, task->node, task->replica);
        break;
      }
}

static void
task_send (br_replica_task_t *task)
{
  br_replica_message_t message;
  br_buf_t payload = { 0 };

  while (br_replica_take_message (task->replica, &message))
    {
      br_buf_clear (&payload);
      br_replica_pack (&message, &payload);
      if (br_node_send (task->node, &message.vm, BR_PART_REPLICA,
                        br_buf_str (&payload)))
        br_counters_add (&task->node->counters, BR_COUNTER_LOG_BYTES_SENT,
                         payload.len);
      else
        br_replica_send_failed (task->replica, &message);
      br_replica_message_release (&message);
    }
  br_buf_free (&payload);
}

static void
task_apply (br_replica_task_t *task)
{
  br_node_message_t applied = { .kind = BR_NODE_APPLIED };
  br_node_t *node = task->node;
  const br_entry_t *entry;

  while (!task->failed
         && (entry = br_replica_next_committed (task->replica)) != NULL)
    {
      br_buf_t result = { 0 };

      if (entry->kind == BR_ENTRY_COMMAND)
        br_state_apply (node->state, entry->index, br_buf_str (&entry->data),
                        &result);
      br_replica_applied (task->replica, br_node_now (node));
      task_take_events (task, &result);
      br_buf_free (&result);
    }
  applied.index = br_replica_applied_index (task->replica);
  if (applied.index == task->posted_index)
    return;
  task->posted_index = applied.index;
  br_node_post (node, applied);
}

static void
task_write (br_replica_task_t *task)
{
  br_replica_writes_t writes;
  br_store_records_t records = { 0 };
  br_buf_t snapshot = { 0 };

  if (task->writer != NULL && br_replica_writer_is_busy (task->writer))
    return;
  if (task->retry_ms > 0 || !br_replica_take_writes (task->replica, &writes))
    return;
  if (task->writer == NULL)
    {
      br_replica_persisted (task->replica, br_node_now (task->node),
                            writes.change);
      return;
    }
  br_replica_pack_writes (task->replica, &writes, &records);
  if (writes.snapshot != NULL)
    br_replica_snapshot_pack (writes.snapshot, &snapshot);
  br_counters_add (&task->node->counters, BR_COUNTER_LOG_SYNCS, 1);
  br_counters_add (&task->node->counters, BR_COUNTER_LOG_RECORDS, records.len);
  task->writing = writes.change;
  task->writing_since_ms = br_node_now (task->node);
  br_replica_writer_start (task->writer, &records, writes.snapshot != NULL,
                           &snapshot);
}

static bool
task_checkpoint_is_due (const br_replica_task_t *task)
{
  const br_replica_snapshot_t *last = br_replica_snapshot (task->replica);
  uint64_t limit = BR_MAX ((uint64_t)CHECKPOINT_MIN_BYTES, 2 * last->state.len);

  return task->log_bytes > limit && task->retry_ms == 0
         && !br_replica_has_writes (task->replica)
         && !br_replica_writer_is_busy (task->writer)
         && br_replica_applied_index (task->replica) > last->index;
}

/* Replaces the whole log with a snapshot of the state and the entries after
 * it, when a checkpoint is due. */
static void
task_checkpoint (br_replica_task_t *task)
{
  br_replica_writes_t rest = { .has_hard_state = true };
  br_store_records_t records = { 0 };
  br_buf_t state = { 0 };
  br_buf_t snapshot = { 0 };

  if (task->writer == NULL || !task_checkpoint_is_due (task))
    return;
  br_state_snapshot (task->node->state, &state);
  br_replica_make_snapshot (task->replica, br_buf_str (&state),
                            &task->checkpoint);
  br_buf_free (&state);
  br_replica_snapshot_pack (&task->checkpoint, &snapshot);
  rest.hard_state = *br_replica_hard_state (task->replica);
  rest.first = br_replica_applied_index (task->replica) + 1;
  rest.last = br_replica_log_last_index (br_replica_log (task->replica));
  br_replica_pack_writes (task->replica, &rest, &records);
  task->checkpointing = true;
  br_counters_add (&task->node->counters, BR_COUNTER_LOG_SYNCS, 1);
  br_counters_add (&task->node->counters, BR_COUNTER_LOG_RECORDS, records.len);
  br_replica_writer_start (task->writer, &records, true, &snapshot);
}

static void
task_run (br_replica_task_t *task)
{
  if (task->failed)
    return;
  br_replica_flush (task->replica);
  task_send (task);
  task_write (task);
  br_replica_flush (task->replica);
  task_take_events (task, NULL);
  task_apply (task);
  task_send (task);
  task_checkpoint (task);
}

static void
task_on_flush (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  task_run (context);
}

/* Schedules task_run() after the callbacks that are due now.  Their proposals
 * then share one write and one message to each follower. */
static void
task_schedule (br_replica_task_t *task)
{
  event_active (task->flush, EV_TIMEOUT, 0);
}

static void
task_set_has_space (br_replica_task_t *task, bool has_space)
{
  if (has_space == task->has_space)
    return;
  task->has_space = has_space;
  br_replica_set_has_space (task->replica, has_space);
  BR_LOG (
      &task->node->log, "replica",
      has_space ? "disk has space again" : "disk is full",
      br_field_str ("peer", br_buf_str (&task->node->settings.data_folder)));
}

static void
task_on_written (void *context, const br_replica_written_t *written)
{
  br_replica_task_t *task = context;
  br_ms_t now = br_node_now (task->node);

  if (task->failed)
    return;
  if (written->damaged)
    {
      task_fail (task, &written->error);
      task_take_events (task, NULL);
      return;
    }
  if (written->recovered)
    BR_LOG (&task->node->log, "replica", "log read again",
            br_field_int ("bytes", (int64_t)written->log_bytes));
  task_set_has_space (task, written->ok && written->has_space);
  task->log_bytes = written->log_bytes;
  if (!written->ok)
    {
      br_log_error (&task->node->log, "replica", "write failed",
                    &written->error);
      task->retry_ms = now + SPACE_RETRY_MS;
      br_replica_set_disk_refuses (task->replica, true);
      return;
    }
  br_replica_set_disk_refuses (task->replica, false);
  if (task->checkpointing)
    br_replica_compact (task->replica, &task->checkpoint);
  else if (task->writing > 0)
    {
      br_replica_log_write (&task->node->log, now - task->writing_since_ms);
      br_replica_persisted (task->replica, now, task->writing);
    }
  task->checkpointing = false;
  task->writing = 0;
  task_run (task);
}

/* Repeats the write that failed, or checks whether the disk has space again. */
static void
task_retry (br_replica_task_t *task)
{
  br_store_records_t none = { 0 };

  if (task->writer == NULL || br_replica_writer_is_busy (task->writer))
    return;
  if (task->retry_ms > 0 && br_node_now (task->node) >= task->retry_ms)
    {
      task->retry_ms = 0;
      br_replica_writer_retry (task->writer);
    }
  else if (!task->has_space && task->retry_ms == 0)
    br_replica_writer_start (task->writer, &none, false, NULL);
}

/* Requests a write of the commit index when it has not changed for
 * COMMIT_SAVE_MS. */
static void
task_save_commit (br_replica_task_t *task)
{
  br_ms_t now = br_node_now (task->node);
  uint64_t commit = br_replica_commit_index (task->replica);

  if (commit != task->commit)
    {
      task->commit = commit;
      task->commit_ms = now;
    }
  else if (now - task->commit_ms >= COMMIT_SAVE_MS)
    br_replica_save_commit (task->replica);
}

static void
task_on_tick (evutil_socket_t fd, short what, void *context)
{
  br_replica_task_t *task = context;

  (void)fd;
  (void)what;
  if (task->failed)
    return;
  br_replica_links_tick (&task->links, task->node, task->replica);
  br_replica_tick (task->replica, br_node_now (task->node));
  if (task->node->draining)
    br_replica_task_hand_over (task);
  task_save_commit (task);
  task_retry (task);
  task_run (task);
  br_replica_watch_tick (&task->watch, task->node, task->replica);
}

/* --- start and stop --- */

static bool
task_open_store (br_replica_task_t *task,
                 br_replica_saved_t *saved,
                 br_error_t *err)
{
  br_node_t *node = task->node;
  br_replica_folder_t folder = {
    .path = node->settings.data_folder.data,
    .log = &node->log,
  };
  br_store_t *store = br_replica_open_folder (&folder, &task->disk, saved, err);

  if (store == NULL)
    return false;
  if (saved->snapshot.index > 0
      && !br_state_restore (node->state, br_buf_str (&saved->snapshot.state),
                            err))
    {
      br_replica_saved_release (saved);
      br_store_close (store);
      return false;
    }
  task->writer
      = br_replica_writer_new (node->base, store, task_on_written, task);
  return true;
}

br_replica_task_t *
br_replica_task_new (br_node_t *node, br_error_t *err)
{
  br_replica_task_t *task = br_alloc_zero (sizeof *task);
  br_replica_options_t options;
  br_replica_saved_t saved = { 0 };
  struct timeval period = { 0, TICK_MS * 1000 };

  task->node = node;
  task->disk = br_replica_new_identity ();
  task->has_space = true;
  if (node->settings.data_folder.len > 0
      && !task_open_store (task, &saved, err))
    {
      free (task);
      return NULL;
    }
  br_replica_options_fill (node, task->disk, &options);
  if (saved.snapshot.index == 0 && saved.entries.len == 0)
    br_replica_founding_fill (node, &options);
  task->replica = br_replica_new (&options, &saved, br_node_now (node));
  br_replica_peers_free (&options.peers);
  task->flush = event_new (node->base, -1, 0, task_on_flush, task);
  task->tick = event_new (node->base, -1, EV_PERSIST, task_on_tick, task);
  event_priority_set (task->flush, BR_PRIORITY_LOG);
  event_priority_set (task->tick, BR_PRIORITY_LOG);
  event_add (task->tick, &period);
  task_schedule (task);
  return task;
}

void
br_replica_task_free (br_replica_task_t *task)
{
  if (task == NULL)
    return;
  br_replica_writer_free (task->writer);
  br_replica_snapshot_release (&task->checkpoint);
  br_replica_watch_release (&task->watch);
  br_replica_free (task->replica);
  event_free (task->flush);
  event_free (task->tick);
  free (task);
}

/* --- requests of other tasks --- */

uint64_t
br_replica_task_propose (br_replica_task_t *task, br_str_t command)
{
  uint64_t ticket = ++task->last_ticket;

  if (task->failed)
    task_refuse (task, ticket, BR_ERROR_STORAGE, DATA_FOLDER_FAILED);
  else if (br_replica_is_choked (task->replica))
    task_refuse (task, ticket, BR_ERROR_STORAGE, DISK_REFUSES);
  else if (command.len > BR_COMMAND_MAX)
    task_refuse (task, ticket, BR_ERROR_TOO_LARGE, "the command is too long");
  else
    br_replica_propose (task->replica, br_node_now (task->node), ticket,
                        command);
  task_schedule (task);
  return ticket;
}

uint64_t
br_replica_task_read (br_replica_task_t *task)
{
  uint64_t ticket = ++task->last_ticket;

  if (task->failed)
    task_refuse (task, ticket, BR_ERROR_STORAGE, DATA_FOLDER_FAILED);
  else if (br_replica_is_choked (task->replica))
    task_refuse (task, ticket, BR_ERROR_STORAGE, DISK_REFUSES);
  else
    br_replica_read (task->replica, br_node_now (task->node), ticket);
  task_schedule (task);
  return ticket;
}

void
br_replica_task_on_message (br_replica_task_t *task,
                            const br_name_t *vm,
                            br_str_t payload)
{
  br_replica_message_t message;
  br_error_t err;

  if (task->failed)
    return;
  if (!br_replica_unpack (payload, vm, &message, &err))
    {
      br_counters_add (&task->node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
      br_log_error (&task->node->log, "replica", "bad message", &err);
      return;
    }
  br_replica_step (task->replica, br_node_now (task->node), message);
  task_schedule (task);
}

void
br_replica_task_on_peer_down (br_replica_task_t *task, const br_name_t *vm)
{
  if (!task->failed)
    br_replica_suspect (task->replica, br_node_now (task->node), vm);
}

void
br_replica_task_hand_over (br_replica_task_t *task)
{
  if (task->failed)
    return;
  br_replica_leave (task->replica);
  if (!br_replica_transfer (task->replica, br_node_now (task->node)))
    return;
  BR_LOG (&task->node->log, "replica", "handing over",
          br_field_int ("term", (int64_t)br_replica_term (task->replica)));
  task_schedule (task);
}

bool
br_replica_task_is_leader (const br_replica_task_t *task)
{
  return !task->failed && br_replica_role (task->replica) == BR_ROLE_LEADER;
}

bool
br_replica_task_has_lease (const br_replica_task_t *task)
{
  return !task->failed
         && br_replica_has_lease (task->replica, br_node_now (task->node));
}

const br_name_t *
br_replica_task_leader (const br_replica_task_t *task)
{
  return br_replica_leader (task->replica);
}

void
br_replica_task_status (const br_replica_task_t *task, br_buf_t *out)
{
  br_replica_status_t status = {
    .replica = task->replica,
    .disk = task->disk,
    .failed = task->failed,
    .has_space = task->has_space,
  };

  br_replica_status_print (&status, out);
}

void
br_replica_task_print_metrics (const br_replica_task_t *task, br_buf_t *out)
{
  br_replica_watch_print_metrics (&task->watch, task->node, task->replica, out);
}

uint64_t
br_replica_task_term (const br_replica_task_t *task)
{
  return br_replica_term (task->replica);
}

size_t
br_replica_task_members (const br_replica_task_t *task,
                         char *views[BR_REPLICA_MEMBERS_MAX])
{
  const br_config_t *config
      = br_replica_log_config (br_replica_log (task->replica));
  size_t n = 0;

  while (n < config->members.len && n < BR_REPLICA_MEMBERS_MAX)
    {
      views[n] = config->members.items[n].vm.data;
      n++;
    }
  return n;
}

void
br_replica_task_add_contacts (br_replica_task_t *task,
                              char *const *names,
                              size_t n_names)
{
  br_replica_links_add (task->node, task->replica, names, n_names);
}

void
br_replica_task_set_seeds (br_replica_task_t *task, const br_names_t *vms)
{
  br_replica_set_seeds (task->replica, vms);
}

void
br_replica_task_set_disk_losses (br_replica_task_t *task,
                                 const br_settings_t *settings)
{
  br_replica_set_voters_min (task->replica, br_replica_voters_min (settings));
}

br_replica_standing_t
br_replica_task_standing (const br_replica_task_t *task)
{
  return br_replica_standing (task->replica);
}
