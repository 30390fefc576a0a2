/* The permits of limited upstreams, issued by the leading control VM to the
 * entry VMs that request them, at the rate that each upstream names. */
#ifndef BR_SITE_LIMIT_POOL_H
#define BR_SITE_LIMIT_POOL_H

#include "base/label.h"
#include "base/vec.h"
#include "site/upstream_limit.h"

BR_BEGIN_DECLS

/* One entry VM's request for permits; all zero without one. */
typedef struct
{
  uint32_t wanted;
  uint32_t waiting; /* of them, for requests that wait */
  uint32_t issued;  /* by the last br_limit_pool_issue() */
} br_permit_request_t;

BR_VEC (br_permit_requests, br_permit_request_t);

/* The limit of one incarnation of an upstream. */
typedef struct
{
  br_name_t upstream;
  uint64_t incarnation;
  br_limit_statement_t statement;
  double permits;                /* not issued yet; a fraction counts too */
  br_ms_t filled_ms;             /* when PERMITS was computed */
  uint64_t issued;               /* in total, to rotate between the VMs */
  br_permit_requests_t requests; /* owned; by the VM's number */
} br_limit_pool_t;

BR_VEC (br_limit_pool_list, br_limit_pool_t);

/* An all-zero value has no limits. */
typedef struct
{
  br_limit_pool_list_t list; /* owned */
} br_limit_pools_t;

/* Takes what an entry VM knows of an upstream's limit, unless a newer statement
 * or incarnation is known.  A pool begins empty, as other VMs may still hold
 * permits of an earlier leader.  Returns the incarnation's pool, or NULL if it
 * has none. */
br_limit_pool_t *br_limit_pools_receive (br_limit_pools_t *pools,
                                         const br_name_t *upstream,
                                         uint64_t incarnation,
                                         const br_limit_statement_t *statement,
                                         br_ms_t now);

/* Returns the upstream's pool, or NULL. */
br_limit_pool_t *br_limit_pools_find (const br_limit_pools_t *pools,
                                      const br_name_t *upstream);

/* Records the request of the entry VM with the number VM for WANTED permits,
 * WAITING of them for requests that wait.  It replaces its earlier one. */
void br_limit_pool_request (br_limit_pool_t *pool,
                            size_t vm,
                            uint32_t wanted,
                            uint32_t waiting);

/* Issues the permits that are due, one to each VM in turn, and those for
 * requests that wait first. */
void br_limit_pool_issue (br_limit_pool_t *pool, br_ms_t now);

/* Returns the permits that the last br_limit_pool_issue() gave to a VM. */
uint32_t br_limit_pool_issued (const br_limit_pool_t *pool, size_t vm);

/* Removes the requests, which have been answered. */
void br_limit_pool_clear_requests (br_limit_pool_t *pool);

/* Removes the pool at index AT. */
void br_limit_pools_remove (br_limit_pools_t *pools, size_t at);
void br_limit_pools_release (br_limit_pools_t *pools);

BR_END_DECLS

#endif
