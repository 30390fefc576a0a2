#include "shell/entry_task.h"

#include <inttypes.h>
#include <string.h>

#include "base/deflate.h"
#include "platform/configuration_codec.h"
#include "shell/entry_private.h"
#include "shell/list_log.h"
#include "shell/peer_task.h"
#include "shell/site_message.h"
#include "shell/upstream_pool.h"

/* Time between two reports to the control VMs. */
#define REPORT_PERIOD_MS 500

/* Without a heartbeat of the leading control VM for this long, this VM reads
 * the platform's list itself, at the interval below, because it must stop using
 * a leaving upstream within the drain bound. */
#define LEADER_TIMEOUT_MS 1600
#define LIST_PERIOD_MS 1000

/* A requested configuration that has not come is requested again after this
 * time. */
#define REQUEST_RETRY_MS 500

/* Longest text of a configuration, in bytes: the limit of one frame between
 * VMs. */
#define TEXT_MAX BR_FRAME_MAX

/* Share of the site's repeat budget that is used.  The rest is a margin,
 * because the VMs' counts are not taken at the same moment. */
#define REPEAT_BUDGET_SHARE 0.75

/* --- for the exchanges --- */

br_entry_service_t *
br_entry_service (br_entry_task_t *task, br_str_t name)
{
  br_entry_service_t fresh = { 0 };

  for (size_t i = 0; i < task->services.len; i++)
    if (br_str_equal (br_name_str (&task->services.items[i].service), name))
      return &task->services.items[i];
  br_name_set (&fresh.service, name);
  return br_entry_services_push (&task->services, fresh);
}

br_repeat_limits_t
br_entry_repeat_limits (const br_entry_task_t *task)
{
  const br_site_settings_t *site = &task->node->settings.site;
  br_repeat_limits_t limits = {
    .ratio = site->retry_ratio * REPEAT_BUDGET_SHARE,
    .slack = site->retry_slack * REPEAT_BUDGET_SHARE
             / (double)BR_MAX (task->entries, 1),
    .window_ms = (br_ms_t)(site->retry_window_s * 1000),
  };

  return limits;
}

static br_ms_t
task_window_ms (const br_entry_task_t *task)
{
  return (br_ms_t)(task->node->settings.site.usage_window_s * 1000);
}

uint64_t
br_entry_window (const br_entry_task_t *task)
{
  br_ms_t wall = br_site_clock_wall (&task->clock, br_node_now (task->node));

  return br_usage_window_of (wall, task_window_ms (task));
}

uint64_t
br_entry_count_usage (br_entry_task_t *task, br_str_t organisation)
{
  uint64_t window = br_entry_window (task);

  br_usage_add (&task->usage, window, organisation, 1);
  return window;
}

void
br_entry_uncount_usage (br_entry_task_t *task,
                        uint64_t window,
                        br_str_t organisation)
{
  br_usage_add (&task->usage, window, organisation, -1);
}

/* --- the configuration --- */

static void
task_install (br_entry_task_t *task, br_configuration_t *configuration)
{
  br_configuration_unref (task->configuration);
  task->configuration = configuration;
  br_entry_set_limits (task, &configuration->limits);
  BR_LOG (&task->node->log, "site", "configuration in force",
          br_field_int ("version", (int64_t)configuration->version),
          br_field_int ("routes", (int64_t)configuration->routes.len),
          br_field_int ("waiting", (int64_t)task->n_waiting));
  br_exchanges_admit_waiting (task);
}

static void
task_on_text (br_entry_task_t *task, const Br__Site__ConfigurationText *text)
{
  br_configuration_t *configuration = NULL;
  br_str_t packed
      = br_str_make ((const char *)text->packed.data, text->packed.len);
  br_buf_t plain = { 0 };
  br_error_t err;

  if (task->configuration != NULL
      && text->version <= task->configuration->version)
    return;
  if (text->len > TEXT_MAX)
    br_error_set (&err, BR_ERROR_INVALID, "read configuration", "",
                  "%" PRIu64 " bytes exceed the longest frame", text->len);
  else if (br_inflate (packed, text->len, &plain, &err))
    configuration = br_platform_read_configuration (br_buf_str (&plain), &err);
  if (configuration != NULL)
    task_install (task, configuration);
  else
    br_log_error (&task->node->log, "site", "configuration_unreadable", &err);
  br_buf_free (&plain);
}

