#include <assert.h>
#include <string.h>

#include "route/router_index.h"

/* Entries of the prefix index: for each upstream, and at most in total. */
#define PREFIX_BLOCKS_PER_UPSTREAM 4096
#define PREFIX_BLOCKS_TOTAL_MAX 1048576

br_router_t *
br_router_new (const br_router_options_t *options)
{
  br_router_t *router = br_alloc_zero (sizeof *router);

  router->failure_domain = options->failure_domain;
  router->scan_offset = options->salt;
  br_route_domains_push (
      &router->domains, (br_route_domain_t){ .name = options->failure_domain });
  return router;
}

static void
services_free (br_route_service_t *services, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      br_route_numbers_free (&services[i].members);
      br_route_groups_free (&services[i].groups);
    }
  free (services);
}

void
br_router_free (br_router_t *router)
{
  if (router == NULL)
    return;
  HASH_CLEAR (hh, router->by_name);
  HASH_CLEAR (hh, router->services_by_name);
  services_free (router->services, router->n_services);
  free (router->upstreams);
  br_route_domains_free (&router->domains);
  br_prefix_index_free (router->prefixes);
  free (router);
}

static uint32_t
router_domain (br_router_t *router, const br_name_t *name)
{
  br_route_domain_t fresh = {
    .name = *name,
    .delay_ms = BR_ROUTE_LINK_MS,
    .cost_ms = BR_ROUTE_LINK_COST_MS,
  };

  for (size_t i = 0; i < router->domains.len; i++)
    if (br_name_equal (&router->domains.items[i].name, name))
      return (uint32_t)i;
  br_route_domains_push (&router->domains, fresh);
  return (uint32_t)router->domains.len - 1;
}

void
br_router_set_link (br_router_t *router,
                    const br_name_t *failure_domain,
                    br_ms_t delay_ms,
                    br_ms_t cost_ms)
{
  uint32_t number = router_domain (router, failure_domain);

  router->domains.items[number].delay_ms = (float)delay_ms;
  router->domains.items[number].cost_ms = (float)cost_ms;
}

static br_route_candidate_t *
router_candidate (const br_router_t *router, br_str_t name)
{
  br_route_candidate_t *candidate;

  HASH_FIND (hh, router->by_name, name.data, name.len, candidate);
  return candidate;
}

br_route_service_t *
br_router_service (const br_router_t *router, br_str_t name)
{
  br_route_service_t *service;

  HASH_FIND (hh, router->services_by_name, name.data, name.len, service);
  return service;
}

uint32_t
br_router_find (const br_router_t *router, br_str_t name)
{
  br_route_candidate_t *candidate = router_candidate (router, name);

  return candidate != NULL ? (uint32_t)(candidate - router->upstreams)
                           : BR_ROUTE_NONE;
}

const br_name_t *
br_router_name (const br_router_t *router, uint32_t upstream)
{
  assert (upstream < router->n_upstreams);
  return &router->upstreams[upstream].name;
}

void
br_router_notice (br_router_t *router, uint32_t upstream, br_ms_t at_ms)
{
  br_route_domain_t *domain
      = &router->domains.items[router->upstreams[upstream].domain];

  domain->wave_until_ms
      = BR_MAX (domain->wave_until_ms, at_ms + BR_ROUTE_WAVE_MS);
}

/* Updates the entry for UPSTREAM.  The estimate and the cached blocks are reset
 * when the entry is new or belongs to another incarnation. */
static void
candidate_set (br_router_t *router,
               br_route_candidate_t *candidate,
               const br_upstream_t *upstream,
               bool is_new)
{
  if (is_new || candidate->incarnation != upstream->incarnation)
    {
      candidate->estimate = (br_estimate_t){ 0 };
      br_prefix_index_remove_upstream (
          router->prefixes, (uint32_t)(candidate - router->upstreams));
    }
  candidate->name = upstream->name;
  candidate->incarnation = upstream->incarnation;
  candidate->domain = router_domain (router, &upstream->failure_domain);
  candidate->present = true;
  candidate->eligible = upstream->state == BR_UPSTREAM_LIVE;
  candidate->reclaimable = upstream->reclaimable;
  if (upstream->leaving)
    br_router_notice (router, (uint32_t)(candidate - router->upstreams),
                      upstream->state_ms);
  br_estimate_report (&candidate->estimate, &upstream->load);
}

