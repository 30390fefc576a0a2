#include "organisation/fair_queue.h"

#include <assert.h>
#include <string.h>

/* Virtual time units for one token at weight 1. */
#define VIRTUAL_SCALE 1000

/* Removed items before the head from which on the array is compacted. */
#define COMPACT_MIN 64

static br_fair_flow_t *
queue_flow (br_fair_queue_t *queue, const br_name_t *organisation)
{
  br_fair_flow_t flow = { .organisation = *organisation, .weight = 1 };

  for (size_t i = 0; i < queue->flows.len; i++)
    if (br_name_equal (&queue->flows.items[i].organisation, organisation))
      return &queue->flows.items[i];
  return br_fair_flows_push (&queue->flows, flow);
}

static bool
flow_is_empty (const br_fair_flow_t *flow)
{
  return flow->head == flow->items.len;
}

static uint64_t
flow_virtual_length (const br_fair_flow_t *flow, uint64_t tokens)
{
  return BR_MAX (tokens * VIRTUAL_SCALE / (uint64_t)flow->weight, 1);
}

/* Returns the virtual time at which the oldest request of FLOW starts. */
static uint64_t
flow_start (const br_fair_flow_t *flow)
{
  return flow->finish - flow_virtual_length (flow, flow->tokens);
}

static void
flow_compact (br_fair_flow_t *flow)
{
  size_t remaining = flow->items.len - flow->head;

  if (flow->head < COMPACT_MIN || flow->head < remaining)
    return;
  memmove (flow->items.items, flow->items.items + flow->head,
           remaining * sizeof *flow->items.items);
  flow->items.len = remaining;
  flow->head = 0;
}

/* Removes item INDEX from FLOW and returns it. */
static br_fair_item_t
queue_take (br_fair_queue_t *queue, br_fair_flow_t *flow, size_t index)
{
  br_fair_item_t item = flow->items.items[index];

  memmove (flow->items.items + flow->head + 1, flow->items.items + flow->head,
           (index - flow->head) * sizeof item);
  flow->head++;
  flow->tokens -= item.tokens;
  queue->tokens -= item.tokens;
  queue->len--;
  flow_compact (flow);
  return item;
}

/* Removes an item that is not served, and takes its cost back from the virtual
 * time of its organisation. */
static br_fair_item_t
queue_drop (br_fair_queue_t *queue, br_fair_flow_t *flow, size_t index)
{
  uint64_t start = flow_start (flow);
  br_fair_item_t item = queue_take (queue, flow, index);

  flow->finish
      = start
        + (flow_is_empty (flow) ? 0 : flow_virtual_length (flow, flow->tokens));
  return item;
}

void
br_fair_queue_release (br_fair_queue_t *queue)
{
  for (size_t i = 0; i < queue->flows.len; i++)
    br_fair_items_free (&queue->flows.items[i].items);
  br_fair_flows_free (&queue->flows);
}

void
br_fair_queue_set_weight (br_fair_queue_t *queue,
                          const br_name_t *organisation,
                          int64_t weight)
{
  br_fair_flow_t *flow = queue_flow (queue, organisation);
  uint64_t start;

  assert (weight > 0);
  if (flow_is_empty (flow))
    {
      flow->weight = weight;
      return;
    }
  start = flow_start (flow);
  flow->weight = weight;
  flow->finish = start + flow_virtual_length (flow, flow->tokens);
}

void
br_fair_queue_push (br_fair_queue_t *queue,
                    const br_name_t *organisation,
                    br_fair_item_t item)
{
  br_fair_flow_t *flow = queue_flow (queue, organisation);
  uint64_t start;

  item.tokens = BR_MAX (item.tokens, 1);
  if (flow_is_empty (flow))
    start = BR_MAX (flow->finish, queue->virtual_time);
  else
    start = flow_start (flow);
  flow->tokens += item.tokens;
  flow->finish = start + flow_virtual_length (flow, flow->tokens);
  br_fair_items_push (&flow->items, item);
  queue->tokens += item.tokens;
  queue->len++;
}

void
br_fair_queue_started (br_fair_queue_t *queue, const br_name_t *organisation)
{
  queue_flow (queue, organisation)->running++;
}

void
br_fair_queue_ended (br_fair_queue_t *queue, const br_name_t *organisation)
{
  br_fair_flow_t *flow = queue_flow (queue, organisation);

  assert (flow->running > 0);
  flow->running--;
}

