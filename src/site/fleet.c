#include "site/fleet.h"

#include <stdlib.h>

/* Weight of the newest answer in the average share of failures. */
#define FAILING_WEIGHT 0.15

/* Consecutive failures after which an upstream is excluded for a time. */
#define FAILURES_TO_EXCLUDE 3

/* Time for which a failing upstream is excluded, doubled after each further
 * FAILURES_TO_EXCLUDE failures, and its upper limit, in milliseconds.  The
 * shortest restart of an engine takes as long as the base time. */
#define EXCLUDE_MS 500
#define EXCLUDE_MAX_MS 4000

/* Share of failures above which each failure excludes the upstream. */
#define FAILING_MAX 0.35

/* Time for which a full upstream is excluded, in milliseconds: about one
 * request of a plain service. */
#define FULL_MS 40

/* Prefill speed assumed before any measurement, and the bounds to which samples
 * are clamped, in tokens per millisecond. */
#define PREFILL_PER_MS 40.0
#define PREFILL_PER_MS_MIN 8.0
#define PREFILL_PER_MS_MAX 120.0

/* Prompts with fewer uncached tokens are not used as samples of the prefill
 * speed: fixed delays make up too much of their time. */
#define PREFILL_SAMPLE_TOKENS 1500

/* Weights of a sample above and below the estimate.  The measured time includes
 * waiting for other prompts, so most samples are too low. */
#define PREFILL_RISE 0.2
#define PREFILL_FALL 0.04

/* Part of the time to the first event that is not spent on reading the prompt,
 * in milliseconds: the engine's first step and the round trip. */
#define FIRST_EVENT_MS 14

/* Age in milliseconds from which the load of other VMs is not counted. */
#define OTHERS_LIFE_MS 2500

/* Other VMs that must fail to reach an upstream before this VM excludes it: a
 * single one may itself be cut off. */
#define UNREACHABLE_VMS 2

/* Time for which their reports exclude the upstream, in milliseconds: until
 * the VMs that sent them have tried again. */
#define UNREACHABLE_LIFE_MS 1500

/* A VM that had a good result from the upstream within this time, in
 * milliseconds, ignores these reports. */
#define GOOD_LIFE_MS 1000

/* VMs that were sent a retry-after at the same time return spread over this
 * time, in milliseconds, or over the back-off time when that is shorter. */
#define BACKOFF_SPREAD_MS 500

/* Age in milliseconds from which an upstream's report of its load is not
 * counted. */
#define REPORT_LIFE_MS 1500

/* --- the list --- */

br_fleet_upstream_t *
br_fleet_find (const br_fleet_t *fleet, br_str_t id)
{
  for (size_t i = 0; i < fleet->all.len; i++)
    if (br_str_equal (br_name_str (&fleet->all.items[i]->listing.id), id))
      return fleet->all.items[i];
  return NULL;
}

static void
upstream_restarted (br_fleet_upstream_t *upstream)
{
  if (upstream->cache != NULL)
    br_cache_memory_clear (upstream->cache);
  upstream->reported = 0;
  upstream->since_reported = 0;
  upstream->failing = 0;
  upstream->consecutive_failures = 0;
  upstream->excluded_until_ms = 0;
  upstream->backoff_until_ms = 0;
  upstream->limit = (br_upstream_limit_t){ 0 };
  upstream->speed.pace = (br_pace_t){ 0 };
  upstream->announced_leaving = false;
  upstream->unreachable_until_ms = 0;
  upstream->others_unreachable_until_ms = 0;
}

static void
upstream_update (br_fleet_upstream_t *upstream,
                 const br_listing_t *listing,
                 br_ms_t now)
{
  bool same = upstream->listing.started_ms == listing->started_ms;
  bool was_draining = upstream->listing.draining;

  if (!same)
    upstream_restarted (upstream);
  upstream->listing = *listing;
  if (same && was_draining)
    upstream->listing.draining = true;
  if (upstream->listing.draining && !(same && was_draining))
    upstream->leaving_since_ms = now;
}

