/* Handles requests that crash upstreams.  Entry VMs report crashes to all
 * control VMs, the leader bans the requests that caused them through the log,
 * and each control VM sends the bans to entry VMs that lack them. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "shell/control_private.h"
#include "shell/replica_task.h"
#include "state/command.h"
#include "upstream/trial.h"

/* Time between two checks for requests to ban, in milliseconds.  A proposed ban
 * is in force before the next check. */
#define CHECK_PERIOD_MS 200

/* Length of the ban of a request that crashed upstreams again after it had been
 * blocked, in milliseconds.  It leaves operators time to contact the caller. */
#define BAN_CERTAIN_MS (24 * 60 * 60 * 1000)

/* Length of the ban of a request that may be innocent, before its first trial,
 * in milliseconds.  By then most upstreams that were lost are known to be down
 * or run again. */
#define BAN_BEFORE_TRIAL_MS BR_QUARANTINE_DECISION_MS

/* Time between two trials unless the first is answered, in milliseconds.  An
 * upstream that a trial crashes has restarted, or is known to be down, by
 * then. */
#define TRIAL_SPACING_MS BR_QUARANTINE_DECISION_MS

/* Bans proposed at most in one check. */
#define PROPOSED_MAX 8

/* Returns the Unix time from which on a run of the request was a trial. */
static br_ms_t
ban_trial_wall_ms (const Br__State__Ban *ban)
{
  return ban->trials > 0 ? (br_ms_t)ban->granted_ms - BR_QUARANTINE_SKEW_MS
                         : (br_ms_t)ban->until_ms;
}

/* Lifts the ban of a request that ran to its end in a trial. */
static void
task_lift_ban (br_control_task_t *task,
               const Br__Site__Answered *answered,
               br_ms_t now)
{
  br_node_t *node = task->node;
  br_ms_t wall = br_site_clock_wall (&task->clock, now);
  const Br__State__Ban *ban
      = br_state_find_ban (node->state, answered->content);
  br_buf_t command = { 0 };

  if (task->leads_term == 0 || ban == NULL
      || ban_trial_wall_ms (ban) > wall - (br_ms_t)answered->age_ms)
    return;
  br_state_command_ban (answered->content, 0, &command);
  br_replica_task_propose (node->replica, br_buf_str (&command));
  br_buf_free (&command);
  BR_LOG (&node->log, "site", "ban lifted",
          br_field_int ("answered_ms", (int64_t)answered->age_ms));
}

static void
task_receive_losses (br_control_task_t *task,
                     const Br__Site__EntryReport *report,
                     br_ms_t now)
{
  br_quarantine_t *quarantine = &task->node->quarantine;

  for (size_t i = 0; i < report->n_losses; i++)
    {
      const Br__Site__Loss *loss_report = report->losses[i];
      br_loss_t loss = {
        .run = loss_report->run,
        .content = loss_report->content,
        .incarnation = loss_report->incarnation,
        .at_ms = now - (br_ms_t)loss_report->age_ms,
      };

      if (loss_report->answered_before)
        br_quarantine_note_recently_answered (quarantine, loss_report->content);
      if (br_name_set (&loss.upstream, br_str_from (loss_report->upstream))
          && br_quarantine_report_loss (quarantine, &loss)
          && br_quarantine_blocks (quarantine, loss.content, now))
        task->bans_due = true;
    }
}

void
br_control_receive_crashes (br_control_task_t *task,
                            const Br__Site__EntryReport *report,
                            br_ms_t now)
{
  br_quarantine_t *quarantine = &task->node->quarantine;

  for (size_t i = 0; i < report->n_answered; i++)
    {
      task_lift_ban (task, report->answered[i], now);
      br_quarantine_answered (quarantine, report->answered[i]->content,
                              now - (br_ms_t)report->answered[i]->age_ms);
    }
  task_receive_losses (task, report, now);
  for (size_t i = 0; i < report->n_crashes; i++)
    {
      const Br__Site__Crash *crash = report->crashes[i];
      br_name_t upstream;

      if (crash->answered_before)
        br_quarantine_note_recently_answered (quarantine, crash->content);
      if (br_name_set (&upstream, br_str_from (crash->upstream))
          && br_quarantine_report (quarantine, crash->content, &upstream,
                                   crash->incarnation,
                                   now - (br_ms_t)crash->age_ms))
        task->bans_due = true;
    }
}

