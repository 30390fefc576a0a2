/* Keeps which software version began each stream, as reported by the entry VMs,
 * and answers entry VMs that are asked to take a stream up. */
#include "shell/control_private.h"

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

      br_stream_table_add (&task->streams, &record);
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
  if (task->leads_term > 0
      && br_name_set (&service, br_str_from (ask->service)))
    answer.sole = br_version_history_sole (&task->history, &service, now);
  message.body_case = BR__SITE__MESSAGE__BODY_STREAM_ANSWER;
  message.stream_answer = &answer;
  br_site_send (task->node, vm, &message);
}
