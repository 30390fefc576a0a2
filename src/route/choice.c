#include <float.h>

#include "route/router_index.h"

/* Cost of an upstream with all slots taken, in milliseconds; scaled by the
 * share of slots taken.  It decides between upstreams without a queue. */
#define LOAD_COST_MS 10.0F

/* A decision in progress. */
typedef struct
{
  const br_route_query_t *query;
  br_prefix_match_t match;
  uint32_t tried[BR_ROUTE_TRIED_MAX];
  size_t n_tried;
  uint32_t best;
  float best_score;
  float best_ms;
  uint64_t best_uncached;
  float reclaim_ms; /* cost of a reclaimable upstream for this request */
} choice_t;

static bool
choice_was_tried (const choice_t *choice, uint32_t upstream)
{
  for (size_t i = 0; i < choice->n_tried; i++)
    if (choice->tried[i] == upstream)
      return true;
  return false;
}

static uint64_t
choice_uncached (const choice_t *choice, uint32_t blocks)
{
  const br_prefix_t *prefix = choice->query->prefix;
  uint64_t cached = (uint64_t)blocks * BR_PREFIX_BLOCK_TOKENS;

  if (prefix == NULL)
    return 0;
  return prefix->tokens > cached ? prefix->tokens - cached : 1;
}

/* Compares UPSTREAM, which would have to read UNCACHED prompt tokens, with the
 * best so far. */
static inline void
choice_consider (choice_t *choice,
                 const br_route_candidate_t *candidate,
                 uint32_t upstream,
                 const br_route_domain_t *domain,
                 uint64_t uncached)
{
  const br_estimate_t *estimate = &candidate->estimate;
  float ms = estimate->wait_ms + (float)uncached * estimate->token_ms
             + domain->delay_ms;
  float score = ms + domain->cost_ms + estimate->active * LOAD_COST_MS;

  if (candidate->reclaimable)
    score += choice->reclaim_ms
             + (choice->query->now < domain->wave_until_ms
                    ? (float)BR_ROUTE_WAVE_COST_MS
                    : 0);

  if (score >= choice->best_score || !candidate->eligible
      || (choice->n_tried > 0 && choice_was_tried (choice, upstream)))
    return;
  choice->best = upstream;
  choice->best_score = score;
  choice->best_ms = ms;
  choice->best_uncached = uncached;
}

static void
choice_scan_group (choice_t *choice,
                   br_router_t *router,
                   const br_route_service_t *service,
                   const br_route_group_t *group)
{
  const br_route_domain_t *domain = &router->domains.items[group->domain];
  const uint32_t *members = service->members.items + group->first;
  uint64_t uncached = choice_uncached (choice, 0);
  size_t bound = group->domain == 0 ? BR_ROUTE_SCAN_OWN : BR_ROUTE_SCAN_OTHER;
  size_t n = BR_MIN (group->n, bound);
  size_t at = (size_t)(router->scan_offset % group->n);

  for (size_t i = 0; i < n; i++)
    {
      choice_consider (choice, &router->upstreams[members[at]], members[at],
                       domain, uncached);
      at = at + 1 < group->n ? at + 1 : 0;
    }
}

static bool
service_has (const br_route_service_t *service,
             uint32_t domain,
             uint32_t upstream)
{
  for (size_t i = 0; i < service->groups.len; i++)
    {
      const br_route_group_t *group = &service->groups.items[i];
      const uint32_t *members = service->members.items + group->first;
      size_t low = 0;
      size_t high = group->n;

      if (group->domain != domain)
        continue;
      while (low < high)
        {
          size_t middle = low + (high - low) / 2;

          if (members[middle] == upstream)
            return true;
          if (members[middle] < upstream)
            low = middle + 1;
          else
            high = middle;
        }
    }
  return false;
}

static void
choice_scan_holders (choice_t *choice,
                     const br_router_t *router,
                     const br_route_service_t *service)
{
  for (size_t i = 0; i < choice->match.n_holders; i++)
    {
      const br_prefix_holder_t *holder = &choice->match.holders[i];
      const br_route_candidate_t *candidate
          = &router->upstreams[holder->upstream];

      if (service_has (service, candidate->domain, holder->upstream))
        choice_consider (choice, candidate, holder->upstream,
                         &router->domains.items[candidate->domain],
                         choice_uncached (choice, holder->blocks));
    }
}

static void
choice_set_tried (choice_t *choice,
                  const br_router_t *router,
                  const br_names_t *tried)
{
  for (size_t i = 0; tried != NULL && i < tried->len; i++)
    if (choice->n_tried < BR_ROUTE_TRIED_MAX)
      choice->tried[choice->n_tried++]
          = br_router_find (router, br_name_str (&tried->items[i]));
}

static float
reclaim_ms (br_ms_t hold_ms)
{
  return (float)BR_MIN (hold_ms, BR_ROUTE_RECLAIM_HOLD_MS) * BR_ROUTE_RECLAIM_MS
         / BR_ROUTE_RECLAIM_HOLD_MS;
}

br_route_t
br_router_choose (br_router_t *router, const br_route_query_t *query)
{
  const br_route_service_t *service
      = br_router_service (router, query->service);
  choice_t choice;

  choice.query = query;
  choice.match.n_holders = 0;
  choice.n_tried = 0;
  choice.best = BR_ROUTE_NONE;
  choice.best_score = FLT_MAX;
  choice.best_ms = 0;
  choice.best_uncached = 0;
  choice.reclaim_ms = reclaim_ms (query->hold_ms);
  if (service == NULL)
    return (br_route_t){ .upstream = BR_ROUTE_NONE };
  choice_set_tried (&choice, router, query->tried);
  if (query->prefix != NULL)
    {
      br_prefix_index_find (router->prefixes, query->prefix, &choice.match);
      choice_scan_holders (&choice, router, service);
    }
  for (size_t i = 0; i < service->groups.len; i++)
    choice_scan_group (&choice, router, service, &service->groups.items[i]);
  router->scan_offset++;
  return (br_route_t){
    .upstream = choice.best,
    .first_token_ms = (br_ms_t)choice.best_ms,
    .uncached = choice.best_uncached,
  };
}
