#include "shell/upstream_watch.h"

#include <string.h>

#include "domain/watcher.h"
#include "shell/domain_task.h"
#include "shell/http_call.h"
#include "upstream/load_digest.h"

/* Time between two probes of one upstream. */
#define PROBE_PERIOD_MS 500
#define PROBE_TIMEOUT_MS 1000

/* Consecutive failed probes after which an upstream counts as down. */
#define FAILURES_MAX 2

/* Load reports go to VMs of other failure domains once in this many periods. */
#define REMOTE_PERIODS 2

/* A probe of one upstream that has no answer yet. */
typedef struct probe
{
  br_upstream_watch_t *watch;
  br_name_t upstream;
  uint64_t incarnation;
  br_ms_t sent_ms;
  bool for_load;
  struct probe *next;
} probe_t;

/* Number of consecutive probes that an upstream did not answer. */
typedef struct
{
  br_name_t upstream;
  int n;
} failures_t;

BR_VEC (failures_list, failures_t);

struct br_upstream_watch
{
  br_node_t *node;
  br_http_calls_t *calls;
  struct event *timer;
  probe_t *probes;
  failures_list_t failures;
  br_load_reports_t reports; /* of this period */
  br_load_reports_t remote;  /* not yet sent to other failure domains */
  uint64_t periods;
};

void
br_upstream_watch_set_down (br_upstream_watch_t *watch,
                            const br_name_t *name,
                            bool down)
{
  br_node_t *node = watch->node;
  br_upstream_t *upstream
      = br_registry_find (&node->registry, br_name_str (name));
  br_node_message_t message = { .kind = BR_NODE_UPSTREAM_CHANGED };

  if (upstream == NULL
      || !br_upstream_set_down (upstream, down, br_node_now (node)))
    return;
  BR_LOG (&node->log, "upstream", down ? "down" : "back",
          br_field_str ("peer", br_name_str (name)));
  message.member.name = *name;
  message.member.incarnation = upstream->incarnation;
  br_node_post (node, message);
}

static void
reports_put (br_load_reports_t *reports, const br_load_report_t *report)
{
  for (size_t i = 0; i < reports->len; i++)
    if (br_name_equal (&reports->items[i].name, &report->name))
      {
        reports->items[i] = *report;
        return;
      }
  br_load_reports_push (reports, *report);
}

static void
watch_report (br_upstream_watch_t *watch, const br_upstream_t *upstream)
{
  br_load_report_t report = {
    .name = upstream->name,
    .incarnation = upstream->incarnation,
    .down = upstream->down,
    .load = upstream->load,
  };

  reports_put (&watch->reports, &report);
  reports_put (&watch->remote, &report);
}

static failures_t *
watch_failures (br_upstream_watch_t *watch, const br_name_t *upstream)
{
  failures_t added = { .upstream = *upstream };

  for (size_t i = 0; i < watch->failures.len; i++)
    if (br_name_equal (&watch->failures.items[i].upstream, upstream))
      return &watch->failures.items[i];
  return failures_list_push (&watch->failures, added);
}