static br_fleet_upstream_t *
fleet_add (br_fleet_t *fleet, const br_listing_t *listing, br_ms_t now)
{
  br_fleet_upstream_t *upstream = br_alloc_zero (sizeof *upstream);

  upstream->listing = *listing;
  if (listing->draining)
    upstream->leaving_since_ms = now;
  return *br_fleet_upstreams_push (&fleet->all, upstream);
}

static bool
listings_have (const br_listings_t *listings, const br_name_t *id)
{
  for (size_t i = 0; i < listings->len; i++)
    if (br_name_equal (&listings->items[i].id, id))
      return true;
  return false;
}

void
br_fleet_update (br_fleet_t *fleet, const br_listings_t *listings, br_ms_t now)
{
  fleet->known = true;
  br_version_history_update (&fleet->history, listings, now);
  for (size_t i = 0; i < fleet->all.len;)
    {
      br_fleet_upstream_t *upstream = fleet->all.items[i];

      if (listings_have (listings, &upstream->listing.id))
        {
          i++;
          continue;
        }
      fleet->all.items[i] = fleet->all.items[--fleet->all.len];
      upstream->removed = true;
      upstream->leaving_since_ms = now;
      upstream->next_removed = fleet->removed;
      fleet->removed = upstream;
    }
  for (size_t i = 0; i < listings->len; i++)
    {
      const br_listing_t *listing = &listings->items[i];
      br_fleet_upstream_t *upstream
          = br_fleet_find (fleet, br_name_str (&listing->id));

      if (upstream != NULL)
        upstream_update (upstream, listing, now);
      else
        fleet_add (fleet, listing, now);
    }
}

static void
upstream_free (br_fleet_upstream_t *upstream,
               br_fleet_free_fn on_free,
               void *context)
{
  if (on_free != NULL)
    on_free (context, upstream);
  free (upstream->cache);
  br_lost_runs_free (&upstream->lost);
  free (upstream);
}

void
br_fleet_sweep (br_fleet_t *fleet, br_fleet_free_fn on_free, void *context)
{
  br_fleet_upstream_t **at = &fleet->removed;

  while (*at != NULL)
    {
      br_fleet_upstream_t *upstream = *at;

      if (upstream->in_flight > 0 || upstream->checking)
        {
          at = &upstream->next_removed;
          continue;
        }
      *at = upstream->next_removed;
      upstream_free (upstream, on_free, context);
    }
}

void
br_fleet_release (br_fleet_t *fleet, br_fleet_free_fn on_free, void *context)
{
  while (fleet->removed != NULL)
    {
      br_fleet_upstream_t *upstream = fleet->removed;

      fleet->removed = upstream->next_removed;
      upstream_free (upstream, on_free, context);
    }
  for (size_t i = 0; i < fleet->all.len; i++)
    upstream_free (fleet->all.items[i], on_free, context);
  br_fleet_upstreams_free (&fleet->all);
  br_fleet_speeds_free (&fleet->speeds);
  br_typicals_release (&fleet->typicals);
  br_version_history_clear (&fleet->history);
  br_domain_healths_free (&fleet->domains);
  br_service_links_free (&fleet->links);
}

/* --- load and results --- */

void
br_fleet_sent (br_fleet_upstream_t *upstream,
               const br_inbound_t *inbound,
               uint32_t uncached,
               br_ms_t now)
{
  upstream->in_flight++;
  upstream->since_reported++;
  br_upstream_limit_take (&upstream->limit, now);
  upstream->prefill_tokens += uncached;
  if (inbound->n_parts == 0)
    return;
  if (upstream->cache == NULL)
    upstream->cache = br_alloc_zero (sizeof *upstream->cache);
  br_cache_memory_add (upstream->cache, inbound, now);
}

