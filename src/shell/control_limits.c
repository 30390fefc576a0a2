/* Keeps the limits that upstreams name, on the leading control VM, and issues
 * permits for requests to them. */
#include <stdlib.h>

#include "shell/control_private.h"

static bool
task_lists (const br_control_task_t *task,
            br_str_t upstream,
            uint64_t incarnation)
{
  for (size_t i = 0; i < task->listings.len; i++)
    if (task->listings.items[i].started_ms == incarnation
        && br_str_equal (br_name_str (&task->listings.items[i].id), upstream))
      return true;
  return false;
}

void
br_control_receive_limits (br_control_task_t *task,
                           br_control_entry_t *entry,
                           const Br__Site__Limits *limits)
{
  br_ms_t now = br_node_now (task->node);
  size_t vm = (size_t)(entry - task->entries.items);

  if (task->leads_term == 0)
    return;
  entry->limits_requested_ms = limits->requested_ms;
  for (size_t i = 0; i < limits->n_limits; i++)
    {
      const Br__Site__Limit *limit = limits->limits[i];
      br_limit_statement_t statement = {
        .named = limit->named,
        .per_s = limit->per_s,
        .said_ms = now - (br_ms_t)limit->age_ms,
      };
      br_limit_pool_t *pool;
      br_name_t upstream;

      if (!br_name_set (&upstream, br_str_from (limit->upstream))
          || !task_lists (task, br_name_str (&upstream), limit->incarnation))
        continue;
      pool = br_limit_pools_receive (&task->limits, &upstream,
                                     limit->incarnation, &statement, now);
      if (pool != NULL)
        br_limit_pool_request (pool, vm, limit->permits, limit->waiting);
    }
}

/* Packs the limits for an entry VM, with the permits that it got, or for all
 * entry VMs if ENTRY is NULL. */
static void
limits_pack (const br_control_task_t *task,
             const br_control_entry_t *entry,
             br_ms_t now,
             br_buf_t *out)
{
  size_t n = task->limits.list.len;
  Br__Site__Limit *wire = br_alloc ((n + 1) * sizeof *wire);
  Br__Site__Limit **views = br_alloc ((n + 1) * sizeof *views);
  Br__Site__Limits body = BR__SITE__LIMITS__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;

  for (size_t i = 0; i < n; i++)
    {
      br_limit_pool_t *pool = &task->limits.list.items[i];

      wire[i] = (Br__Site__Limit)BR__SITE__LIMIT__INIT;
      wire[i].upstream = pool->upstream.data;
      wire[i].incarnation = pool->incarnation;
      wire[i].named = pool->statement.named;
      wire[i].per_s = pool->statement.per_s;
      wire[i].age_ms = (uint64_t)(now - pool->statement.said_ms);
      if (entry != NULL)
        wire[i].permits = br_limit_pool_issued (
            pool, (size_t)(entry - task->entries.items));
      views[i] = &wire[i];
    }
  body.limits = views;
  body.n_limits = n;
  body.term = task->leads_term;
  body.requested_ms = entry != NULL ? entry->limits_requested_ms : 0;
  message.body_case = BR__SITE__MESSAGE__BODY_LIMITS;
  message.limits = &body;
  br_site_pack (&message, out);
  free (wire);
  free (views);
}

void
br_control_limits_tick (br_control_task_t *task, br_ms_t now)
{
  br_limit_pool_list_t *pools = &task->limits.list;
  br_buf_t packed = { 0 };

  for (size_t i = 0; i < pools->len; i++)
    br_limit_pool_issue (&pools->items[i], now);
  for (size_t i = 0; pools->len > 0 && i < task->entries.len; i++)
    {
      br_control_entry_t *entry = &task->entries.items[i];

      if (entry->limits_requested_ms == 0)
        continue;
      br_buf_clear (&packed);
      limits_pack (task, entry, now, &packed);
      br_node_send (task->node, &entry->vm, BR_PART_SITE, br_buf_str (&packed));
      entry->limits_requested_ms = 0;
    }
  for (size_t i = 0; i < pools->len; i++)
    br_limit_pool_clear_requests (&pools->items[i]);
  br_buf_free (&packed);
}

/* Forgets the limits of upstreams that are no longer listed. */
static void
limits_drop_removed (br_control_task_t *task)
{
  size_t i = 0;

  while (i < task->limits.list.len)
    if (task_lists (task, br_name_str (&task->limits.list.items[i].upstream),
                    task->limits.list.items[i].incarnation))
      i++;
    else
      br_limit_pools_remove (&task->limits, i);
}

void
br_control_send_limits (br_control_task_t *task, br_ms_t now)
{
  br_buf_t packed = { 0 };

  limits_drop_removed (task);
  if (!br_control_may_act (task) || task->limits.list.len == 0)
    return;
  limits_pack (task, NULL, now, &packed);
  for (size_t i = 0; i < task->entries.len; i++)
    if (br_control_entry_is_live (&task->entries.items[i], now))
      br_node_send (task->node, &task->entries.items[i].vm, BR_PART_SITE,
                    br_buf_str (&packed));
  br_buf_free (&packed);
}
