/* Event queue of the simulation: a binary heap by time. */
#include "world.h"

static bool
event_before (const event_t *a, const event_t *b)
{
  if (a->at_ms != b->at_ms)
    return a->at_ms < b->at_ms;
  return a->sequence < b->sequence;
}

static void
heap_swap (world_t *world, size_t a, size_t b)
{
  event_t event = world->heap[a];

  world->heap[a] = world->heap[b];
  world->heap[b] = event;
}

event_t *
world_schedule (world_t *world, br_ms_t delay_ms, event_kind_t kind)
{
  event_t event = { .at_ms = world->now + delay_ms,
                    .sequence = world->sequence++,
                    .kind = kind };
  size_t at = world->n_heap++;

  if (world->n_heap > world->heap_cap)
    {
      world->heap_cap = BR_MAX (world->heap_cap * 2, 1024);
      world->heap
          = br_realloc (world->heap, world->heap_cap * sizeof *world->heap);
    }
  world->heap[at] = event;
  while (at > 0 && event_before (&world->heap[at], &world->heap[(at - 1) / 2]))
    {
      heap_swap (world, at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
  return &world->heap[at];
}

bool
world_next_event (world_t *world, event_t *event)
{
  size_t at = 0;

  if (world->n_heap == 0)
    return false;
  *event = world->heap[0];
  world->heap[0] = world->heap[--world->n_heap];
  for (;;)
    {
      size_t first = at;

      for (size_t child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < world->n_heap
            && event_before (&world->heap[child], &world->heap[first]))
          first = child;
      if (first == at)
        break;
      heap_swap (world, at, first);
      at = first;
    }
  world->now = event->at_ms;
  return true;
}
