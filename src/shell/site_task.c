#include "shell/site_task.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "shell/control_task.h"
#include "shell/entry_task.h"
#include "shell/peer_task.h"
#include "shell/replica_task.h"
#include "shell/site_http.h"
#include "shell/site_message.h"

/* Time between two flushes of the log. */
#define LOG_FLUSH_MS 100

/* Limit on buffered log lines, in bytes: some seconds of log output under the
 * highest load. */
#define LOG_PENDING_MAX (512 * 1024)

/* Time between two checks whether the settings file has changed. */
#define SETTINGS_CHECK_PERIOD_MS 1000

/* Steps of a drain, in milliseconds from its start.  The balancer checks
 * readiness once a second and removes a VM after two failed checks, so new
 * callers keep arriving for about two seconds.  Connections are kept alive
 * until KEEP_ALIVE_UNTIL_MS; later answers close theirs.  New requests are
 * refused from REFUSE_FROM_MS on, so that callers can send them to another VM.
 * New connections are accepted until ACCEPT_UNTIL_MS. */
#define KEEP_ALIVE_UNTIL_MS 2000
#define REFUSE_FROM_MS 2700
#define ACCEPT_UNTIL_MS 3300

/* The process exits this long before the end of the grace period, even if work
 * is still in progress. */
#define GRACE_MARGIN_MS 400

/* A control VM gets at least this time to hand leadership over before it
 * exits. */
#define CONTROL_DRAIN_MS 700

#define DRAIN_CHECK_PERIOD_MS 50

struct br_site_task
{
  br_node_t *node;
  br_entry_task_t *entry;     /* NULL on a control VM */
  br_control_task_t *control; /* NULL on an entry VM */
  br_site_http_t *http;
  struct event *log_timer;
  struct event *settings_timer;
  struct event *drain_timer;
  struct event *reload;
  br_ms_t drain_ms;
  struct timespec settings_changed;
};

/* --- messages --- */

static void
task_on_peer_message (br_site_task_t *task, br_peer_message_t *message)
{
  if (message->part == BR_PART_REPLICA && task->control != NULL)
    br_replica_task_on_message (task->node->replica, &message->vm,
                                br_buf_str (&message->payload));
  else if (message->part == BR_PART_SITE && task->control != NULL)
    br_control_task_on_message (task->control, message);
  else if (message->part == BR_PART_SITE)
    br_entry_task_on_message (task->entry, &message->vm,
                              br_buf_str (&message->payload));
  br_buf_free (&message->payload);
}

static void
task_on_link (br_site_task_t *task, const br_peer_message_t *message, bool up)
{
  if (task->entry != NULL)
    br_entry_task_on_link (task->entry, &message->vm, up);
  else if (up)
    br_control_task_on_link (task->control, &message->vm);
  else
    br_replica_task_on_peer_down (task->node->replica, &message->vm);
}

void
br_site_task_on_message (br_site_task_t *task, br_node_message_t *message)
{
  switch (message->kind)
    {
    case BR_NODE_PEER_UP:
    case BR_NODE_PEER_DOWN:
      task_on_link (task, &message->peer, message->kind == BR_NODE_PEER_UP);
      break;
    case BR_NODE_PEER_RECEIVED:
      task_on_peer_message (task, &message->peer);
      break;
    case BR_NODE_PROPOSAL:
      if (task->control != NULL)
        br_control_task_on_proposal (task->control, &message->proposal);
      br_buf_free (&message->proposal.result);
      break;
    case BR_NODE_APPLIED:
      if (task->control != NULL)
        br_control_task_on_applied (task->control);
      break;
    case BR_NODE_STOP:
      br_node_drain (task->node);
      break;
    default:
      break; /* messages of tasks that do not run at such a site */
    }
}

/* --- the log and the settings --- */

static void
task_on_log_timer (evutil_socket_t fd, short what, void *context)
{
  br_site_task_t *task = context;

  (void)fd;
  (void)what;
  br_log_flush (&task->node->log);
}

static void
task_set_seeds (br_site_task_t *task, const br_peer_settings_list_t *vms)
{
  br_names_t seeds = { 0 };

  for (size_t i = 0; i < vms->len; i++)
    br_names_push (&seeds, vms->items[i].name);
  if (task->control != NULL)
    br_replica_task_set_seeds (task->node->replica, &seeds);
  else
    br_entry_task_set_seeds (task->entry, &seeds);
  br_names_free (&seeds);
}

/* Applies the settings that may change while the process runs: the initial
 * control VMs and the disk losses.  A settings file with errors changes
 * nothing. */
static void
task_reload (br_site_task_t *task, const char *why)
{
  br_node_t *node = task->node;
  br_settings_t loaded;
  br_buf_t faults = { 0 };

  if (!br_settings_load (node->settings.source.data, &loaded, &faults))
    BR_LOG (&node->log, "node", "settings refused", br_field_z ("why", why),
            br_field_str ("faults", br_buf_str (&faults)));
  else
    {
      task_set_seeds (task, &loaded.vms);
      if (task->control != NULL)
        br_replica_task_set_disk_losses (node->replica, &loaded);
      BR_LOG (
          &node->log, "node", "settings reloaded", br_field_z ("why", why),
          br_field_str ("control_vms", br_buf_str (&loaded.site.control_vms)),
          br_field_int ("disk_losses", loaded.site.disk_losses));
    }
  br_settings_release (&loaded);
  br_buf_free (&faults);
}