static void
task_request_configuration (br_entry_task_t *task,
                            const br_name_t *vm,
                            uint64_t version)
{
  Br__Site__ConfigurationAsk ask = BR__SITE__CONFIGURATION_ASK__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  br_ms_t now = br_node_now (task->node);

  if (version == task->requested_version
      && now - task->requested_ms < REQUEST_RETRY_MS)
    return;
  task->requested_version = version;
  task->requested_ms = now;
  ask.version = version;
  message.body_case = BR__SITE__MESSAGE__BODY_ASK;
  message.ask = &ask;
  br_site_send (task->node, vm, &message);
}

/* --- the list of upstreams --- */

static void
task_log_list (br_entry_task_t *task, const char *from)
{
  size_t draining = 0;

  for (size_t i = 0; i < task->fleet.all.len; i++)
    draining += task->fleet.all.items[i]->listing.draining ? 1 : 0;
  BR_LOG (&task->node->log, "site", "upstreams listed",
          br_field_z ("from", from),
          br_field_int ("term", (int64_t)task->fleet.term),
          br_field_int ("sequence", (int64_t)task->fleet.sequence),
          br_field_int ("upstreams", (int64_t)task->fleet.all.len),
          br_field_int ("draining", (int64_t)draining));
}

static void
task_on_fleet (br_entry_task_t *task, const Br__Site__Fleet *fleet)
{
  br_listings_t listings = { 0 };
  br_ms_t now = br_node_now (task->node);

  if (fleet->term < task->fleet.term
      || (fleet->term == task->fleet.term
          && fleet->sequence <= task->fleet.sequence))
    return;
  br_site_read_fleet (fleet, &listings);
  br_fleet_update (&task->fleet, &listings, now);
  br_listings_free (&listings);
  task->fleet.term = fleet->term;
  task->fleet.sequence = fleet->sequence;
  task->fleet.read_ms = now;
  br_entry_resolve_lost_runs (task);
  br_exchanges_move (task);
  task_log_list (task, "control VM");
  br_exchanges_admit_waiting (task);
}

static void
task_drop_repeats (const br_entry_task_t *task, br_site_list_t *list)
{
  br_listings_t known = { 0 };

  for (size_t i = 0; i < task->fleet.all.len; i++)
    br_listings_push (&known, task->fleet.all.items[i]->listing);
  br_site_list_drop_repeats (list, &known);
  br_listings_free (&known);
}

static void
task_on_platform_list (void *context,
                       br_site_list_t *list,
                       const br_error_t *err)
{
  br_entry_task_t *task = context;
  br_ms_t now = br_node_now (task->node);

  task->reading_list = false;
  if (list == NULL)
    {
      br_list_log_unreadable (task->node, &task->list_reports, err);
      return;
    }
  task_drop_repeats (task, list);
  br_list_log_skipped (task->node, &task->list_reports, list);
  /* The leader's next list is newer than this one, whatever its sequence. */
  if (task->fleet.known && now - task->leader_seen_ms < LEADER_TIMEOUT_MS)
    return;
  br_fleet_update (&task->fleet, &list->entries, now);
  task->fleet.sequence = 0;
  task->fleet.read_ms = now;
  br_entry_resolve_lost_runs (task);
  br_exchanges_move (task);
  task_log_list (task, "platform");
  br_exchanges_admit_waiting (task);
}

static void
task_check_list (br_entry_task_t *task, br_ms_t now)
{
  bool has_leader
      = task->fleet.known && now - task->leader_seen_ms < LEADER_TIMEOUT_MS;

  if (task->reading_list || has_leader
      || now - task->list_requested_ms < LIST_PERIOD_MS)
    return;
  task->list_requested_ms = now;
  task->reading_list = true;
  br_cloud_read_list (task->cloud, task_on_platform_list, task);
}

/* --- messages from control VMs --- */

