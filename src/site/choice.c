#include "site/choice.h"

#include "pause/pause_cost.h"

/* Time for which prompt parts that an engine has read count as cached, in
 * milliseconds.  Engines evict the least recently used parts, and the parts
 * that are used within this time take far less than an engine's memory. */
#define CACHE_LIFE_MS 60000

/* Cost of an upstream in another failure domain, in milliseconds: the round
 * trip and a little for the price of the link. */
#define OTHER_DOMAIN_MS 8

/* Cost of an engine with all slots taken, in milliseconds.  The cost grows
 * with the square of the share of slots taken.  Engines read prompts between
 * the tokens of running requests, so a crowded engine answers late and stays
 * crowded for longer. */
#define CROWDED_MS 400.0

/* Assumed time of a request to a plain service while another runs there, in
 * milliseconds. */
#define PLAIN_MS 15.0

/* Bound of a measured one.  Longer times differ more by their requests than by
 * their upstreams. */
#define PLAIN_MAX_MS 200.0

/* Time until a full engine frees a slot, in milliseconds for each waiting
 * request: the time of a typical answer divided by the slots. */
#define FULL_ENGINE_MS 20.0

/* Bound of a cost, in milliseconds, that a hash of the request and the upstream
 * adds.  It keeps VMs with the same state from all choosing the same upstream
 * at once. */
#define SPREAD_MS 12

/* Cost of an upstream where all answers fail, in milliseconds; scaled by the
 * share of failures. */
#define FAILING_MS 400.0

/* Largest number of uncached tokens of each urgency step.  Engines read prompts
 * in chunks between two tokens; the steps are half a chunk, one and a half
 * chunks, and four chunks. */
static const uint32_t urgency_steps[] = { 1024, 3072, 8192 };

/* Extra cost of reading a shared part again, as a multiple of the time to read
 * it: every token that is read again delays other requests. */
#define SHARED_AGAIN_FACTOR 3.0

/* Extra cost of an upstream whose back-off has just ended, and the time in
 * which this cost falls to zero, both in milliseconds.  The cost is about as
 * high as a latency objective.  At first the upstream therefore gets only what
 * others cannot serve in time. */
#define BACKOFF_END_COST_MS 300.0
#define BACKOFF_END_SPAN_MS 1000

/* Time after which a caller should retry when no better time is known, and the
 * upper limit, in milliseconds. */
#define RETRY_AFTER_MS 250
#define RETRY_AFTER_MAX_MS 60000

/* Retries of callers that wait for the same event are spread over this time, in
 * milliseconds. */
#define RETRY_AFTER_SPREAD_MS 400

/* Number of engines, drawn by the request's id, that a choice considers in
 * addition to those that hold part of the prompt in their cache.  Many VMs have
 * the same state, about 0.15 s old; if each considered all engines, all would
 * choose the same one. */
#define SAMPLE_SIZE 4

/* Cost of an upstream that already runs another suspect of a crash, in
 * milliseconds.  A second crash would not show which of the two requests
 * caused it.  The cost is about as high as a latency objective, so it outweighs
 * the differences between usual loads. */
#define SUSPECTS_TOGETHER_MS 500.0

typedef struct
{
  double cost_ms;
  br_choice_t choice;
} candidate_t;

static bool
query_has_tried (const br_choice_query_t *query,
                 const br_fleet_upstream_t *upstream)
{
  for (size_t i = 0; i < query->n_tried; i++)
    if (query->tried[i] == upstream)
      return true;
  return false;
}

/* Returns whether the upstream fits, whether or not its limit admits the
 * request. */
static bool
upstream_serves (const br_fleet_upstream_t *upstream,
                 const br_choice_query_t *query,
                 br_ms_t now)
{
  return !upstream->listing.draining && !br_fleet_is_backing_off (upstream, now)
         && br_name_equal (&upstream->listing.service, &query->service->name)
         && (query->version == 0
             || br_listing_version (&upstream->listing) == query->version)
         && br_version_filter_admits (&query->versions, &upstream->listing)
         && !query_has_tried (query, upstream);
}

