/* Which entry VM watches an upstream: rendezvous hashing over the live VMs of
 * the upstream's failure domain, so that the loss of a VM moves only what it
 * watched, to the second in the order. */
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

/* Returns the place of this VM in the order for UPSTREAM: 0 watches, 1 is on
 * standby.  Without a live VM in the failure domain of the upstream, all live
 * VMs are in the order. */
size_t br_watcher_rank (const br_watcher_self_t *self,
                        const br_members_t *members,
                        const br_name_t *upstream,
                        const br_name_t *failure_domain);

BR_END_DECLS

#endif