void
br_control_discard_leaving (br_control_task_t *task)
{
  br_quarantine_t *quarantine = &task->node->quarantine;

  if (quarantine->crashes.len + task->part_suspects.crashes.len == 0)
    return;
  for (size_t i = 0; i < task->listings.len; i++)
    {
      const br_listing_t *listing = &task->listings.items[i];

      if (!listing->draining)
        continue;
      br_quarantine_discard (quarantine, &listing->id, listing->started_ms);
      br_part_suspects_discard (&task->part_suspects, &listing->id,
                                &listing->started_ms);
    }
}

void
br_control_read_bans (br_control_task_t *task, br_ms_t now)
{
  const br_state_t *state = task->node->state;
  br_ms_t wall = br_site_clock_wall (&task->clock, now);

  br_quarantine_clear_bans (&task->node->quarantine);
  for (size_t i = 0; i < br_state_n_bans (state); i++)
    {
      const Br__State__Ban *ban = br_state_ban (state, i);

      br_quarantine_ban (&task->node->quarantine, ban->content,
                         now + (br_ms_t)ban->until_ms - wall);
      if (ban->trials > 0)
        br_quarantine_set_trial (&task->node->quarantine, ban->content,
                                 now + (br_ms_t)ban->granted_ms - wall);
    }
}

/* Returns whether the ban in the log is enough.  Only a request that crashed an
 * upstream in a trial needs a longer one than its trials begin with. */
static bool
task_has_banned (const br_control_task_t *task, uint64_t content, br_ms_t wall)
{
  const Br__State__Ban *ban = br_state_find_ban (task->node->state, content);

  return ban != NULL
         && (!br_quarantine_is_certain (&task->node->quarantine, content)
             || (br_ms_t)ban->until_ms > wall + BAN_CERTAIN_MS / 2);
}

static void
task_propose_ban (br_control_task_t *task, uint64_t content, br_ms_t wall)
{
  br_node_t *node = task->node;
  bool certain = br_quarantine_is_certain (&node->quarantine, content);
  br_ms_t for_ms = certain ? BAN_CERTAIN_MS : BAN_BEFORE_TRIAL_MS;
  br_buf_t command = { 0 };
  char name[24];

  snprintf (name, sizeof name, "%016" PRIx64, content);
  br_state_command_ban (content, wall + for_ms, &command);
  br_replica_task_propose (node->replica, br_buf_str (&command));
  br_buf_free (&command);
  BR_LOG (&node->log, "site", "ban proposed", br_field_z ("content", name),
          br_field_int ("crashes",
                        br_quarantine_count (&node->quarantine, content)),
          br_field_int ("losses",
                        br_quarantine_losses (&node->quarantine, content)),
          br_field_int ("certain", certain), br_field_int ("for_ms", for_ms));
}

void
br_control_ban_for_trial (br_control_task_t *task, uint64_t subject)
{
  br_ms_t wall = br_site_clock_wall (&task->clock, br_node_now (task->node));
  br_buf_t command = { 0 };

  if (br_state_find_ban (task->node->state, subject) != NULL)
    return;
  br_state_command_ban (subject, wall + BAN_BEFORE_TRIAL_MS, &command);
  br_replica_task_propose (task->node->replica, br_buf_str (&command));
  br_buf_free (&command);
}

/* The contents whose bans were proposed in one check. */
typedef struct
{
  uint64_t contents[PROPOSED_MAX];
  size_t n;
} proposed_t;

static bool
proposed_has (const proposed_t *proposed, uint64_t content)
{
  for (size_t i = 0; i < proposed->n; i++)
    if (proposed->contents[i] == content)
      return true;
  return false;
}

static void
task_consider_ban (br_control_task_t *task,
                   uint64_t content,
                   br_ms_t now,
                   proposed_t *proposed)
{
  br_ms_t wall = br_site_clock_wall (&task->clock, now);

  if (proposed->n == PROPOSED_MAX || proposed_has (proposed, content)
      || task_has_banned (task, content, wall)
      || !br_quarantine_blocks (&task->node->quarantine, content, now))
    return;
  task_propose_ban (task, content, wall);
  proposed->contents[proposed->n++] = content;
}

