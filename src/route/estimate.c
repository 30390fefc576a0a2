#include "route/estimate.h"

#define MS_PER_S 1000.0F
#define SMOOTHING_WEIGHT 0.1
#define UTILISATION_MAX 0.9

static void
events_add (br_estimate_events_t *events, br_ms_t now)
{
  events->at_ms[events->count++ % BR_ESTIMATE_EVENTS] = now;
}

/* Returns the number of kept events after SINCE_MS. */
static int64_t
events_since (const br_estimate_events_t *events, br_ms_t since_ms)
{
  uint64_t kept = BR_MIN (events->count, BR_ESTIMATE_EVENTS);
  int64_t n = 0;

  while (
      (uint64_t)n < kept
      && events->at_ms[(events->count - 1 - (uint64_t)n) % BR_ESTIMATE_EVENTS]
             > since_ms)
    n++;
  return n;
}

static uint32_t
estimate_slots (const br_estimate_t *estimate)
{
  return estimate->load.known && estimate->load.slots > 0 ? estimate->load.slots
                                                          : BR_ESTIMATE_SLOTS;
}

/* Returns the requests that run or wait at the upstream. */
static int64_t
estimate_active (const br_estimate_t *estimate)
{
  const br_load_t *load = &estimate->load;
  int64_t active;

  if (!load->known)
    return estimate->own;
  active = (int64_t)load->running + load->waiting
           + events_since (&estimate->sent, load->taken_ms)
           - events_since (&estimate->ended, load->taken_ms);
  return BR_MAX (active, (int64_t)estimate->own);
}

/* Returns the expected wait for prompts of other VMs.  Their rate follows from
 * their ACTIVE requests and the time HOLD_MS of an attempt; the wait is that of
 * a queue with this utilisation and a constant service time (M/D/1). */
static float
estimate_others_ms (const br_estimate_t *estimate,
                    int64_t active,
                    double hold_ms)
{
  double read_ms = estimate->uncached * (double)estimate->token_ms;
  double utilisation = (double)(active - estimate->own) * read_ms / hold_ms;

  utilisation = BR_MIN (utilisation, UTILISATION_MAX);
  return (float)(read_ms * utilisation / (2 * (1 - utilisation)));
}

static void
estimate_update (br_estimate_t *estimate)
{
  int64_t slots = estimate_slots (estimate);
  int64_t active = estimate_active (estimate);
  double hold_ms
      = estimate->hold_ms > 0 ? estimate->hold_ms : BR_ESTIMATE_HOLD_MS;
  uint32_t prefill = estimate->load.prefill_per_s > 0
                         ? estimate->load.prefill_per_s
                         : BR_ESTIMATE_PREFILL_PER_S;
  int64_t excess = active + 1 - slots;

  estimate->token_ms = MS_PER_S / (float)prefill;
  estimate->active = (float)active / (float)slots;
  estimate->prefill_ms = (float)estimate->pending_prefill * estimate->token_ms
                         + estimate_others_ms (estimate, active, hold_ms);
  estimate->wait_ms = estimate->prefill_ms;
  if (excess > 0)
    estimate->wait_ms += (float)((double)excess * hold_ms / (double)slots);
}

void
br_estimate_report (br_estimate_t *estimate, const br_load_t *load)
{
  if (estimate->load.known && load->taken_ms < estimate->load.taken_ms)
    return;
  estimate->load = *load;
  estimate_update (estimate);
}

void
br_estimate_sent (br_estimate_t *estimate, uint64_t uncached, br_ms_t now)
{
  estimate->own++;
  estimate->pending_prefill += uncached;
  estimate->uncached
      += SMOOTHING_WEIGHT * ((double)uncached - estimate->uncached);
  events_add (&estimate->sent, now);
  estimate_update (estimate);
}

void
br_estimate_prefilled (br_estimate_t *estimate, uint64_t uncached)
{
  estimate->pending_prefill -= BR_MIN (uncached, estimate->pending_prefill);
  estimate_update (estimate);
}

void
br_estimate_ended (br_estimate_t *estimate,
                   br_ms_t held_ms,
                   bool whole,
                   br_ms_t now)
{
  if (estimate->own > 0)
    estimate->own--;
  events_add (&estimate->ended, now);
  if (whole && estimate->hold_ms <= 0)
    estimate->hold_ms = (double)held_ms;
  else if (whole)
    estimate->hold_ms
        += SMOOTHING_WEIGHT * ((double)held_ms - estimate->hold_ms);
  estimate_update (estimate);
}

int64_t
br_estimate_slots_free (const br_estimate_t *estimate)
{
  return (int64_t)estimate_slots (estimate) - estimate_active (estimate);
}

int64_t
br_estimate_prompts (const br_estimate_t *estimate, br_ms_t queue_ms)
{
  float read_ms = BR_MAX ((float)estimate->uncached * estimate->token_ms, 1);
  float remaining_ms = (float)queue_ms - estimate->prefill_ms;

  return (int64_t)(BR_MAX (remaining_ms, 0) / read_ms);
}
