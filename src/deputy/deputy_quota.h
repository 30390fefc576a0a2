/* What an entry VM may let through of an organisation's quota while a deputy's
 * sums replace the leader's. */
#ifndef BR_DEPUTY_DEPUTY_QUOTA_H
#define BR_DEPUTY_DEPUTY_QUOTA_H

#include <stdbool.h>

#include "base/clock.h"
#include "base/macros.h"

BR_BEGIN_DECLS

/* A deputy's figures for one organisation, received at RECEIVED_MS. */
typedef struct
{
  double remaining;    /* units of the quota, over the whole site */
  double demand_per_s; /* of all callers, averaged over seconds */
  double covered;      /* share of the entry VMs in these figures, 0 to 1 */
  br_ms_t received_ms; /* 0: none */
} br_deputy_quota_t;

typedef struct
{
  double rate_per_s;
  double burst;
  double tolerated; /* units that may be let through beyond the quota */
} br_deputy_limit_t;

typedef enum
{
  BR_DEPUTY_OPEN,  /* requests are let through beyond the VM's own share */
  BR_DEPUTY_SHARE, /* the VM keeps to its share */
  BR_DEPUTY_SCARCE /* so it does, and a request may not exceed it either, as
                    * every VM would let one such request through */
} br_deputy_state_t;

/* Tokens that may be let through beyond a quota: half of what the platform
 * tolerates. */
#define BR_DEPUTY_TOLERATED_TOKENS 70000

/* Decides from the figures of QUOTA. */
br_deputy_state_t br_deputy_quota_state (const br_deputy_quota_t *quota,
                                         const br_deputy_limit_t *limit);

/* Returns whether the figures can still be used. */
bool br_deputy_quota_is_fresh (const br_deputy_quota_t *quota, br_ms_t now);

BR_END_DECLS

#endif
