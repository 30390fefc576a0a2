/* Follows the rollouts of the state, sends their policies to the entry VMs, and
 * on the leader proposes their steps. */
#include <stdlib.h>
#include <string.h>

#include "shell/control_rollout.h"
#include "shell/replica_task.h"
#include "state/command.h"

/* Time after which a step is proposed again, in milliseconds. */
#define PROPOSE_RETRY_MS 300

/* Age of a share that a VM sends which does not lead: long out of date. */
#define NO_SHARE_AGE_MS 3600000

/* How long after the end of a rollout the platform still starts or stops
 * upstreams for it, in milliseconds. */
#define AFTERMATH_MS 10000

/* --- versions --- */

static bool
order_allows (const br_rollout_t *order, uint64_t version)
{
  for (size_t i = 0; i < order->n_allowed; i++)
    if (order->allowed[i] == version)
      return true;
  return false;
}

static bool
order_is_of (const br_rollout_t *order, const br_name_t *service)
{
  return br_str_equal (br_str_from (order->service), br_name_str (service));
}

void
br_rollouts_count (const br_control_task_t *task,
                   const br_rollout_t *order,
                   size_t *old_upstreams,
                   size_t *new_upstreams)
{
  *old_upstreams = *new_upstreams = 0;
  for (size_t i = 0; i < task->listings.len; i++)
    {
      const br_listing_t *listing = &task->listings.items[i];
      uint64_t version;

      if (listing->draining || !order_is_of (order, &listing->service))
        continue;
      version = br_listing_version (listing);
      if (version == order->target_version)
        (*new_upstreams)++;
      else if (order_allows (order, version))
        (*old_upstreams)++;
    }
}

bool
br_control_version_is_allowed (const br_control_task_t *task,
                               const br_listing_t *listing)
{
  const br_rollout_t *order = br_state_find_rollout (
      task->node->state, br_name_str (&listing->service));

  return order == NULL || order->phase == BR_ROLLOUT_ORDERED
         || order_allows (order, br_listing_version (listing));
}

bool
br_control_is_rolling_out (const br_control_task_t *task,
                           const br_name_t *service,
                           br_ms_t now)
{
  const br_control_rollouts_t *rollouts = task->rollouts;
  const br_rollout_t *order
      = br_state_find_rollout (task->node->state, br_name_str (service));

  if (order == NULL)
    return false;
  if (br_rollout_is_running (order->phase))
    return true;
  for (size_t i = 0; i < rollouts->rows.len; i++)
    if (br_name_equal (&rollouts->rows.items[i].service, service))
      return now - rollouts->rows.items[i].ended_ms < AFTERMATH_MS;
  return true;
}

/* --- policies --- */

static const br_rollout_row_t *
rollouts_find_row (const br_control_rollouts_t *rollouts,
                   const br_rollout_t *order)
{
  for (size_t i = 0; i < rollouts->rows.len; i++)
    if (order_is_of (order, &rollouts->rows.items[i].service))
      return &rollouts->rows.items[i];
  return NULL;
}

static void
policy_fill (const br_control_task_t *task,
             const br_rollout_t *order,
             br_ms_t now,
             bool may_act,
             Br__Site__VersionPolicy *policy)
{
  const br_rollout_row_t *row = rollouts_find_row (task->rollouts, order);
  bool is_running = br_rollout_is_running (order->phase);

  br__site__version_policy__init (policy);
  policy->service = order->service;
  policy->number = order->number;
  policy->step = order->step;
  policy->phase = order->phase;
  policy->target = order->target_version;
  policy->allowed = br_alloc ((order->n_allowed + 1) * sizeof (uint64_t));
  for (size_t i = 0; i < order->n_allowed; i++)
    if (!is_running || order->allowed[i] != order->target_version)
      policy->allowed[policy->n_allowed++] = order->allowed[i];
  if (!is_running)
    return;
  policy->share_age_ms = NO_SHARE_AGE_MS;
  if (!may_act || row == NULL || !row->has_plan
      || row->plan.number != order->number || row->plan.decided_ms == 0)
    return;
  policy->share_age_ms = (uint64_t)(now - row->plan.decided_ms);
  if (order->phase == BR_ROLLOUT_HOLD)
    return;
  policy->share_ppm = row->plan.share_ppm;
  policy->upstreams = row->plan.upstreams;
}

