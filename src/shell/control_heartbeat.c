/* Builds and sends the heartbeats of a control VM to the entry VMs and the
 * other control VMs, and the leader's load updates. */
#include <string.h>

#include "shell/control_private.h"
#include "shell/replica_task.h"

/* An entry VM without a report for this long is no longer live. */
#define ENTRY_TIMEOUT_MS 3000

/* Entry VMs named in a heartbeat that can serve requests for others. */
#define HELPERS_MAX 8

size_t
br_control_live_entries (const br_control_task_t *task, br_ms_t now)
{
  size_t n = 0;

  for (size_t i = 0; i < task->entries.len; i++)
    n += now - task->entries.items[i].last_seen_ms < ENTRY_TIMEOUT_MS ? 1 : 0;
  return n;
}

bool
br_control_entry_is_live (const br_control_entry_t *entry, br_ms_t now)
{
  return now - entry->last_seen_ms < ENTRY_TIMEOUT_MS;
}

void
br_control_sum_demands (const br_control_task_t *task,
                        br_ms_t now,
                        br_demand_sums_t *sums)
{
  for (size_t i = 0; i < task->entries.len; i++)
    {
      const br_control_entry_t *entry = &task->entries.items[i];
      const Br__Site__EntryReport *report = entry->last_report->report;

      for (size_t j = 0;
           br_control_entry_is_live (entry, now) && j < report->n_demands; j++)
        {
          br_demand_sum_t demand
              = { .units_per_s = report->demands[j]->units_per_s };

          if (br_name_set (&demand.organisation,
                           br_str_from (report->demands[j]->organisation)))
            br_demand_sums_add (sums, &demand);
        }
    }
}

/* Sets *LOADS to the last reported loads of ENTRY; returns their number. */
static size_t
entry_loads (const br_control_entry_t *entry, Br__Site__UpstreamLoad ***loads)
{
  if (entry->loads != NULL)
    {
      *loads = entry->loads->loads->loads;
      return entry->loads->loads->n_loads;
    }
  *loads = entry->last_report->report->loads;
  return entry->last_report->report->n_loads;
}

void
br_control_sum_loads (const br_control_task_t *task,
                      br_ms_t now,
                      br_load_sums_t *sums)
{
  for (size_t i = 0; i < task->entries.len; i++)
    {
      const br_control_entry_t *entry = &task->entries.items[i];
      Br__Site__UpstreamLoad **loads;
      size_t n_loads = entry_loads (entry, &loads);

      for (size_t j = 0; br_control_entry_is_live (entry, now) && j < n_loads;
           j++)
        {
          br_load_sum_t load = {
            .in_flight = loads[j]->in_flight,
            .prefill_tokens = loads[j]->prefill_tokens,
            .unreachable = loads[j]->unreachable,
          };

          if (br_name_set (&load.upstream, br_str_from (loads[j]->id)))
            br_load_sums_add (sums, &load);
        }
    }
}

Br__Site__UpstreamLoad **
br_control_pack_load_sums (const br_load_sums_t *sums,
                           Br__Site__UpstreamLoad **wire)
{
  Br__Site__UpstreamLoad **views
      = br_alloc ((sums->list.len + 1) * sizeof *views);

  *wire = br_alloc ((sums->list.len + 1) * sizeof **wire);
  for (size_t i = 0; i < sums->list.len; i++)
    {
      const br_load_sum_t *sum = &sums->list.items[i];

      (*wire)[i] = (Br__Site__UpstreamLoad)BR__SITE__UPSTREAM_LOAD__INIT;
      (*wire)[i].id = (char *)sum->upstream.data;
      (*wire)[i].in_flight = sum->in_flight;
      (*wire)[i].prefill_tokens = sum->prefill_tokens;
      (*wire)[i].unreachable = sum->unreachable;
      (*wire)[i].pace = sum->pace;
      (*wire)[i].pace_age_ms = (uint64_t)sum->pace_age_ms;
      (*wire)[i].speed = sum->speed;
      views[i] = &(*wire)[i];
    }
  return views;
}

static Br__Site__Demand **
heartbeat_pack_demands (const br_demand_sums_t *sums, Br__Site__Demand **wire)
{
  Br__Site__Demand **views = br_alloc ((sums->list.len + 1) * sizeof *views);

  *wire = br_alloc ((sums->list.len + 1) * sizeof **wire);
  for (size_t i = 0; i < sums->list.len; i++)
    {
      (*wire)[i] = (Br__Site__Demand)BR__SITE__DEMAND__INIT;
      (*wire)[i].organisation = (char *)sums->list.items[i].organisation.data;
      (*wire)[i].units_per_s = sums->list.items[i].units_per_s;
      views[i] = &(*wire)[i];
    }
  return views;
}

