#include "rollout/plan.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Parts of the allowed share that a sample takes on average: at most, and at
 * least where the move would leave less. */
#define SAMPLE_PART 0.4
#define SAMPLE_PART_MIN 0.1

/* Part of that outside of pulses, where a sample needs these. */
#define BASE_PART 0.7

/* Time for which a sample leaves exposure to the move: the reserve before the
 * limit and two rounds of the log. */
#define MOVE_TIME_MS 700

/* Part of the exposure that the plan uses, and the growth of the rate that it
 * allows for. */
#define EXPOSURE_PART 0.9
#define GROWTH 1.1

/* The move does not begin before this part of the time. */
#define MOVE_PART 0.5

/* Part of the exposure allowed so far at which a move stops, and the time that
 * stopping takes. */
#define STOP_PART 0.97
#define STOP_MS 200

/* Shortest move: answers under the whole load have been reported. */
#define MOVE_MIN_MS 1000

/* Time in which a move reaches the entry VMs: new work is not at old upstreams
 * any more when these may be stopped. */
#define MOVE_REACH_MS 200

/* An entry VM without counts for this long is of a build that knows no policy.
 */
#define COUNTS_DUE_MS 1500

/* A pulse, and the time between two at the least. */
#define PULSE_MS 250
#define PULSE_PERIOD_MS 1000

/* Time between two checkpoints. */
#define TOTALS_PERIOD_MS 500

/* From this growth of the rate on, the past says nothing on the new version. */
#define BURST 1.5

void
br_plan_init (br_plan_t *plan,
              uint64_t number,
              const br_rollout_bounds_t *bounds)
{
  *plan = (br_plan_t){ .number = number, .bounds = *bounds };
  br_judge_init (&plan->judge, BR_JUDGE_ALPHA);
}

void
br_plan_release (br_plan_t *plan)
{
  br_exposure_release (&plan->exposure);
  br_judge_release (&plan->judge);
}

void
br_plan_receive (br_plan_t *plan,
                 const br_name_t *vm,
                 uint64_t incarnation,
                 const Br__Site__RolloutCounts *counts,
                 br_ms_t now)
{
  if (counts->number == plan->number)
    br_exposure_receive (&plan->exposure, vm, incarnation, counts, now);
}

void
br_plan_observe (br_plan_t *plan, const br_rollout_t *order, br_ms_t now)
{
  const br_answer_table_t *answers = &plan->exposure.answers;
  double rate;
  bool is_alone = order->phase == BR_ROLLOUT_MOVE;

  if (plan->begun_ms == 0)
    plan->begun_ms = now;
  br_exposure_tick (&plan->exposure, now);
  rate = br_exposure_rate (&plan->exposure);
  if (order->phase != BR_ROLLOUT_MOVE)
    plan->move_ms = 0;
  else if (plan->move_ms == 0)
    {
      plan->move_ms = now;
      plan->rate_before = rate;
    }
  if (is_alone && rate > BURST * plan->rate_before)
    br_judge_skip (&plan->judge, answers, now);
  else
    br_judge_look (&plan->judge, answers, is_alone, now);
}

/* Returns why no request may go to the target now, or NULL. */
static const char *
plan_waits (const br_plan_t *plan, const br_plan_view_t *view, bool *is_whole)
{
  size_t fresh = 0;

  for (size_t i = 0; i < view->n_entries; i++)
    {
      const br_plan_entry_t *entry = &view->entries[i];
      const br_exposure_row_t *row
          = br_exposure_find (&plan->exposure, &entry->vm, entry->incarnation);

      if (row == NULL
          && view->now - BR_MAX (entry->since_ms, plan->begun_ms)
                 >= COUNTS_DUE_MS)
        return "an entry VM reports no counts";
      fresh += row != NULL && view->now - row->last_ms < BR_EXPOSURE_FRESH_MS
                   ? 1
                   : 0;
    }
  *is_whole = fresh == view->n_entries;
  if (fresh == 0 || fresh * 4 < view->n_entries * 3)
    return "counts of the entry VMs are missing";
  if (view->new_upstreams == 0)
    return "no upstream of the target serves";
  return NULL;
}

/* Returns what may be sent to the target if SENT is sent in all. */
static double
plan_allowed (const br_plan_t *plan, double sent)
{
  return plan->bounds.share * sent + plan->bounds.slack;
}

static double
plan_share (const br_plan_t *plan)
{
  return plan->share_ppm / 1e6;
}

/* Returns whether all new work may move now: what is sent to the target then,
 * up to the limit, stays below the exposure. */
