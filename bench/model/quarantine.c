/* Requests that crash engines: each entry VM hears of a crash from the one
 * that saw it. */
#include "world.h"

/* All resends of the crashing request have the same content. */
#define CRASH_CONTENT 1

static uint64_t
request_content (const request_t *request)
{
  return request->crash ? CRASH_CONTENT
                        : (uint64_t)request->number + CRASH_CONTENT + 1;
}

void
vm_note_crash (world_t *world, const vm_t *vm, const request_t *request)
{
  const upstream_t *upstream = &world->upstreams[request->upstream];

  if (upstream->up || request->silent
      || vm->leaving[request->upstream] == vm->incarnation[request->upstream])
    return;
  for (int i = 0; i < world->options.site->n_vms; i++)
    if (world_reaches (world, vm->domain, world->vms[i].domain))
      br_quarantine_report (&world->vms[i].quarantine,
                            request_content (request), &upstream->name,
                            upstream->incarnation, world->now);
}

bool
vm_quarantines (world_t *world, vm_t *vm, const request_t *request)
{
  return br_quarantine_blocks (&vm->quarantine, request_content (request),
                               world->now);
}

void
vm_note_start (vm_t *vm, const request_t *request, const br_name_t *upstream)
{
  br_quarantine_start (&vm->quarantine, request_content (request), upstream);
}

void
vm_note_end (vm_t *vm, const request_t *request, bool answered)
{
  br_quarantine_end (&vm->quarantine, request_content (request));
  if (answered)
    br_quarantine_clear (&vm->quarantine, request_content (request));
}

/* Appends where the request should not run now: beside another suspect, and a
 * suspect beside anything. */
void
vm_avoid (const world_t *world,
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