/* Returns whether the last trial may still run.  With two at a time, one that
 * crashes an upstream could make the other one fail there. */
static bool
task_has_trial (const br_control_task_t *task, br_ms_t now)
{
  return task->trial_content != 0
         && now - task->trial_proposed_ms < TRIAL_SPACING_MS
         && br_state_find_ban (task->node->state, task->trial_content) != NULL;
}

void
br_control_receive_trial_ask (br_control_task_t *task,
                              const br_name_t *vm,
                              const Br__Site__TrialAsk *ask)
{
  br_node_t *node = task->node;
  br_ms_t now = br_node_now (node);
  br_ms_t wall = br_site_clock_wall (&task->clock, now);
  const Br__State__Ban *ban = br_state_find_ban (node->state, ask->content);
  Br__State__Trial trial = BR__STATE__TRIAL__INIT;
  br_buf_t command = { 0 };
  char name[24];

  if (task->leads_term == 0 || ban == NULL || (br_ms_t)ban->until_ms > wall
      || task_has_trial (task, now))
    return;
  task->trial_content = ask->content;
  task->trial_proposed_ms = now;
  trial.content = ask->content;
  trial.number = ban->trials + 1;
  trial.ticket = ask->ticket;
  trial.granted_ms = (uint64_t)wall;
  trial.until_ms = (uint64_t)(wall + br_trial_block_ms (trial.number));
  br_state_command_trial (&trial, &command);
  br_replica_task_propose (node->replica, br_buf_str (&command));
  br_buf_free (&command);
  snprintf (name, sizeof name, "%016" PRIx64, ask->content);
  BR_LOG (&node->log, "site", "trial proposed", br_field_z ("content", name),
          br_field_z ("holder", vm->data),
          br_field_int ("number", trial.number),
          br_field_int ("blocked_ms", br_trial_block_ms (trial.number)));
}

void
br_control_quarantine_tick (br_control_task_t *task, br_ms_t now)
{
  br_quarantine_t *quarantine = &task->node->quarantine;
  proposed_t proposed = { 0 };

  if (!task->bans_due || now - task->bans_last_check_ms < CHECK_PERIOD_MS)
    return;
  task->bans_last_check_ms = now;
  for (size_t i = 0; i < quarantine->crashes.len; i++)
    task_consider_ban (task, quarantine->crashes.items[i].content, now,
                       &proposed);
  for (size_t i = 0; i < quarantine->losses.len; i++)
    task_consider_ban (task, quarantine->losses.items[i].content, now,
                       &proposed);
  task->bans_due = proposed.n > 0;
}

void
br_control_send_bans (br_control_task_t *task, const br_name_t *vm, br_ms_t now)
{
  const br_state_t *state = task->node->state;
  br_ms_t wall = br_site_clock_wall (&task->clock, now);
  size_t max = br_state_n_bans (state);
  Br__Site__Ban *wire = br_alloc ((max + 1) * sizeof *wire);
  Br__Site__Ban **views = br_alloc ((max + 1) * sizeof *views);
  Br__Site__Bans body = BR__SITE__BANS__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;

  for (; body.n_bans < max; body.n_bans++)
    {
      const Br__State__Ban *ban = br_state_ban (state, body.n_bans);
      Br__Site__Ban *sent = &wire[body.n_bans];

      *sent = (Br__Site__Ban)BR__SITE__BAN__INIT;
      sent->content = ban->content;
      sent->left_ms
          = (br_ms_t)ban->until_ms > wall ? ban->until_ms - (uint64_t)wall : 0;
      sent->trials = ban->trials;
      sent->ticket = ban->ticket;
      sent->granted_age_ms
          = (uint64_t)BR_MAX (wall - (br_ms_t)ban->granted_ms, 0);
      views[body.n_bans] = sent;
    }
  body.made = br_state_bans_made (state);
  body.bans = views;
  message.body_case = BR__SITE__MESSAGE__BODY_BANS;
  message.bans = &body;
  br_site_send (task->node, vm, &message);
  free (wire);
  free (views);
}