uint64_t
br_fair_queue_running (br_fair_queue_t *queue, const br_name_t *organisation)
{
  return queue_flow (queue, organisation)->running;
}

uint64_t
br_fair_queue_share (br_fair_queue_t *queue,
                     const br_name_t *organisation,
                     uint64_t capacity)
{
  br_fair_flow_t *flow = queue_flow (queue, organisation);
  uint64_t weights = 0;

  for (size_t i = 0; i < queue->flows.len; i++)
    {
      const br_fair_flow_t *each = &queue->flows.items[i];

      if (each == flow || each->running > 0 || !flow_is_empty (each))
        weights += (uint64_t)each->weight;
    }
  assert (weights > 0);
  return capacity * (uint64_t)flow->weight / weights;
}

static size_t
queue_next_flow (const br_fair_queue_t *queue)
{
  size_t first = queue->flows.len;

  for (size_t i = 0; i < queue->flows.len; i++)
    {
      const br_fair_flow_t *each = &queue->flows.items[i];

      if (!flow_is_empty (each)
          && (first == queue->flows.len
              || flow_start (each) < flow_start (&queue->flows.items[first])))
        first = i;
    }
  return first;
}

const br_name_t *
br_fair_queue_next (const br_fair_queue_t *queue)
{
  size_t first = queue_next_flow (queue);

  return first < queue->flows.len ? &queue->flows.items[first].organisation
                                  : NULL;
}

bool
br_fair_queue_pop (br_fair_queue_t *queue, br_fair_item_t *item)
{
  size_t first = queue_next_flow (queue);
  br_fair_flow_t *flow = &queue->flows.items[first];

  if (first == queue->flows.len)
    return false;
  queue->virtual_time = BR_MAX (queue->virtual_time, flow_start (flow));
  *item = queue_take (queue, flow, flow->head);
  return true;
}

bool
br_fair_queue_pop_expired (br_fair_queue_t *queue,
                           br_ms_t now,
                           br_fair_item_t *item)
{
  for (size_t i = 0; i < queue->flows.len; i++)
    {
      br_fair_flow_t *flow = &queue->flows.items[i];

      for (size_t j = flow->head; j < flow->items.len; j++)
        if (flow->items.items[j].deadline_ms <= now)
          {
            *item = queue_drop (queue, flow, j);
            return true;
          }
    }
  return false;
}

bool
br_fair_queue_remove (br_fair_queue_t *queue, uint64_t ticket)
{
  for (size_t i = 0; i < queue->flows.len; i++)
    {
      br_fair_flow_t *flow = &queue->flows.items[i];

      for (size_t j = flow->head; j < flow->items.len; j++)
        if (flow->items.items[j].ticket == ticket)
          {
            queue_drop (queue, flow, j);
            return true;
          }
    }
  return false;
}

uint64_t
br_fair_queue_ahead (const br_fair_queue_t *queue,
                     const br_name_t *organisation)
{
  uint64_t start = queue->virtual_time;
  uint64_t ahead = 0;

  for (size_t i = 0; i < queue->flows.len; i++)
    if (br_name_equal (&queue->flows.items[i].organisation, organisation))
      {
        start = BR_MAX (start, queue->flows.items[i].finish);
        ahead = queue->flows.items[i].tokens;
      }
  for (size_t i = 0; i < queue->flows.len; i++)
    {
      const br_fair_flow_t *each = &queue->flows.items[i];
      uint64_t head;
      uint64_t served;

      if (flow_is_empty (each)
          || br_name_equal (&each->organisation, organisation))
        continue;
      head = flow_start (each);
      served = start > head
                   ? (start - head) * (uint64_t)each->weight / VIRTUAL_SCALE
                   : 0;
      ahead += BR_MIN (served, each->tokens);
    }
  return ahead;
}

bool
br_fair_queue_pop_infeasible (br_fair_queue_t *queue,
                              br_ms_t now,
                              double token_ms,
                              br_fair_item_t *item)
{
  for (size_t i = 0; i < queue->flows.len; i++)
    {
      br_fair_flow_t *flow = &queue->flows.items[i];
      const br_fair_item_t *newest;
      uint64_t ahead;

      if (flow_is_empty (flow))
        continue;
      newest = &flow->items.items[flow->items.len - 1];
      ahead = br_fair_queue_ahead (queue, &flow->organisation) - newest->tokens;
      if ((double)now + (double)ahead * token_ms <= (double)newest->deadline_ms)
        continue;
      *item = queue_drop (queue, flow, flow->items.len - 1);
      return true;
    }
  return false;
}