static bool
upstream_fits (const br_fleet_upstream_t *upstream,
               const br_choice_query_t *query,
               br_ms_t now)
{
  return !(query->on_trial && upstream->lost.len > 0)
         && upstream_serves (upstream, query, now)
         && br_upstream_limit_admits (&upstream->limit, now);
}

uint64_t
br_choice_affinity (const br_inbound_t *inbound)
{
  if (inbound->n_parts == 0)
    return 0;
  return inbound->parts[inbound->n_parts > 1 ? inbound->n_parts - 2 : 0].id;
}

/* Rendezvous hashing: all VMs rank the upstreams in the same order. */
static uint64_t
upstream_rank (const br_fleet_upstream_t *upstream, uint64_t affinity)
{
  return br_str_hash (br_name_str (&upstream->listing.id), affinity);
}

static const br_fleet_upstream_t *
fleet_preferred (const br_fleet_t *fleet,
                 const br_choice_query_t *query,
                 br_ms_t now)
{
  uint64_t affinity = br_choice_affinity (query->inbound);
  const br_fleet_upstream_t *best = NULL;
  uint64_t best_rank = 0;

  if (affinity == 0)
    return NULL;
  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_fleet_upstream_t *upstream = fleet->all.items[i];
      uint64_t rank = upstream_rank (upstream, affinity);

      if (upstream_fits (upstream, query, now)
          && (best == NULL || rank > best_rank))
        {
          best = upstream;
          best_rank = rank;
        }
    }
  return best;
}

/* Returns the tokens of the parts that other requests may share. */
static uint32_t
inbound_shared (const br_inbound_t *inbound)
{
  uint32_t tokens = 0;

  for (size_t i = 0; i + 1 < inbound->n_parts; i++)
    tokens += inbound->parts[i].tokens;
  return tokens;
}

/* PREFERRED is set for the upstream that all VMs prefer for the shared parts:
 * they count as cached there even when this VM has not sent them. */
static void
estimate_engine (candidate_t *candidate,
                 const br_fleet_t *fleet,
                 const br_choice_query_t *query,
                 bool preferred,
                 br_ms_t now)
{
  br_choice_t *choice = &candidate->choice;
  const br_fleet_upstream_t *upstream = choice->upstream;
  uint32_t cached = upstream->cache != NULL ? br_cache_memory_find (
                        upstream->cache, query->inbound, now - CACHE_LIFE_MS)
                                            : 0;
  uint32_t prompt = query->inbound->prompt_tokens;
  uint32_t load = br_fleet_load (upstream, now);
  uint32_t slots = (uint32_t)query->service->engine.slots;
  double per_ms = br_fleet_prefill_per_ms (fleet, upstream);
  double speed = br_speed_view_speed (&upstream->speed);
  uint32_t shared = inbound_shared (query->inbound);
  br_pause_query_t pause = { .streams = load };
  double usual_ms;
  double taken;
  double ms;

  if (preferred)
    cached = BR_MAX (cached, shared);
  choice->uncached = prompt > cached ? prompt - cached : 0;
  choice->backlog = br_fleet_backlog (upstream, now) + choice->uncached;
  choice->load = load;
  choice->full = load >= slots;
  ms = (double)choice->backlog / per_ms;
  /* Among equal engines the cost would only move prompts away from where their
   * shared parts are cached. */
  if (upstream->speed.speed > 0)
    pause.max_gap_ms = query->max_gap_ms;
  pause.reading_ms = br_pace_expected_ms (&upstream->speed.pace, ms, now);
  usual_ms = (double)choice->backlog
             / br_fleet_service_speed (fleet, &upstream->listing.service);
  if (choice->full)
    {
      usual_ms += (load - slots + 1) * FULL_ENGINE_MS;
      ms += (load - slots + 1) * FULL_ENGINE_MS / speed;
    }
  choice->usual_ms = (br_ms_t)usual_ms;
  ms = br_pace_expected_ms (&upstream->speed.pace, ms, now);
  choice->expected_ms = (br_ms_t)ms;
  taken = (double)load / BR_MAX (slots, 1);
  candidate->cost_ms
      = ms + CROWDED_MS * taken * taken / speed + br_pause_cost_ms (&pause)
        + SHARED_AGAIN_FACTOR * (double)(shared - BR_MIN (cached, shared))
              / per_ms;
}

