/* Asks the quarantine whether an exchange may run, and reports how it ended. */
#include "shell/exchange_private.h"

#include <inttypes.h>
#include <stdio.h>

/* A request that is given up after at least this long without a byte of an
 * answer, in milliseconds, counts as a loss, because the upstream may have
 * crashed.  This is several times what a request to a plain service takes. */
#define UNANSWERED_LOSS_MS 300

/* Retry-After while a trial of the same content runs, in milliseconds: an
 * innocent one is answered by then. */
#define TRIAL_RESULT_MS 1000

/* A request with several prompt parts that need a trial gets one only when no
 * request with a single one has asked for this long after a ban, in
 * milliseconds: a crash would not show which part caused it. */
#define JOINT_TRIAL_DELAY_MS 10000

bool
br_exchange_is_suspect (br_exchange_t *exchange)
{
  const br_quarantine_t *quarantine = &exchange->task->node->quarantine;

  return quarantine->crashes.len + quarantine->bans.len > 0
         && (br_quarantine_is_suspect (quarantine,
                                       br_exchange_content (exchange))
             || br_quarantine_has_ban (quarantine, exchange->content));
}

/* Things that the quarantine may know one request by. */
#define SUBJECTS_MAX (BR_PROMPT_PARTS_MAX + 1)

/* Fills SUBJECTS; returns their number. */
static size_t
exchange_subjects (br_exchange_t *exchange, br_blocked_t subjects[SUBJECTS_MAX])
{
  const br_inbound_t *inbound = &exchange->inbound;
  size_t n = 0;

  subjects[n++] = (br_blocked_t){ .subject = br_exchange_content (exchange) };
  for (size_t i = 0; i < br_inbound_shared_parts (inbound); i++)
    subjects[n++] = (br_blocked_t){
      .subject = br_part_subject (inbound->parts[i].id),
      .is_part = true,
      .part = inbound->parts[i].id,
    };
  return n;
}

static bool
exchange_subject_blocks (const br_exchange_t *exchange,
                         const br_blocked_t *blocked,
                         br_ms_t now)
{
  br_quarantine_t *quarantine = &exchange->task->node->quarantine;

  /* A part is only blocked by the leader's decision. */
  return (!blocked->is_part
          || br_quarantine_has_ban (quarantine, blocked->subject))
         && br_quarantine_blocks (quarantine, blocked->subject, now);
}

/* Returns the first thing that blocks the request now, or an empty one. */
static br_blocked_t
exchange_blocked_by (br_exchange_t *exchange, br_ms_t now)
{
  br_blocked_t subjects[SUBJECTS_MAX];
  size_t n = exchange_subjects (exchange, subjects);

  for (size_t i = 0; i < n; i++)
    if (exchange_subject_blocks (exchange, &subjects[i], now))
      return subjects[i];
  return (br_blocked_t){ 0 };
}

/* Sets *TRIAL to what must be tried before the request may run, and returns how
 * many of its prompt parts must be. */
static size_t
exchange_due_trial (br_exchange_t *exchange, br_blocked_t *trial, br_ms_t now)
{
  const br_quarantine_t *quarantine = &exchange->task->node->quarantine;
  br_blocked_t subjects[SUBJECTS_MAX];
  size_t n = exchange_subjects (exchange, subjects);
  size_t parts = 0;

  *trial = (br_blocked_t){ 0 };
  for (size_t i = 0; i < n; i++)
    if (br_quarantine_trial_is_due (quarantine, subjects[i].subject, now))
      {
        if (!subjects[i].is_part || parts == 0)
          *trial = subjects[i];
        parts += subjects[i].is_part;
      }
  return parts;
}

/* Returns whether nobody asked for a trial of TRIAL for some time, although its
 * ban has ended. */
static bool
trial_is_overdue (const br_exchange_t *exchange,
                  const br_blocked_t *trial,
                  br_ms_t now)
{
  return now
             - br_quarantine_until (&exchange->task->node->quarantine,
                                    trial->subject)
         >= JOINT_TRIAL_DELAY_MS;
}

