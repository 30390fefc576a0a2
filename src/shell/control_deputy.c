/* Sends sums to entry VMs that have no leader, while this VM does not lead. */
#include "deputy/deputy_quota.h"
#include "shell/control_private.h"
#include "site/quota.h"

/* Updates the demands; returns whether a quota that the sums sent last showed
 * as open to all is not any more. */
static bool
deputy_measure (br_control_task_t *task, br_ms_t now)
{
  bool closes = false;

  for (size_t i = 0; i < task->configuration->organisations.len; i++)
    {
      const br_site_organisation_t *organisation
          = &task->configuration->organisations.items[i];
      br_deputy_demand_t *demand;
      br_deputy_limit_t limit = br_quota_deputy_limit (organisation);
      br_deputy_quota_t quota = { .covered = 1 };

      if (organisation->rate_per_s <= 0)
        continue;
      demand = br_deputy_demands_get (&task->demands, &organisation->name);
      br_deputy_demand_update (
          demand, br_quota_pool_requested (&task->pool, organisation), now);
      if (!demand->was_open)
        continue;
      quota.remaining = br_quota_pool_level (&task->pool, organisation, now);
      quota.demand_per_s = demand->per_s;
      closes
          = closes || br_deputy_quota_state (&quota, &limit) != BR_DEPUTY_OPEN;
    }
  return closes;
}

/* Fills WIRE and VIEWS with the remaining quotas; returns their number. */
static size_t
deputy_pack_left (br_control_task_t *task,
                  br_ms_t now,
                  Br__Site__Left *wire,
                  Br__Site__Left **views)
{
  size_t n = 0;

  for (size_t i = 0; i < task->configuration->organisations.len; i++)
    {
      br_site_organisation_t *organisation
          = &task->configuration->organisations.items[i];
      br_deputy_limit_t limit = br_quota_deputy_limit (organisation);
      br_deputy_quota_t quota = { .covered = 1 };
      br_deputy_demand_t *demand;

      if (organisation->rate_per_s <= 0)
        continue;
      demand = br_deputy_demands_get (&task->demands, &organisation->name);
      quota.remaining = br_quota_pool_level (&task->pool, organisation, now);
      quota.demand_per_s = demand->per_s;
      demand->was_open
          = br_deputy_quota_state (&quota, &limit) == BR_DEPUTY_OPEN;
      wire[n] = (Br__Site__Left)BR__SITE__LEFT__INIT;
      wire[n].organisation = organisation->name.data;
      wire[n].units = quota.remaining;
      wire[n].asked_per_s = quota.demand_per_s;
      views[n] = &wire[n];
      n++;
    }
  return n;
}

static bool
deputy_is_wanted (const br_control_entry_t *entry, bool by_all, br_ms_t now)
{
  return br_control_entry_is_live (entry, now)
         && (entry->wants_sums
             || (by_all && entry->last_report->report->no_leader));
}

/* Sends the sums to the entry VMs that reported no leader since they last got
 * them, or to ALL that have none. */
static void
deputy_send (br_control_task_t *task, bool all, br_ms_t now)
{
  br_load_sums_t sums = { 0 };
  Br__Site__UpstreamLoad *wire;
  size_t organisations = task->configuration->organisations.len;
  Br__Site__Left *left = br_alloc ((organisations + 1) * sizeof *left);
  Br__Site__Left **views = br_alloc ((organisations + 1) * sizeof *views);
  Br__Site__DeputySums body = BR__SITE__DEPUTY_SUMS__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  br_buf_t packed = { 0 };

  br_control_sum_loads (task, now, &sums);
  body.n_loads = sums.list.len;
  body.loads = br_control_pack_load_sums (&sums, &wire);
  /* A pool that received no reports for a while knows no levels. */
  if (br_quota_pool_is_current (&task->pool, now))
    body.n_left = deputy_pack_left (task, now, left, views);
  body.left = views;
  body.entries = (uint32_t)br_control_live_entries (task, now);
  message.body_case = BR__SITE__MESSAGE__BODY_DEPUTY_SUMS;
  message.deputy_sums = &body;
  br_site_pack (&message, &packed);
  for (size_t i = 0; i < task->entries.len; i++)
    {
      br_control_entry_t *entry = &task->entries.items[i];

      if (!deputy_is_wanted (entry, all, now))
        continue;
      entry->wants_sums = false;
      br_counters_add (&task->node->counters, BR_COUNTER_DEPUTY_SUMS_SENT, 1);
      br_node_send (task->node, &entry->vm, BR_PART_SITE, br_buf_str (&packed));
    }
  br_buf_free (&packed);
  free (body.loads);
  free (wire);
  free (left);
  free (views);
  br_load_sums_release (&sums);
}

void
br_control_deputy_tick (br_control_task_t *task, br_ms_t now)
{
  bool closes;
  bool wanted = false;

  if (task->configuration == NULL)
    return;
  closes = deputy_measure (task, now);
  for (size_t i = 0; i < task->entries.len && !wanted; i++)
    wanted = deputy_is_wanted (&task->entries.items[i], closes, now);
  if (br_control_may_act (task))
    return;
  if (wanted)
    deputy_send (task, closes, now);
  else if (closes)
    for (size_t i = 0; i < task->demands.len; i++)
      task->demands.items[i].was_open = false;
}
