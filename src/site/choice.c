#include "site/choice.h"

/* What an engine has read is taken to be cached for this long, in
 * milliseconds; the least recently used parts go first, and those in use are
 * far below an engine's memory for longer than this. */
#define CACHE_LIFE_MS 60000

/* Worth of staying in the own failure domain, in milliseconds: the way there
 * and back and a little for the link's price. */
#define OTHER_DOMAIN_MS 8

/* What a batch with all slots taken costs a new request, in milliseconds; it
 * grows with the square of the share that is taken.  Prompts are read between
 * the tokens of the running requests, so that a crowded engine is slow to
 * answer and slow to get empty. */
#define CROWDED_MS 400.0

/* Expected time of a request to a plain service while another runs there, in
 * milliseconds, for as long as none was measured. */
#define PLAIN_MS 15.0

/* Time until a slot of a full engine is free, in milliseconds for each request
 * that waits: the length of a usual answer over the slots. */
#define FULL_ENGINE_MS 20.0

/* Up to so much, in milliseconds, is added by a hash of the request and the
 * upstream: VMs that know the same do not all send to the same one at once. */
#define SPREAD_MS 12

/* What a share of failures costs, in milliseconds for all of them. */
#define FAILING_MS 400.0

/* Uncached tokens up to which a prompt belongs to one step of urgency: half a
 * chunk that engines read between two tokens, one and a half, and four. */
static const uint32_t urgency_steps[] = { 1024, 3072, 8192 };

/* What reading a shared part again costs beside its time, as a share of it:
 * every token that is read again keeps others waiting. */
#define SHARED_AGAIN_SHARE 3.0

/* What it costs to send to an upstream whose time without requests is just
 * over, and the time in which that falls to nothing, both in milliseconds:
 * about an objective, so that others serve what they can at first. */
#define RETURN_MS 300.0
#define RETURN_SPAN_MS 1000

/* When to come back where nothing better is known, and at most, in
 * milliseconds. */
#define COME_BACK_MS 250
#define COME_BACK_MAX_MS 60000

/* Callers who wait for the same come back within this time, in milliseconds. */
#define COME_BACK_SPREAD_MS 400

/* A request looks at so many engines, drawn by its id, and at those that have
 * part of its prompt cached: many VMs that know the same, some 0.15 s late,
 * would all send to the one that looks best. */
#define DRAWN 4

/* What it costs to run two requests on one upstream that both ran in a crash,
 * in milliseconds: the second crash would not tell which of them it was.  About
 * an objective, so that a choice between usual loads is decided by it. */
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

static bool
upstream_fits (const br_fleet_upstream_t *upstream,
               const br_choice_query_t *query,
               br_ms_t now)
{
  return !upstream->listing.draining && !br_fleet_is_backing_off (upstream, now)
         && br_name_equal (&upstream->listing.service, &query->service->name)
         && !query_has_tried (query, upstream);
}

/* The shared part that tells most about where a prompt is cached: the last one
 * that is not the request's own. */
static uint64_t
inbound_affinity (const br_inbound_t *inbound)
{
  if (inbound->n_parts == 0)
    return 0;
  return inbound->parts[inbound->n_parts > 1 ? inbound->n_parts - 2 : 0].id;
}

/* Rendezvous hashing: all VMs rank the upstreams alike. */
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
  uint64_t affinity = inbound_affinity (query->inbound);
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

/* Tokens of the parts that other requests share. */
static uint32_t
inbound_shared (const br_inbound_t *inbound)
{
  uint32_t tokens = 0;

  for (size_t i = 0; i + 1 < inbound->n_parts; i++)
    tokens += inbound->parts[i].tokens;
  return tokens;
}

/* PREFERRED is the upstream that all VMs send the shared parts to when it has
 * time: what is not known here is taken to be cached there. */
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
  uint32_t shared = inbound_shared (query->inbound);
  double taken;
  double ms;

  if (preferred)
    cached = BR_MAX (cached, shared);
  choice->uncached = prompt > cached ? prompt - cached : 0;
  choice->backlog = br_fleet_backlog (upstream, now) + choice->uncached;
  choice->load = load;
  choice->full = load >= slots;
  ms = (double)choice->backlog / per_ms;
  if (choice->full)
    ms += (load - slots + 1) * FULL_ENGINE_MS;
  choice->expected_ms = (br_ms_t)ms;
  taken = (double)load / BR_MAX (slots, 1);
  candidate->cost_ms = ms + CROWDED_MS * taken * taken
                       + SHARED_AGAIN_SHARE
                             * (double)(shared - BR_MIN (cached, shared))
                             / per_ms;
}