static bool
plan_may_move (const br_plan_t *plan,
               const br_rollout_t *order,
               const br_plan_view_t *view,
               double left_ms)
{
  double sent = (double)plan->exposure.sent;
  double rate = br_exposure_rate (&plan->exposure);
  double rest = rate * left_ms / 1000;

  if (rate < 0 || left_ms > (1 - MOVE_PART) * (double)order->duration_ms
      || view->new_upstreams * 2 < view->old_upstreams)
    return false;
  return br_exposure_new (&plan->exposure, plan_share (plan), view->now)
             + GROWTH * rest
         <= EXPOSURE_PART * plan_allowed (plan, sent + rest);
}

/* Returns the share of all requests that a sample may take on average. */
static double
plan_sample_most (const br_plan_t *plan, double left_ms)
{
  double rate = BR_MAX (br_exposure_rate (&plan->exposure), 0);
  double total = (double)plan->exposure.sent + rate * left_ms / 1000;
  double room = EXPOSURE_PART * plan_allowed (plan, total)
                - GROWTH * rate * MOVE_TIME_MS / 1000;
  double most = SAMPLE_PART * plan->bounds.share;

  if (total >= 1)
    most = BR_MIN (most, room / total);
  return BR_MAX (most, SAMPLE_PART_MIN * plan->bounds.share);
}

/* Sets the share of a sample, which loads as few of the target's upstreams as
 * it amounts to like old ones. */
static void
plan_sample (br_plan_t *plan, const br_plan_view_t *view, double left_ms)
{
  const br_exposure_t *exposure = &plan->exposure;
  double n = (double)BR_MAX (view->old_upstreams, 1);
  double most = plan_sample_most (plan, left_ms);
  double share = most;
  double count = ceil (share * n - 0.01);
  double sent = (double)exposure->sent;
  double spent = br_exposure_new (exposure, plan_share (plan), view->now);

  if (share * n < 0.99)
    {
      double rate = br_exposure_rate (exposure);
      double cost = rate / n * PULSE_MS / 1000;

      share = BASE_PART * most;
      if (rate >= 0 && view->now - plan->pulse_ms >= PULSE_PERIOD_MS
          && spent + cost <= most * sent)
        plan->pulse_ms = view->now;
      if (plan->pulse_ms != 0 && view->now - plan->pulse_ms < PULSE_MS)
        share = BR_MAX (share, 1 / n);
    }
  /* A burst of an old share must not use up what the move needs. */
  if (spent > EXPOSURE_PART * plan_allowed (plan, sent))
    share = 0;
  plan->share_ppm = (uint32_t)lround (share * 1e6);
  plan->upstreams
      = (uint32_t)BR_MIN (count, (double)BR_MAX (view->new_upstreams, 1));
}

static void
decision_step (br_plan_decision_t *decision,
               br_rollout_phase_t phase,
               const char *why)
{
  decision->has_step = true;
  decision->phase = phase;
  snprintf (decision->why, sizeof decision->why, "%s", why);
}

/* Returns whether nothing runs at old versions, as all live entry VMs report at
 * this step or a later one. */
static bool
plan_is_moved (const br_plan_t *plan,
               const br_rollout_t *order,
               const br_plan_view_t *view)
{
  for (size_t i = 0; i < view->n_entries; i++)
    {
      const br_exposure_row_t *row = br_exposure_find (
          &plan->exposure, &view->entries[i].vm, view->entries[i].incarnation);

      if (row == NULL || row->step < order->step || row->running_old > 0
          || view->now - row->last_ms >= BR_EXPOSURE_FRESH_MS)
        return false;
    }
  return view->n_entries > 0;
}

static void
plan_try_to_complete (br_plan_t *plan,
                      const br_rollout_t *order,
                      const br_plan_view_t *view,
                      double left_ms,
                      br_plan_decision_t *decision)
{
  bool is_late = left_ms <= BR_PLAN_RESERVE_MS
                 && view->now - plan->move_ms >= MOVE_REACH_MS;
  bool is_moved = view->now - plan->move_ms >= MOVE_MIN_MS
                  && plan_is_moved (plan, order, view);

  if ((!is_late && !is_moved)
      || br_answer_table_answered (&plan->exposure.answers, BR_VERSION_NEW)
             == 0)
    return;
  if (br_judge_is_doubtful (&plan->judge, true))
    decision_step (decision, BR_ROLLOUT_ROLLED_BACK,
                   "its answers speak against it at the end");
  else
    decision_step (decision, BR_ROLLOUT_COMPLETED,
                   is_moved ? "nothing runs at old versions"
                            : "the limit is near");
}

