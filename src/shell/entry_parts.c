/* Reports the prompt parts that may have crashed upstreams, and answers when
 * answers last began on them. */
#include "shell/entry_private.h"
#include "shell/site_message.h"

void
br_entry_record_part_crash (br_entry_task_t *task,
                            const br_name_t *upstream,
                            const br_lost_run_t *run)
{
  br_part_crash_t crash = {
    .upstream = *upstream,
    .incarnation = run->started_ms,
    .at_ms = run->lost_ms,
    .n = run->n_suspects,
  };

  if (run->n_suspects == 0)
    return;
  for (size_t i = 0; i < run->n_suspects; i++)
    crash.suspects[i] = run->suspects[i];
  br_part_suspects_expire (&task->part_suspects, br_node_now (task->node));
  br_part_suspects_report (&task->part_suspects, &crash);
}

size_t
br_entry_report_part_crashes (const br_entry_task_t *task,
                              Br__Site__PartCrash *wire,
                              Br__Site__PartCrash **views)
{
  const br_part_crashes_t *crashes = &task->part_suspects.crashes;
  br_ms_t now = br_node_now (task->node);
  size_t n = 0;

  for (size_t i = 0; i < crashes->len; i++)
    {
      br_part_crash_t *crash = &crashes->items[i];

      if (crash->at_ms < task->evidence_since_ms)
        continue;
      wire[n] = (Br__Site__PartCrash)BR__SITE__PART_CRASH__INIT;
      wire[n].upstream = crash->upstream.data;
      wire[n].incarnation = crash->incarnation;
      wire[n].age_ms = (uint64_t)(now - crash->at_ms);
      wire[n].n_suspects = crash->n;
      wire[n].suspects = crash->suspects;
      views[n] = &wire[n];
      n++;
    }
  return n;
}

void
br_entry_on_part_inquiry (br_entry_task_t *task,
                          const br_name_t *vm,
                          const Br__Site__PartInquiry *inquiry)
{
  Br__Site__BegunPart wire[BR_PART_CANDIDATES_MAX];
  Br__Site__BegunPart *views[BR_PART_CANDIDATES_MAX];
  Br__Site__BegunParts body = BR__SITE__BEGUN_PARTS__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  br_ms_t now = br_node_now (task->node);
  br_ms_t at_ms;

  for (size_t i = 0;
       i < inquiry->n_parts && body.n_parts < BR_PART_CANDIDATES_MAX; i++)
    {
      if (!br_begun_parts_find (&task->begun_parts, inquiry->parts[i], &at_ms))
        continue;
      wire[body.n_parts] = (Br__Site__BegunPart)BR__SITE__BEGUN_PART__INIT;
      wire[body.n_parts].part = inquiry->parts[i];
      wire[body.n_parts].age_ms = (uint64_t)(now - at_ms);
      views[body.n_parts] = &wire[body.n_parts];
      body.n_parts++;
    }
  body.number = inquiry->number;
  body.term = inquiry->term;
  body.parts = views;
  message.body_case = BR__SITE__MESSAGE__BODY_BEGUN_PARTS;
  message.begun_parts = &body;
  br_site_send (task->node, vm, &message);
}
