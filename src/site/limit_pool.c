#include "site/limit_pool.h"

#include <math.h>

#include "base/macros.h"

/* Permits of this much time that a pool keeps for the next requests, in
 * milliseconds; at least one permit is kept. */
#define KEPT_MS 250

br_limit_pool_t *
br_limit_pools_find (const br_limit_pools_t *pools, const br_name_t *upstream)
{
  for (size_t i = 0; i < pools->list.len; i++)
    if (br_name_equal (&pools->list.items[i].upstream, upstream))
      return &pools->list.items[i];
  return NULL;
}

static double
pool_per_s (const br_limit_pool_t *pool)
{
  return BR_MAX (pool->statement.per_s, BR_LIMIT_MIN_PER_S);
}

static void
pool_fill (br_limit_pool_t *pool, br_ms_t now)
{
  double per_s = pool_per_s (pool);
  double max = BR_MAX (per_s * KEPT_MS / 1000, 1);

  if (now > pool->filled_ms)
    pool->permits += per_s * (double)(now - pool->filled_ms) / 1000;
  pool->permits = BR_MIN (pool->permits, max);
  pool->filled_ms = now;
}

br_limit_pool_t *
br_limit_pools_receive (br_limit_pools_t *pools,
                        const br_name_t *upstream,
                        uint64_t incarnation,
                        const br_limit_statement_t *statement,
                        br_ms_t now)
{
  br_limit_pool_t *pool = br_limit_pools_find (pools, upstream);
  br_limit_pool_t fresh = {
    .upstream = *upstream,
    .incarnation = incarnation,
    .statement = *statement,
    .filled_ms = now,
  };

  if (pool == NULL)
    return br_limit_pool_list_push (&pools->list, fresh);
  if (incarnation < pool->incarnation)
    return NULL;
  if (incarnation > pool->incarnation)
    {
      br_permit_requests_free (&pool->requests);
      *pool = fresh;
    }
  else if (statement->said_ms > pool->statement.said_ms)
    {
      pool_fill (pool, now);
      pool->statement = *statement;
    }
  return pool;
}

void
br_limit_pool_request (br_limit_pool_t *pool,
                       size_t vm,
                       uint32_t wanted,
                       uint32_t waiting)
{
  while (pool->requests.len <= vm)
    br_permit_requests_push (&pool->requests, (br_permit_request_t){ 0 });
  pool->requests.items[vm].wanted = wanted;
  pool->requests.items[vm].waiting = BR_MIN (waiting, wanted);
}

/* Issues permits in turn until each VM has what it wants, or only what its
 * waiting requests need. */
static void
pool_issue (br_limit_pool_t *pool, bool for_waiting)
{
  size_t n = pool->requests.len;
  size_t satisfied = 0;

  while (pool->permits >= 1 && satisfied < n)
    {
      br_permit_request_t *request = &pool->requests.items[pool->issued++ % n];

      if (request->issued >= (for_waiting ? request->waiting : request->wanted))
        {
          satisfied++;
          continue;
        }
      satisfied = 0;
      request->issued++;
      pool->permits--;
    }
}

void
br_limit_pool_issue (br_limit_pool_t *pool, br_ms_t now)
{
  pool_fill (pool, now);
  pool_issue (pool, true);
  pool_issue (pool, false);
}

uint32_t
br_limit_pool_issued (const br_limit_pool_t *pool, size_t vm)
{
  return vm < pool->requests.len ? pool->requests.items[vm].issued : 0;
}

void
br_limit_pool_clear_requests (br_limit_pool_t *pool)
{
  br_permit_requests_clear (&pool->requests);
}

void
br_limit_pools_remove (br_limit_pools_t *pools, size_t at)
{
  br_permit_requests_free (&pools->list.items[at].requests);
  pools->list.items[at] = pools->list.items[--pools->list.len];
}

void
br_limit_pools_release (br_limit_pools_t *pools)
{
  while (pools->list.len > 0)
    br_limit_pools_remove (pools, pools->list.len - 1);
  br_limit_pool_list_free (&pools->list);
}
