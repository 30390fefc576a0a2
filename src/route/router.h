/* Which upstream gets the next attempt: the one with the lowest estimated time
 * to the first token, from an index that is built when the declarations or the
 * upstreams change.  A decision allocates nothing. */
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

/* Candidates of one failure domain that a decision looks at; in larger ones
 * it looks at as many, from another start each time. */
#define BR_ROUTE_SCAN_OWN 512
#define BR_ROUTE_SCAN_OTHER 16

/* What an upstream that can be reclaimed counts worse for work that will run
 * for this long, in proportion, and in a failure domain with a notice. */
#define BR_ROUTE_RECLAIM_MS 20
#define BR_ROUTE_RECLAIM_HOLD_MS 5000
#define BR_ROUTE_WAVE_COST_MS 30

/* How long a notice makes further ones in its failure domain likely. */
#define BR_ROUTE_WAVE_MS 30000

/* Prompts that wait at an upstream, by the time to read them, before further
 * requests wait on the entry VM, where organisations take turns. */
#define BR_ROUTE_QUEUE_MS 500

/* This part of the slots is kept for organisations with little running. */
#define BR_ROUTE_RESERVE_DIVISOR 8

/* What an upstream in another failure domain must be better by when nothing
 * is known of the link. */
#define BR_ROUTE_LINK_MS 8
#define BR_ROUTE_LINK_COST_MS 20

typedef struct
{
  br_name_t failure_domain; /* of this VM */
  uint64_t salt;            /* where scans start; differs between VMs */
} br_router_options_t;

typedef struct
{
  br_str_t service;
  const br_prefix_t *prefix; /* NULL for plain services */
  const br_names_t *tried;   /* upstreams not to take again */
  br_ms_t hold_ms;           /* how long it will run, roughly; 0: not known */
  br_ms_t now;
} br_route_query_t;

typedef struct
{
  uint32_t upstream;      /* number, or BR_ROUTE_NONE */
  br_ms_t first_token_ms; /* estimated time to the first token */
  uint64_t uncached;      /* prompt tokens that it has to read */
} br_route_t;

br_router_t *br_router_new (const br_router_options_t *options);
void br_router_free (br_router_t *router);

/* Builds the index: labels and selectors are resolved here.  What is known of
 * an upstream survives while its incarnation stays the same. */
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

/* Takes the upstream out until the next build, or back in. */
void
br_router_set_eligible (br_router_t *router, uint32_t upstream, bool eligible);
/* A notice was given for the upstream at AT_MS. */
void br_router_notice (br_router_t *router, uint32_t upstream, br_ms_t at_ms);
void br_router_report (br_router_t *router,
                       uint32_t upstream,
                       const br_load_t *load);
void br_router_cache_event (br_router_t *router, const br_cache_event_t *event);

/* Chooses; changes only where the next scan starts. */
br_route_t br_router_choose (br_router_t *router,
                             const br_route_query_t *query);

/* The attempt that was chosen was sent; its first token came; it ended. */
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

/* Requests of a service that may run from one entry VM; UINT64_MAX when it is
 * not known. */
typedef struct
{
  uint64_t max;
  uint64_t unreserved; /* without what is kept for organisations with little */
} br_route_capacity_t;

/* Returns how many requests of SERVICE may run from this VM, one of N_VMS entry
 * VMs: its part of all slots, and as much of the free ones; but no more prompts
 * than the upstreams read in BR_ROUTE_QUEUE_MS.  Not known when an upstream of
 * it tells no load, or none is there. */
br_route_capacity_t
br_router_capacity (const br_router_t *router, br_str_t service, size_t n_vms);

/* The same as a rough size, for benches and operators. */
size_t br_router_candidates (const br_router_t *router, br_str_t service);

BR_END_DECLS

#endif
