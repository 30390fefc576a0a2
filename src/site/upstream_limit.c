#include "site/upstream_limit.h"

#include <math.h>
#include <string.h>

#include "base/macros.h"

/* Time for which an entry VM requests permits in advance, in milliseconds.  The
 * leader answers within two of its ticks. */
#define REQUEST_AHEAD_MS 400

/* Share of the limit that VMs without a leader use together.  Their permits
 * come at random moments, so more than the average may meet in one second. */
#define ALONE_SHARE 0.5

/* Weight of the newest tick in the average rate of requests, and the rate below
 * which there are none, in requests a second. */
#define RATE_WEIGHT 0.3
#define RATE_MIN_PER_S 0.05

/* Permits that are requested in advance at most. */
#define REQUEST_MAX 1000

/* A VM that issued itself no permits for this long, in milliseconds, begins
 * anew. */
#define ALONE_GAP_MS 1000

static double
statement_per_s (const br_limit_statement_t *statement)
{
  return BR_MAX (statement->per_s, BR_LIMIT_MIN_PER_S);
}

bool
br_upstream_limit_receive (br_upstream_limit_t *limit,
                           const br_limit_statement_t *statement)
{
  br_limit_statement_t *known = &limit->statement;
  bool changed = statement->named != known->named
                 || (statement->named && statement->per_s != known->per_s);

  if (statement->said_ms < known->said_ms)
    return false;
  *known = *statement;
  limit->was_named |= statement->named;
  if (changed)
    {
      limit->n_batches = 0;
      limit->scarce_until_ms = 0;
    }
  return changed;
}

static uint32_t
limit_held (const br_upstream_limit_t *limit, br_ms_t now)
{
  uint32_t held = 0;

  for (size_t i = 0; i < limit->n_batches; i++)
    if (now < limit->batches[i].until_ms)
      held += limit->batches[i].permits;
  return held;
}

static void
limit_remove_batch (br_upstream_limit_t *limit, size_t at)
{
  limit->n_batches--;
  memmove (&limit->batches[at], &limit->batches[at + 1],
           (limit->n_batches - at) * sizeof *limit->batches);
}

static void
limit_add_batch (br_upstream_limit_t *limit, uint32_t permits, br_ms_t until_ms)
{
  if (permits == 0)
    return;
  if (limit->n_batches == BR_PERMIT_BATCHES)
    limit_remove_batch (limit, 0);
  limit->batches[limit->n_batches++]
      = (br_permit_batch_t){ .permits = permits, .until_ms = until_ms };
}

bool
br_upstream_limit_admits (const br_upstream_limit_t *limit, br_ms_t now)
{
  return !limit->statement.named || limit_held (limit, now) > 0;
}

void
br_upstream_limit_take (br_upstream_limit_t *limit, br_ms_t now)
{
  while (limit->n_batches > 0 && now >= limit->batches[0].until_ms)
    limit_remove_batch (limit, 0);
  if (limit->n_batches > 0 && --limit->batches[0].permits == 0)
    limit_remove_batch (limit, 0);
}

double
br_upstream_limit_update_rate (double per_s, uint32_t requests, br_ms_t tick_ms)
{
  per_s += RATE_WEIGHT * (requests * 1000.0 / (double)tick_ms - per_s);
  return per_s >= RATE_MIN_PER_S ? per_s : 0;
}

/* Returns whether a VM that needs no permit now requests one for its next
 * request. */
static bool
limit_requests_ahead (const br_upstream_limit_t *limit,
                      const br_permit_need_t *need,
                      br_ms_t now)
{
  double ample_per_s = 2.0 * need->entries * 1000 / BR_PERMIT_LIFE_MS;

  if (statement_per_s (&limit->statement) >= ample_per_s)
    return true;
  return !br_upstream_limit_is_scarce (limit, now)
         && need->draw < need->per_s * (double)need->period_ms / 1000;
}

uint32_t
br_upstream_limit_request (br_upstream_limit_t *limit,
                           const br_permit_need_t *need,
                           br_ms_t now)
{
  uint32_t held = limit_held (limit, now);
  uint32_t wanted
      = need->waiting
        + (uint32_t)BR_MIN (need->per_s * REQUEST_AHEAD_MS / 1000, REQUEST_MAX);

  if (wanted == 0 && limit_requests_ahead (limit, need, now))
    wanted = 1;
  limit->requested = wanted > held ? wanted - held : 0;
  return limit->requested;
}

void
br_upstream_limit_grant (br_upstream_limit_t *limit,
                         uint32_t permits,
                         br_ms_t requested_ms,
                         br_ms_t now)
{
  br_ms_t until_ms = requested_ms + BR_PERMIT_LIFE_MS;

  limit->is_alone = false;
  if (!limit->statement.named || now >= until_ms)
    return;
  limit_add_batch (limit, permits, until_ms);
  limit->scarce_until_ms
      = permits < limit->requested ? now + BR_PERMIT_LIFE_MS : 0;
}

void
br_upstream_limit_issue_alone (br_upstream_limit_t *limit,
                               uint32_t entries,
                               double draw,
                               br_ms_t now)
{
  double per_s
      = statement_per_s (&limit->statement) * ALONE_SHARE / BR_MAX (entries, 1);

  if (!limit->is_alone || now - limit->alone_ms > ALONE_GAP_MS)
    {
      limit->is_alone = true;
      limit->alone_permits = draw;
      limit->alone_ms = now;
    }
  limit->alone_permits += per_s * (double)(now - limit->alone_ms) / 1000;
  limit->alone_ms = now;
  limit_add_batch (limit, (uint32_t)limit->alone_permits,
                   now + BR_PERMIT_LIFE_MS);
  limit->alone_permits -= floor (limit->alone_permits);
  limit->scarce_until_ms = now + BR_PERMIT_LIFE_MS;
}

bool
br_upstream_limit_is_scarce (const br_upstream_limit_t *limit, br_ms_t now)
{
  return limit->statement.named && now < limit->scarce_until_ms;
}
