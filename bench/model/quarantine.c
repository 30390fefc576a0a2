/* Quarantine of requests that crash engines.  The entry VM that sees a crash
 * reports it to every entry VM that it can reach. */
#include "world.h"

/* Content digest that all resends of the crashing request share. */
#define CRASH_CONTENT 1

static uint64_t
request_content (const request_t *request)
{
  return request->crashes_engine
             ? CRASH_CONTENT
             : (uint64_t)request->number + CRASH_CONTENT + 1;
}

void
vm_report_crash (world_t *world, const vm_t *vm, const request_t *request)
{
  const upstream_t *upstream = &world->upstreams[request->upstream];

  if (upstream->up || request->stalled
      || vm->leaving[request->upstream] == vm->incarnation[request->upstream])
    return;
  for (int i = 0; i < world->options.site->n_vms; i++)
    if (world_is_connected (world, vm->domain, world->vms[i].domain))
      br_quarantine_report (&world->vms[i].quarantine,
                            request_content (request), &upstream->name,
                            upstream->incarnation, world->now);
}

bool
request_is_quarantined (world_t *world, vm_t *vm, const request_t *request)
{
  return br_quarantine_blocks (&vm->quarantine, request_content (request),
                               world->now);
}

void
vm_quarantine_start (vm_t *vm,
                     const request_t *request,
                     const br_name_t *upstream)
{
  br_quarantine_start (&vm->quarantine, request_content (request), upstream);
}

void
vm_quarantine_end (vm_t *vm, const request_t *request, bool answered)
{
  br_quarantine_end (&vm->quarantine, request_content (request));
  if (answered)
    br_quarantine_clear (&vm->quarantine, request_content (request));
}

void
vm_excluded_upstreams (const world_t *world,
                       const vm_t *vm,
                       const request_t *request,
                       br_names_t *names)
{
  uint64_t content = request_content (request);

  br_quarantine_avoid (&vm->quarantine, content, names);
  if (!br_quarantine_is_suspect (&vm->quarantine, content))
    return;
  for (int i = 0; i < world->n_upstreams; i++)
    if (vm->in_flight[i] > 0)
      br_names_push (names, world->upstreams[i].name);
}
