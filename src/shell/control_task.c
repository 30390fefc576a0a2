#include "shell/control_task.h"

#include <inttypes.h>
#include <string.h>

#include "shell/control_private.h"
#include "shell/peer_task.h"
#include "shell/replica_task.h"
#include "site/quota.h"

/* Time between two checks for due work. */
#define TICK_PERIOD_MS 100

/* Time between two heartbeats to the entry VMs. */
#define HEARTBEAT_PERIOD_MS 400

/* Time between two reads of the platform's list by the leader.  Entry VMs must
 * stop using an upstream within a few seconds of its notice. */
#define LIST_PERIOD_MS 500

/* Counts of an entry VM are kept for this long after its last report, until
 * every window that they fall into has been reported. */
#define LEDGER_RETENTION_MS 60000

/* --- entry VMs --- */

/* Returns NULL if the VM has not reported yet. */
static br_control_entry_t *
task_find_entry (const br_control_task_t *task, const br_name_t *vm)
{
  size_t at;

  if (!br_name_index_find (&task->entry_index, br_name_str (vm), &at))
    return NULL;
  return &task->entries.items[at];
}

static br_control_entry_t *
task_entry (br_control_task_t *task, const br_name_t *vm)
{
  br_control_entry_t *entry = task_find_entry (task, vm);
  br_control_entry_t fresh = { .vm = *vm };

  if (entry != NULL)
    return entry;
  br_name_index_set (&task->entry_index, vm, task->entries.len);
  return br_control_entries_push (&task->entries, fresh);
}

static br_ledger_entry_t *
task_count_usage (br_control_task_t *task,
                  const br_peer_message_t *from,
                  Br__Site__Window *const *windows,
                  size_t n_windows)
{
  br_ledger_entry_t *row = br_usage_ledger_receive (
      &task->ledger, &from->vm, from->incarnation, br_node_now (task->node));

  for (size_t i = 0; i < n_windows; i++)
    {
      const Br__Site__Window *window = windows[i];

      br_usage_clear (&row->usage, window->number);
      for (size_t j = 0; j < window->n_counts; j++)
        br_usage_add (&row->usage, window->number,
                      br_str_from (window->counts[j]->organisation),
                      (int64_t)window->counts[j]->requests);
    }
  return row;
}

static void
entry_clear (br_control_entry_t *entry)
{
  if (entry->last_report != NULL)
    br__site__message__free_unpacked (entry->last_report, NULL);
  if (entry->loads != NULL)
    br__site__message__free_unpacked (entry->loads, NULL);
  entry->last_report = NULL;
  entry->loads = NULL;
}

static void
task_receive_used (br_control_task_t *task,
                   const br_peer_message_t *from,
                   Br__Site__Used *const *usages,
                   size_t n_used,
                   uint64_t up_ms)
{
  br_ms_t now = br_node_now (task->node);

  for (size_t i = 0; task->configuration != NULL && i < n_used; i++)
    {
      const Br__Site__Used *used = usages[i];
      br_pool_report_t report = {
        .vm = &from->vm,
        .incarnation = from->incarnation,
        .up_ms = (br_ms_t)up_ms,
        .units = used->units,
        .requested = used->asked,
      };
      const br_site_organisation_t *organisation
          = br_configuration_organisation (task->configuration,
                                           br_str_from (used->organisation));

      if (organisation != NULL)
        br_quota_pool_receive (&task->pool, organisation, &report, now);
    }
}

/* Takes ownership of MESSAGE. */
static void
task_on_loads (br_control_task_t *task,
               const br_peer_message_t *from,
               br_site_message_t *message)
{
  br_control_entry_t *entry = task_find_entry (task, &from->vm);

  br_control_receive_streams (task, message->loads->streams,
                              message->loads->n_streams);
  if (entry == NULL)
    {
      br__site__message__free_unpacked (message, NULL);
      return;
    }
  if (entry->loads != NULL)
    br__site__message__free_unpacked (entry->loads, NULL);
  entry->loads = message;
  br_control_receive_rollouts (task, from, message->loads->rollouts,
                               message->loads->n_rollouts);
  br_control_receive_speeds (task, message->loads->loads,
                             message->loads->n_loads, br_node_now (task->node));
  task_receive_used (task, from, message->loads->used, message->loads->n_used,
                     message->loads->up_ms);
  task_count_usage (task, from, message->loads->windows,
                    message->loads->n_windows);
}