/* Names live entry VMs in WIRE and VIEWS, at most HELPERS_MAX, beginning with
 * another one each time: those that have lost services only after the others.
 * Returns their number. */
static size_t
heartbeat_helpers (br_control_task_t *task,
                   br_ms_t now,
                   Br__Site__Helper *wire,
                   Br__Site__Helper **views)
{
  size_t len = task->entries.len;
  size_t n = 0;

  task->helpers_from++;
  for (int has_lost = 0; has_lost < 2; has_lost++)
    for (size_t i = 0; i < len && n < HELPERS_MAX; i++)
      {
        const br_control_entry_t *entry
            = &task->entries.items[(task->helpers_from + i) % len];
        const Br__Site__EntryReport *report = entry->last_report->report;

        if (!br_control_entry_is_live (entry, now)
            || (report->n_lost_services > 0) != (has_lost == 1))
          continue;
        wire[n] = (Br__Site__Helper)BR__SITE__HELPER__INIT;
        wire[n].vm = (char *)entry->vm.data;
        wire[n].n_lost_services = report->n_lost_services;
        wire[n].lost_services = report->lost_services;
        views[n] = &wire[n];
        n++;
      }
  return n;
}

/* Packs the heartbeat into OUT.  Computing the sums takes time proportional to
 * the number of entry VMs. */
static void
heartbeat_pack (br_control_task_t *task,
                bool with_sums,
                br_ms_t now,
                br_buf_t *out)
{
  Br__Site__ControlBeat heartbeat = BR__SITE__CONTROL_BEAT__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  char *names[BR_REPLICA_MEMBERS_MAX];
  Br__Site__Helper wire_helpers[HELPERS_MAX];
  Br__Site__Helper *helpers[HELPERS_MAX];
  br_load_sums_t loads = { 0 };
  br_demand_sums_t demands = { 0 };
  Br__Site__UpstreamLoad *wire_loads = NULL;
  Br__Site__Demand *wire_demands = NULL;

  heartbeat.n_control_vms
      = br_replica_task_members (task->node->replica, names);
  heartbeat.control_vms = names;
  heartbeat.configuration_version = br_state_site_version (task->node->state);
  heartbeat.wall_ms = (uint64_t)br_site_clock_wall (&task->clock, now);
  heartbeat.leads = br_control_may_act (task) && task->list_sequence > 0;
  heartbeat.term = task->leads_term;
  heartbeat.entries = (uint32_t)br_control_live_entries (task, now);
  if (heartbeat.leads)
    {
      heartbeat.fleet_sequence = task->list_sequence;
      heartbeat.fleet_age_ms = (uint64_t)(now - task->list_as_of_ms);
    }
  heartbeat.n_policies = br_control_pack_policies (task, now, heartbeat.leads,
                                                   &heartbeat.policies);
  heartbeat.has_sums = heartbeat.leads && with_sums;
  if (heartbeat.has_sums)
    {
      heartbeat.n_helpers
          = heartbeat_helpers (task, now, wire_helpers, helpers);
      heartbeat.helpers = helpers;
      br_control_sum_loads (task, now, &loads);
      br_control_decide_speeds (task, now);
      br_control_add_speeds (task, true, now, &loads);
      br_control_sum_demands (task, now, &demands);
      heartbeat.n_loads = loads.list.len;
      heartbeat.loads = br_control_pack_load_sums (&loads, &wire_loads);
      heartbeat.n_demands = demands.list.len;
      heartbeat.demands = heartbeat_pack_demands (&demands, &wire_demands);
    }
  message.body_case = BR__SITE__MESSAGE__BODY_BEAT;
  message.beat = &heartbeat;
  br_site_pack (&message, out);
  br_control_free_policies (heartbeat.policies, heartbeat.n_policies);
  if (heartbeat.has_sums)
    {
      free (heartbeat.loads);
      free (heartbeat.demands);
    }
  free (wire_loads);
  free (wire_demands);
  br_load_sums_release (&loads);
  br_demand_sums_release (&demands);
}

/* Returns the packed list of upstreams; packs it once per change for all entry
 * VMs. */
static br_str_t
heartbeat_pack_listings (br_control_task_t *task)
{
  br_site_fleet_t fleet = {
    .term = task->list_term,
    .sequence = task->list_sequence,
    .listings = &task->listings,
  };

  if (task->packed_list_term != task->list_term
      || task->packed_list_sequence != task->list_sequence)
    {
      br_buf_clear (&task->packed_list);
      br_site_pack_fleet (&fleet, &task->packed_list);
      task->packed_list_term = task->list_term;
      task->packed_list_sequence = task->list_sequence;
    }
  return br_buf_str (&task->packed_list);
}

/* Sends a packed heartbeat, and the bans and the list of upstreams if the last
 * report of ENTRY shows that they are missing there. */