void
br_entry_on_loads (br_entry_task_t *task,
                   Br__Site__UpstreamLoad *const *loads,
                   size_t n_loads,
                   bool has_speeds)
{
  br_ms_t now = br_node_now (task->node);

  br_fleet_receive_idle (&task->fleet, now);
  for (size_t i = 0; i < n_loads; i++)
    {
      const Br__Site__UpstreamLoad *load = loads[i];
      br_fleet_upstream_t *upstream
          = br_fleet_find (&task->fleet, br_str_from (load->id));

      if (upstream == NULL)
        continue;
      br_fleet_receive_load (upstream, load->in_flight, load->prefill_tokens,
                             now);
      br_fleet_receive_unreachable (upstream, load->unreachable, now);
      br_entry_receive_speed (upstream, load, has_speeds, now);
    }
}

static void
task_on_remaining (br_entry_task_t *task, const Br__Site__Left *left)
{
  br_quota_update_t update
      = { .remaining = left->units, .demand_per_s = left->asked_per_s };

  br_quotas_receive (&task->quotas, br_str_from (left->organisation), &update,
                     br_node_now (task->node));
}

static void
task_set_entries (br_entry_task_t *task, uint32_t entries)
{
  task->entries = task->fleet.entries = BR_MAX (entries, 1);
  task->quotas.default_share = 1.0 / task->entries;
  task->version_bounds = (br_version_bounds_t){
    .share = task->node->settings.site.rollout_share,
    .slack = task->node->settings.site.rollout_slack / task->entries,
  };
}

static void
task_on_leader (br_entry_task_t *task,
                const br_name_t *vm,
                const Br__Site__ControlBeat *heartbeat)
{
  br_ms_t now = br_node_now (task->node);

  if (heartbeat->term < task->term)
    return;
  if (!br_name_equal (&task->leader, vm) || heartbeat->term > task->term)
    BR_LOG (&task->node->log, "site", "leader", br_field_z ("peer", vm->data),
            br_field_int ("term", (int64_t)heartbeat->term));
  task->leader = *vm;
  task->term = heartbeat->term;
  task->leader_seen_ms = now;
  br_entry_deputy_on_leader (task);
  task_set_entries (task, heartbeat->entries);
  br_site_clock_set (&task->clock, (br_ms_t)heartbeat->wall_ms, now);
  for (size_t i = 0; i < heartbeat->n_demands; i++)
    br_quotas_receive_total (&task->quotas,
                             br_str_from (heartbeat->demands[i]->organisation),
                             heartbeat->demands[i]->units_per_s, task->entries);
  if (heartbeat->term == task->fleet.term
      && heartbeat->fleet_sequence == task->fleet.sequence && task->fleet.known)
    task->fleet.read_ms
        = BR_MAX (task->fleet.read_ms, now - (br_ms_t)heartbeat->fleet_age_ms);
  if (heartbeat->has_sums)
    br_entry_set_helpers (task, heartbeat->helpers, heartbeat->n_helpers);
  if (heartbeat->has_sums)
    br_entry_on_loads (task, heartbeat->loads, heartbeat->n_loads, true);
}

/* Keeps links to the control VMs of the settings and to those that control VMs
 * named. */
static void
task_set_links (br_entry_task_t *task)
{
  br_names_t vms = { 0 };

  br_contacts_expire (&task->contacts);
  br_contacts_list (&task->contacts, &task->node->settings.vm, &vms);
  br_site_set_links (task->node, &vms);
  br_names_free (&vms);
}

static void
task_add_contacts (br_entry_task_t *task,
                   const Br__Site__ControlBeat *heartbeat)
{
  size_t before = task->contacts.named.len;

  for (size_t i = 0; i < heartbeat->n_control_vms; i++)
    {
      br_name_t vm;

      if (br_name_set (&vm, br_str_from (heartbeat->control_vms[i]))
          && vm.len > 0)
        br_contacts_add (&task->contacts, &vm, br_node_now (task->node));
    }
  if (task->contacts.named.len > before)
    task_set_links (task);
}

void
br_entry_task_set_seeds (br_entry_task_t *task, const br_names_t *vms)
{
  br_contacts_set_seeds (&task->contacts, vms);
  task_set_links (task);
}