static bool
fleet_knows_speeds (const br_fleet_t *fleet, const br_name_t *service)
{
  for (size_t i = 0; i < fleet->all.len; i++)
    if (br_speed_view_is_known (&fleet->all.items[i]->speed)
        && br_name_equal (&fleet->all.items[i]->listing.service, service))
      return true;
  return false;
}

/* Returns the usual time of a request to the plain service: the measured one if
 * the pace or the speed of any of its upstreams is known, else the assumed
 * one.  It must be the same for all its upstreams. */
static double
plain_usual_ms (const br_fleet_t *fleet, const br_fleet_upstream_t *upstream)
{
  if (!fleet_knows_speeds (fleet, &upstream->listing.service))
    return PLAIN_MS;
  return BR_MIN (BR_MAX (br_typicals_plain_ms (&fleet->typicals,
                                               &upstream->listing.service),
                         PLAIN_MS),
                 PLAIN_MAX_MS);
}

static void
estimate_plain (candidate_t *candidate, const br_fleet_t *fleet, br_ms_t now)
{
  const br_fleet_upstream_t *upstream = candidate->choice.upstream;
  uint32_t load = br_fleet_load (upstream, now);
  uint32_t slots = BR_MAX (upstream->listing.slots, 1);
  double usual_ms = plain_usual_ms (fleet, upstream);

  candidate->choice.load = load;
  candidate->choice.full = load >= slots;
  candidate->cost_ms = usual_ms + load * usual_ms / slots;
  if (candidate->choice.full)
    candidate->cost_ms += (load - slots + 1) * usual_ms / slots;
  candidate->choice.usual_ms = (br_ms_t)candidate->cost_ms;
  candidate->cost_ms
      = br_speed_view_expected_ms (&upstream->speed, candidate->cost_ms, now);
  candidate->choice.expected_ms = (br_ms_t)candidate->cost_ms;
}

/* Returns the cost that brings requests back gradually to an upstream whose
 * back-off has ended. */
static double
backoff_end_cost_ms (const br_fleet_upstream_t *upstream, br_ms_t now)
{
  br_ms_t since_ms = now - upstream->backoff_until_ms;

  if (upstream->backoff_until_ms == 0 || since_ms >= BACKOFF_END_SPAN_MS)
    return 0;
  return BACKOFF_END_COST_MS * (1 - (double)since_ms / BACKOFF_END_SPAN_MS);
}

static candidate_t
candidate_make (const br_fleet_t *fleet,
                br_fleet_upstream_t *upstream,
                const br_choice_query_t *query,
                bool preferred,
                br_ms_t now)
{
  candidate_t candidate = { .choice = { .upstream = upstream } };

  if (query->service->has_engine)
    estimate_engine (&candidate, fleet, query, preferred, now);
  else
    estimate_plain (&candidate, fleet, now);
  if (!br_name_equal (&upstream->listing.failure_domain,
                      &query->failure_domain))
    candidate.cost_ms
        += (double)BR_MAX (query->other_domain_ms, OTHER_DOMAIN_MS);
  candidate.cost_ms
      += upstream->failing * FAILING_MS + backoff_end_cost_ms (upstream, now);
  if (query->quarantine != NULL
      && br_quarantine_runs_at (query->quarantine, query->content,
                                &upstream->listing.id))
    candidate.cost_ms += SUSPECTS_TOGETHER_MS;
  candidate.cost_ms
      += (double)(br_str_hash (
                      query->inbound->id,
                      br_str_hash (br_name_str (&upstream->listing.id), 0))
                  % SPREAD_MS);
  return candidate;
}