static void
watch_set_load (br_upstream_watch_t *watch,
                const probe_t *probe,
                br_upstream_t *upstream,
                br_str_t body)
{
  br_load_t load;
  br_error_t err;

  if (br_load_read (body, upstream->name.data, probe->sent_ms, &load, &err))
    {
      br_upstream_set_load (upstream, &load);
      return;
    }
  br_log_error (&watch->node->log, "upstream", "bad_load", &err);
  br_counters_add (&watch->node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
}

static void
watch_on_result (br_upstream_watch_t *watch,
                 const probe_t *probe,
                 int status,
                 br_str_t body)
{
  br_upstream_t *upstream = br_registry_find (&watch->node->registry,
                                              br_name_str (&probe->upstream));
  bool is_answered = status != 0 && status != BR_HTTP_CALL_INVALID;
  failures_t *failures;

  if (upstream == NULL || upstream->incarnation != probe->incarnation)
    return;
  failures = watch_failures (watch, &probe->upstream);
  failures->n = is_answered ? 0 : failures->n + 1;
  if (status == HTTP_OK && probe->for_load)
    watch_set_load (watch, probe, upstream, body);
  if (is_answered || failures->n >= FAILURES_MAX)
    br_upstream_watch_set_down (watch, &probe->upstream, !is_answered);
  if (probe->for_load)
    watch_report (watch, upstream);
}

static void
probe_free (probe_t *probe)
{
  probe_t **at = &probe->watch->probes;

  while (*at != probe)
    at = &(*at)->next;
  *at = probe->next;
  free (probe);
}

static void
probe_on_done (void *context, int status, br_str_t body)
{
  probe_t *probe = context;

  watch_on_result (probe->watch, probe, status, body);
  probe_free (probe);
}

static bool
watch_is_probing (const br_upstream_watch_t *watch, const br_name_t *upstream)
{
  for (const probe_t *each = watch->probes; each != NULL; each = each->next)
    if (br_name_equal (&each->upstream, upstream))
      return true;
  return false;
}

static void
watch_probe (br_upstream_watch_t *watch,
             const br_upstream_t *upstream,
             bool for_load)
{
  probe_t *probe;
  br_http_call_options_t options = {
    .address = upstream->address,
    .port = upstream->port,
    .method = EVHTTP_REQ_GET,
    .path = for_load ? "/v1/load" : "/health",
    .timeout_ms = PROBE_TIMEOUT_MS,
    .done = probe_on_done,
  };

  if (watch_is_probing (watch, &upstream->name))
    return;
  probe = br_alloc_zero (sizeof *probe);
  probe->watch = watch;
  probe->upstream = upstream->name;
  probe->incarnation = upstream->incarnation;
  probe->sent_ms = br_node_now (watch->node);
  probe->for_load = for_load;
  probe->next = watch->probes;
  watch->probes = probe;
  options.context = probe;
  br_http_call (watch->calls, &options);
}

static void
watch_send_reports (br_upstream_watch_t *watch,
                    const br_load_reports_t *reports,
                    bool to_own_domain)
{
  br_node_t *node = watch->node;
  const br_members_t *members = br_domain_task_members (node->domain);

  for (size_t from = 0; from < reports->len; from += BR_LOAD_REPORTS_MAX)
    {
      size_t n = BR_MIN (reports->len - from, (size_t)BR_LOAD_REPORTS_MAX);
      br_buf_t payload = { 0 };

      br_load_digest_pack (&reports->items[from], n, br_node_now (node),
                           &payload);
      for (size_t i = 0; i < members->len; i++)
        if (members->items[i].vm.state != BR_VM_DOWN
            && br_name_equal (&members->items[i].failure_domain,
                              &node->settings.failure_domain)
                   == to_own_domain)
          br_node_send (node, &members->items[i].vm.name, BR_PART_UPSTREAM,
                        br_buf_str (&payload));
      br_buf_free (&payload);
    }
}

static void
watch_probe_all (br_upstream_watch_t *watch)
{
  br_node_t *node = watch->node;
  br_watcher_self_t self = {
    .vm = node->settings.vm,
    .failure_domain = node->settings.failure_domain,
  };

  for (size_t i = 0; i < node->registry.upstreams.len; i++)
    {
      const br_upstream_t *each = &node->registry.upstreams.items[i];

      if (br_watcher_rank (&self, br_domain_task_members (node->domain),
                           &each->name, &each->failure_domain)
          == 0)
        watch_probe (watch, each, true);
      else if (each->down)
        watch_probe (watch, each, false);
    }
}

static void
watch_on_timer (evutil_socket_t fd, short what, void *context)
{
  br_upstream_watch_t *watch = context;

  (void)fd;
  (void)what;
  watch_send_reports (watch, &watch->reports, true);
  br_load_reports_clear (&watch->reports);
  if (++watch->periods % REMOTE_PERIODS == 0)
    {
      watch_send_reports (watch, &watch->remote, false);
      br_load_reports_clear (&watch->remote);
    }
  br_registry_sweep (&watch->node->registry);
  watch_probe_all (watch);
}

static void
watch_apply_report (br_upstream_watch_t *watch, const br_load_report_t *report)
{
  br_upstream_t *upstream
      = br_registry_find (&watch->node->registry, br_name_str (&report->name));

  if (upstream == NULL || upstream->incarnation != report->incarnation)
    return;
  if (report->load.known)
    br_upstream_set_load (upstream, &report->load);
  if (report->down)
    br_upstream_watch_set_down (watch, &report->name, true);
}

void
br_upstream_watch_receive (br_upstream_watch_t *watch,
                           const br_peer_message_t *message)
{
  br_node_t *node = watch->node;
  br_load_reports_t reports;
  br_error_t err;

  if (!br_load_digest_unpack (br_buf_str (&message->payload), message->vm.data,
                              br_node_now (node), &reports, &err))
    {
      br_log_error (&node->log, "upstream", "bad_message", &err);
      br_counters_add (&node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
    }
  else
    for (size_t i = 0; i < reports.len; i++)
      watch_apply_report (watch, &reports.items[i]);
  br_load_reports_free (&reports);
}

br_upstream_watch_t *
br_upstream_watch_new (br_node_t *node)
{
  br_upstream_watch_t *watch = br_alloc_zero (sizeof *watch);
  struct timeval period = { 0, PROBE_PERIOD_MS * 1000 };

  watch->node = node;
  watch->calls = br_http_calls_new (node->base);
  watch->timer = event_new (node->base, -1, EV_PERSIST, watch_on_timer, watch);
  event_add (watch->timer, &period);
  return watch;
}

void
br_upstream_watch_free (br_upstream_watch_t *watch)
{
  if (watch == NULL)
    return;
  br_http_calls_free (watch->calls);
  while (watch->probes != NULL)
    probe_free (watch->probes);
  event_free (watch->timer);
  failures_list_free (&watch->failures);
  br_load_reports_free (&watch->reports);
  br_load_reports_free (&watch->remote);
  free (watch);
}