size_t
br_control_pack_policies (const br_control_task_t *task,
                          br_ms_t now,
                          bool may_act,
                          Br__Site__VersionPolicy ***policies)
{
  const br_state_t *state = task->node->state;
  size_t max = br_state_n_rollouts (state);
  size_t n = 0;

  *policies = NULL;
  if (max == 0)
    return 0;
  *policies = br_alloc (max * sizeof **policies);
  for (size_t i = 0; i < max; i++)
    {
      const br_rollout_t *order = br_state_rollout (state, i);

      /* All versions stay allowed until the old ones are recorded. */
      if (order->phase == BR_ROLLOUT_ORDERED)
        continue;
      (*policies)[n] = br_alloc (sizeof (Br__Site__VersionPolicy));
      policy_fill (task, order, now, may_act, (*policies)[n]);
      n++;
    }
  return n;
}

void
br_control_free_policies (Br__Site__VersionPolicy **policies, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      free (policies[i]->allowed);
      free (policies[i]);
    }
  free (policies);
}

/* --- following the log --- */

br_rollout_row_t *
br_rollouts_row (br_control_rollouts_t *rollouts, const br_rollout_t *order)
{
  br_rollout_row_t fresh = { 0 };

  for (size_t i = 0; i < rollouts->rows.len; i++)
    if (order_is_of (order, &rollouts->rows.items[i].service))
      return &rollouts->rows.items[i];
  br_name_set (&fresh.service, br_str_from (order->service));
  return br_rollout_rows_push (&rollouts->rows, fresh);
}

void
br_control_receive_rollouts (br_control_task_t *task,
                             const br_peer_message_t *from,
                             Br__Site__RolloutCounts *const *counts,
                             size_t n_counts)
{
  br_control_rollouts_t *rollouts = task->rollouts;

  for (size_t i = 0; i < n_counts; i++)
    for (size_t j = 0; j < rollouts->rows.len; j++)
      {
        br_rollout_row_t *row = &rollouts->rows.items[j];

        if (row->has_plan
            && strcmp (row->service.data, counts[i]->service) == 0)
          br_plan_receive (&row->plan, &from->vm, from->incarnation, counts[i],
                           br_node_now (task->node));
      }
}

/* Logs a step that came into force, with what it was decided by. */
static void
row_log_step (const br_control_task_t *task,
              const br_rollout_row_t *row,
              const br_rollout_t *order)
{
  const br_exposure_t *exposure = &row->plan.exposure;
  const br_answer_table_t *answers = &exposure->answers;

  BR_LOG (&task->node->log, "rollout", "step in force",
          br_field_z ("service", order->service),
          br_field_z ("target", order->target),
          br_field_int ("number", (int64_t)order->number),
          br_field_int ("step", (int64_t)order->step),
          br_field_int ("phase", (int64_t)order->phase),
          br_field_z ("why", order->why),
          br_field_int ("sent", (int64_t)exposure->sent),
          br_field_int ("sent_new", (int64_t)exposure->sent_new),
          br_field_int ("answered_old", (int64_t)br_answer_table_answered (
                                            answers, BR_VERSION_OLD)),
          br_field_int ("answered_new", (int64_t)br_answer_table_answered (
                                            answers, BR_VERSION_NEW)));
}

/* Logs the answers by route and version when an order ends. */
static void
row_log_answers (const br_control_task_t *task, const br_rollout_row_t *row)
{
  const br_answer_table_t *answers = &row->plan.exposure.answers;

  for (size_t i = 0; i < answers->len; i++)
    {
      const br_answer_counts_t *of = answers->items[i].of;

      BR_LOG (&task->node->log, "rollout", "answers",
              br_field_z ("service", row->service.data),
              br_field_z ("route", answers->items[i].route.data),
              br_field_int ("old", (int64_t)of[BR_VERSION_OLD].answered),
              br_field_int ("old_failed", (int64_t)of[BR_VERSION_OLD].failed),
              br_field_int ("old_paused", (int64_t)of[BR_VERSION_OLD].paused),
              br_field_int ("new", (int64_t)of[BR_VERSION_NEW].answered),
              br_field_int ("new_failed", (int64_t)of[BR_VERSION_NEW].failed),
              br_field_int ("new_paused", (int64_t)of[BR_VERSION_NEW].paused));
    }
}

