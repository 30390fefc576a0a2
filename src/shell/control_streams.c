/* Keeps which software version began each stream, as reported by the entry VMs
 * and committed to the log, and answers entry VMs that are asked to take a
 * stream up. */
#include "shell/control_private.h"

#include <stdlib.h>

#include "shell/replica_task.h"
#include "state/command.h"

/* Time between two proposals of streams, in milliseconds. */
#define PROPOSE_PERIOD_MS 200

/* Streams that wait for a proposal; further ones are kept in memory only. */
#define NEW_STREAMS_MAX 4096

void
br_control_receive_streams (br_control_task_t *task,
                            Br__Site__StreamRecord *const *records,
                            size_t n_records)
{
  br_ms_t now = br_node_now (task->node);

  for (size_t i = 0; i < n_records; i++)
    {
      br_stream_record_t record = {
        .stream = records[i]->stream,
        .version = records[i]->version,
        .at_ms = now - (br_ms_t)records[i]->age_ms,
      };
      bool is_known = br_stream_table_find (&task->streams, record.stream, now)
                      == record.version;

      br_stream_table_add (&task->streams, &record);
      if (task->leads_term > 0 && !is_known
          && task->new_streams.len < NEW_STREAMS_MAX)
        br_stream_records_push (&task->new_streams, record);
    }
}

void
br_control_streams_tick (br_control_task_t *task, br_ms_t now)
{
  br_stream_records_t *fresh = &task->new_streams;
  Br__State__Streams batch = BR__STATE__STREAMS__INIT;
  br_buf_t command = { 0 };

  if (fresh->len == 0 || now - task->streams_proposed_ms < PROPOSE_PERIOD_MS)
    return;
  batch.at_ms = (uint64_t)br_site_clock_wall (&task->clock, now);
  batch.n_streams = batch.n_versions = fresh->len;
  batch.streams = br_alloc (fresh->len * sizeof *batch.streams);
  batch.versions = br_alloc (fresh->len * sizeof *batch.versions);
  for (size_t i = 0; i < fresh->len; i++)
    {
      batch.streams[i] = fresh->items[i].stream;
      batch.versions[i] = fresh->items[i].version;
    }
  br_state_command_streams (&batch, &command);
  br_replica_task_propose (task->node->replica, br_buf_str (&command));
  br_buf_free (&command);
  free (batch.streams);
  free (batch.versions);
  br_stream_records_clear (fresh);
  task->streams_proposed_ms = now;
}

void
br_control_read_streams (br_control_task_t *task, br_ms_t now)
{
  const br_state_t *state = task->node->state;
  uint64_t made = br_state_streams_made (state);
  size_t n = br_state_n_streams (state);
  br_ms_t wall;
  size_t from;

  if (made == task->streams_read)
    return;
  /* A snapshot that was installed may hold fewer batches than were made. */
  from = made > task->streams_read && made - task->streams_read < n
             ? n - (size_t)(made - task->streams_read)
             : 0;
  task->streams_read = made;
  wall = br_site_clock_wall (&task->clock, now);
  for (size_t i = from; i < n; i++)
    {
      const Br__State__Streams *batch = br_state_streams (state, i);

      for (size_t j = 0; j < batch->n_streams; j++)
        {
          br_stream_record_t record = {
            .stream = batch->streams[j],
            .version = batch->versions[j],
            .at_ms = now - BR_MAX (wall - (br_ms_t)batch->at_ms, 0),
          };

          br_stream_table_add (&task->streams, &record);
        }
    }
}

void
br_control_receive_stream_ask (br_control_task_t *task,
                               const br_name_t *vm,
                               const Br__Site__StreamAsk *ask)
{
  Br__Site__StreamAnswer answer = BR__SITE__STREAM_ANSWER__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  br_ms_t now = br_node_now (task->node);
  br_name_t service;

  answer.stream = ask->stream;
  answer.version = br_stream_table_find (&task->streams, ask->stream, now);
  if (br_control_may_act (task)
      && br_name_set (&service, br_str_from (ask->service)))
    answer.sole = br_version_history_sole (&task->history, &service, now);
  message.body_case = BR__SITE__MESSAGE__BODY_STREAM_ANSWER;
  message.stream_answer = &answer;
  br_site_send (task->node, vm, &message);
}
