/* Chooses the upstream for the next attempt: the one with the lowest estimated
 * time to the first token plus costs.  The index behind it is rebuilt when the
 * declarations or the upstreams change.  A decision allocates no memory. */
#ifndef BR_ROUTE_ROUTER_H
#define BR_ROUTE_ROUTER_H

#include "route/catalog.h"
#include "route/estimate.h"
#include "route/prefix_index.h"

BR_BEGIN_DECLS

typedef struct br_router br_router_t;

/* Upstreams that one query can exclude; further ones are not excluded. */
#define BR_ROUTE_TRIED_MAX 256

/* No upstream. */
#define BR_ROUTE_NONE UINT32_MAX

/* Candidates that one decision examines in its own and in each other failure
 * domain.  In larger domains, each decision starts at another candidate. */
#define BR_ROUTE_SCAN_OWN 512
#define BR_ROUTE_SCAN_OTHER 16

/* Cost of a reclaimable upstream in milliseconds.  BR_ROUTE_RECLAIM_MS applies
 * to work that runs for BR_ROUTE_RECLAIM_HOLD_MS or longer, less in proportion
 * to shorter work.  BR_ROUTE_WAVE_COST_MS is added in a failure domain with a
 * recent reclaim notice. */
#define BR_ROUTE_RECLAIM_MS 20
#define BR_ROUTE_RECLAIM_HOLD_MS 5000
#define BR_ROUTE_WAVE_COST_MS 30

/* Time after a reclaim notice in which further notices in its failure domain
 * are likely, in milliseconds. */
#define BR_ROUTE_WAVE_MS 30000

/* Prompts that may wait at an upstream, as the time to read them in
 * milliseconds.  Further requests wait on the entry VM, where the queue is fair
 * between organisations. */
#define BR_ROUTE_QUEUE_MS 500

/* One in this many slots is reserved for organisations with few running
 * requests. */
#define BR_ROUTE_RESERVE_DIVISOR 8

/* Delay and cost of the link to another failure domain before
 * br_router_set_link() was called for it, in milliseconds. */
#define BR_ROUTE_LINK_MS 8
#define BR_ROUTE_LINK_COST_MS 20

typedef struct
{
  br_name_t failure_domain; /* of this VM */
  uint64_t salt;            /* start of the first scan; differs between VMs */
} br_router_options_t;

typedef struct
{
  br_str_t service;
  const br_prefix_t *prefix; /* NULL for plain services */
  const br_names_t *tried;   /* upstreams to exclude */
  br_ms_t hold_ms;           /* estimated time that it runs; 0: not known */
  br_ms_t now;
} br_route_query_t;

typedef struct
{
  uint32_t upstream;      /* number, or BR_ROUTE_NONE */
  br_ms_t first_token_ms; /* estimated time to the first token */
  uint64_t uncached;      /* prompt tokens that are not cached there */
} br_route_t;

br_router_t *br_router_new (const br_router_options_t *options);
void br_router_free (br_router_t *router);

/* Builds the index and resolves labels and selectors.  The load estimate and
 * the cached prompt blocks of an upstream are kept while its incarnation stays
 * the same. */
void br_router_build (br_router_t *router,
                      const br_catalog_t *catalog,
                      const br_registry_t *registry);

/* Sets delay and price of the link to another failure domain. */
void br_router_set_link (br_router_t *router,
                         const br_name_t *failure_domain,
                         br_ms_t delay_ms,
                         br_ms_t cost_ms);

/* Returns the number of an upstream, or BR_ROUTE_NONE.  It stays the same while
 * the registry has the name. */
uint32_t br_router_find (const br_router_t *router, br_str_t name);
const br_name_t *br_router_name (const br_router_t *router, uint32_t upstream);

/* Excludes the upstream until the next build, or includes it again. */
void
br_router_set_eligible (br_router_t *router, uint32_t upstream, bool eligible);
/* Records that a reclaim notice was given for the upstream at AT_MS. */
void br_router_notice (br_router_t *router, uint32_t upstream, br_ms_t at_ms);
void br_router_report (br_router_t *router,
                       uint32_t upstream,
                       const br_load_t *load);
void br_router_cache_event (br_router_t *router, const br_cache_event_t *event);

/* Chooses an upstream.  The only change to ROUTER is where the next scan
 * starts. */
br_route_t br_router_choose (br_router_t *router,
                             const br_route_query_t *query);

/* Record that the chosen attempt was sent, that its first token came, and that
 * it ended. */
void br_router_sent (br_router_t *router,
                     const br_route_t *route,
                     const br_prefix_t *prefix,
                     br_ms_t now);
void br_router_first_token (br_router_t *router,
                            uint32_t upstream,
                            uint64_t uncached);
void br_router_ended (br_router_t *router,
                      uint32_t upstream,
                      br_ms_t held_ms,
                      bool whole,
                      br_ms_t now);

/* Requests of a service that may run from one entry VM; UINT64_MAX when this is
 * not known. */
typedef struct
{
  uint64_t max;
  uint64_t unreserved; /* without the slots reserved for organisations with few
                        * running requests */
} br_route_capacity_t;

/* Returns how many requests of SERVICE may run from this VM, one of N_VMS entry
 * VMs: its share of all slots, or its running requests and its share of the
 * free slots if that is more; but no more prompts than the upstreams read in
 * BR_ROUTE_QUEUE_MS.  The capacity is not known when an eligible upstream of
 * the service reports no load or there is none. */
br_route_capacity_t
br_router_capacity (const br_router_t *router, br_str_t service, size_t n_vms);

/* Returns the number of upstreams of the service. */
size_t br_router_candidates (const br_router_t *router, br_str_t service);

BR_END_DECLS

#endif
