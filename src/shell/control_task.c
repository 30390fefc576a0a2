#include "shell/control_task.h"

#include <inttypes.h>
#include <string.h>

#include "base/deflate.h"
#include "platform/configuration_codec.h"
#include "shell/control_private.h"
#include "shell/http_reply.h"
#include "shell/peer_task.h"
#include "shell/replica_task.h"
#include "site/quota.h"
#include "state/command.h"

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

/* Retry-After sent to an operator, in milliseconds. */
#define RETRY_AFTER_MS 300

/* --- configuration --- */

static void
wait_on_close (struct evhttp_connection *connection, void *context)
{
  br_control_task_t *task = context;

  for (size_t i = 0; i < task->waits.len; i++)
    if (task->waits.items[i].request != NULL
        && evhttp_request_get_connection (task->waits.items[i].request)
               == connection)
      task->waits.items[i].request = NULL;
}

static void
task_add_wait (br_control_task_t *task, br_control_wait_t wait)
{
  br_control_waits_push (&task->waits, wait);
  evhttp_connection_set_closecb (evhttp_request_get_connection (wait.request),
                                 wait_on_close, task);
}

static void
reply_unavailable (struct evhttp_request *request, const char *why)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNAVAILABLE, "ask the log", "", "%s", why);
  err.retry_after_ms = RETRY_AFTER_MS;
  br_http_reply_error (request, &err);
}

static void
reply_version (struct evhttp_request *request, uint64_t version)
{
  br_buf_t body = { 0 };

  br_buf_printf (&body, "{\"version\":%" PRIu64 "}\n", version);
  br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&body));
  br_buf_free (&body);
}

/* Refuses REQUEST at once while this VM has no part in the log: neither a vote
 * nor a leader that it follows. */
static bool
task_refuse_outside (br_control_task_t *task, struct evhttp_request *request)
{
  br_replica_standing_t standing
      = br_replica_task_standing (task->node->replica);

  if (standing == BR_STANDING_VOTER || standing == BR_STANDING_FOLLOWS)
    return false;
  reply_unavailable (request, br_replica_standing_text (standing));
  return true;
}

void
br_control_task_put (br_control_task_t *task, struct evhttp_request *request)
{
  br_node_t *node = task->node;
  br_str_t body = br_http_body (request);
  br_configuration_t *configuration;
  br_control_wait_t wait = { .request = request };
  br_buf_t command = { 0 };
  br_error_t err;

  configuration = br_platform_read_configuration (body, &err);
  if (configuration == NULL)
    {
      br_log_error (&node->log, "site", "configuration_refused", &err);
      br_http_reply_error (request, &err);
      return;
    }
  wait.version = configuration->version;
  br_configuration_unref (configuration);
  if (wait.version <= br_state_site_version (node->state))
    {
      reply_version (request, br_state_site_version (node->state));
      return;
    }
  if (task_refuse_outside (task, request))
    return;
  br_state_command_site (wait.version, body, &command);
  wait.ticket = br_replica_task_propose (node->replica, br_buf_str (&command));
  br_buf_free (&command);
  BR_LOG (&node->log, "site", "configuration proposed",
          br_field_int ("version", (int64_t)wait.version),
          br_field_int ("ticket", (int64_t)wait.ticket));
  task_add_wait (task, wait);
}

void
br_control_task_get (br_control_task_t *task, struct evhttp_request *request)
{
  br_control_wait_t wait = { .is_read = true, .request = request };

  if (task_refuse_outside (task, request))
    return;
  wait.ticket = br_replica_task_read (task->node->replica);
  task_add_wait (task, wait);
}

static void
wait_reply (br_control_task_t *task,
            const br_control_wait_t *wait,
            const br_proposal_message_t *proposal)
{
  const br_state_t *state = task->node->state;

  if (wait->request == NULL)
    return;
  evhttp_connection_set_closecb (evhttp_request_get_connection (wait->request),
                                 NULL, NULL);
  if (proposal->outcome != BR_PROPOSAL_COMMITTED)
    reply_unavailable (wait->request, proposal->error.text);
  else if (!wait->is_read)
    reply_version (wait->request, br_state_site_version (state));
  else if (br_state_site_version (state) == 0)
    reply_unavailable (wait->request, "there is no configuration yet");
  else
    br_http_reply (wait->request, HTTP_OK, "application/json",
                   br_state_site_text (state));
}