static void
task_on_heartbeat (br_entry_task_t *task,
                   const br_name_t *vm,
                   const Br__Site__ControlBeat *heartbeat)
{
  uint64_t version
      = task->configuration != NULL ? task->configuration->version : 0;

  if (heartbeat->configuration_version > version)
    task_request_configuration (task, vm, heartbeat->configuration_version);
  task_add_contacts (task, heartbeat);
  if (heartbeat->leads)
    task_on_leader (task, vm, heartbeat);
  else if (heartbeat->entries > task->entries)
    task_set_entries (task, heartbeat->entries);
  br_entry_on_policies (task, heartbeat->policies, heartbeat->n_policies,
                        heartbeat->leads && heartbeat->term >= task->term);
  /* A control VM without a configuration has not read the log yet. */
  if (heartbeat->configuration_version > 0 && !task->versions_known)
    {
      task->versions_known = true;
      br_exchanges_admit_waiting (task);
    }
}

void
br_entry_task_on_message (br_entry_task_t *task,
                          const br_name_t *vm,
                          br_str_t payload)
{
  br_site_message_t *message = br_site_receive (task->node, vm, payload);

  if (message == NULL)
    return;
  switch (message->body_case)
    {
    case BR__SITE__MESSAGE__BODY_FLEET:
      task_on_fleet (task, message->fleet);
      break;
    case BR__SITE__MESSAGE__BODY_BEAT:
      task_on_heartbeat (task, vm, message->beat);
      break;
    case BR__SITE__MESSAGE__BODY_LOADS:
      if (message->loads->term != task->term)
        break;
      br_entry_deputy_on_leader (task);
      br_entry_on_loads (task, message->loads->loads, message->loads->n_loads,
                         false);
      for (size_t i = 0; i < message->loads->n_left; i++)
        task_on_remaining (task, message->loads->left[i]);
      br_entry_on_policies (task, message->loads->policies,
                            message->loads->n_policies, true);
      break;
    case BR__SITE__MESSAGE__BODY_TEXT:
      task_on_text (task, message->text);
      break;
    case BR__SITE__MESSAGE__BODY_BANS:
      br_entry_on_bans (task, message->bans);
      break;
    case BR__SITE__MESSAGE__BODY_PART_INQUIRY:
      br_entry_on_part_inquiry (task, vm, message->part_inquiry);
      break;
    case BR__SITE__MESSAGE__BODY_STREAM_ANSWER:
      br_exchanges_on_stream_answer (task, message->stream_answer);
      break;
    case BR__SITE__MESSAGE__BODY_LIMITS:
      if (message->limits->term == task->term)
        br_entry_on_limits (task, message->limits);
      break;
    case BR__SITE__MESSAGE__BODY_DEPUTY_SUMS:
      br_entry_on_deputy_sums (task, vm, message->deputy_sums);
      break;
    default:
      break;
    }
  br__site__message__free_unpacked (message, NULL);
}

/* --- time --- */

static void
task_on_tick (evutil_socket_t fd, short what, void *context)
{
  br_entry_task_t *task = context;
  br_ms_t now = br_node_now (task->node);
  bool has_leader = now - task->leader_seen_ms < LEADER_TIMEOUT_MS;

  (void)fd;
  (void)what;
  task_check_list (task, now);
  br_entry_deputy_tick (task, now);
  br_entry_quarantine_tick (task, has_leader);
  br_entry_links_tick (task);
  br_entry_rollouts_tick (task);
  br_exchanges_move (task);
  br_entry_limits_tick (task, has_leader && task->leader.len > 0);
  if (task->report_due || now - task->last_report_ms >= REPORT_PERIOD_MS)
    {
      task->report_due = false;
      br_entry_report (task, now);
      task_set_links (task);
      br_fleet_sweep (&task->fleet, br_upstream_pool_free, NULL);
      for (size_t i = 0; i < task->fleet.all.len; i++)
        br_upstream_pool_trim (task->fleet.all.items[i], now);
    }
  else if (br_entry_loads_are_due (task))
    br_entry_report_loads (task);
}

/* --- start and stop --- */