static size_t
fleet_count_fitting (const br_fleet_t *fleet,
                     const br_choice_query_t *query,
                     br_ms_t now)
{
  size_t n = 0;

  for (size_t i = 0; i < fleet->all.len; i++)
    n += upstream_fits (fleet->all.items[i], query, now) ? 1 : 0;
  return n;
}

/* Returns whether the choice considers the upstream, one of N that fit. */
static bool
upstream_is_sampled (const br_fleet_upstream_t *upstream,
                     const br_choice_query_t *query,
                     size_t n,
                     br_ms_t now)
{
  uint64_t draw = br_str_hash (
      query->inbound->id,
      br_str_hash (br_name_str (&upstream->listing.id), query->n_tried + 1));

  return draw % n < SAMPLE_SIZE || !query->service->has_engine
         || (upstream->cache != NULL
             && br_cache_memory_find (upstream->cache, query->inbound,
                                      now - CACHE_LIFE_MS)
                    > 0);
}

static br_choice_t
choice_among (const br_fleet_t *fleet,
              const br_choice_query_t *query,
              size_t sample_from,
              br_ms_t now)
{
  const br_fleet_upstream_t *preferred = fleet_preferred (fleet, query, now);
  candidate_t best = { 0 };
  bool best_is_excluded = true;

  for (size_t i = 0; i < fleet->all.len; i++)
    {
      br_fleet_upstream_t *upstream = fleet->all.items[i];
      bool is_excluded = br_fleet_is_excluded (fleet, upstream, now);
      candidate_t candidate;

      if (!upstream_fits (upstream, query, now))
        continue;
      if (sample_from > 0
          && (is_excluded
              || (upstream != preferred
                  && !upstream_is_sampled (upstream, query, sample_from, now))))
        continue;
      candidate
          = candidate_make (fleet, upstream, query, upstream == preferred, now);
      if (best.choice.upstream == NULL || (best_is_excluded && !is_excluded)
          || (best_is_excluded == is_excluded
              && candidate.cost_ms < best.cost_ms))
        {
          best = candidate;
          best_is_excluded = is_excluded;
        }
    }
  return best.choice;
}

br_choice_t
br_choice_make (const br_fleet_t *fleet,
                const br_choice_query_t *query,
                br_ms_t now)
{
  size_t n = fleet_count_fitting (fleet, query, now);
  br_choice_t choice = { 0 };

  if (n > SAMPLE_SIZE)
    choice = choice_among (fleet, query, n, now);
  if (choice.upstream == NULL)
    choice = choice_among (fleet, query, 0, now);
  if (choice.upstream != NULL)
    {
      const br_speed_view_t *speed = &choice.upstream->speed;

      choice.pace = (uint32_t)(100 * br_pace_factor (&speed->pace, now) + 0.5);
      choice.speed = (uint32_t)(100 * br_speed_view_speed (speed) + 0.5);
    }
  return choice;
}

bool
br_choice_has_replacement (const br_fleet_t *fleet,
                           const br_choice_query_t *query,
                           const br_fleet_upstream_t *current,
                           br_ms_t now)
{
  bool current_is_excluded = br_fleet_is_excluded (fleet, current, now);

  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_fleet_upstream_t *upstream = fleet->all.items[i];

      if (upstream != current && upstream_fits (upstream, query, now)
          && (current_is_excluded
              || !br_fleet_is_excluded (fleet, upstream, now)))
        return true;
    }
  return false;
}

const br_name_t *
br_choice_version_service (const br_fleet_t *fleet, br_version_t version)
{
  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_listing_t *listing = &fleet->all.items[i]->listing;

      if (!listing->draining && br_listing_version (listing) == version)
        return &listing->service;
    }
  return NULL;
}

