/* Drains an entry VM's work from an engine that has a reclaim notice: each
 * request stays, moves, or moves together with its cache. */
#include "world.h"

#define MS_PER_S 1000

void
vm_export (world_t *world, request_t *request, uint64_t attempt)
{
  upstream_t *from = &world->upstreams[request->upstream];
  uint64_t context;
  event_t *event;

  if (request->attempt != attempt || request->stalled)
    return;
  context = request->prefix.tokens + request_generated (world, request);
  from->export_free_ms = BR_MAX (from->export_free_ms, world->now)
                         + (br_ms_t)(context * MS_PER_S / EXPORT_TOKENS_PER_S)
                         + 1;
  event = world_schedule (world, from->export_free_ms - world->now,
                          EVENT_EXPORTED);
  event->request = request;
  event->attempt = attempt;
}

void
vm_on_exported (world_t *world, request_t *request, uint64_t attempt)
{
  if (request->attempt != attempt || request->stalled)
    return;
  request->cache_imported = true;
  vm_move (world, &world->vms[request->vm], request);
}

/* Returns the tokens that the next upstream would have to prefill. */
static uint64_t
vm_uncached_elsewhere (vm_t *vm, const request_t *request, br_ms_t now)
{
  br_route_query_t query = {
    .service = br_str_from ("lm"),
    .prefix = &request->prefix,
    .now = now,
  };

  return br_router_choose (vm->router, &query).uncached;
}

/* Returns a lower bound on the tokens still to come, by MAX_TOKENS_FACTOR. */
static uint64_t
request_remaining_min (const request_t *request, uint32_t generated)
{
  uint64_t answer_min = (uint64_t)(request->max_tokens / MAX_TOKENS_FACTOR);

  return answer_min > generated ? answer_min - generated : 0;
}

static double
vm_leaving_share (const world_t *world, const vm_t *vm)
{
  int leaving = 0;

  for (int i = 0; i < world->options.site->n_engines; i++)
    leaving += vm->leaving[i] == vm->incarnation[i];
  return (double)leaving / world->options.site->n_engines;
}

void
vm_plan_drain (world_t *world, vm_t *vm, int upstream, br_ms_t remaining_ms)
{
  const upstream_t *from = &world->upstreams[upstream];
  br_drain_options_t options = {
    .remaining_ms = remaining_ms,
    .token_ms = (uint32_t)from->token_ms,
    .leaving_share = vm_leaving_share (world, vm),
  };
  br_drain_works_t works = { 0 };

  /* The export rate is shared with the other entry VMs' work there. */
  if (world->options.arm == ARM_EXPORT)
    options.export_per_s = EXPORT_TOKENS_PER_S
                           * (uint64_t)vm->in_flight[upstream]
                           / (uint64_t)BR_MAX (from->n_running, 1);

  for (int i = 0; i < world->n_requests; i++)
    {
      request_t *request = &world->requests[i];
      uint32_t generated;

      if (request->state != REQUEST_RUNNING || request->plain
          || request->upstream != upstream || &world->vms[request->vm] != vm)
        continue;
      generated = request_generated (world, request);
      br_drain_works_push (
          &works,
          (br_drain_work_t){
              .work = (uint64_t)i,
              .context = request->prefix.tokens + generated,
              .uncached
              = vm_uncached_elsewhere (vm, request, world->now) + generated,
              .remaining_min = request_remaining_min (request, generated),
              .remaining_max = request->max_tokens - generated,
              .started = request->engine_first_token_ms != MODEL_NONE,
          });
    }
  br_drain_plan (&options, &works);
  for (size_t i = 0; i < works.len; i++)
    {
      request_t *request = &world->requests[works.items[i].work];
      event_t *event;

      if (works.items[i].action == BR_DRAIN_MOVE)
        vm_move (world, vm, request);
      if (works.items[i].action != BR_DRAIN_EXPORT)
        continue;
      event = world_schedule (world, works.items[i].at_ms, EVENT_EXPORT);
      event->request = request;
      event->attempt = request->attempt;
    }
  br_drain_works_free (&works);
}