br_entry_task_t *
br_entry_task_new (br_node_t *node, br_error_t *err)
{
  br_entry_task_t *task = br_alloc_zero (sizeof *task);
  struct timeval period = { 0, BR_ENTRY_TICK_MS * 1000 };

  task->node = node;
  for (size_t i = 0; i < node->settings.vms.len; i++)
    br_contacts_put (&task->contacts.seeds, &node->settings.vms.items[i].name);
  task->entries = 1;
  task->quotas.default_share = 1;
  if (!br_entry_open_ports (task, err))
    {
      free (task);
      return NULL;
    }
  task->leader_seen_ms = task->quotas.demand_ms = task->quotas.since_ms
      = br_node_now (node);
  task->deputy.leader_ms = task->leader_seen_ms;
  task->leader_since_ms = task->leader_seen_ms - BR_QUARANTINE_DECISION_MS;
  node->quarantine.trials_are_granted = true;
  task->streams.n_buckets = BR_STREAM_BUCKETS_ENTRY;
  task->list_requested_ms = task->leader_seen_ms - LIST_PERIOD_MS;
  task->cloud = br_cloud_new (node->base, &node->settings.platform);
  task->move_calls = br_move_calls_new (task);
  task->timer = event_new (node->base, -1, EV_PERSIST, task_on_tick, task);
  event_add (task->timer, &period);
  return task;
}

void
br_entry_task_free (br_entry_task_t *task)
{
  if (task == NULL)
    return;
  while (task->exchanges != NULL)
    br_exchange_free (task->exchanges);
  br_move_calls_free (task->move_calls);
  br_entry_free_checks (task);
  br_entry_free_probes (task);
  br_entry_close_ports (task);
  br_helpers_release (&task->helpers);
  br_fleet_release (&task->fleet, br_upstream_pool_free, NULL);
  br_cloud_free (task->cloud);
  br_deputy_release (&task->deputy);
  br_quotas_release (&task->quotas);
  br_usage_release (&task->usage);
  br_entry_services_free (&task->services);
  br_route_times_free (&task->route_times);
  br_trials_free (&task->trials);
  br_part_suspects_free (&task->part_suspects);
  br_stream_table_free (&task->streams);
  br_stream_records_free (&task->new_streams);
  br_site_clock_release (&task->clock);
  br_contacts_release (&task->contacts);
  br_configuration_unref (task->configuration);
  br_version_shares_release (&task->versions);
  event_free (task->timer);
  free (task);
}

void
br_entry_task_on_link (br_entry_task_t *task, const br_name_t *vm, bool up)
{
  BR_LOG (&task->node->log, "site",
          up ? "control VM reached" : "control VM disconnected",
          br_field_z ("peer", vm->data));
  if (!up)
    return;
  if (task->configuration == NULL)
    task_request_configuration (task, vm, 1);
  /* Sends a report at once, so that the other side has this VM's state. */
  task->report_due = true;
  event_active (task->timer, EV_TIMEOUT, 0);
}

const char *
br_entry_task_why_not_ready (const br_entry_task_t *task)
{
  if (task->node->draining)
    return "it drains";
  if (task->configuration == NULL)
    return "it has no configuration";
  if (!task->versions_known)
    return "no control VM has sent a heartbeat";
  return task->fleet.known ? NULL : "it has no list of upstreams";
}

void
br_entry_task_refuse (br_entry_task_t *task)
{
  task->refusing = true;
}

void
br_entry_task_print_metrics (const br_entry_task_t *task, br_buf_t *out)
{
  br_histogram_print (&task->first_event_ms, "first_event_ms",
                      "Time to the first event of a stream", out);
  br_histogram_print (&task->answer_ms, "answer_ms",
                      "Time to the end of an answer", out);
  br_buf_printf (out, "briarrack_requests_in_progress %zu\n",
                 task->n_exchanges);
  br_buf_printf (out, "briarrack_configuration_version %" PRIu64 "\n",
                 task->configuration != NULL ? task->configuration->version
                                             : 0);
  br_buf_printf (out, "briarrack_entry_vms %" PRIu32 "\n", task->entries);
  br_buf_printf (out, "briarrack_upstreams_listed %zu\n", task->fleet.all.len);
  br_entry_print_rollouts (task, out);
}