void
br_control_task_on_proposal (br_control_task_t *task,
                             const br_proposal_message_t *proposal)
{
  if (br_control_duties_on_proposal (task->duties, proposal))
    return;
  for (size_t i = 0; i < task->waits.len; i++)
    {
      br_control_wait_t wait = task->waits.items[i];

      if (wait.ticket != proposal->ticket)
        continue;
      task->waits.items[i] = task->waits.items[--task->waits.len];
      if (!wait.is_read)
        BR_LOG (&task->node->log, "site", "configuration proposal ended",
                br_field_int ("version", (int64_t)wait.version),
                br_field_int ("outcome", proposal->outcome));
      wait_reply (task, &wait, proposal);
      return;
    }
}

/* Compresses the text in force, once per version for all entry VMs. */
static bool
task_pack_text (br_control_task_t *task)
{
  const br_state_t *state = task->node->state;
  br_str_t text = br_state_site_text (state);
  br_error_t err;

  if (task->packed_version == br_state_site_version (state))
    return true;
  br_buf_clear (&task->packed);
  if (!br_deflate (text, &task->packed, &err))
    {
      br_log_error (&task->node->log, "site", "configuration_not_packed", &err);
      return false;
    }
  task->packed_version = br_state_site_version (state);
  task->unpacked_len = text.len;
  return true;
}

static void
task_send_text (br_control_task_t *task, const br_name_t *vm, uint64_t version)
{
  Br__Site__ConfigurationText text = BR__SITE__CONFIGURATION_TEXT__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;

  if (br_state_site_version (task->node->state) < version
      || !task_pack_text (task))
    return;
  text.version = task->packed_version;
  text.packed.data = (uint8_t *)task->packed.data;
  text.packed.len = task->packed.len;
  text.len = task->unpacked_len;
  message.body_case = BR__SITE__MESSAGE__BODY_TEXT;
  message.text = &text;
  br_site_send (task->node, vm, &message);
}

/* --- the configuration in force --- */

void
br_control_read_configuration (br_control_task_t *task)
{
  const br_state_t *state = task->node->state;
  br_error_t err;

  if (task->configuration != NULL
      && task->configuration->version == br_state_site_version (state))
    return;
  br_configuration_unref (task->configuration);
  task->configuration
      = br_platform_read_configuration (br_state_site_text (state), &err);
  if (task->configuration == NULL)
    br_log_error (&task->node->log, "site", "configuration_unreadable", &err);
}

void
br_control_task_on_applied (br_control_task_t *task)
{
  uint64_t version = br_state_site_version (task->node->state);
  uint64_t bans = br_state_bans_made (task->node->state);

  br_control_read_streams (task, br_node_now (task->node));
  if (bans != task->last_sent_bans)
    {
      task->last_sent_bans = bans;
      br_control_read_bans (task, br_node_now (task->node));
      br_control_send_heartbeat (task, br_node_now (task->node));
    }
  if (version == task->last_sent_version)
    return;
  task->last_sent_version = version;
  br_control_read_configuration (task);
  BR_LOG (&task->node->log, "site", "configuration in force",
          br_field_int ("version", (int64_t)version));
  br_control_send_heartbeat (task, br_node_now (task->node));
}

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
  br_ledger_entry_t *row
      = br_usage_ledger_row (&task->ledger, &from->vm, from->incarnation);

  row->last_seen_ms = br_node_now (task->node);
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
  if (is_new)
    {
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
      task_send_text (task, &from->vm, message->ask->version);
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

  (void)fd;
  (void)what;
  task_update_role (task, now);
  br_control_task_on_applied (task);
  if (task->leads_term > 0 && !task->reading_list
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
  else if (task->leads_term > 0)
    br_control_send_loads (task, now);
  if (task->leads_term > 0)
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
  br_cloud_free (task->cloud);
  br_listings_free (&task->listings);
  br_control_leavings_free (&task->leaving);
  br_limit_pools_release (&task->limits);
  br_part_suspects_free (&task->part_suspects);
  br_stream_table_free (&task->streams);
  br_stream_records_free (&task->new_streams);
  br_version_history_clear (&task->history);
  br_usage_ledger_release (&task->ledger);
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
  br_buf_printf (out, "briarrack_list_age_ms %" PRId64 "\n",
                 now - task->list_as_of_ms);
}
