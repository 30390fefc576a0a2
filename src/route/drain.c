#include "route/drain.h"

#include <stdlib.h>

#define MS_PER_S 1000

/* Safety margin before the upstream ends, in milliseconds. */
#define MARGIN_MS 300

/* Minimum probability that the next upstream leaves as well: reclaim notices
 * come in waves. */
#define MOVE_AGAIN_PROBABILITY_MIN 0.25

const char *
br_drain_action_name (br_drain_action_t action)
{
  static const char *const names[] = {
#define X(id, name) name,
    BR_DRAIN_ACTION_TABLE (X)
#undef X
  };

  return names[action];
}

static br_ms_t
export_ms (const br_drain_options_t *options, const br_drain_work_t *work)
{
  return (br_ms_t)(work->context * MS_PER_S / options->export_per_s) + 1;
}

/* Sorts by saved tokens per exported token, the highest first. */
static int
compare_savings (const void *a, const void *b)
{
  const br_drain_work_t *x = a;
  const br_drain_work_t *y = b;
  double left = (double)x->uncached * (double)y->context;
  double right = (double)y->uncached * (double)x->context;

  if (left != right)
    return left > right ? -1 : 1;
  return x->work < y->work ? -1 : x->work > y->work;
}

static int
compare_time (const void *a, const void *b)
{
  const br_drain_work_t *x = a;
  const br_drain_work_t *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->work < y->work ? -1 : x->work > y->work;
}

/* Returns the probability that the rest of the answer takes more than TOKENS,
 * for a length distributed uniformly between its bounds. */
static double
unfinished_probability (const br_drain_work_t *work, uint64_t tokens)
{
  if (work->remaining_max <= tokens)
    return 0;
  if (work->remaining_min >= tokens)
    return 1;
  return (double)(work->remaining_max - tokens)
         / (double)(work->remaining_max - work->remaining_min);
}

/* Chooses between finishing and moving.  Work that has not started loses
 * nothing by moving and moves at once.  Other work stays when the tokens it is
 * expected to lose at the end, if it does not finish, are fewer than those it
 * loses by moving now, which include the chance that it must move again. */
static void
plan_finish_or_move (const br_drain_options_t *options, br_drain_work_t *work)
{
  br_ms_t usable_ms = BR_MAX (options->remaining_ms - MARGIN_MS, 0);
  uint64_t tokens = (uint64_t)usable_ms / BR_MAX (options->token_ms, 1);
  double probability = unfinished_probability (work, tokens);
  double lost_at_end = probability * (double)(work->uncached + tokens);
  double again = BR_MAX (options->leaving_share, MOVE_AGAIN_PROBABILITY_MIN);
  double lost_now = (double)work->uncached * (1 + again);

  work->at_ms = 0;
  work->recomputed = work->started ? work->uncached : 0;
  work->action = BR_DRAIN_MOVE;
  if (!work->started || lost_at_end > lost_now)
    return;
  work->action = BR_DRAIN_FINISH;
  work->at_ms = options->remaining_ms;
  work->recomputed = (uint64_t)lost_at_end;
}

/* Plans as many exports as fit into the remaining time, each as late as the
 * later ones allow.  Work that ends before its export is then not moved. */
static void
plan_exports (const br_drain_options_t *options, br_drain_works_t *works)
{
  br_ms_t at_ms = options->remaining_ms - MARGIN_MS;

  if (options->export_per_s == 0)
    return;
  for (size_t i = 0; i < works->len; i++)
    {
      br_drain_work_t *work = &works->items[i];

      if (!work->started || work->recomputed == 0 || work->uncached <= 1
          || export_ms (options, work) > at_ms)
        continue;
      at_ms -= export_ms (options, work);
      work->action = BR_DRAIN_EXPORT;
      work->at_ms = at_ms;
      work->recomputed = 0;
    }
}

void
br_drain_plan (const br_drain_options_t *options, br_drain_works_t *works)
{
  if (works->len == 0)
    return;
  for (size_t i = 0; i < works->len; i++)
    plan_finish_or_move (options, &works->items[i]);
  qsort (works->items, works->len, sizeof *works->items, compare_savings);
  plan_exports (options, works);
  qsort (works->items, works->len, sizeof *works->items, compare_time);
}