/* Takes ownership of MESSAGE. */
static void
task_on_report (br_control_task_t *task,
                const br_peer_message_t *from,
                br_site_message_t *message)
{
  br_control_entry_t *entry = task_entry (task, &from->vm);
  br_ms_t now = br_node_now (task->node);
  bool is_new
      = entry->last_report == NULL || entry->incarnation != from->incarnation;
  br_ledger_entry_t *row;

  entry_clear (entry);
  entry->last_report = message;
  entry->incarnation = from->incarnation;
  entry->last_seen_ms = now;
  br_site_clock_add_sample (&task->clock, &from->vm,
                            (br_ms_t)message->report->wall_ms, now);
  row = task_count_usage (task, from, message->report->windows,
                          message->report->n_windows);
  row->site_wall_ms = (br_ms_t)message->report->site_wall_ms;
  task_receive_used (task, from, message->report->used, message->report->n_used,
                     message->report->up_ms);
  br_quota_pool_receive_complete (
      &task->pool,
      &(br_pool_report_t){ .vm = &from->vm, .incarnation = from->incarnation },
      now);
  br_control_receive_crashes (task, message->report, now);
  br_control_receive_part_crashes (task, message->report, now);
  br_control_receive_streams (task, message->report->streams,
                              message->report->n_streams);
  br_control_receive_leaving (task, message->report, now);
  br_control_receive_rollouts (task, from, message->report->rollouts,
                               message->report->n_rollouts);
  entry->wants_sums = message->report->no_leader;
  br_control_receive_speeds (task, message->report->loads,
                             message->report->n_loads, now);
  if (is_new)
    {
      entry->since_ms = now;
      BR_LOG (&task->node->log, "site", "entry VM registered",
              br_field_z ("peer", from->vm.data),
              br_field_int ("of_incarnation", (int64_t)from->incarnation));
      br_control_send_heartbeat_to_entry (task, entry, now);
      task->entries_changed = true;
    }
}

static void
task_on_limits (br_control_task_t *task,
                const br_name_t *vm,
                const Br__Site__Limits *limits)
{
  br_control_entry_t *entry = task_find_entry (task, vm);

  if (entry != NULL)
    br_control_receive_limits (task, entry, limits);
}

void
br_control_task_on_message (br_control_task_t *task,
                            const br_peer_message_t *from)
{
  br_site_message_t *message
      = br_site_receive (task->node, &from->vm, br_buf_str (&from->payload));

  if (message == NULL)
    return;
  switch (message->body_case)
    {
    case BR__SITE__MESSAGE__BODY_REPORT:
      task_on_report (task, from, message);
      return;
    case BR__SITE__MESSAGE__BODY_LOADS:
      task_on_loads (task, from, message);
      return;
    case BR__SITE__MESSAGE__BODY_ASK:
      br_control_send_text (task, &from->vm, message->ask->version);
      break;
    case BR__SITE__MESSAGE__BODY_LIMITS:
      task_on_limits (task, &from->vm, message->limits);
      break;
    case BR__SITE__MESSAGE__BODY_BEGUN_PARTS:
      br_control_receive_begun_parts (task, message->begun_parts);
      break;
    case BR__SITE__MESSAGE__BODY_STREAM_ASK:
      br_control_receive_stream_ask (task, &from->vm, message->stream_ask);
      break;
    case BR__SITE__MESSAGE__BODY_TRIAL_ASK:
      br_control_receive_trial_ask (task, &from->vm, message->trial_ask);
      break;
    case BR__SITE__MESSAGE__BODY_BEAT:
      br_site_clock_add_sample (&task->clock, &from->vm,
                                (br_ms_t)message->beat->wall_ms,
                                br_node_now (task->node));
      br_replica_task_add_contacts (task->node->replica,
                                    message->beat->control_vms,
                                    message->beat->n_control_vms);
      break;
    default:
      break;
    }
  br__site__message__free_unpacked (message, NULL);
}

void
br_control_task_on_link (br_control_task_t *task, const br_name_t *vm)
{
  BR_LOG (&task->node->log, "site", "control VM reached",
          br_field_z ("peer", vm->data));
  br_control_send_heartbeat_to_peer (task, vm);
}

/* --- time --- */

static void
task_begin_quotas (br_control_task_t *task, br_ms_t now)
{
  const br_site_organisations_t *organisations;
  br_demand_sums_t demands = { 0 };

  br_control_read_configuration (task);
  if (task->configuration == NULL)
    return;
  organisations = &task->configuration->organisations;
  br_control_sum_demands (task, now, &demands);
  for (size_t i = 0; i < organisations->len; i++)
    br_quota_pool_begin (
        &task->pool, &organisations->items[i],
        br_demand_sums_find (&demands,
                             br_name_str (&organisations->items[i].name)),
        now);
  br_demand_sums_release (&demands);
}

bool
br_control_may_act (const br_control_task_t *task)
{
  return task->leads_term > 0
         && br_replica_task_has_lease (task->node->replica);
}

static void
task_update_role (br_control_task_t *task, br_ms_t now)
{
  uint64_t term = br_replica_task_is_leader (task->node->replica)
                      ? br_replica_task_term (task->node->replica)
                      : 0;

  if (term == task->leads_term)
    return;
  task->leads_term = term;
  task->leading_since_ms = now;
  br_limit_pools_release (&task->limits);
  if (!br_quota_pool_is_current (&task->pool, now))
    {
      br_quota_pool_release (&task->pool);
      task->pool = (br_quota_pool_t){ 0 };
    }
  if (term > 0)
    task_begin_quotas (task, now);
  task->bans_due = true;
  task->part_inquiry.is_due = true;
  task->part_inquiry.is_open = false;
  br_version_history_clear (&task->history);
  br_stream_records_clear (&task->new_streams);
  BR_LOG (&task->node->log, "site", term > 0 ? "leads" : "no longer leads",
          br_field_int ("term", (int64_t)term));
}

