#include "move/plan.h"

/* A reclaim takes an engine away 1.5 to 2.5 s after its notice, which the list
 * shows 0.5 to 1.3 s late, and the list reaches the entry VMs within 0.1 s. */
#define RECLAIM_LEAST_MS 200
#define RECLAIM_MOST_MS 2000

/* A release drains an engine for several seconds. */
#define RELEASE_LEAST_MS 3000

/* A reclaim takes all reclaimable engines of a failure domain at once, a
 * release one or two of it at a time.  The list may show a reclaim in parts. */
#define RECLAIM_SHARE 0.5
#define RECLAIM_AT_ONCE 3
#define RECLAIM_SPAN_MS 1000

/* Events of a run before its own rate is known: the first interval alone may
 * hold the prompt of another request. */
#define RATE_MIN_MS 100

/* Rate of a run that has none yet, in milliseconds for each token: the slowest
 * that is usual, so that the rest is overestimated and the run moves. */
#define TOKEN_MS 25.0

static const char *const choice_names[] = {
#define X(id, name) name,
  BR_MOVE_CHOICE_TABLE (X)
#undef X
};

const char *
br_move_choice_name (br_move_choice_t choice)
{
  return choice_names[choice];
}

/* Returns whether a reclaim takes the upstream. */
static bool
upstream_is_reclaimed (const br_fleet_t *fleet,
                       const br_fleet_upstream_t *upstream)
{
  size_t like = 0;
  size_t leaving = 0;
  size_t at_once = 0;

  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_fleet_upstream_t *other = fleet->all.items[i];

      if (other->listing.spot != upstream->listing.spot
          || !br_name_equal (&other->listing.failure_domain,
                             &upstream->listing.failure_domain))
        continue;
      like++;
      if (!other->listing.draining)
        continue;
      leaving++;
      at_once += llabs (other->leaving_since_ms - upstream->leaving_since_ms)
                 < RECLAIM_SPAN_MS;
    }
  return at_once >= RECLAIM_AT_ONCE
         || (upstream->listing.spot
             && (double)leaving >= RECLAIM_SHARE * (double)like);
}

br_move_time_t
br_move_time_left (const br_fleet_t *fleet,
                   const br_fleet_upstream_t *upstream,
                   br_ms_t now)
{
  br_ms_t since_ms = now - upstream->leaving_since_ms;

  if (upstream_is_reclaimed (fleet, upstream))
    return (br_move_time_t){ BR_MAX (RECLAIM_LEAST_MS - since_ms, 0),
                             BR_MAX (RECLAIM_MOST_MS - since_ms, 0) };
  return (br_move_time_t){ BR_MAX (RELEASE_LEAST_MS - since_ms, 0),
                           BR_MS_NEVER };
}

br_ms_t
br_move_rest_ms (const br_move_run_t *run)
{
  uint32_t expected = run->hint_tokens > run->made_tokens ? run->hint_tokens
                                                          : run->output_tokens;
  double token_ms = TOKEN_MS;

  if (expected == 0 || run->generating_ms == 0)
    return BR_MS_NEVER;
  if (expected <= run->made_tokens)
    return 0;
  if (run->generating_ms >= RATE_MIN_MS && run->made_tokens > 0)
    token_ms = (double)run->generating_ms / run->made_tokens;
  return (br_ms_t)(token_ms * (expected - run->made_tokens));
}

uint64_t
br_move_tokens (const br_move_run_t *run)
{
  return (uint64_t)run->prompt_tokens + run->made_tokens;
}

br_ms_t
br_move_copy_ms (const br_engine_limits_t *engine, uint64_t tokens)
{
  double bits = (double)tokens * (double)engine->token_bytes * 8;

  return engine->link_mbps > 0 ? (br_ms_t)(bits / (engine->link_mbps * 1000))
                               : 0;
}

static int
compare_steps (const void *a, const void *b)
{
  uint64_t left = br_move_tokens (&((const br_move_step_t *)a)->run);
  uint64_t right = br_move_tokens (&((const br_move_step_t *)b)->run);

  return left == right ? 0 : left < right ? 1 : -1;
}

/* Returns the longest rest with which the run stays where it is.  A move that
 * pauses the stream for longer than its caller accepts saves little, so it is
 * made only if the engine is likely to be gone first. */
static br_ms_t
step_stays_ms (const br_move_step_t *step, const br_move_time_t *left)
{
  if (step->run.max_gap_ms == 0 || left->most_ms == BR_MS_NEVER
      || step->queue_ms + step->copy_ms <= step->run.max_gap_ms)
    return left->least_ms;
  return (left->least_ms + left->most_ms) / 2;
}

void
br_move_plan (const br_move_runs_t *runs,
              const br_engine_limits_t *engine,
              const br_move_time_t *left,
              br_ms_t queue_ms,
              br_move_steps_t *steps)
{
  br_move_steps_clear (steps);
  for (size_t i = 0; i < runs->len; i++)
    br_move_steps_push (steps, (br_move_step_t){ .run = runs->items[i] });
  if (steps->len > 0)
    qsort (steps->items, steps->len, sizeof *steps->items, compare_steps);
  for (size_t i = 0; i < steps->len; i++)
    {
      br_move_step_t *step = &steps->items[i];

      step->rest_ms = br_move_rest_ms (&step->run);
      step->copy_ms = br_move_copy_ms (engine, br_move_tokens (&step->run));
      step->queue_ms = queue_ms;
      if (step->rest_ms <= step_stays_ms (step, left))
        step->choice = BR_MOVE_ENDS;
      else if (left->most_ms != BR_MS_NEVER
               && queue_ms + step->copy_ms > left->most_ms)
        step->choice = BR_MOVE_TOO_LATE;
      else
        queue_ms += step->copy_ms;
    }
}
