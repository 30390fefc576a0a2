/* Builds the reports that an entry VM sends to the control VMs. */
#include <string.h>

#include "shell/entry_private.h"
#include "shell/peer_task.h"
#include "shell/site_message.h"

/* Newest windows of usage that a report contains. */
#define REPORT_WINDOWS 3

typedef struct
{
  Br__Site__Demand *wire;
  Br__Site__Demand **views;
  size_t n;
} demands_t;

static void
demand_add (void *context, const br_name_t *organisation, double units_per_s)
{
  demands_t *demands = context;
  Br__Site__Demand *demand = &demands->wire[demands->n];

  *demand = (Br__Site__Demand)BR__SITE__DEMAND__INIT;
  demand->organisation = (char *)organisation->data;
  demand->units_per_s = units_per_s;
  demands->views[demands->n++] = demand;
}

static size_t
report_loads (const br_entry_task_t *task,
              bool with_samples,
              Br__Site__UpstreamLoad *wire,
              Br__Site__UpstreamLoad **views)
{
  br_ms_t now = br_node_now (task->node);
  size_t n = 0;

  for (size_t i = 0; i < task->fleet.all.len; i++)
    {
      br_fleet_upstream_t *upstream = task->fleet.all.items[i];
      bool unreachable;
      bool has_speed;

      br_fleet_load_sent (upstream);
      /* The links of this VM may be lost, not the upstream. */
      unreachable = br_fleet_is_unreachable (upstream, now)
                    && !br_service_link_is_lost (&task->fleet.links,
                                                 &upstream->listing.service);
      wire[n] = (Br__Site__UpstreamLoad)BR__SITE__UPSTREAM_LOAD__INIT;
      has_speed = br_entry_report_speed (upstream, with_samples, now, &wire[n]);
      if (upstream->in_flight == 0 && !unreachable && !has_speed)
        continue;
      wire[n].id = (char *)upstream->listing.id.data;
      wire[n].in_flight = upstream->in_flight;
      wire[n].prefill_tokens = upstream->prefill_tokens;
      wire[n].unreachable = unreachable ? 1 : 0;
      views[n] = &wire[n];
      n++;
    }
  return n;
}

static size_t
report_services (br_entry_task_t *task,
                 br_ms_t span_ms,
                 Br__Site__ServiceDemand *wire,
                 Br__Site__ServiceDemand **views)
{
  double per_s = span_ms > 0 ? 1000.0 / (double)span_ms : 0;

  for (size_t i = 0; i < task->services.len; i++)
    {
      br_entry_service_t *service = &task->services.items[i];

      wire[i] = (Br__Site__ServiceDemand)BR__SITE__SERVICE_DEMAND__INIT;
      wire[i].service = service->service.data;
      wire[i].prefill_tokens_per_s = service->prefill_tokens * per_s;
      wire[i].output_tokens_per_s = service->output_tokens * per_s;
      wire[i].requests_per_s = service->requests * per_s;
      wire[i].in_flight = service->in_flight;
      wire[i].prefill_per_ms
          = br_fleet_service_speed (&task->fleet, &service->service);
      views[i] = &wire[i];
      service->prefill_tokens = 0;
      service->output_tokens = 0;
      service->requests = 0;
    }
  return task->services.len;
}

static void
window_fill (const br_usage_window_t *from,
             Br__Site__Window *to,
             Br__Site__Count *wire,
             Br__Site__Count **views)
{
  *to = (Br__Site__Window)BR__SITE__WINDOW__INIT;
  to->number = from->number;
  to->n_counts = from->entries.len;
  to->counts = views;
  for (size_t i = 0; i < from->entries.len; i++)
    {
      wire[i] = (Br__Site__Count)BR__SITE__COUNT__INIT;
      wire[i].organisation = from->entries.items[i].organisation.data;
      wire[i].requests = from->entries.items[i].requests;
      views[i] = &wire[i];
    }
}

/* The memory that one report points into. */
typedef struct
{
  Br__Site__UpstreamLoad *loads;
  Br__Site__UpstreamLoad **load_views;
  Br__Site__ServiceDemand *services;
  Br__Site__ServiceDemand **service_views;
  Br__Site__Leaving *leaving;
  Br__Site__Leaving **leaving_views;
  Br__Site__Used *used;
  Br__Site__Used **used_views;
  demands_t demands;
  Br__Site__Window windows[REPORT_WINDOWS];
  Br__Site__Window *window_views[REPORT_WINDOWS];
  Br__Site__Count *counts[REPORT_WINDOWS];
  Br__Site__Count **count_views[REPORT_WINDOWS];
  Br__Site__Crash crashes[BR_ENTRY_CRASHES_MAX];
  Br__Site__Crash *crash_views[BR_ENTRY_CRASHES_MAX];
  Br__Site__Loss losses[BR_ENTRY_CRASHES_MAX];
  Br__Site__Loss *loss_views[BR_ENTRY_CRASHES_MAX];
  Br__Site__Answered answered[BR_ENTRY_CRASHES_MAX];
  Br__Site__Answered *answered_views[BR_ENTRY_CRASHES_MAX];
  Br__Site__PartCrash part_crashes[BR_PART_CRASHES_MAX];
  Br__Site__PartCrash *part_crash_views[BR_PART_CRASHES_MAX];
  Br__Site__StreamRecord *streams;
  Br__Site__StreamRecord **stream_views;
  char **lost_services;
  br_rollout_report_t rollouts;
} report_t;