double
br_fleet_service_speed (const br_fleet_t *fleet, const br_name_t *service)
{
  for (size_t i = 0; i < fleet->speeds.len; i++)
    if (br_name_equal (&fleet->speeds.items[i].service, service))
      return fleet->speeds.items[i].prefill_per_ms;
  return PREFILL_PER_MS;
}

double
br_fleet_prefill_per_ms (const br_fleet_t *fleet,
                         const br_fleet_upstream_t *upstream)
{
  if (upstream->prefill_per_ms > 0 && upstream->speed.speed <= 0)
    return upstream->prefill_per_ms;
  return br_fleet_service_speed (fleet, &upstream->listing.service)
         * br_speed_view_speed (&upstream->speed);
}

static double
speed_after (double speed, double sample)
{
  double weight = sample > speed ? PREFILL_RISE : PREFILL_FALL;

  return speed + weight * (sample - speed);
}

static void
fleet_note_speed (br_fleet_t *fleet, const br_name_t *service, double sample)
{
  br_fleet_speed_t fresh = { .service = *service };

  for (size_t i = 0; i < fleet->speeds.len; i++)
    {
      br_fleet_speed_t *speed = &fleet->speeds.items[i];

      if (br_name_equal (&speed->service, service))
        {
          speed->prefill_per_ms = speed_after (speed->prefill_per_ms, sample);
          return;
        }
    }
  fresh.prefill_per_ms = speed_after (PREFILL_PER_MS, sample);
  br_fleet_speeds_push (&fleet->speeds, fresh);
}

void
br_fleet_first_event (br_fleet_t *fleet,
                      br_fleet_upstream_t *upstream,
                      uint32_t uncached,
                      br_ms_t waited_ms,
                      br_ms_t now)
{
  double sample;

  upstream->prefill_tokens -= BR_MIN (uncached, upstream->prefill_tokens);
  if (uncached < PREFILL_SAMPLE_TOKENS || waited_ms <= FIRST_EVENT_MS)
    return;
  sample = (double)uncached / (double)(waited_ms - FIRST_EVENT_MS);
  sample *= br_pace_factor (&upstream->speed.pace, now);
  sample = BR_MIN (BR_MAX (sample, PREFILL_PER_MS_MIN), PREFILL_PER_MS_MAX);
  upstream->prefill_per_ms
      = speed_after (br_fleet_prefill_per_ms (fleet, upstream), sample);
  fleet_note_speed (fleet, &upstream->listing.service, sample);
}

void
br_fleet_observe (br_fleet_t *fleet,
                  br_fleet_upstream_t *upstream,
                  const br_observation_t *observation)
{
  br_typicals_observe (&fleet->typicals, &upstream->speed, observation);
}

void
br_fleet_receive_pace (br_fleet_upstream_t *upstream,
                       uint32_t percent,
                       br_ms_t now)
{
  if (br_pace_receive (&upstream->speed.pace, percent, now))
    upstream->speed.pace_unsent = true;
}

void
br_fleet_ended (br_fleet_upstream_t *upstream,
                uint32_t uncached,
                bool had_first_event)
{
  upstream->in_flight--;
  upstream->since_reported--;
  if (!had_first_event)
    upstream->prefill_tokens -= BR_MIN (uncached, upstream->prefill_tokens);
}

void
br_fleet_copy_begins (br_fleet_upstream_t *upstream)
{
  upstream->copies++;
  upstream->in_flight++;
  upstream->since_reported++;
}

void
br_fleet_copy_ended (br_fleet_upstream_t *upstream)
{
  upstream->copies--;
  br_fleet_ended (upstream, 0, true);
}

void
br_fleet_receive_report (br_fleet_upstream_t *upstream,
                         uint32_t running,
                         uint32_t waiting,
                         br_ms_t now)
{
  upstream->reported = running + waiting;
  upstream->since_reported = 0;
  upstream->reported_ms = now;
}