static void
plan_decide_move (br_plan_t *plan,
                  const br_rollout_t *order,
                  const br_plan_view_t *view,
                  double left_ms,
                  br_plan_decision_t *decision)
{
  const br_exposure_t *exposure = &plan->exposure;
  double soon = BR_MAX (br_exposure_rate (exposure), 0) * STOP_MS / 1000;

  plan->share_ppm = 1000000;
  plan->upstreams = 0;
  /* In the last moments the version is accepted or rolled back at once. */
  if (left_ms > BR_PLAN_RESERVE_MS
      && br_exposure_new (exposure, 1, view->now) + soon
             > STOP_PART * plan_allowed (plan, (double)exposure->sent + soon))
    {
      plan->share_ppm = 0;
      decision_step (decision, BR_ROLLOUT_SAMPLE,
                     "the exposure is nearly used up");
      return;
    }
  plan_try_to_complete (plan, order, view, left_ms, decision);
}

/* Returns whether several entry VMs judged the target bad by themselves. */
static bool
plan_is_stopped (const br_plan_t *plan)
{
  size_t stopped = 0;

  for (size_t i = 0; i < plan->exposure.rows.len; i++)
    stopped += plan->exposure.rows.items[i].stopped ? 1 : 0;
  return stopped >= 2 && stopped * 50 >= plan->exposure.rows.len;
}

/* Returns whether the order ends as rolled back, with the reason in DECISION.
 */
static bool
plan_rolls_back (const br_plan_t *plan,
                 double left_ms,
                 br_plan_decision_t *decision)
{
  char why[BR_ROLLOUT_WHY_MAX];

  if (plan->judge.is_bad)
    {
      snprintf (why, sizeof why, "%s on %s%s, odds of e^%.1f",
                br_judge_measure_name (plan->judge.bad_measure),
                plan->judge.bad_route.len > 0 ? "route " : "all routes",
                plan->judge.bad_route.data, plan->judge.bad_odds);
      decision_step (decision, BR_ROLLOUT_ROLLED_BACK, why);
    }
  else if (plan_is_stopped (plan))
    decision_step (decision, BR_ROLLOUT_ROLLED_BACK,
                   "several entry VMs judged it bad");
  else if (left_ms <= 0)
    {
      snprintf (why, sizeof why, "the time is over%s%s",
                plan->waits != NULL ? ": " : "",
                plan->waits != NULL ? plan->waits : "");
      decision_step (decision, BR_ROLLOUT_ROLLED_BACK, why);
    }
  return decision->has_step;
}

static void
plan_checkpoint (br_plan_t *plan, br_ms_t now, br_plan_decision_t *decision)
{
  const br_exposure_t *exposure = &plan->exposure;
  uint64_t sent_new = exposure->sent_new + exposure->unreported;

  if (sent_new <= plan->totals_new || now - plan->totals_ms < TOTALS_PERIOD_MS)
    return;
  plan->totals_ms = now;
  plan->totals_new = sent_new;
  decision->has_totals = true;
  decision->sent = exposure->sent;
  decision->sent_new = sent_new;
}

void
br_plan_decide (br_plan_t *plan,
                const br_rollout_t *order,
                const br_plan_view_t *view,
                br_plan_decision_t *decision)
{
  double left_ms = (double)order->start_ms + (double)order->duration_ms
                   - (double)view->wall;

  bool is_whole = false;

  *decision = (br_plan_decision_t){ 0 };
  plan->decided_ms = view->now;
  plan->waits = plan_waits (plan, view, &is_whole);
  if (plan_rolls_back (plan, left_ms, decision))
    {
      plan->share_ppm = 0;
      return;
    }
  if (plan->waits != NULL)
    {
      plan->share_ppm = 0;
      plan_checkpoint (plan, view->now, decision);
      return;
    }
  br_exposure_set_checkpoint (&plan->exposure, order->sent_new, is_whole);
  switch (order->phase)
    {
    case BR_ROLLOUT_HOLD:
      plan->share_ppm = 0;
      decision_step (decision, BR_ROLLOUT_SAMPLE, "the target serves");
      break;
    case BR_ROLLOUT_SAMPLE:
      plan_sample (plan, view, left_ms);
      if (!plan_may_move (plan, order, view, left_ms))
        break;
      if (!plan->is_looked_at && br_judge_is_doubtful (&plan->judge, false))
        decision_step (decision, BR_ROLLOUT_ROLLED_BACK,
                       "its answers speak against it before the move");
      else
        decision_step (decision, BR_ROLLOUT_MOVE,
                       "the rest of the time fits into the exposure");
      plan->is_looked_at = true;
      break;
    case BR_ROLLOUT_MOVE:
      plan_decide_move (plan, order, view, left_ms, decision);
      break;
    default:
      plan->share_ppm = 0;
      break;
    }
  plan_checkpoint (plan, view->now, decision);
}