static void
heartbeat_send (br_control_task_t *task,
                const br_control_entry_t *entry,
                br_str_t heartbeat)
{
  const Br__Site__EntryReport *report = entry->last_report->report;

  br_node_send (task->node, &entry->vm, BR_PART_SITE, heartbeat);
  if (report->bans_made < br_state_bans_made (task->node->state))
    br_control_send_bans (task, &entry->vm, br_node_now (task->node));
  if (task->leads_term > 0 && task->list_sequence > 0
      && (report->fleet_term != task->list_term
          || report->fleet_sequence != task->list_sequence))
    br_node_send (task->node, &entry->vm, BR_PART_SITE,
                  heartbeat_pack_listings (task));
}

void
br_control_send_heartbeat (br_control_task_t *task, br_ms_t now)
{
  br_buf_t heartbeat = { 0 };

  heartbeat_pack (task, true, now, &heartbeat);
  for (size_t i = 0; i < task->entries.len; i++)
    if (br_control_entry_is_live (&task->entries.items[i], now))
      heartbeat_send (task, &task->entries.items[i], br_buf_str (&heartbeat));
  br_buf_free (&heartbeat);
  br_control_send_limits (task, now);
  task->last_heartbeat_ms = now;
  task->entries_changed = false;
}

void
br_control_send_heartbeat_to_entry (br_control_task_t *task,
                                    const br_control_entry_t *entry,
                                    br_ms_t now)
{
  br_buf_t heartbeat = { 0 };

  heartbeat_pack (task, false, now, &heartbeat);
  heartbeat_send (task, entry, br_buf_str (&heartbeat));
  br_buf_free (&heartbeat);
}

/* Fills WIRE and VIEWS with the remaining quotas; returns their number. */
static size_t
pack_remaining (br_control_task_t *task,
                br_ms_t now,
                Br__Site__Left *wire,
                Br__Site__Left **views)
{
  size_t n = 0;

  if (task->configuration == NULL)
    return 0;
  for (size_t i = 0; i < task->configuration->organisations.len; i++)
    {
      br_site_organisation_t *organisation
          = &task->configuration->organisations.items[i];

      if (organisation->rate_per_s <= 0)
        continue;
      wire[n] = (Br__Site__Left)BR__SITE__LEFT__INIT;
      wire[n].organisation = organisation->name.data;
      wire[n].units = br_quota_pool_level (&task->pool, organisation, now);
      wire[n].asked_per_s
          = br_quota_pool_demand (&task->pool, organisation, now);
      views[n] = &wire[n];
      n++;
    }
  return n;
}

void
br_control_send_loads (br_control_task_t *task, br_ms_t now)
{
  br_load_sums_t sums = { 0 };
  Br__Site__UpstreamLoad *wire;
  size_t organisations = task->configuration != NULL
                             ? task->configuration->organisations.len
                             : 0;
  Br__Site__Left *left = br_alloc ((organisations + 1) * sizeof *left);
  Br__Site__Left **left_views
      = br_alloc ((organisations + 1) * sizeof *left_views);
  Br__Site__Loads body = BR__SITE__LOADS__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  br_buf_t packed = { 0 };

  br_control_sum_loads (task, now, &sums);
  br_control_add_speeds (task, false, now, &sums);
  body.term = task->leads_term;
  body.n_loads = sums.list.len;
  body.loads = br_control_pack_load_sums (&sums, &wire);
  body.n_left = pack_remaining (task, now, left, left_views);
  body.left = left_views;
  body.n_policies = br_control_pack_policies (task, now, true, &body.policies);
  message.body_case = BR__SITE__MESSAGE__BODY_LOADS;
  message.loads = &body;
  br_site_pack (&message, &packed);
  for (size_t i = 0; i < task->entries.len; i++)
    if (br_control_entry_is_live (&task->entries.items[i], now))
      br_node_send (task->node, &task->entries.items[i].vm, BR_PART_SITE,
                    br_buf_str (&packed));
  br_buf_free (&packed);
  br_control_free_policies (body.policies, body.n_policies);
  free (body.loads);
  free (wire);
  free (left);
  free (left_views);
  br_load_sums_release (&sums);
}

/* Control VMs exchange the time of their own clocks. */
void
br_control_send_heartbeat_to_peer (void *context, const br_name_t *vm)
{
  br_control_task_t *task = context;
  char *names[BR_REPLICA_MEMBERS_MAX];
  Br__Site__ControlBeat heartbeat = BR__SITE__CONTROL_BEAT__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;

  heartbeat.wall_ms = (uint64_t)br_clock_wall ();
  heartbeat.n_control_vms
      = br_replica_task_members (task->node->replica, names);
  heartbeat.control_vms = names;
  message.body_case = BR__SITE__MESSAGE__BODY_BEAT;
  message.beat = &heartbeat;
  br_site_send (task->node, vm, &message);
}
