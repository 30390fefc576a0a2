#include "organisation/lease_share.h"

/* A VM lends at most 1 / LENDABLE_DIVISOR of its fixed share.  A VM that is
 * disconnected or has just started can always use the rest. */
#define LENDABLE_DIVISOR 2

static br_lease_peer_t *
share_peer (br_lease_share_t *share, const br_name_t *vm)
{
  for (size_t i = 0; i < share->peers.len; i++)
    if (br_name_equal (&share->peers.items[i].vm, vm))
      return &share->peers.items[i];
  return br_lease_peers_push (&share->peers, (br_lease_peer_t){ .vm = *vm });
}

/* Returns the amount that is counted as lent to PEER. */
static uint64_t
peer_lent (const br_lease_peer_t *peer, br_ms_t now)
{
  if (now < peer->lent_until_ms)
    return peer->lent;
  return now < peer->lent_next_until_ms ? peer->lent_next : 0;
}

static uint64_t
share_lent (const br_lease_share_t *share, br_ms_t now)
{
  uint64_t lent = 0;

  for (size_t i = 0; i < share->peers.len; i++)
    lent += peer_lent (&share->peers.items[i], now);
  return lent;
}

static uint64_t
share_lendable (const br_lease_share_t *share)
{
  return share->own / LENDABLE_DIVISOR;
}

void
br_lease_share_set (br_lease_share_t *share,
                    uint64_t limit,
                    size_t n_vms,
                    size_t index,
                    br_ms_t now)
{
  uint64_t own = limit / n_vms + (index < limit % n_vms ? 1 : 0);

  /* Loans of the old limit may still run, as after a restart. */
  if (own == share->own)
    return;
  share->own = own;
  share->lend_from_ms = now + BR_LEASE_SHARE_MS + BR_LEASE_SHARE_MARGIN_MS;
}

void
br_lease_share_release (br_lease_share_t *share)
{
  br_lease_peers_free (&share->peers);
}

uint64_t
br_lease_share_usable (const br_lease_share_t *share, br_ms_t now)
{
  uint64_t lent = share_lent (share, now);
  uint64_t usable;

  if (now < share->lend_from_ms)
    lent = BR_MAX (lent, share_lendable (share));
  usable = share->own > lent ? share->own - lent : 0;
  for (size_t i = 0; i < share->peers.len; i++)
    if (now < share->peers.items[i].borrowed_until_ms)
      usable += share->peers.items[i].borrowed;
  return usable;
}

void
br_lease_share_receive (br_lease_share_t *share,
                        const br_name_t *vm,
                        uint64_t lacking,
                        uint64_t lent,
                        br_ms_t sent_ms)
{
  br_lease_peer_t *peer = share_peer (share, vm);

  peer->lacking = lacking;
  if (sent_ms == BR_MS_NEVER
      || sent_ms + BR_LEASE_SHARE_MS < peer->borrowed_until_ms)
    return;
  peer->borrowed = lent;
  peer->borrowed_until_ms = sent_ms + BR_LEASE_SHARE_MS;
}

/* Counts a new loan.  A larger loan that still runs stays counted until its
 * lease ends. */
static void
peer_count_loan (br_lease_peer_t *peer, uint64_t amount, br_ms_t now)
{
  br_ms_t until = now + BR_LEASE_SHARE_MS + BR_LEASE_SHARE_MARGIN_MS;
  uint64_t counted = peer_lent (peer, now);

  if (amount >= counted)
    {
      peer->lent = amount;
      peer->lent_until_ms = until;
      peer->lent_next_until_ms = 0;
      return;
    }
  if (now >= peer->lent_until_ms)
    {
      /* The lease of the larger loan has ended; the smaller one counts now. */
      peer->lent = peer->lent_next;
      peer->lent_until_ms = peer->lent_next_until_ms;
      peer->lent_next_until_ms = 0;
    }
  if (now >= peer->lent_next_until_ms)
    peer->lent_next = 0;
  peer->lent_next = BR_MAX (peer->lent_next, amount);
  peer->lent_next_until_ms = until;
}

uint64_t
br_lease_share_lend (br_lease_share_t *share,
                     const br_name_t *vm,
                     uint64_t needed,
                     br_ms_t now)
{
  br_lease_peer_t *peer = share_peer (share, vm);
  uint64_t others = share_lent (share, now) - peer_lent (peer, now);
  uint64_t keep = BR_MAX (needed, share->own - share_lendable (share));
  uint64_t spare = share->own > keep ? share->own - keep : 0;
  uint64_t lacking = 0;
  uint64_t amount;

  for (size_t i = 0; i < share->peers.len; i++)
    lacking += share->peers.items[i].lacking;
  if (now < share->lend_from_ms || lacking == 0)
    amount = 0;
  else if (lacking <= spare)
    amount = peer->lacking;
  else
    amount
        = (uint64_t)((double)spare * (double)peer->lacking / (double)lacking);
  /* The amount still lent to other VMs limits this loan. */
  amount = BR_MIN (amount, spare > others ? spare - others : 0);
  peer_count_loan (peer, amount, now);
  return amount;
}
