/* Reports which software version began each stream to the control VMs, and asks
 * them for it. */
#include "shell/entry_private.h"
#include "shell/peer_task.h"
#include "shell/site_message.h"

void
br_entry_record_stream (br_entry_task_t *task,
                        br_stream_t stream,
                        br_version_t version)
{
  br_stream_record_t record = {
    .stream = stream,
    .version = version,
    .at_ms = br_node_now (task->node),
  };

  br_stream_table_add (&task->streams, &record);
  br_stream_records_push (&task->new_streams, record);
}

size_t
br_entry_report_streams (const br_entry_task_t *task,
                         size_t from,
                         Br__Site__StreamRecord *wire,
                         Br__Site__StreamRecord **views)
{
  br_ms_t now = br_node_now (task->node);
  size_t n = 0;

  for (size_t i = from; i < task->new_streams.len; i++)
    {
      const br_stream_record_t *record = &task->new_streams.items[i];

      wire[n] = (Br__Site__StreamRecord)BR__SITE__STREAM_RECORD__INIT;
      wire[n].stream = record->stream;
      wire[n].version = record->version;
      wire[n].age_ms = (uint64_t)(now - record->at_ms);
      views[n] = &wire[n];
      n++;
    }
  return n;
}

typedef struct
{
  br_node_t *node;
  const br_site_message_t *message;
  size_t sent;
} ask_t;

static void
ask_send (void *context, const br_name_t *vm)
{
  ask_t *ask = context;

  ask->sent += br_site_send (ask->node, vm, ask->message) ? 1 : 0;
}

size_t
br_entry_ask_stream (br_entry_task_t *task,
                     br_stream_t stream,
                     const br_name_t *service)
{
  Br__Site__StreamAsk body = BR__SITE__STREAM_ASK__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  ask_t ask = { .node = task->node, .message = &message };

  body.stream = stream;
  body.service = (char *)service->data;
  message.body_case = BR__SITE__MESSAGE__BODY_STREAM_ASK;
  message.stream_ask = &body;
  br_peer_task_each (task->node->peers, ask_send, &ask);
  return ask.sent;
}