/* Grows the table to at least N upstreams; their numbers do not change. */
static void
router_reserve (br_router_t *router, size_t n)
{
  size_t more = BR_MAX (n, router->n_upstreams * 2);

  if (n <= router->n_upstreams)
    return;
  HASH_CLEAR (hh, router->by_name);
  router->upstreams
      = br_realloc (router->upstreams, more * sizeof *router->upstreams);
  memset (router->upstreams + router->n_upstreams, 0,
          (more - router->n_upstreams) * sizeof *router->upstreams);
  for (size_t i = 0; i < router->n_upstreams; i++)
    HASH_ADD_KEYPTR (hh, router->by_name, router->upstreams[i].name.data,
                     router->upstreams[i].name.len, &router->upstreams[i]);
  router->n_upstreams = more;
  br_prefix_index_free (router->prefixes);
  router->prefixes = br_prefix_index_new (
      BR_MIN (more * PREFIX_BLOCKS_PER_UPSTREAM, PREFIX_BLOCKS_TOTAL_MAX),
      more);
}

static void
router_drop_absent (br_router_t *router)
{
  for (size_t i = 0; i < router->n_upstreams; i++)
    {
      br_route_candidate_t *candidate = &router->upstreams[i];

      if (candidate->present || candidate->name.len == 0)
        continue;
      HASH_DEL (router->by_name, candidate);
      memset (candidate, 0, sizeof *candidate);
    }
}

static void
router_add (br_router_t *router, const br_upstream_t *upstream, size_t *from)
{
  br_route_candidate_t *candidate;

  while (router->upstreams[*from].present)
    (*from)++;
  candidate = &router->upstreams[*from];
  candidate_set (router, candidate, upstream, true);
  HASH_ADD_KEYPTR (hh, router->by_name, candidate->name.data,
                   candidate->name.len, candidate);
}

static void
router_build_upstreams (br_router_t *router, const br_registry_t *registry)
{
  size_t n = registry->upstreams.len;
  size_t from = 0;

  router_reserve (router, n);
  for (size_t i = 0; i < router->n_upstreams; i++)
    router->upstreams[i].present = false;
  for (size_t i = 0; i < n; i++)
    {
      const br_upstream_t *upstream = &registry->upstreams.items[i];
      br_route_candidate_t *existing
          = router_candidate (router, br_name_str (&upstream->name));

      if (existing != NULL)
        candidate_set (router, existing, upstream, false);
    }
  router_drop_absent (router);
  for (size_t i = 0; i < n; i++)
    if (router_candidate (router,
                          br_name_str (&registry->upstreams.items[i].name))
        == NULL)
      router_add (router, &registry->upstreams.items[i], &from);
}

/* Returns the labels of each upstream by its number, including the operators'
 * labels.  The caller frees them. */
static br_labels_t *
router_labels (const br_router_t *router,
               const br_catalog_t *catalog,
               const br_registry_t *registry)
{
  br_labels_t *labels
      = br_alloc_zero (BR_MAX (router->n_upstreams, 1) * sizeof *labels);
  br_buf_t target = { 0 };

  for (size_t i = 0; i < registry->upstreams.len; i++)
    {
      const br_upstream_t *upstream = &registry->upstreams.items[i];
      uint32_t number = br_router_find (router, br_name_str (&upstream->name));

      br_labels_copy (&labels[number], &upstream->labels);
      br_buf_clear (&target);
      br_buf_printf (&target, "upstream/%s", upstream->name.data);
      br_catalog_labels_of (catalog, br_buf_str (&target), &labels[number]);
    }
  br_buf_free (&target);
  return labels;
}

static void
service_build (br_router_t *router,
               br_route_service_t *service,
               const br_selector_t *selector,
               const br_labels_t *labels)
{
  for (uint32_t domain = 0; domain < router->domains.len; domain++)
    {
      br_route_group_t group
          = { .domain = domain, .first = service->members.len };

      for (uint32_t i = 0; i < router->n_upstreams; i++)
        if (router->upstreams[i].present
            && router->upstreams[i].domain == domain
            && br_selector_matches (selector, &labels[i]))
          br_route_numbers_push (&service->members, i);
      group.n = service->members.len - group.first;
      if (group.n > 0)
        br_route_groups_push (&service->groups, group);
    }
}

static void
router_build_services (br_router_t *router,
                       const br_catalog_t *catalog,
                       const br_labels_t *labels)
{
  HASH_CLEAR (hh, router->services_by_name);
  services_free (router->services, router->n_services);
  router->n_services = catalog->services.len;
  router->services = br_alloc_zero (BR_MAX (router->n_services, 1)
                                    * sizeof *router->services);
  for (size_t i = 0; i < router->n_services; i++)
    {
      br_route_service_t *service = &router->services[i];

      service->name = catalog->services.items[i].name;
      service_build (router, service, &catalog->services.items[i].upstreams,
                     labels);
      HASH_ADD_KEYPTR (hh, router->services_by_name, service->name.data,
                       service->name.len, service);
    }
}