void
br_fleet_load_sent (br_fleet_upstream_t *upstream)
{
  upstream->last_sent_in_flight = upstream->in_flight;
  upstream->last_sent_prefill_tokens = upstream->prefill_tokens;
}

void
br_fleet_receive_idle (br_fleet_t *fleet, br_ms_t now)
{
  for (size_t i = 0; i < fleet->all.len; i++)
    {
      fleet->all.items[i]->others_in_flight = 0;
      fleet->all.items[i]->others_prefill_tokens = 0;
      fleet->all.items[i]->others_received_ms = now;
    }
}

/* The sum includes the load that this VM last sent to the leader; only that is
 * subtracted. */
void
br_fleet_receive_load (br_fleet_upstream_t *upstream,
                       uint32_t in_flight,
                       uint64_t prefill_tokens,
                       br_ms_t now)
{
  upstream->others_in_flight
      = in_flight - BR_MIN (in_flight, upstream->last_sent_in_flight);
  upstream->others_prefill_tokens
      = prefill_tokens
        - BR_MIN (prefill_tokens, upstream->last_sent_prefill_tokens);
  upstream->others_received_ms = now;
}

bool
br_fleet_is_unreachable (const br_fleet_upstream_t *upstream, br_ms_t now)
{
  return now < upstream->unreachable_until_ms;
}

void
br_fleet_receive_unreachable (br_fleet_upstream_t *upstream,
                              uint32_t vms,
                              br_ms_t now)
{
  uint32_t own = br_fleet_is_unreachable (upstream, now) ? 1 : 0;
  bool is_good = upstream->last_good_ms > 0
                 && now - upstream->last_good_ms < GOOD_LIFE_MS;

  if (vms >= UNREACHABLE_VMS + own && !is_good)
    upstream->others_unreachable_until_ms = now + UNREACHABLE_LIFE_MS;
}

bool
br_fleet_is_excluded (const br_fleet_t *fleet,
                      const br_fleet_upstream_t *upstream,
                      br_ms_t now)
{
  return now < upstream->excluded_until_ms || now < upstream->full_until_ms
         || now < upstream->others_unreachable_until_ms
         || br_domain_health_is_unreachable (
             &fleet->domains, &upstream->listing.failure_domain, now);
}

static void
upstream_exclude (br_fleet_upstream_t *upstream, br_ms_t now)
{
  uint32_t doublings
      = BR_MIN (upstream->consecutive_failures / FAILURES_TO_EXCLUDE, 3);
  br_ms_t for_ms = BR_MIN (EXCLUDE_MS << doublings, EXCLUDE_MAX_MS);

  upstream->excluded_until_ms
      = BR_MAX (upstream->excluded_until_ms, now + for_ms);
}

static void
upstream_record_result (br_fleet_upstream_t *upstream,
                        br_result_kind_t result,
                        br_ms_t now)
{
  double outcome = 1;

  switch (result)
    {
    case BR_RESULT_GOOD:
      upstream->consecutive_failures = 0;
      upstream->last_good_ms = now;
      upstream->unreachable_until_ms = 0;
      outcome = 0;
      break;
    case BR_RESULT_FULL:
      upstream->full_until_ms = now + FULL_MS;
      return;
    case BR_RESULT_RETRY_AFTER:
    case BR_RESULT_SLOW:
      return;
    case BR_RESULT_MOVED:
    case BR_RESULT_UNREACHABLE:
    case BR_RESULT_TIMED_OUT:
    case BR_RESULT_LATE:
    case BR_RESULT_STALLED:
      upstream->consecutive_failures += FAILURES_TO_EXCLUDE;
      break;
    case BR_RESULT_FAILED:
    case BR_RESULT_BROKEN:
      upstream->consecutive_failures++;
      break;
    }
  upstream->failing += FAILING_WEIGHT * (outcome - upstream->failing);
  if (outcome > 0
      && (upstream->consecutive_failures >= FAILURES_TO_EXCLUDE
          || upstream->failing > FAILING_MAX))
    upstream_exclude (upstream, now);
  if (result == BR_RESULT_UNREACHABLE || result == BR_RESULT_TIMED_OUT)
    upstream->unreachable_until_ms = upstream->excluded_until_ms;
}

