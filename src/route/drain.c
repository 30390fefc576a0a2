#include "route/drain.h"

#include <stdlib.h>

#define MS_PER_S 1000

/* Kept free before the upstream goes, for what was not foreseen. */
#define MARGIN_MS 300

/* Chance that the next upstream leaves as well: notices come in waves. */
#define AGAIN_SHARE_MIN 0.25

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

/* The most tokens saved for a token exported first. */
static int
compare_saving (const void *a, const void *b)
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

/* Returns how likely it is that the rest of the answer takes more than LEFT
 * tokens, each length between the bounds being as likely as another. */
static double
unfinished_share (const br_drain_work_t *work, uint64_t left)
{
  if (work->remaining_max <= left)
    return 0;
  if (work->remaining_min >= left)
    return 1;
  return (double)(work->remaining_max - left)
         / (double)(work->remaining_max - work->remaining_min);
}

/* Work that has not started has nothing to lose by going at once.  Other work
 * stays when what it loses at the end, by the chance that it is cut off, is
 * less than what going now loses, by the chance that it has to go again. */
static void
plan_first (const br_drain_options_t *options, br_drain_work_t *work)
{
  br_ms_t left_ms = BR_MAX (options->remaining_ms - MARGIN_MS, 0);
  uint64_t left = (uint64_t)left_ms / BR_MAX (options->token_ms, 1);
  double share = unfinished_share (work, left);
  double at_end = share * (double)(work->uncached + left);
  double again = BR_MAX (options->leaving_share, AGAIN_SHARE_MIN);
  double now = (double)work->uncached * (1 + again);

  work->at_ms = 0;
  work->recomputed = work->started ? work->uncached : 0;
  work->action = BR_DRAIN_MOVE;
  if (!work->started || at_end > now)
    return;
  work->action = BR_DRAIN_FINISH;
  work->at_ms = options->remaining_ms;
  work->recomputed = (uint64_t)at_end;
}

/* Exports as much as fits, each as late as the ones after it allow, so that
 * work that ends sooner than expected is not moved at all. */
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
    plan_first (options, &works->items[i]);
  qsort (works->items, works->len, sizeof *works->items, compare_saving);
  plan_exports (options, works);
  qsort (works->items, works->len, sizeof *works->items, compare_time);
}