void
br_router_build (br_router_t *router,
                 const br_catalog_t *catalog,
                 const br_registry_t *registry)
{
  br_labels_t *labels;

  router_build_upstreams (router, registry);
  labels = router_labels (router, catalog, registry);
  router_build_services (router, catalog, labels);
  for (size_t i = 0; i < router->n_upstreams; i++)
    br_labels_free (&labels[i]);
  free (labels);
}

void
br_router_set_eligible (br_router_t *router, uint32_t upstream, bool eligible)
{
  assert (upstream < router->n_upstreams);
  router->upstreams[upstream].eligible = eligible;
}

void
br_router_report (br_router_t *router, uint32_t upstream, const br_load_t *load)
{
  assert (upstream < router->n_upstreams);
  br_estimate_report (&router->upstreams[upstream].estimate, load);
}

void
br_router_cache_event (br_router_t *router, const br_cache_event_t *event)
{
  if (event->upstream < router->n_upstreams)
    br_prefix_index_event (router->prefixes, event);
}

void
br_router_sent (br_router_t *router,
                const br_route_t *route,
                const br_prefix_t *prefix,
                br_ms_t now)
{
  assert (route->upstream < router->n_upstreams);
  br_estimate_sent (&router->upstreams[route->upstream].estimate,
                    route->uncached, now);
  if (prefix != NULL)
    br_prefix_index_sent (router->prefixes, route->upstream, prefix, now);
}

void
br_router_first_token (br_router_t *router,
                       uint32_t upstream,
                       uint64_t uncached)
{
  assert (upstream < router->n_upstreams);
  br_estimate_prefilled (&router->upstreams[upstream].estimate, uncached);
}

void
br_router_ended (br_router_t *router,
                 uint32_t upstream,
                 br_ms_t held_ms,
                 bool whole,
                 br_ms_t now)
{
  assert (upstream < router->n_upstreams);
  br_estimate_ended (&router->upstreams[upstream].estimate, held_ms, whole,
                     now);
}

/* Sums over all members of a service. */
typedef struct
{
  int64_t own;
  int64_t slots;
  int64_t slots_free; /* below 0 when requests wait for slots */
  int64_t prompts;    /* further prompts that may wait there */
  int64_t prompts_unreserved;
  uint64_t pending_prefill;
  bool known;
} capacity_sums_t;

static capacity_sums_t
service_capacity_sums (const br_router_t *router,
                       const br_route_service_t *service)
{
  capacity_sums_t sums = { .known = true };

  for (size_t i = 0; i < service->members.len; i++)
    {
      const br_route_candidate_t *each
          = &router->upstreams[service->members.items[i]];
      const br_estimate_t *estimate = &each->estimate;

      sums.own += estimate->own;
      sums.pending_prefill += estimate->pending_prefill;
      if (!each->eligible)
        continue;
      sums.known
          = sums.known && estimate->load.known && estimate->load.slots > 0;
      sums.slots += estimate->load.slots;
      sums.slots_free += br_estimate_slots_free (estimate);
      sums.prompts += br_estimate_prompts (estimate, BR_ROUTE_QUEUE_MS);
      sums.prompts_unreserved
          += br_estimate_prompts (estimate, BR_ROUTE_QUEUE_MS / 2);
    }
  sums.known = sums.known && sums.slots > 0;
  return sums;
}

br_route_capacity_t
br_router_capacity (const br_router_t *router, br_str_t name, size_t n_vms)
{
  const br_route_service_t *service = br_router_service (router, name);
  capacity_sums_t sums = { 0 };
  int64_t n = (int64_t)n_vms;
  int64_t min_prompts;
  int64_t slots;
  int64_t unreserved;

  assert (n_vms > 0);
  if (service != NULL)
    sums = service_capacity_sums (router, service);
  if (!sums.known)
    return (br_route_capacity_t){ UINT64_MAX, UINT64_MAX };
  slots = sums.own + BR_MAX (sums.slots_free, 0) / n;
  slots = BR_MAX (slots, BR_MAX (sums.slots / n, 1));
  unreserved = slots - slots / BR_ROUTE_RESERVE_DIVISOR;
  /* One prompt is always allowed when none is pending. */
  min_prompts = sums.pending_prefill == 0 ? 1 : 0;
  return (br_route_capacity_t){
    .max
    = (uint64_t)BR_MIN (slots, sums.own + BR_MAX (sums.prompts, min_prompts)),
    .unreserved = (uint64_t)BR_MIN (
        unreserved, sums.own + BR_MAX (sums.prompts_unreserved, min_prompts)),
  };
}

size_t
br_router_candidates (const br_router_t *router, br_str_t name)
{
  const br_route_service_t *service = br_router_service (router, name);

  return service != NULL ? service->members.len : 0;
}
