#include "shell/platform_task.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>

#include "shell/domain_task.h"
#include "shell/http_call.h"
#include "site/list_report.h"

/* Polls for reclaim notices per poll of the VM list. */
#define NOTICE_POLLS_PER_LIST 2

#define CALL_TIMEOUT_MS 2000

/* Polls of the VM list per poll of the offers. */
#define LIST_POLLS_PER_OFFERS 10

struct br_platform_task
{
  br_node_t *node;
  br_http_calls_t *calls;
  struct event *timer;
  uint64_t ticks;
  uint64_t list_revision;
  uint64_t last_notice_number;
  bool list_busy;
  bool notices_busy;
  bool offers_busy;
  br_offers_t offers;
  br_list_reports_t reports;
};

/* An order, to start or stop a VM, whose answer has not arrived yet. */
typedef struct
{
  br_platform_cb_t done;
  void *context;
} order_t;

static void
task_log_bad_answer (br_platform_task_t *task, const br_error_t *err)
{
  br_log_error (&task->node->log, "platform", "bad_answer", err);
  br_counters_add (&task->node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
}

static void
task_log_odd_entries (br_platform_task_t *task, const br_odd_entries_t *odd)
{
  br_node_t *node = task->node;

  if (odd->n == 0)
    return;
  br_counters_add (&node->counters, BR_COUNTER_LIST_ENTRIES_SKIPPED, odd->n);
  if (br_list_reports_take (&task->reports, br_str_from (odd->first.step),
                            br_str_from (odd->first.text), br_node_now (node)))
    br_log_error (&node->log, "platform", "bad_entry", &odd->first);
}

/* A VM that was removed from the list was stopped, so the requests that ran on
 * it are not suspected of a crash. */
static void
task_discard_removed (br_platform_task_t *task, const br_name_t *name)
{
  const br_upstream_t *upstream
      = br_registry_find (&task->node->registry, br_name_str (name));

  if (upstream == NULL || upstream->removed)
    br_quarantine_discard_all (&task->node->quarantine, name);
}

static void
task_post_changed (br_platform_task_t *task, const br_name_t *name)
{
  br_node_message_t message = { .kind = BR_NODE_UPSTREAM_CHANGED };

  message.member.name = *name;
  BR_LOG (&task->node->log, "platform", "upstream_changed",
          br_field_str ("peer", br_name_str (name)));
  br_node_post (task->node, message);
}

/* Announces that an entry VM leaves.  The notice applies to the process that
 * runs there now, so its current incarnation is used. */
static void
task_announce_entry (br_platform_task_t *task,
                     const br_name_t *vm,
                     br_ms_t leave_in_ms)
{
  br_node_t *node = task->node;
  const br_members_t *members = br_domain_task_members (node->domain);
  uint64_t leave_by_ms = (uint64_t)(br_clock_wall () + leave_in_ms);

  if (br_name_equal (vm, &node->settings.vm))
    {
      br_domain_task_announce (node->domain, BR_NOTICE_VM_LEAVING, vm,
                               node->incarnation, leave_by_ms);
      return;
    }
  for (size_t i = 0; i < members->len; i++)
    if (br_name_equal (vm, &members->items[i].vm.name)
        && members->items[i].vm.incarnation != 0)
      {
        br_domain_task_announce (node->domain, BR_NOTICE_VM_LEAVING, vm,
                                 members->items[i].vm.incarnation, leave_by_ms);
        return;
      }
}

static void
task_announce_upstream (br_platform_task_t *task,
                        const br_name_t *name,
                        uint64_t incarnation)
{
  br_domain_task_announce (task->node->domain, BR_NOTICE_UPSTREAM_LEAVING, name,
                           incarnation, 0);
}

static bool
task_is_entry (const br_platform_task_t *task, const br_name_t *vm)
{
  const br_members_t *members = br_domain_task_members (task->node->domain);

  for (size_t i = 0; i < members->len; i++)
    if (br_name_equal (vm, &members->items[i].vm.name))
      return true;
  return br_name_equal (vm, &task->node->settings.vm);
}

static void
task_on_list (void *context, int status, br_str_t body)
{
  br_platform_task_t *task = context;
  br_vm_list_t list = { 0 };
  br_names_t changed = { 0 };
  br_error_t err;

  task->list_busy = false;
  if (status != HTTP_OK)
    return;
  if (!br_vm_list_read (body, &list, &err))
    task_log_bad_answer (task, &err);
  else if (!list.unchanged)
    {
      task_log_odd_entries (task, &list.odd);
      task->list_revision = list.revision;
      for (size_t i = 0; i < list.vms.len; i++)
        if (list.vms.items[i].leaving && !list.vms.items[i].is_entry)
          task_announce_upstream (task, &list.vms.items[i].upstream.name,
                                  list.vms.items[i].upstream.incarnation);
      br_vm_list_apply (&list, &task->node->registry, br_node_now (task->node),
                        &changed);
    }
  for (size_t i = 0; i < changed.len; i++)
    {
      task_discard_removed (task, &changed.items[i]);
      task_post_changed (task, &changed.items[i]);
    }
  br_names_free (&changed);
  br_vm_list_release (&list);
}

static void
task_on_reclaim (br_platform_task_t *task, const br_reclaim_t *reclaim)
{
  task->last_notice_number = BR_MAX (task->last_notice_number, reclaim->number);
  BR_LOG (&task->node->log, "platform", "reclaim_notice",
          br_field_str ("peer", br_name_str (&reclaim->vm)),
          br_field_int ("of_incarnation", (int64_t)reclaim->incarnation),
          br_field_int ("leave_in_ms", reclaim->leave_in_ms));
  if (!task_is_entry (task, &reclaim->vm))
    task_announce_upstream (task, &reclaim->vm, reclaim->incarnation);
  else if (reclaim->leave_in_ms > 0)
    task_announce_entry (task, &reclaim->vm, reclaim->leave_in_ms);
}

static void
task_on_notices (void *context, int status, br_str_t body)
{
  br_platform_task_t *task = context;
  br_reclaims_t reclaims = { 0 };
  br_odd_entries_t odd;
  br_error_t err;

  task->notices_busy = false;
  if (status != HTTP_OK)
    return;
  if (!br_reclaims_read (body, &reclaims, &odd, &err))
    task_log_bad_answer (task, &err);
  else
    {
      task_log_odd_entries (task, &odd);
      for (size_t i = 0; i < reclaims.len; i++)
        task_on_reclaim (task, &reclaims.items[i]);
    }
  br_reclaims_free (&reclaims);
}

static void
task_on_offers (void *context, int status, br_str_t body)
{
  br_platform_task_t *task = context;
  br_offers_t offers = { 0 };
  br_odd_entries_t odd;
  br_error_t err;

  task->offers_busy = false;
  if (status != HTTP_OK)
    return;
  if (!br_offers_read (body, &offers, &odd, &err))
    {
      task_log_bad_answer (task, &err);
      br_offers_free (&offers);
      return;
    }
  task_log_odd_entries (task, &odd);
  br_offers_free (&task->offers);
  task->offers = offers;
}

static void
task_call (br_platform_task_t *task,
           enum evhttp_cmd_type method,
           const char *path,
           br_str_t body,
           br_http_call_cb_t done,
           void *context)
{
  const br_settings_t *settings = &task->node->settings;
  br_http_call_options_t options = {
    .address = settings->platform.address,
    .port = (uint16_t)settings->platform.port,
    .method = method,
    .path = path,
    .vm = settings->vm.data,
    .body = body,
    .timeout_ms = CALL_TIMEOUT_MS,
    .done = done,
    .context = context,
  };

  br_http_call (task->calls, &options);
}

static void
task_get (br_platform_task_t *task,
          bool *busy,
          const char *path,
          br_http_call_cb_t done)
{
  if (*busy)
    return;
  *busy = true;
  task_call (task, EVHTTP_REQ_GET, path, (br_str_t){ 0 }, done, task);
}

static void
task_on_timer (evutil_socket_t fd, short what, void *context)
{
  br_platform_task_t *task = context;
  char path[64];

  (void)fd;
  (void)what;
  snprintf (path, sizeof path, "/v1/notices?after=%" PRIu64,
            task->last_notice_number);
  task_get (task, &task->notices_busy, path, task_on_notices);
  if (task->ticks % NOTICE_POLLS_PER_LIST == 0)
    {
      snprintf (path, sizeof path, "/v1/vms?revision=%" PRIu64,
                task->list_revision);
      task_get (task, &task->list_busy, path, task_on_list);
    }
  if (task->ticks % (NOTICE_POLLS_PER_LIST * LIST_POLLS_PER_OFFERS) == 0)
    task_get (task, &task->offers_busy, "/v1/offers", task_on_offers);
  task->ticks++;
}

const br_offers_t *
br_platform_task_offers (const br_platform_task_t *task)
{
  return &task->offers;
}

static void
order_on_done (void *context, int status, br_str_t body)
{
  order_t *order = context;
  br_platform_answer_t answer = { .status = status, .body = body };

  if (order->done != NULL)
    order->done (order->context, &answer);
  free (order);
}

static void
task_post_order (br_platform_task_t *task,
                 const char *path,
                 json_object *body,
                 const order_t *order)
{
  order_t *copy = br_alloc (sizeof *copy);

  *copy = *order;
  task_call (task, EVHTTP_REQ_POST, path,
             br_str_from (json_object_to_json_string (body)), order_on_done,
             copy);
  json_object_put (body);
}

void
br_platform_task_start_vm (br_platform_task_t *task,
                           const br_offer_t *offer,
                           br_platform_cb_t done,
                           void *context)
{
  json_object *body = json_object_new_object ();
  order_t order = { .done = done, .context = context };

  json_object_object_add (body, "class",
                          json_object_new_string (offer->machine_class.data));
  json_object_object_add (body, "failure_domain",
                          json_object_new_string (offer->failure_domain.data));
  json_object_object_add (body, "reclaimable",
                          json_object_new_boolean (offer->reclaimable));
  task_post_order (task, "/v1/start", body, &order);
}

void
br_platform_task_stop_vm (br_platform_task_t *task,
                          const br_name_t *vm,
                          br_platform_cb_t done,
                          void *context)
{
  json_object *body = json_object_new_object ();
  order_t order = { .done = done, .context = context };

  json_object_object_add (body, "vm", json_object_new_string (vm->data));
  task_post_order (task, "/v1/stop", body, &order);
}

br_platform_task_t *
br_platform_task_new (br_node_t *node)
{
  br_platform_task_t *task;
  br_ms_t period_ms = node->settings.platform_poll_ms / NOTICE_POLLS_PER_LIST;
  struct timeval period = { period_ms / 1000, period_ms % 1000 * 1000 };

  if (node->settings.platform.port == 0)
    return NULL;
  task = br_alloc_zero (sizeof *task);
  task->node = node;
  task->calls = br_http_calls_new (node->base);
  task->timer = event_new (node->base, -1, EV_PERSIST, task_on_timer, task);
  event_add (task->timer, &period);
  event_active (task->timer, EV_TIMEOUT, 0);
  return task;
}

void
br_platform_task_free (br_platform_task_t *task)
{
  if (task == NULL)
    return;
  br_http_calls_free (task->calls);
  event_free (task->timer);
  br_offers_free (&task->offers);
  free (task);
}