static void
report_alloc (const br_entry_task_t *task, report_t *report)
{
  size_t upstreams = task->fleet.all.len + 1;
  size_t services = task->services.len + 1;
  size_t organisations = task->quotas.list.len + 1;

  *report = (report_t){ 0 };
  report->loads = br_alloc (upstreams * sizeof *report->loads);
  report->load_views = br_alloc (upstreams * sizeof *report->load_views);
  report->leaving = br_alloc (upstreams * sizeof *report->leaving);
  report->leaving_views = br_alloc (upstreams * sizeof *report->leaving_views);
  report->streams
      = br_alloc ((task->new_streams.len + 1) * sizeof *report->streams);
  report->stream_views
      = br_alloc ((task->new_streams.len + 1) * sizeof *report->stream_views);
  report->services = br_alloc (services * sizeof *report->services);
  report->service_views = br_alloc (services * sizeof *report->service_views);
  report->lost_services
      = br_alloc ((task->fleet.links.len + 1) * sizeof *report->lost_services);
  br_entry_report_rollouts (task, &report->rollouts);
  report->used = br_alloc (organisations * sizeof *report->used);
  report->used_views = br_alloc (organisations * sizeof *report->used_views);
  report->demands.wire = br_alloc (organisations * sizeof (Br__Site__Demand));
  report->demands.views
      = br_alloc (organisations * sizeof (Br__Site__Demand *));
}

static void
report_free (report_t *report)
{
  free (report->loads);
  free (report->load_views);
  free (report->lost_services);
  br_rollout_report_free (&report->rollouts);
  free (report->used);
  free (report->used_views);
  free (report->leaving);
  free (report->leaving_views);
  free (report->streams);
  free (report->stream_views);
  free (report->services);
  free (report->service_views);
  free (report->demands.wire);
  free (report->demands.views);
  for (size_t i = 0; i < REPORT_WINDOWS; i++)
    {
      free (report->counts[i]);
      free (report->count_views[i]);
    }
}

/* Fills in the newest windows, or only those of them that changed; returns
 * their number. */
static size_t
report_windows (const br_entry_task_t *task, report_t *report, bool changed)
{
  uint64_t newest = br_entry_window (task);
  size_t n = 0;

  for (uint64_t back = 0; back < REPORT_WINDOWS && back <= newest; back++)
    {
      const br_usage_window_t *window
          = br_usage_find (&task->usage, newest - back);

      if (window == NULL || (changed && !window->changed))
        continue;
      report->counts[n]
          = br_alloc (window->entries.len * sizeof (Br__Site__Count));
      report->count_views[n]
          = br_alloc (window->entries.len * sizeof (Br__Site__Count *));
      window_fill (window, &report->windows[n], report->counts[n],
                   report->count_views[n]);
      report->window_views[n] = &report->windows[n];
      n++;
    }
  return n;
}

typedef struct
{
  br_node_t *node;
  const br_site_message_t *message;
} broadcast_t;

static void
broadcast_to (void *context, const br_name_t *vm)
{
  broadcast_t *broadcast = context;

  br_site_send (broadcast->node, vm, broadcast->message);
}

/* Fills in the used and requested units of each organisation, or only those
 * that changed since they were last sent; returns their number. */
static size_t
report_used (br_entry_task_t *task,
             bool changed,
             Br__Site__Used *wire,
             Br__Site__Used **views)
{
  size_t n = 0;

  for (size_t i = 0; i < task->quotas.list.len; i++)
    {
      br_quota_t *quota = &task->quotas.list.items[i];

      if (quota->requested_total <= 0
          || (changed && quota->requested_total <= quota->last_sent_requested))
        continue;
      quota->last_sent_requested = quota->requested_total;
      wire[n] = (Br__Site__Used)BR__SITE__USED__INIT;
      wire[n].organisation = quota->organisation.data;
      wire[n].units = quota->used;
      wire[n].asked = quota->requested_total;
      views[n] = &wire[n];
      n++;
    }
  return n;
}

/* Fills NAMES, which has room for all links; returns their number. */
static size_t
report_lost_services (br_entry_task_t *task, char **names)
{
  size_t n = 0;

  for (size_t i = 0; i < task->fleet.links.len; i++)
    if (task->fleet.links.items[i].is_lost)
      names[n++] = task->fleet.links.items[i].service.data;
  return n;
}

