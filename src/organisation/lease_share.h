/* One VM's share of a limit that applies to all VMs of a failure domain
 * together.
 *
 * Every VM has a fixed share of the limit and lends up to half of it, by
 * leases, to VMs that lack some.  A lender counts a loan as lent until its
 * lease must have ended at the borrower.  The shares in use therefore never
 * exceed the limit in total, even if VMs are disconnected from each other,
 * freeze or restart.  The unit of amounts is up to the caller, the same in all
 * calls. */
#ifndef BR_ORGANISATION_LEASE_SHARE_H
#define BR_ORGANISATION_LEASE_SHARE_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Time for which the borrower may use a loan, in milliseconds, counted from
 * when it sent the digest that the lender echoed. */
#define BR_LEASE_SHARE_MS 2000

/* How much longer the lender counts a loan as lent, in milliseconds, because
 * the clocks of two VMs may run at different speeds. */
#define BR_LEASE_SHARE_MARGIN_MS 100

/* The loans between this VM and one other.  A smaller loan replaces a larger
 * one only when the lease of the larger one has ended. */
typedef struct
{
  br_name_t vm;
  uint64_t lacking; /* what the other VM lacks, by its last digest */
  uint64_t lent;    /* counted as lent until LENT_UNTIL_MS */
  br_ms_t lent_until_ms;
  uint64_t lent_next; /* the latest smaller loan, counted after that */
  br_ms_t lent_next_until_ms;
  uint64_t borrowed;
  br_ms_t borrowed_until_ms;
} br_lease_peer_t;

BR_VEC (br_lease_peers, br_lease_peer_t);

/* An all-zero value has no share. */
typedef struct
{
  uint64_t own;         /* this VM's fixed share */
  br_ms_t lend_from_ms; /* loans of an earlier process may run until then */
  br_lease_peers_t peers;
} br_lease_share_t;

/* Sets the fixed share.  LIMIT is split evenly over N_VMS, and the first VMs
 * get one more each if there is a remainder.  This VM is number INDEX. */
void br_lease_share_set (br_lease_share_t *share,
                         uint64_t limit,
                         size_t n_vms,
                         size_t index,
                         br_ms_t now);
void br_lease_share_release (br_lease_share_t *share);

/* Returns the amount that this VM may use now. */
uint64_t br_lease_share_usable (const br_lease_share_t *share, br_ms_t now);

/* Records what another VM lacks and lends.  SENT_MS is when this VM, by its own
 * clock, sent the digest that the other VM echoed; the lease starts then.
 * BR_MS_NEVER if there is no such digest: LENT is ignored. */
void br_lease_share_receive (br_lease_share_t *share,
                             const br_name_t *vm,
                             uint64_t lacking,
                             uint64_t lent,
                             br_ms_t sent_ms);

/* Returns the amount that is lent to VM now, and counts it as lent.  NEEDED is
 * what this VM needs for itself. */
uint64_t br_lease_share_lend (br_lease_share_t *share,
                              const br_name_t *vm,
                              uint64_t needed,
                              br_ms_t now);

BR_END_DECLS

#endif
