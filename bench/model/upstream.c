/* Simulated upstreams: engines with slots, serial prefill and a prefix cache,
 * and plain services. */
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define MS_PER_S 1000
#define CACHE_BLOCKS 400
#define PLAIN_CALL_MS 25
#define CRASH_RESTART_MS 15000

static bool
attempt_is_live (const request_t *request, uint64_t attempt)
{
  return request->attempt == attempt && !request->stalled;
}

static block_t *
cache_find (upstream_t *upstream, uint64_t hash)
{
  block_t *block;

  HASH_FIND (hh, upstream->cache, &hash, sizeof hash, block);
  return block;
}

static void
cache_touch (upstream_t *upstream, uint64_t hash)
{
  block_t *block = cache_find (upstream, hash);

  if (block != NULL)
    HASH_DEL (upstream->cache, block);
  else
    block = br_alloc_zero (sizeof *block);
  block->hash = hash;
  HASH_ADD (hh, upstream->cache, hash, sizeof hash, block);
  if (HASH_COUNT (upstream->cache) <= CACHE_BLOCKS)
    return;
  block = upstream->cache;
  HASH_DEL (upstream->cache, block);
  free (block);
}

void
upstream_clear_cache (upstream_t *upstream)
{
  block_t *block;
  block_t *next;

  HASH_ITER (hh, upstream->cache, block, next)
  {
    HASH_DEL (upstream->cache, block);
    free (block);
  }
}

/* Returns the uncached tokens of the prompt and the answer so far. */
static uint64_t
upstream_uncached (upstream_t *upstream, const request_t *request)
{
  const br_prefix_t *prefix = &request->prefix;
  size_t cached = 0;

  while (cached < prefix->n_blocks
         && cache_find (upstream, prefix->hashes[cached]) != NULL)
    cached++;
  return prefix->tokens - cached * BR_PREFIX_BLOCK_TOKENS
         + request->delivered_tokens;
}

static void
upstream_prefill (world_t *world, upstream_t *upstream, request_t *request)
{
  uint64_t uncached = upstream_uncached (upstream, request);
  br_ms_t from = BR_MAX (world->now, upstream->prefill_free_ms);
  event_t *event;

  if (request->cache_imported)
    uncached = 1;
  request->cache_imported = false;
  world->result.recomputed_tokens
      += BR_MIN (uncached, request->computed_tokens);
  world->result.prefilled_tokens += uncached;
  upstream->prefill_free_ms
      = from
        + (br_ms_t)(uncached * MS_PER_S / (uint64_t)upstream->prefill_per_s)
        + 1;
  event = world_schedule (world, upstream->prefill_free_ms - world->now,
                          EVENT_PREFILLED);
  event->request = request;
  event->attempt = request->attempt;
  event->upstream = (int)(upstream - world->upstreams);
}

static void
upstream_start_waiting (world_t *world, upstream_t *upstream)
{
  while (upstream->n_waiting > 0 && upstream->n_running < upstream->slots)
    {
      request_t *request = upstream->waiting[0];
      uint64_t attempt = upstream->waiting_attempt[0];
      int last = --upstream->n_waiting;

      memmove (upstream->waiting, upstream->waiting + 1,
               (size_t)last * sizeof (request_t *));
      memmove (upstream->waiting_attempt, upstream->waiting_attempt + 1,
               (size_t)last * sizeof (uint64_t));
      upstream->running[upstream->n_running] = request;
      upstream->running_attempt[upstream->n_running++] = attempt;
      if (request->plain)
        {
          event_t *event = world_schedule (world, PLAIN_CALL_MS, EVENT_FINISH);

          request->runs++;
          event->request = request;
          event->attempt = attempt;
          event->upstream = (int)(upstream - world->upstreams);
        }
      else
        upstream_prefill (world, upstream, request);
    }
}

void
upstream_receive (world_t *world,
                  upstream_t *upstream,
                  request_t *request,
                  uint64_t attempt)
{
  if (request->attempt != attempt)
    return;
  assert (upstream->n_waiting < (int)BR_N_ELEMENTS (upstream->waiting));
  upstream->waiting[upstream->n_waiting] = request;
  upstream->waiting_attempt[upstream->n_waiting++] = attempt;
  upstream_start_waiting (world, upstream);
}

static bool
upstream_runs (const upstream_t *upstream,
               const request_t *request,
               uint64_t attempt)
{
  for (int i = 0; i < upstream->n_running; i++)
    if (upstream->running[i] == request
        && upstream->running_attempt[i] == attempt)
      return true;
  return false;
}