static void
task_on_tick (evutil_socket_t fd, short what, void *context)
{
  br_control_task_t *task = context;
  br_ms_t now = br_node_now (task->node);
  bool may_act;

  (void)fd;
  (void)what;
  task_update_role (task, now);
  br_control_task_on_applied (task);
  may_act = br_control_may_act (task);
  br_control_rollouts_tick (task, now, may_act);
  if (may_act && !task->reading_list
      && now - task->list_requested_ms >= LIST_PERIOD_MS
      && br_state_site_version (task->node->state) > 0)
    {
      task->list_requested_ms = now;
      task->reading_list = true;
      br_cloud_read_list (task->cloud, br_control_on_list, task);
    }
  /* One heartbeat announces the new number of entry VMs for all that joined
   * since the last tick. */
  if (task->entries_changed)
    br_control_send_heartbeat (task, now);
  if (now - task->last_heartbeat_ms >= HEARTBEAT_PERIOD_MS)
    {
      br_name_t self = task->node->settings.vm;

      br_site_clock_add_sample (&task->clock, &self, br_clock_wall (), now);
      br_site_clock_update (&task->clock, now);
      br_usage_ledger_trim (&task->ledger, now - LEDGER_RETENTION_MS);
      br_control_send_heartbeat (task, now);
      br_peer_task_each (task->node->peers, br_control_send_heartbeat_to_peer,
                         task);
    }
  else if (may_act)
    br_control_send_loads (task, now);
  br_control_deputy_tick (task, now);
  if (may_act)
    {
      br_control_limits_tick (task, now);
      br_control_quarantine_tick (task, now);
      br_control_parts_tick (task, now);
      br_control_streams_tick (task, now);
      br_control_duties_tick (task->duties, now);
    }
}

br_control_task_t *
br_control_task_new (br_node_t *node)
{
  br_control_task_t *task = br_alloc_zero (sizeof *task);
  struct timeval period = { 0, TICK_PERIOD_MS * 1000 };

  task->node = node;
  task->cloud = br_cloud_new (node->base, &node->settings.platform);
  task->duties = br_control_duties_new (task);
  task->rollouts = br_control_rollouts_new (task);
  task->streams.n_buckets = BR_STREAM_BUCKETS_CONTROL;
  task->timer = event_new (node->base, -1, EV_PERSIST, task_on_tick, task);
  event_add (task->timer, &period);
  return task;
}

void
br_control_task_free (br_control_task_t *task)
{
  if (task == NULL)
    return;
  for (size_t i = 0; i < task->entries.len; i++)
    entry_clear (&task->entries.items[i]);
  br_control_entries_free (&task->entries);
  br_name_index_clear (&task->entry_index);
  br_control_waits_free (&task->waits);
  br_control_duties_free (task->duties);
  br_control_rollouts_free (task->rollouts);
  br_cloud_free (task->cloud);
  br_listings_free (&task->listings);
  br_control_leavings_free (&task->leaving);
  br_limit_pools_release (&task->limits);
  br_speed_pool_release (&task->speeds);
  br_part_suspects_free (&task->part_suspects);
  br_stream_table_free (&task->streams);
  br_stream_records_free (&task->new_streams);
  br_version_history_clear (&task->history);
  br_usage_ledger_release (&task->ledger);
  br_deputy_demands_free (&task->demands);
  br_quota_pool_release (&task->pool);
  br_buf_free (&task->packed);
  br_buf_free (&task->packed_list);
  br_configuration_unref (task->configuration);
  br_site_clock_release (&task->clock);
  event_free (task->timer);
  free (task);
}

const char *
br_control_task_why_not_ready (const br_control_task_t *task)
{
  br_replica_standing_t standing
      = br_replica_task_standing (task->node->replica);

  if (task->node->draining)
    return "it drains";
  if (standing == BR_STANDING_VOTER || standing == BR_STANDING_FOLLOWS)
    return NULL;
  return br_replica_standing_text (standing);
}

void
br_control_task_print_metrics (const br_control_task_t *task, br_buf_t *out)
{
  br_ms_t now = br_node_now (task->node);

  br_buf_printf (out, "briarrack_configuration_version %" PRIu64 "\n",
                 br_state_site_version (task->node->state));
  br_buf_printf (out, "briarrack_entry_vms %zu\n",
                 br_control_live_entries (task, now));
  br_buf_printf (out, "briarrack_leads %d\n", task->leads_term > 0);
  br_buf_printf (out, "briarrack_upstreams_listed %zu\n", task->listings.len);
  br_buf_printf (out, "briarrack_services_with_speeds %zu\n",
                 task->leads_term > 0 ? br_speed_pool_n_in_force (&task->speeds)
                                      : 0);
  br_buf_printf (out, "briarrack_list_age_ms %" PRId64 "\n",
                 now - task->list_as_of_ms);
  br_control_print_rollouts (task, out);
}