br_version_count_t
br_choice_count_version (const br_fleet_t *fleet, br_version_t version)
{
  br_version_count_t count = { 0 };

  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_listing_t *listing = &fleet->all.items[i]->listing;

      if (br_listing_version (listing) != version)
        continue;
      if (listing->draining)
        count.draining++;
      else
        count.serving++;
    }
  return count;
}

bool
br_choice_has_sound (const br_fleet_t *fleet,
                     const br_site_service_t *service,
                     const br_version_filter_t *versions,
                     br_ms_t now)
{
  br_choice_query_t query = {
    .service = service,
    .versions = *versions,
    .on_trial = true,
  };

  for (size_t i = 0; i < fleet->all.len; i++)
    if (upstream_fits (fleet->all.items[i], &query, now)
        && !br_fleet_is_excluded (fleet, fleet->all.items[i], now))
      return true;
  return false;
}

bool
br_choice_awaits_permit (const br_fleet_t *fleet,
                         const br_choice_query_t *query,
                         br_ms_t now)
{
  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_fleet_upstream_t *upstream = fleet->all.items[i];

      if (upstream->limit.statement.named
          && upstream_serves (upstream, query, now)
          && !br_upstream_limit_is_scarce (&upstream->limit, now))
        return true;
    }
  return false;
}

/* Returns the time in which this VM gets one permit, if all VMs get as many and
 * the upstreams take PER_S requests a second. */
static br_ms_t
permit_period_ms (const br_fleet_t *fleet, double per_s)
{
  double ms = 1000.0 * BR_MAX (fleet->entries, 1) / per_s;

  return (br_ms_t)BR_MIN (BR_MAX (ms, RETRY_AFTER_MS), RETRY_AFTER_MAX_MS);
}

br_ms_t
br_choice_retry_after_ms (const br_fleet_t *fleet,
                          const br_site_service_t *service,
                          const br_version_filter_t *versions,
                          double draw,
                          br_ms_t now,
                          const char **why)
{
  br_ms_t backoff_ms = BR_MS_NEVER;
  bool any_available = false;
  bool any_leaving = false;
  double limits_per_s = 0;
  br_ms_t wait_ms = RETRY_AFTER_MS;

  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_fleet_upstream_t *upstream = fleet->all.items[i];

      if (!br_name_equal (&upstream->listing.service, &service->name)
          || !br_version_filter_admits (versions, &upstream->listing))
        continue;
      if (upstream->listing.draining)
        any_leaving = true;
      else if (br_fleet_is_backing_off (upstream, now))
        backoff_ms = BR_MIN (backoff_ms, upstream->backoff_until_ms - now);
      else if (br_upstream_limit_is_scarce (&upstream->limit, now))
        limits_per_s
            += BR_MAX (upstream->limit.statement.per_s, BR_LIMIT_MIN_PER_S);
      else
        any_available = true;
    }
  *why = NULL;
  if (any_available)
    return RETRY_AFTER_MS;
  if (limits_per_s > 0)
    {
      *why = "all upstreams of the service get as many requests as they take";
      wait_ms = permit_period_ms (fleet, limits_per_s);
      return wait_ms + (br_ms_t)(draw * (double)wait_ms);
    }
  if (backoff_ms != BR_MS_NEVER)
    {
      *why = "all upstreams of the service asked for no requests for a time";
      wait_ms = backoff_ms;
    }
  else if (any_leaving)
    {
      *why = "all upstreams of the service are leaving";
      wait_ms = service->scalable ? service->scaling.boot_ms : RETRY_AFTER_MS;
    }
  return BR_MIN (wait_ms, RETRY_AFTER_MAX_MS)
         + (br_ms_t)(draw * RETRY_AFTER_SPREAD_MS);
}

int
br_choice_urgency (int priority, uint32_t uncached)
{
  int step = 0;

  while (step < (int)BR_N_ELEMENTS (urgency_steps)
         && uncached > urgency_steps[step])
    step++;
  return 2 * step + (priority > 0 ? 1 : 0);
}