void
upstream_prefilled (world_t *world,
                    upstream_t *upstream,
                    request_t *request,
                    uint64_t attempt)
{
  uint32_t remaining_tokens
      = request->answer_tokens - request->delivered_tokens;
  event_t *event;

  if (!upstream->up || !upstream_runs (upstream, request, attempt))
    return;
  for (size_t i = request->prefix.n_blocks; i > 0; i--)
    cache_touch (upstream, request->prefix.hashes[i - 1]);
  if (request->crashes_engine)
    {
      int number = (int)(upstream - world->upstreams);

      upstream_kill (world, upstream);
      world_schedule (world, CRASH_RESTART_MS, EVENT_START)->upstream = number;
      return;
    }
  request->computed_tokens = request->prefix.tokens + request->delivered_tokens;
  if (attempt_is_live (request, attempt))
    {
      request->engine_first_token_ms = world->now;
      event = world_schedule (world,
                              world_link_ms (world, upstream->domain,
                                             world->vms[request->vm].domain),
                              EVENT_FIRST_TOKEN);
      event->request = request;
      event->attempt = attempt;
    }
  event = world_schedule (world, (br_ms_t)remaining_tokens * upstream->token_ms,
                          EVENT_FINISH);
  event->request = request;
  event->attempt = attempt;
  event->upstream = (int)(upstream - world->upstreams);
}

static void
upstream_remove (upstream_t *upstream,
                 const request_t *request,
                 uint64_t attempt)
{
  for (int i = 0; i < upstream->n_running; i++)
    if (upstream->running[i] == request
        && upstream->running_attempt[i] == attempt)
      {
        upstream->n_running--;
        upstream->running[i] = upstream->running[upstream->n_running];
        upstream->running_attempt[i]
            = upstream->running_attempt[upstream->n_running];
        return;
      }
  for (int i = 0; i < upstream->n_waiting; i++)
    if (upstream->waiting[i] == request
        && upstream->waiting_attempt[i] == attempt)
      {
        int last = --upstream->n_waiting;

        memmove (upstream->waiting + i, upstream->waiting + i + 1,
                 (size_t)(last - i) * sizeof (request_t *));
        memmove (upstream->waiting_attempt + i,
                 upstream->waiting_attempt + i + 1,
                 (size_t)(last - i) * sizeof (uint64_t));
        return;
      }
}

void
upstream_finish (world_t *world,
                 upstream_t *upstream,
                 request_t *request,
                 uint64_t attempt)
{
  if (!upstream->up || !upstream_runs (upstream, request, attempt))
    return;
  upstream_remove (upstream, request, attempt);
  if (attempt_is_live (request, attempt))
    {
      event_t *event
          = world_schedule (world,
                            world_link_ms (world, upstream->domain,
                                           world->vms[request->vm].domain),
                            EVENT_ANSWER);

      event->request = request;
      event->attempt = attempt;
    }
  upstream_start_waiting (world, upstream);
}

void
upstream_cancel (world_t *world,
                 upstream_t *upstream,
                 const request_t *request,
                 uint64_t attempt)
{
  upstream_remove (upstream, request, attempt);
  if (upstream->up)
    upstream_start_waiting (world, upstream);
}

static void
attempt_fail (world_t *world,
              upstream_t *upstream,
              request_t *request,
              uint64_t attempt)
{
  event_t *event;

  if (!attempt_is_live (request, attempt))
    return;
  event = world_schedule (
      world,
      world_link_ms (world, upstream->domain, world->vms[request->vm].domain),
      EVENT_FAILED);
  event->request = request;
  event->attempt = attempt;
  event->may_have_run = true;
}

void
upstream_kill (world_t *world, upstream_t *upstream)
{
  if (!upstream->up)
    return;
  upstream->up = false;
  upstream->up_ms += (double)(world->now - upstream->up_since_ms);
  upstream_clear_cache (upstream);
  for (int i = 0; i < upstream->n_running; i++)
    attempt_fail (world, upstream, upstream->running[i],
                  upstream->running_attempt[i]);
  for (int i = 0; i < upstream->n_waiting; i++)
    attempt_fail (world, upstream, upstream->waiting[i],
                  upstream->waiting_attempt[i]);
  upstream->n_running = upstream->n_waiting = 0;
}

br_load_t
upstream_load (const upstream_t *upstream, br_ms_t now)
{
  return (br_load_t){
    .known = true,
    .taken_ms = now,
    .running = (uint32_t)upstream->n_running,
    .waiting = (uint32_t)upstream->n_waiting,
    .slots = (uint32_t)upstream->slots,
    .token_ms = (uint32_t)upstream->token_ms,
    .prefill_per_s = (uint32_t)upstream->prefill_per_s,
  };
}

uint32_t
request_generated (const world_t *world, const request_t *request)
{
  const upstream_t *upstream = &world->upstreams[request->upstream];
  br_ms_t until = request->stalled ? request->stalled_ms : world->now;
  uint32_t new_tokens = 0;

  if (request->engine_first_token_ms != MODEL_NONE
      && until > request->engine_first_token_ms)
    new_tokens = 1
                 + (uint32_t)((until - request->engine_first_token_ms)
                              / upstream->token_ms);
  return BR_MIN (request->delivered_tokens + new_tokens,
                 request->answer_tokens - 1);
}