static void
task_on_reload (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  task_reload (context, "signal");
}

static bool
task_settings_changed (br_site_task_t *task)
{
  struct timespec *last_seen = &task->settings_changed;
  struct stat now;

  if (task->node->settings.source.len == 0
      || stat (task->node->settings.source.data, &now) != 0)
    return false;
  if (now.st_mtim.tv_sec == last_seen->tv_sec
      && now.st_mtim.tv_nsec == last_seen->tv_nsec)
    return false;
  *last_seen = now.st_mtim;
  return true;
}

static void
task_on_settings_timer (evutil_socket_t fd, short what, void *context)
{
  br_site_task_t *task = context;

  (void)fd;
  (void)what;
  if (task_settings_changed (task))
    task_reload (task, "the file changed");
}

/* --- stopping --- */

static bool
task_is_idle (const br_site_task_t *task, br_ms_t elapsed_ms)
{
  if (task->control != NULL)
    return elapsed_ms >= CONTROL_DRAIN_MS
           && !br_replica_task_is_leader (task->node->replica);
  return elapsed_ms >= ACCEPT_UNTIL_MS
         && br_entry_task_in_progress (task->entry) == 0;
}

static void
task_on_drain_timer (evutil_socket_t fd, short what, void *context)
{
  br_site_task_t *task = context;
  br_node_t *node = task->node;
  br_ms_t elapsed_ms = br_node_now (node) - task->drain_ms;
  br_ms_t grace = (br_ms_t)(node->settings.site.grace_s * 1000);

  (void)fd;
  (void)what;
  if (task->entry != NULL && elapsed_ms >= KEEP_ALIVE_UNTIL_MS)
    br_entry_task_stop_keep_alive (task->entry);
  if (task->entry != NULL && elapsed_ms >= REFUSE_FROM_MS)
    br_entry_task_refuse (task->entry);
  if (task->entry != NULL && elapsed_ms >= ACCEPT_UNTIL_MS)
    br_entry_task_stop_accepting (task->entry);
  if (!task_is_idle (task, elapsed_ms) && elapsed_ms < grace - GRACE_MARGIN_MS)
    return;
  BR_LOG (&node->log, "node", "drained", br_field_int ("after_ms", elapsed_ms));
  event_base_loopbreak (node->base);
}

void
br_site_task_drain (br_site_task_t *task)
{
  struct timeval period = { 0, DRAIN_CHECK_PERIOD_MS * 1000 };

  task->drain_ms = br_node_now (task->node);
  BR_LOG (&task->node->log, "node", "draining",
          br_field_int ("in_progress",
                        task->entry != NULL
                            ? (int64_t)br_entry_task_in_progress (task->entry)
                            : 0));
  if (task->control != NULL)
    br_replica_task_hand_over (task->node->replica);
  event_add (task->drain_timer, &period);
}

/* --- start --- */

static bool
task_start_role (br_site_task_t *task, br_error_t *err)
{
  br_node_t *node = task->node;

  node->peers = br_peer_task_new (node, err);
  if (node->peers == NULL)
    return false;
  if (node->settings.site.role == BR_SITE_ENTRY)
    {
      task->entry = br_entry_task_new (node, err);
      return task->entry != NULL;
    }
  node->state = br_state_new ();
  node->replica = br_replica_task_new (node, err);
  if (node->replica == NULL)
    return false;
  task->control = br_control_task_new (node);
  return true;
}

static struct event *
task_add_timer (br_site_task_t *task, event_callback_fn on_timer, br_ms_t ms)
{
  struct timeval period = { ms / 1000, ms % 1000 * 1000 };
  struct event *timer
      = event_new (task->node->base, -1, EV_PERSIST, on_timer, task);

  event_add (timer, &period);
  return timer;
}

br_site_task_t *
br_site_task_new (br_node_t *node, br_error_t *err)
{
  br_site_task_t *task = br_alloc_zero (sizeof *task);

  task->node = node;
  br_log_defer (&node->log, LOG_PENDING_MAX);
  if (task_start_role (task, err))
    task->http = br_site_http_new (node, task->entry, task->control, err);
  if (task->http == NULL)
    {
      br_site_task_free (task);
      return NULL;
    }
  task_settings_changed (task);
  task->log_timer = task_add_timer (task, task_on_log_timer, LOG_FLUSH_MS);
  task->settings_timer
      = task_add_timer (task, task_on_settings_timer, SETTINGS_CHECK_PERIOD_MS);
  task->drain_timer
      = event_new (node->base, -1, EV_PERSIST, task_on_drain_timer, task);
  task->reload = evsignal_new (node->base, SIGHUP, task_on_reload, task);
  evsignal_add (task->reload, NULL);
  return task;
}

static void
event_release (struct event *event)
{
  if (event != NULL)
    event_free (event);
}

void
br_site_task_free (br_site_task_t *task)
{
  if (task == NULL)
    return;
  br_site_http_free (task->http);
  br_entry_task_free (task->entry);
  br_control_task_free (task->control);
  event_release (task->log_timer);
  event_release (task->settings_timer);
  event_release (task->drain_timer);
  event_release (task->reload);
  free (task);
}
