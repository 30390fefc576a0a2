/* One VM's share of a limit that holds over all VMs of a failure domain.
 *
 * Every VM owns a fixed part of the limit and lends up to half of it, by
 * leases, to VMs that lack some.  A lender counts a loan as gone until its
 * lease has surely ended at the borrower, so that the shares in use never add
 * up to more than the limit, also when VMs are cut off from each other, freeze
 * or restart.  Amounts have any unit; the caller keeps to one. */
#ifndef BR_ORGANISATION_LEASE_SHARE_H
#define BR_ORGANISATION_LEASE_SHARE_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* How long a loan is good for at the borrower, from the moment at which the
 * borrower sent the digest that the lender had seen. */
#define BR_LEASE_SHARE_MS 2000

/* How much longer the lender counts it as gone: for clocks that run at
 * different speed. */
#define BR_LEASE_SHARE_MARGIN_MS 100

/* What goes between this VM and one other.  A smaller loan replaces a larger
 * one only when the lease of the larger has ended. */
typedef struct
{
  br_name_t vm;
  uint64_t lacking; /* what the other VM lacks, as last told */
  uint64_t lent;    /* counted as gone until LENT_UNTIL_MS */
  br_ms_t lent_until_ms;
  uint64_t lent_next; /* the newest smaller loan */
  br_ms_t lent_next_until_ms;
  uint64_t borrowed;
  br_ms_t borrowed_until_ms;
} br_lease_peer_t;

BR_VEC (br_lease_peers, br_lease_peer_t);

/* An all-zero value has no share. */
typedef struct
{
  uint64_t own;      /* this VM's fixed part */
  br_ms_t lend_from; /* loans of an earlier process may run until then */
  br_lease_peers_t peers;
} br_lease_share_t;

/* Sets the fixed part: LIMIT is split evenly over N_VMS and what is left over
 * goes to the first VMs; this VM is number INDEX. */
void br_lease_share_set (br_lease_share_t *share,
                         uint64_t limit,
                         size_t n_vms,
                         size_t index,
                         br_ms_t now);
void br_lease_share_release (br_lease_share_t *share);

/* Returns what this VM may use now. */
uint64_t br_lease_share_usable (const br_lease_share_t *share, br_ms_t now);

/* Another VM told what it lacks and lends.  SENT_MS is this VM's own clock when
 * it sent the digest that the other had seen, or BR_MS_NEVER when it is not
 * known; the loan counts from there. */
void br_lease_share_receive (br_lease_share_t *share,
                             const br_name_t *vm,
                             uint64_t lacking,
                             uint64_t lent,
                             br_ms_t sent_ms);

/* Chooses what to lend to VM now, when this VM needs NEEDED itself, and counts
 * it as gone. */
uint64_t br_lease_share_lend (br_lease_share_t *share,
                              const br_name_t *vm,
                              uint64_t needed,
                              br_ms_t now);

BR_END_DECLS

#endif
