/* The index of a router: upstreams by number and the members of each service by
 * failure domain.  Private to router.c and choice.c. */
#ifndef BR_ROUTE_ROUTER_INDEX_H
#define BR_ROUTE_ROUTER_INDEX_H

#include <uthash.h>

#include "route/router.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t name;
  uint64_t incarnation;
  uint32_t domain;
  bool present;  /* in the registry; else the number is free */
  bool eligible; /* may get attempts */
  bool reclaimable;
  br_estimate_t estimate;
  UT_hash_handle hh;
} br_route_candidate_t;

typedef struct
{
  br_name_t name;
  float delay_ms;
  float cost_ms;
  br_ms_t wave_until_ms; /* further notices are likely until then */
} br_route_domain_t;

/* Members of a service in one failure domain. */
typedef struct
{
  uint32_t domain;
  size_t first; /* in the service's members */
  size_t n;
} br_route_group_t;

BR_VEC (br_route_domains, br_route_domain_t);
BR_VEC (br_route_groups, br_route_group_t);
BR_VEC (br_route_numbers, uint32_t);

typedef struct
{
  br_name_t name;
  br_route_numbers_t members; /* sorted by failure domain, the own one first */
  br_route_groups_t groups;
  UT_hash_handle hh;
} br_route_service_t;

struct br_router
{
  br_name_t failure_domain;
  uint64_t scan_offset; /* rotates the start of the scans of groups */
  br_route_domains_t domains;
  br_route_candidate_t *upstreams; /* owned array */
  size_t n_upstreams;
  br_route_candidate_t *by_name;
  br_route_service_t *services; /* owned array */
  size_t n_services;
  br_route_service_t *services_by_name;
  br_prefix_index_t *prefixes;
};

/* Returns the service called NAME, or NULL. */
br_route_service_t *br_router_service (const br_router_t *router,
                                       br_str_t name);

BR_END_DECLS

#endif
