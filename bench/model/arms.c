/* Chooses an upstream for a request, by a plain baseline or by the router. */
#include "world.h"

bool
request_tried (const world_t *world, const request_t *request, int upstream)
{
  for (size_t i = 0; i < request->tried.len; i++)
    if (br_name_equal (&request->tried.items[i],
                       &world->upstreams[upstream].name))
      return true;
  return false;
}

static bool
vm_may_use (const world_t *world,
            const vm_t *vm,
            const request_t *request,
            int upstream)
{
  return vm->eligible[upstream]
         && world->upstreams[upstream].plain == request->plain
         && !request_tried (world, request, upstream);
}

static int
choose_round_robin (world_t *world, vm_t *vm, const request_t *request)
{
  for (int i = 0; i < world->n_upstreams; i++)
    {
      int upstream = vm->next_upstream++ % world->n_upstreams;

      if (vm_may_use (world, vm, request, upstream))
        return upstream;
    }
  return MODEL_NONE;
}

static bool
is_less_loaded (const world_t *world,
                const vm_t *vm,
                int a,
                int b,
                bool prefer_local)
{
  bool a_local = world->upstreams[a].domain == vm->domain;
  bool b_local = world->upstreams[b].domain == vm->domain;

  if (prefer_local && a_local != b_local)
    return a_local;
  return vm->in_flight[a] < vm->in_flight[b];
}

static int
choose_least (world_t *world,
              vm_t *vm,
              const request_t *request,
              bool prefer_local)
{
  int best = MODEL_NONE;
  int from = vm->next_upstream++;

  for (int i = 0; i < world->n_upstreams; i++)
    {
      int upstream = (from + i) % world->n_upstreams;

      if (vm_may_use (world, vm, request, upstream)
          && (best == MODEL_NONE
              || is_less_loaded (world, vm, upstream, best, prefer_local)))
        best = upstream;
    }
  return best;
}

static int
choose_router_among (world_t *world,
                     vm_t *vm,
                     request_t *request,
                     const br_names_t *tried)
{
  br_route_query_t query = {
    .service = br_str_from (request->plain ? "ledger" : "lm"),
    .prefix = request->plain ? NULL : &request->prefix,
    .tried = tried,
    .hold_ms = (br_ms_t)request->max_tokens * ENGINE_TOKEN_MS,
    .now = world->now,
  };

  request->route = br_router_choose (vm->router, &query);
  for (int i = 0; i < world->n_upstreams; i++)
    if (vm->router_numbers[i] == request->route.upstream)
      return i;
  return MODEL_NONE;
}

static int
choose_router (world_t *world, vm_t *vm, request_t *request)
{
  br_names_t names = { 0 };
  int upstream = MODEL_NONE;

  vm_excluded_upstreams (world, vm, request, &names);
  if (names.len > 0)
    {
      for (size_t i = 0; i < request->tried.len; i++)
        br_names_push (&names, request->tried.items[i]);
      upstream = choose_router_among (world, vm, request, &names);
    }
  br_names_free (&names);
  return upstream != MODEL_NONE
             ? upstream
             : choose_router_among (world, vm, request, &request->tried);
}

int
arm_choose (world_t *world, vm_t *vm, request_t *request)
{
  switch (world->options.arm)
    {
    case ARM_ROUND_ROBIN:
      return choose_round_robin (world, vm, request);
    case ARM_LEAST_IN_FLIGHT:
      return choose_least (world, vm, request, false);
    case ARM_PREVIOUS:
      return choose_least (world, vm, request, true);
    case ARM_TODAY:
    case ARM_EXPORT:
      return choose_router (world, vm, request);
    case ARM_COUNT:
      break;
    }
  return MODEL_NONE;
}
