/* Assigns each upstream to the entry VM that watches it, by rendezvous hashing
 * over the live VMs of the upstream's failure domain.  The loss of a VM moves
 * only the upstreams that it watched, each to the second VM in its order. */
#ifndef BR_DOMAIN_WATCHER_H
#define BR_DOMAIN_WATCHER_H

#include "domain/membership.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t vm;
  br_name_t failure_domain;
  bool leaving;
} br_watcher_self_t;

/* Returns the rank of this VM in the order for UPSTREAM: 0 watches it, 1 is on
 * standby.  When FAILURE_DOMAIN, that of the upstream, has no live VM, the
 * order holds all live VMs.  Returns SIZE_MAX when this VM is in another
 * failure domain than the upstream and one there is live. */
size_t br_watcher_rank (const br_watcher_self_t *self,
                        const br_members_t *members,
                        const br_name_t *upstream,
                        const br_name_t *failure_domain);

BR_END_DECLS

#endif