/* Asks for the trial that the request needs, if any. */
static br_permission_t
exchange_ask_trial (br_exchange_t *exchange, br_ms_t now)
{
  br_entry_task_t *task = exchange->task;
  br_version_filter_t versions = br_exchange_later_versions (exchange);
  br_blocked_t trial;
  size_t parts = exchange_due_trial (exchange, &trial, now);

  if (trial.subject == 0)
    return BR_PERMISSION_GIVEN;
  if (exchange->asked_trial
      || !br_choice_has_sound (&task->fleet, exchange->service, &versions, now)
      || (parts > 1 && !trial_is_overdue (exchange, &trial, now))
      || !br_entry_ask_trial (task, trial.subject))
    return BR_PERMISSION_DENIED;
  exchange->asked_trial = true;
  exchange->trial = trial;
  return BR_PERMISSION_ASKED;
}

br_permission_t
br_exchange_ask_quarantine (br_exchange_t *exchange)
{
  br_entry_task_t *task = exchange->task;
  br_ms_t now = br_exchange_now (exchange);

  if (br_quarantine_is_empty (&task->node->quarantine))
    return BR_PERMISSION_GIVEN;
  if (exchange->on_trial)
    return now <= exchange->trial_until_ms ? BR_PERMISSION_GIVEN
                                           : BR_PERMISSION_DENIED;
  if (exchange->asked_trial
      && br_trials_take (&task->trials, exchange->trial.subject, now))
    {
      exchange->on_trial = true;
      exchange->trial_until_ms = now + BR_TRIAL_VALID_MS;
      return BR_PERMISSION_GIVEN;
    }
  if (exchange_blocked_by (exchange, now).subject != 0)
    return BR_PERMISSION_DENIED;
  return exchange_ask_trial (exchange, now);
}

/* Returns whether the trial that the exchange requested is still to be
 * granted. */
static bool
trial_is_open (const br_exchange_t *exchange)
{
  br_quarantine_t *quarantine = &exchange->task->node->quarantine;
  br_ms_t now = br_exchange_now (exchange);

  return br_quarantine_trial_is_due (quarantine, exchange->trial.subject, now)
         && !br_quarantine_blocks (quarantine, exchange->trial.subject, now);
}

void
br_exchanges_resume_trials (br_entry_task_t *task)
{
  br_exchange_t *exchange = task->exchanges;
  br_exchange_t *next;

  for (; exchange != NULL; exchange = next)
    {
      next = exchange->next;
      if (exchange->asked_trial && !exchange->on_trial
          && exchange->upstream == NULL && !trial_is_open (exchange))
        br_exchange_attempt (exchange);
    }
}

void
br_exchange_record_answered (br_exchange_t *exchange)
{
  br_quarantine_t *quarantine = &exchange->task->node->quarantine;
  uint64_t content = br_exchange_content (exchange);
  br_ms_t now = br_exchange_now (exchange);

  br_fleet_on_alive (exchange->upstream, exchange->sent_ms);
  br_quarantine_note_recently_answered (quarantine, content);
  if (br_exchange_is_suspect (exchange)
      || br_quarantine_losses (quarantine, content) > 0)
    br_quarantine_answered (quarantine, content, now);
}

void
br_exchange_log_trial (br_exchange_t *exchange)
{
  br_entry_task_t *task = exchange->task;
  char subject[BR_CONTENT_DIGITS];

  if (!exchange->on_trial)
    return;
  BR_LOG (
      &task->node->log, "request", "trial begins",
      br_field_str ("id", exchange->inbound.id),
      br_field_z ("subject",
                  br_content_text (exchange->trial.subject, subject)),
      br_field_int ("of_part", exchange->trial.is_part),
      br_field_str ("upstream", br_name_str (&exchange->upstream->listing.id)),
      br_field_int ("born", (int64_t)exchange->upstream->listing.started_ms),
      br_field_int ("bans_made", (int64_t)task->bans_made),
      br_field_int ("has_leader", task->node->quarantine.has_leader));
}

/* Logs which content or prompt part blocks the request. */
static void
exchange_log_blocked (const br_exchange_t *exchange,
                      const br_blocked_t *blocked,
                      br_ms_t wait_ms)
{
  char subject[BR_CONTENT_DIGITS];
  char part[BR_CONTENT_DIGITS] = "";

  if (blocked->is_part)
    snprintf (part, sizeof part, "%" PRIx64, blocked->part);
  BR_LOG (&exchange->task->node->log, "request", "blocked",
          br_field_str ("id", exchange->inbound.id),
          br_field_z ("subject", br_content_text (blocked->subject, subject)),
          br_field_z ("part", part), br_field_int ("for_ms", wait_ms),
          br_field_int ("bans_made", (int64_t)exchange->task->bans_made));
}

