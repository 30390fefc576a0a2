/* Which software versions of a service one request may use. */
#ifndef BR_ROLLOUT_VERSION_FILTER_H
#define BR_ROLLOUT_VERSION_FILTER_H

#include "site/stream_version.h"

BR_BEGIN_DECLS

/* An all-zero value admits all versions.  ALLOWED belongs to the service's
 * policy and is valid until the next policy is received. */
typedef struct
{
  bool is_set;
  const br_version_t *allowed;
  size_t n_allowed;
  br_version_t target; /* admitted as well, by rank; 0: none */
  uint64_t number;     /* of the order, seeds the ranks */
  uint64_t rank_min;   /* lowest rank of the target's upstreams that get
                        * requests */
} br_version_filter_t;

/* Returns whether FILTER, which may be NULL, admits requests to the upstream.
 */
bool br_version_filter_admits (const br_version_filter_t *filter,
                               const br_listing_t *listing);

/* Returns the rank of an upstream in the order NUMBER.  All VMs rank alike, so
 * that the first of a new version get the load of an old upstream each. */
uint64_t br_version_filter_rank (const br_listing_t *listing, uint64_t number);

BR_END_DECLS

#endif