static void
row_follow (const br_control_task_t *task,
            br_rollout_row_t *row,
            const br_rollout_t *order,
            br_ms_t now)
{
  const br_site_settings_t *site = &task->node->settings.site;
  bool is_running = br_rollout_is_running (order->phase);
  bool is_new = order->step != row->step;

  row->step = order->step;
  if (row->has_plan && row->plan.number != order->number)
    {
      br_plan_release (&row->plan);
      row->has_plan = false;
    }
  if (is_running && !row->has_plan)
    {
      const br_rollout_bounds_t bounds
          = { .share = site->rollout_share, .slack = site->rollout_slack };

      br_plan_init (&row->plan, order->number, &bounds);
      row->has_plan = true;
      row->ended_ms = 0;
    }
  if (is_new)
    row_log_step (task, row, order);
  if (is_running)
    {
      br_plan_observe (&row->plan, order, now);
      return;
    }
  if (row->has_plan)
    {
      row_log_answers (task, row);
      br_plan_release (&row->plan);
      row->has_plan = false;
    }
  if (row->ended_ms == 0)
    {
      row->ended_ms = now;
      row->replacement = (br_replacement_t){ 0 };
    }
}

void
br_control_rollouts_tick (br_control_task_t *task, br_ms_t now, bool may_act)
{
  br_control_rollouts_t *rollouts = task->rollouts;
  const br_state_t *state = task->node->state;
  uint64_t changes = br_state_rollouts_changed (state);

  for (size_t i = 0; i < br_state_n_rollouts (state); i++)
    {
      const br_rollout_t *order = br_state_rollout (state, i);
      br_rollout_row_t *row = br_rollouts_row (rollouts, order);

      row_follow (task, row, order, now);
      if (may_act && task->clock.known && task->list_sequence > 0
          && task->list_term == task->leads_term)
        br_rollouts_lead (rollouts, order, row, now);
    }
  br_rollouts_answer_waits (rollouts, now);
  if (changes != rollouts->changes)
    {
      rollouts->changes = changes;
      br_control_send_heartbeat (task, now);
    }
}

/* --- the leader --- */

static void
rollouts_propose_step (const br_control_rollouts_t *rollouts,
                       const br_rollout_t *order,
                       br_rollout_row_t *row,
                       const Br__State__RolloutStep *what,
                       br_ms_t now)
{
  br_control_task_t *task = rollouts->task;
  Br__State__RolloutStep step = *what;
  br_buf_t command = { 0 };

  if (row->proposed_step == order->step
      && now - row->proposed_ms < PROPOSE_RETRY_MS)
    return;
  row->proposed_step = order->step;
  row->proposed_ms = now;
  step.service = order->service;
  step.number = order->number;
  step.from_step = order->step;
  br_state_command_rollout_step (&step, &command);
  br_replica_task_propose (task->node->replica, br_buf_str (&command));
  br_buf_free (&command);
  BR_LOG (&task->node->log, "rollout", "step proposed",
          br_field_z ("service", order->service),
          br_field_int ("number", (int64_t)order->number),
          br_field_int ("after_step", (int64_t)order->step),
          br_field_int ("phase", (int64_t)step.phase),
          br_field_int ("allows", (int64_t)step.n_allow),
          br_field_z ("why", step.why));
}

/* Records the old versions with the first step: those of the service's
 * upstreams at its first order, without the target. */
static void
rollouts_begin (const br_control_rollouts_t *rollouts,
                const br_rollout_t *order,
                br_rollout_row_t *row,
                br_ms_t now)
{
  const br_listings_t *listings = &rollouts->task->listings;
  Br__State__RolloutStep step = BR__STATE__ROLLOUT_STEP__INIT;
  uint64_t versions[BR_ROLLOUT_ALLOWED_MAX];
  size_t old_upstreams;
  size_t new_upstreams;
  size_t others = 0;

  step.allow = versions;
  for (size_t i = 0; i < listings->len; i++)
    {
      uint64_t version = br_listing_version (&listings->items[i]);
      size_t j = 0;

      if (!order_is_of (order, &listings->items[i].service)
          || version == order->target_version)
        continue;
      others++;
      while (j < step.n_allow && versions[j] != version)
        j++;
      if (j == step.n_allow && j < BR_N_ELEMENTS (versions))
        versions[step.n_allow++] = version;
    }
  br_rollouts_count (rollouts->task, order, &old_upstreams, &new_upstreams);
  if (order->step > 1)
    {
      others = old_upstreams;
      step.n_allow = 0;
    }
  /* Callers get nothing but this version already. */
  if (others == 0 && new_upstreams > 0
      && (order->step == 1 || order_allows (order, order->target_version)))
    {
      step.phase = BR_ROLLOUT_COMPLETED;
      step.why = "all upstreams have the target already";
    }
  else
    {
      step.phase = BR_ROLLOUT_HOLD;
      step.why = "ordered";
    }
  rollouts_propose_step (rollouts, order, row, &step, now);
}