void
br_exchange_end_quarantined (br_exchange_t *exchange)
{
  static const char why[]
      = "this request crashed several upstreams; it runs no more for a while";
  static const char why_part[] = "a part of the prompt crashed several "
                                 "upstreams; it runs no more for a while";
  br_node_t *node = exchange->task->node;
  br_ms_t now = br_exchange_now (exchange);
  br_attempt_query_t query = {
    .ran = exchange->ran,
    .begun = exchange->begun,
    .remaining_ms = exchange->until_ms - now,
  };
  br_blocked_t blocked = exchange_blocked_by (exchange, now);
  br_ms_t wait_ms;

  if (blocked.subject == 0)
    exchange_due_trial (exchange, &blocked, now);
  wait_ms = br_quarantine_until (&node->quarantine, blocked.subject) - now;
  if (br_quarantine_trial_runs (&node->quarantine, blocked.subject, now))
    wait_ms = BR_MIN (wait_ms, TRIAL_RESULT_MS);
  br_counters_add (&node->counters, BR_COUNTER_QUARANTINED, 1);
  exchange_log_blocked (exchange, &blocked, BR_MAX (wait_ms, 0));
  if (br_attempt_give_up (&query) != BR_ATTEMPT_REFUSE)
    br_exchange_end (exchange, br_attempt_give_up (&query),
                     blocked.is_part ? why_part : why);
  else
    br_exchange_refuse (exchange, blocked.is_part ? why_part : why,
                        BR_MAX (wait_ms, BR_EXCHANGE_RETRY_AFTER_MS));
}

/* --- prompt parts --- */

void
br_exchange_record_begun (br_exchange_t *exchange)
{
  br_entry_task_t *task = exchange->task;
  br_quarantine_t *quarantine = &task->node->quarantine;
  const br_inbound_t *inbound = &exchange->inbound;
  br_ms_t now = br_exchange_now (exchange);

  for (size_t i = 0; i < br_inbound_shared_parts (inbound); i++)
    {
      uint64_t subject = br_part_subject (inbound->parts[i].id);

      br_begun_parts_add (&task->begun_parts, inbound->parts[i].id, now);
      if (!br_quarantine_has_ban (quarantine, subject))
        continue;
      br_quarantine_answered (quarantine, subject, now);
      task->report_due = true;
    }
}

br_lost_run_t
br_exchange_lost_run (br_exchange_t *exchange)
{
  const br_inbound_t *inbound = &exchange->inbound;
  br_lost_run_t run = {
    .content = br_exchange_content (exchange),
    .trial_part = exchange->trial.part,
    .on_part_trial = exchange->on_trial && exchange->trial.is_part,
    .had_begun = exchange->had_first_event,
    .lost_ms = br_exchange_now (exchange),
  };

  if (run.had_begun)
    return run;
  run.n_suspects = br_inbound_shared_parts (inbound);
  for (size_t i = 0; i < run.n_suspects; i++)
    run.suspects[i] = inbound->parts[i].id;
  return run;
}

void
br_exchanges_end_blocked (br_entry_task_t *task)
{
  br_exchange_t *exchange = task->exchanges;
  br_exchange_t *next;

  for (; exchange != NULL; exchange = next)
    {
      next = exchange->next;
      if (exchange->upstream == NULL || exchange->had_first_event
          || exchange->on_trial || exchange->inbound.n_parts == 0
          || !exchange_blocked_by (exchange, br_exchange_now (exchange))
                  .is_part)
        continue;
      exchange->ran += br_http_client_has_sent (exchange->client) ? 1 : 0;
      br_exchange_hedge_abandon (exchange);
      br_exchange_end_attempt (exchange, false);
      br_exchange_end_quarantined (exchange);
    }
}

/* --- losses --- */

void
br_exchange_record_unanswered (br_exchange_t *exchange)
{
  br_ms_t now = br_exchange_now (exchange);

  if (exchange->loss_recorded || exchange->upstream == NULL
      || !br_http_client_has_sent (exchange->client)
      || exchange->last_byte_ms > exchange->sent_ms)
    return;
  if (now - exchange->sent_ms < UNANSWERED_LOSS_MS && !exchange->on_trial)
    return;
  exchange->loss_recorded = true;
  br_entry_record_loss (exchange->task, exchange->upstream,
                        br_exchange_content (exchange));
}