static size_t
fleet_count_listed (const br_fleet_t *fleet, const br_name_t *service)
{
  size_t n = 0;

  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_listing_t *listing = &fleet->all.items[i]->listing;

      n += !listing->draining && br_name_equal (&listing->service, service);
    }
  return n;
}

void
br_fleet_link_failed (br_fleet_t *fleet,
                      const br_name_t *service,
                      const br_name_t *upstream,
                      br_ms_t now)
{
  br_service_link_failed (&fleet->links, service, upstream,
                          fleet_count_listed (fleet, service), now);
}

bool
br_fleet_record_result (br_fleet_t *fleet,
                        br_fleet_upstream_t *upstream,
                        br_result_kind_t result,
                        br_ms_t now)
{
  const br_listing_t *listing = &upstream->listing;

  upstream_record_result (upstream, result, now);
  if (result == BR_RESULT_UNREACHABLE || result == BR_RESULT_TIMED_OUT)
    br_fleet_link_failed (fleet, &listing->service, &listing->id, now);
  switch (result)
    {
    case BR_RESULT_GOOD:
    case BR_RESULT_FULL:
    case BR_RESULT_MOVED:
    case BR_RESULT_RETRY_AFTER:
      br_domain_health_on_answer (&fleet->domains, &listing->failure_domain);
      break;
    case BR_RESULT_STALLED:
    case BR_RESULT_TIMED_OUT:
      return br_domain_health_on_timeout (
          &fleet->domains, &listing->failure_domain, &listing->id, now);
    case BR_RESULT_FAILED:
    case BR_RESULT_BROKEN:
    case BR_RESULT_UNREACHABLE:
    case BR_RESULT_LATE:
    case BR_RESULT_SLOW:
      break; /* No evidence about the network: a crowded engine is late too. */
    }
  return false;
}

/* --- leaving and back-off --- */

bool
br_fleet_mark_leaving (br_fleet_upstream_t *upstream, br_ms_t now)
{
  bool is_new = !upstream->listing.draining;

  upstream->announced_leaving = true;
  upstream->listing.draining = true;
  if (is_new)
    upstream->leaving_since_ms = now;
  return is_new;
}

void
br_fleet_back_off (br_fleet_upstream_t *upstream,
                   br_ms_t for_ms,
                   double draw,
                   br_ms_t now)
{
  br_ms_t spread_ms
      = (br_ms_t)(draw * (double)BR_MIN (for_ms, BACKOFF_SPREAD_MS));

  upstream->backoff_until_ms
      = BR_MAX (upstream->backoff_until_ms, now + for_ms + spread_ms);
}

bool
br_fleet_is_backing_off (const br_fleet_upstream_t *upstream, br_ms_t now)
{
  return now < upstream->backoff_until_ms;
}

uint32_t
br_fleet_load (const br_fleet_upstream_t *upstream, br_ms_t now)
{
  int64_t others = now - upstream->others_received_ms < OTHERS_LIFE_MS
                       ? (int64_t)upstream->others_in_flight
                       : 0;
  int64_t known = (int64_t)upstream->in_flight + others;
  int64_t from_report
      = now - upstream->reported_ms < REPORT_LIFE_MS
            ? (int64_t)upstream->reported + upstream->since_reported
            : 0;

  return (uint32_t)BR_MAX (BR_MAX (known, from_report), 0);
}

uint64_t
br_fleet_backlog (const br_fleet_upstream_t *upstream, br_ms_t now)
{
  uint64_t others = now - upstream->others_received_ms < OTHERS_LIFE_MS
                        ? upstream->others_prefill_tokens
                        : 0;

  return upstream->prefill_tokens + others;
}
