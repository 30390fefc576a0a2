/* Finds prompt parts that crash upstreams.  Entry VMs report crashes to all
 * control VMs; the leader asks the entry VMs when answers last began on the
 * suspects and bans the parts that it blames through the log. */
#include <inttypes.h>
#include <stdio.h>

#include "shell/control_private.h"
#include "shell/peer_task.h"

/* How long the leader waits for answers to an inquiry, in milliseconds. */
#define INQUIRY_WAIT_MS 300

static bool
task_part_is_banned (const void *context, uint64_t part)
{
  const br_control_task_t *task = context;

  return br_quarantine_has_ban (&task->node->quarantine,
                                br_part_subject (part));
}

void
br_control_receive_part_crashes (br_control_task_t *task,
                                 const Br__Site__EntryReport *report,
                                 br_ms_t now)
{
  for (size_t i = 0; i < report->n_part_crashes; i++)
    {
      const Br__Site__PartCrash *from = report->part_crashes[i];
      br_part_crash_t crash = {
        .incarnation = from->incarnation,
        .at_ms = now - (br_ms_t)from->age_ms,
        .n = BR_MIN (from->n_suspects, BR_PART_CRASH_SUSPECTS_MAX),
      };

      for (size_t j = 0; j < crash.n; j++)
        crash.suspects[j] = from->suspects[j];
      if (br_name_set (&crash.upstream, br_str_from (from->upstream))
          && br_part_suspects_report (&task->part_suspects, &crash))
        task->part_inquiry.is_due = true;
    }
}

/* Sends the inquiry to all live entry VMs. */
static void
task_send_inquiry (br_control_task_t *task, br_ms_t now)
{
  br_control_inquiry_t *inquiry = &task->part_inquiry;
  uint64_t parts[BR_PART_CANDIDATES_MAX];
  Br__Site__PartInquiry body = BR__SITE__PART_INQUIRY__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  br_buf_t packed = { 0 };

  for (size_t i = 0; i < inquiry->candidates.len; i++)
    parts[i] = inquiry->candidates.items[i].part;
  body.number = inquiry->number;
  body.term = task->leads_term;
  body.n_parts = inquiry->candidates.len;
  body.parts = parts;
  message.body_case = BR__SITE__MESSAGE__BODY_PART_INQUIRY;
  message.part_inquiry = &body;
  br_site_pack (&message, &packed);
  for (size_t i = 0; i < task->entries.len; i++)
    if (br_control_entry_is_live (&task->entries.items[i], now)
        && br_node_send (task->node, &task->entries.items[i].vm, BR_PART_SITE,
                         br_buf_str (&packed)))
      inquiry->asked++;
  br_buf_free (&packed);
}

static void
task_begin_inquiry (br_control_task_t *task, br_ms_t now)
{
  br_control_inquiry_t *inquiry = &task->part_inquiry;

  inquiry->is_due = false;
  br_part_suspects_expire (&task->part_suspects, now);
  br_part_suspects_candidates (&task->part_suspects, task_part_is_banned, task,
                               &inquiry->candidates);
  if (inquiry->candidates.len == 0)
    return;
  inquiry->is_open = true;
  inquiry->number++;
  inquiry->begun_ms = now;
  inquiry->asked = 0;
  inquiry->answered = 0;
  task_send_inquiry (task, now);
}

static void
task_ban_part (br_control_task_t *task, uint64_t part)
{
  const br_control_inquiry_t *inquiry = &task->part_inquiry;
  uint64_t subject = br_part_subject (part);
  char text[24];
  char subject_text[24];

  snprintf (text, sizeof text, "%" PRIx64, part);
  snprintf (subject_text, sizeof subject_text, "%016" PRIx64, subject);
  BR_LOG (&task->node->log, "site", "prompt part blamed",
          br_field_z ("part", text), br_field_z ("subject", subject_text),
          br_field_int ("crashes",
                        br_part_suspects_count (&task->part_suspects, part)),
          br_field_int ("candidates", (int64_t)inquiry->candidates.len),
          br_field_int ("asked", (int64_t)inquiry->asked),
          br_field_int ("answered", (int64_t)inquiry->answered));
  br_control_ban_for_trial (task, subject);
}

static void
task_end_inquiry (br_control_task_t *task)
{
  br_control_inquiry_t *inquiry = &task->part_inquiry;
  uint64_t blamed[BR_PART_CANDIDATES_MAX];
  size_t n = br_part_suspects_blame (&task->part_suspects, &inquiry->candidates,
                                     task_part_is_banned, task,
                                     inquiry->begun_ms, blamed);

  inquiry->is_open = false;
  for (size_t i = 0; i < n; i++)
    task_ban_part (task, blamed[i]);
}

void
br_control_receive_begun_parts (br_control_task_t *task,
                                const Br__Site__BegunParts *begun)
{
  br_control_inquiry_t *inquiry = &task->part_inquiry;
  br_ms_t now = br_node_now (task->node);

  if (!inquiry->is_open || begun->number != inquiry->number
      || begun->term != task->leads_term)
    return;
  for (size_t i = 0; i < begun->n_parts; i++)
    br_part_candidates_begun (&inquiry->candidates, begun->parts[i]->part,
                              now - (br_ms_t)begun->parts[i]->age_ms);
  inquiry->answered++;
  if (inquiry->answered == inquiry->asked)
    task_end_inquiry (task);
}

void
br_control_parts_tick (br_control_task_t *task, br_ms_t now)
{
  const br_control_inquiry_t *inquiry = &task->part_inquiry;

  if (!inquiry->is_open && inquiry->is_due)
    task_begin_inquiry (task, now);
  else if (inquiry->is_open && now - inquiry->begun_ms >= INQUIRY_WAIT_MS)
    task_end_inquiry (task);
}