static void
estimate_plain (candidate_t *candidate, br_ms_t now)
{
  const br_fleet_upstream_t *upstream = candidate->choice.upstream;
  uint32_t load = br_fleet_load (upstream, now);
  uint32_t slots = BR_MAX (upstream->listing.slots, 1);

  candidate->choice.load = load;
  candidate->choice.full = load >= slots;
  candidate->cost_ms = PLAIN_MS + load * PLAIN_MS / slots;
  if (candidate->choice.full)
    candidate->cost_ms += (load - slots + 1) * PLAIN_MS / slots;
  candidate->choice.expected_ms = (br_ms_t)candidate->cost_ms;
}

/* Requests return step by step to an upstream that asked for none. */
static double
return_cost_ms (const br_fleet_upstream_t *upstream, br_ms_t now)
{
  br_ms_t since_ms = now - upstream->backoff_until_ms;

  if (upstream->backoff_until_ms == 0 || since_ms >= RETURN_SPAN_MS)
    return 0;
  return RETURN_MS * (1 - (double)since_ms / RETURN_SPAN_MS);
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
    estimate_plain (&candidate, now);
  if (!br_name_equal (&upstream->listing.failure_domain,
                      &query->failure_domain))
    candidate.cost_ms += OTHER_DOMAIN_MS;
  candidate.cost_ms
      += upstream->failing * FAILING_MS + return_cost_ms (upstream, now);
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
fleet_count (const br_fleet_t *fleet,
             const br_choice_query_t *query,
             br_ms_t now)
{
  size_t n = 0;

  for (size_t i = 0; i < fleet->all.len; i++)
    n += upstream_fits (fleet->all.items[i], query, now) ? 1 : 0;
  return n;
}

/* Whether the request looks at the upstream, of N that fit. */
static bool
upstream_is_drawn (const br_fleet_upstream_t *upstream,
                   const br_choice_query_t *query,
                   size_t n,
                   br_ms_t now)
{
  uint64_t draw = br_str_hash (
      query->inbound->id,
      br_str_hash (br_name_str (&upstream->listing.id), query->n_tried + 1));

  return draw % n < DRAWN || !query->service->has_engine
         || (upstream->cache != NULL
             && br_cache_memory_find (upstream->cache, query->inbound,
                                      now - CACHE_LIFE_MS)
                    > 0);
}

static br_choice_t
choice_among (const br_fleet_t *fleet,
              const br_choice_query_t *query,
              size_t drawn_of,
              br_ms_t now)
{
  const br_fleet_upstream_t *preferred = fleet_preferred (fleet, query, now);
  candidate_t best = { 0 };
  bool best_sits_out = true;

  for (size_t i = 0; i < fleet->all.len; i++)
    {
      br_fleet_upstream_t *upstream = fleet->all.items[i];
      bool is_excluded = br_fleet_is_excluded (fleet, upstream, now);
      candidate_t candidate;

      if (!upstream_fits (upstream, query, now))
        continue;
      if (drawn_of > 0
          && (is_excluded
              || (upstream != preferred
                  && !upstream_is_drawn (upstream, query, drawn_of, now))))
        continue;
      candidate
          = candidate_make (fleet, upstream, query, upstream == preferred, now);
      if (best.choice.upstream == NULL || (best_sits_out && !is_excluded)
          || (best_sits_out == is_excluded && candidate.cost_ms < best.cost_ms))
        {
          best = candidate;
          best_sits_out = is_excluded;
        }
    }
  return best.choice;
}

br_choice_t
br_choice_make (const br_fleet_t *fleet,
                const br_choice_query_t *query,
                br_ms_t now)
{
  size_t n = fleet_count (fleet, query, now);
  br_choice_t choice = { 0 };

  if (n > DRAWN)
    choice = choice_among (fleet, query, n, now);
  return choice.upstream != NULL ? choice : choice_among (fleet, query, 0, now);
}

br_ms_t
br_choice_retry_after_ms (const br_fleet_t *fleet,
                          const br_site_service_t *service,
                          double draw,
                          br_ms_t now,
                          const char **why)
{
  br_ms_t held_ms = BR_MS_NEVER;
  bool takes_some = false;
  bool leave = false;
  br_ms_t wait_ms = COME_BACK_MS;

  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_fleet_upstream_t *upstream = fleet->all.items[i];

      if (!br_name_equal (&upstream->listing.service, &service->name))
        continue;
      if (upstream->listing.draining)
        leave = true;
      else if (br_fleet_is_backing_off (upstream, now))
        held_ms = BR_MIN (held_ms, upstream->backoff_until_ms - now);
      else
        takes_some = true;
    }
  *why = NULL;
  if (takes_some)
    return COME_BACK_MS;
  if (held_ms != BR_MS_NEVER)
    {
      *why = "all upstreams of the service asked for no requests for a time";
      wait_ms = held_ms;
    }
  else if (leave)
    {
      *why = "all upstreams of the service are leaving";
      wait_ms = service->scalable ? service->scaling.boot_ms : COME_BACK_MS;
    }
  return BR_MIN (wait_ms, COME_BACK_MAX_MS)
         + (br_ms_t)(draw * COME_BACK_SPREAD_MS);
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