static void
rollouts_decide (const br_control_rollouts_t *rollouts,
                 const br_rollout_t *order,
                 br_rollout_row_t *row,
                 br_ms_t now)
{
  br_control_task_t *task = rollouts->task;
  br_plan_entry_t *entries
      = br_alloc ((task->entries.len + 1) * sizeof *entries);
  br_plan_view_t view = {
    .now = now,
    .wall = br_site_clock_wall (&task->clock, now),
    .entries = entries,
  };
  Br__State__RolloutStep step = BR__STATE__ROLLOUT_STEP__INIT;
  Br__State__RolloutTotals totals = BR__STATE__ROLLOUT_TOTALS__INIT;
  br_plan_decision_t decision;
  const char *waited = row->plan.waits;
  br_buf_t command = { 0 };

  for (size_t i = 0; i < task->entries.len; i++)
    {
      const br_control_entry_t *entry = &task->entries.items[i];

      if (br_control_entry_is_live (entry, now))
        entries[view.n_entries++]
            = (br_plan_entry_t){ .vm = entry->vm,
                                 .incarnation = entry->incarnation,
                                 .since_ms = entry->since_ms };
    }
  br_rollouts_count (task, order, &view.old_upstreams, &view.new_upstreams);
  br_plan_decide (&row->plan, order, &view, &decision);
  free (entries);
  if (row->plan.waits != waited)
    BR_LOG (&task->node->log, "rollout",
            row->plan.waits != NULL ? "share withheld" : "share given",
            br_field_z ("service", order->service),
            br_field_z ("why", row->plan.waits != NULL ? row->plan.waits : ""));
  if (decision.has_totals)
    {
      totals.service = order->service;
      totals.number = order->number;
      totals.sent = decision.sent;
      totals.sent_new = decision.sent_new;
      br_state_command_rollout_totals (&totals, &command);
      br_replica_task_propose (task->node->replica, br_buf_str (&command));
      br_buf_free (&command);
    }
  if (!decision.has_step)
    return;
  step.phase = decision.phase;
  step.why = decision.why;
  rollouts_propose_step (rollouts, order, row, &step, now);
}

/* Allows an undeclared version whose upstreams replace allowed ones one after
 * the other. */
static void
rollouts_replace (const br_control_rollouts_t *rollouts,
                  const br_rollout_t *order,
                  br_rollout_row_t *row,
                  br_ms_t now)
{
  const br_control_task_t *task = rollouts->task;
  const br_listings_t *listings = &task->listings;
  Br__State__RolloutStep step = BR__STATE__ROLLOUT_STEP__INIT;
  uint64_t undeclared = 0;
  size_t n_undeclared = 0;
  size_t allowed = 0;
  size_t leaving = 0;

  for (size_t i = 0; i < listings->len; i++)
    {
      const br_listing_t *listing = &listings->items[i];
      uint64_t version;

      if (!order_is_of (order, &listing->service))
        continue;
      version = br_listing_version (listing);
      if (listing->draining)
        leaving += order_allows (order, version) ? 1 : 0;
      else if (order_allows (order, version))
        allowed++;
      else if (version != order->target_version
               && (undeclared == 0 || undeclared == version))
        {
          undeclared = version;
          n_undeclared++;
        }
    }
  /* After a rollout the leaving ones are those of its old version. */
  if (row->replacement_term != task->leads_term
      && now - row->ended_ms >= AFTERMATH_MS)
    br_replacement_begin (&row->replacement, allowed, leaving, now);
  else
    br_replacement_note (&row->replacement, allowed, now);
  row->replacement_term = task->leads_term;
  if (!br_replacement_admits (&row->replacement, allowed, n_undeclared))
    return;
  step.phase = order->phase;
  step.n_allow = 1;
  step.allow = &undeclared;
  step.why = "its upstreams replace allowed ones one by one";
  rollouts_propose_step (rollouts, order, row, &step, now);
}

void
br_rollouts_lead (br_control_rollouts_t *rollouts,
                  const br_rollout_t *order,
                  br_rollout_row_t *row,
                  br_ms_t now)
{
  if (order->phase == BR_ROLLOUT_ORDERED)
    rollouts_begin (rollouts, order, row, now);
  else if (br_rollout_is_running (order->phase))
    rollouts_decide (rollouts, order, row, now);
  else
    rollouts_replace (rollouts, order, row, now);
}