void
br_entry_report (br_entry_task_t *task, br_ms_t now)
{
  Br__Site__EntryReport body = BR__SITE__ENTRY_REPORT__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  broadcast_t broadcast = { task->node, &message };
  report_t report;

  report_alloc (task, &report);
  body.n_loads = report_loads (task, true, report.loads, report.load_views);
  body.loads = report.load_views;
  body.n_services = report_services (task, now - task->last_report_ms,
                                     report.services, report.service_views);
  body.services = report.service_views;
  br_quotas_demand (&task->quotas, now, demand_add, &report.demands);
  body.n_demands = report.demands.n;
  body.demands = report.demands.views;
  body.n_windows = report_windows (task, &report, false);
  body.windows = report.window_views;
  body.n_crashes
      = br_entry_report_crashes (task, report.crashes, report.crash_views);
  body.crashes = report.crash_views;
  body.n_losses
      = br_entry_report_losses (task, report.losses, report.loss_views);
  body.losses = report.loss_views;
  body.n_answered
      = br_entry_report_answered (task, report.answered, report.answered_views);
  body.answered = report.answered_views;
  body.n_part_crashes = br_entry_report_part_crashes (task, report.part_crashes,
                                                      report.part_crash_views);
  body.part_crashes = report.part_crash_views;
  body.n_streams
      = br_entry_report_streams (task, 0, report.streams, report.stream_views);
  body.streams = report.stream_views;
  body.bans_made = task->bans_made;
  body.no_leader = br_deputy_has_no_leader (&task->deputy, now);
  body.n_lost_services = report_lost_services (task, report.lost_services);
  body.lost_services = report.lost_services;
  body.n_rollouts = report.rollouts.n;
  body.rollouts = report.rollouts.views;
  body.n_used = report_used (task, false, report.used, report.used_views);
  body.used = report.used_views;
  body.up_ms = (uint64_t)(now - task->node->started_ms);
  body.n_leaving
      = br_entry_report_leaving (task, report.leaving, report.leaving_views);
  body.leaving = report.leaving_views;
  body.configuration_version
      = task->configuration != NULL ? task->configuration->version : 0;
  body.fleet_term = task->fleet.term;
  body.fleet_sequence = task->fleet.sequence;
  body.wall_ms = (uint64_t)br_clock_wall ();
  body.site_wall_ms = (uint64_t)br_site_clock_wall (&task->clock, now);
  message.body_case = BR__SITE__MESSAGE__BODY_REPORT;
  message.report = &body;
  br_peer_task_each (task->node->peers, broadcast_to, &broadcast);
  br_usage_mark_reported (&task->usage);
  task->counts_unspread = false;
  task->counts_spread_ms = now;
  report_free (&report);
  br_stream_records_clear (&task->new_streams);
  task->loads_streams = 0;
  task->last_report_ms = now;
}

/* Returns whether changed counts are due at all control VMs: the next leader
 * should have them if this one is lost together with this VM. */
static bool
report_spreads (br_entry_task_t *task, br_ms_t now)
{
  task->counts_unspread
      = task->counts_unspread || br_usage_changed (&task->usage);
  return task->counts_unspread
         && now - task->counts_spread_ms >= br_usage_spread_ms (task->entries);
}

static void
report_spread (br_entry_task_t *task, br_ms_t now, broadcast_t *broadcast)
{
  br_peer_task_each (task->node->peers, broadcast_to, broadcast);
  task->counts_unspread = false;
  task->counts_spread_ms = now;
}

void
br_entry_report_loads (br_entry_task_t *task)
{
  Br__Site__Loads body = BR__SITE__LOADS__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  broadcast_t broadcast = { task->node, &message };
  br_ms_t now = br_node_now (task->node);
  bool spreads = report_spreads (task, now);
  const br_name_t *receiver = br_entry_loads_receiver (task);
  report_t report;

  report_alloc (task, &report);
  body.n_loads = report_loads (task, false, report.loads, report.load_views);
  body.loads = report.load_views;
  body.n_rollouts = report.rollouts.n;
  body.rollouts = report.rollouts.views;
  body.n_used = report_used (task, true, report.used, report.used_views);
  body.used = report.used_views;
  body.n_windows = report_windows (task, &report, !spreads);
  body.windows = report.window_views;
  body.up_ms = (uint64_t)(now - task->node->started_ms);
  message.body_case = BR__SITE__MESSAGE__BODY_LOADS;
  message.loads = &body;
  if (receiver->len > 0)
    {
      body.n_streams = br_entry_report_streams (
          task, task->loads_streams, report.streams, report.stream_views);
      body.streams = report.stream_views;
      task->loads_streams = task->new_streams.len;
      if (spreads)
        report_spread (task, now, &broadcast);
      else
        br_site_send (task->node, receiver, &message);
      br_usage_mark_reported (&task->usage);
    }
  report_free (&report);
}

bool
br_entry_loads_are_due (const br_entry_task_t *task)
{
  return task->n_exchanges > 0 || task->counts_unspread
         || br_usage_changed (&task->usage) || br_entry_paces_are_due (task)
         || br_version_shares_are_running (&task->versions);
}
