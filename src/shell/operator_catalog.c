#include "shell/operator_catalog.h"

#include <inttypes.h>

#define COMPILE_INTERVAL_MIN_MS 50

/* Period of the reports that repeat the revision in force. */
#define REPORT_PERIOD_MS 1000

typedef struct
{
  br_name_t vm;
  uint64_t revision;
  br_ms_t last_seen_ms; /* 0: never */
} peer_report_t;

BR_VEC (peer_reports, peer_report_t);

struct br_operator_catalog
{
  br_node_t *node;
  peer_reports_t reports;      /* of the other VMs of the settings */
  struct event *compile_timer; /* pending while the state is ahead */
  struct event *report_timer;
  br_ms_t compiled_ms;
};

static void
catalog_send_report (br_operator_catalog_t *catalog, const br_name_t *vm)
{
  br_node_t *node = catalog->node;
  Br__State__Report report = BR__STATE__REPORT__INIT;
  br_buf_t payload = { 0 };
  size_t len;

  report.revision = node->catalog.revision;
  report.applied = br_state_applied (node->state);
  len = br__state__report__get_packed_size (&report);
  br_buf_reserve (&payload, len);
  payload.len = br__state__report__pack (&report, (uint8_t *)payload.data);
  br_node_send (node, vm, BR_PART_STATE, br_buf_str (&payload));
  br_buf_free (&payload);
}

static void
catalog_report_all (br_operator_catalog_t *catalog)
{
  for (size_t i = 0; i < catalog->reports.len; i++)
    catalog_send_report (catalog, &catalog->reports.items[i].vm);
}

static void
catalog_add_declaration (const br_declaration_t *declaration, void *context)
{
  br_operator_catalog_t *catalog = context;
  br_error_t err;

  /* The VM that proposed the declaration checked it, but it may run another
   * version of the program. */
  if (!br_catalog_add (&catalog->node->catalog, br_str_from (declaration->json),
                       &err))
    br_log_error (&catalog->node->log, "operator", "declaration_ignored", &err);
}

static void
catalog_compile (br_operator_catalog_t *catalog)
{
  br_node_t *node = catalog->node;
  br_node_message_t message = { .kind = BR_NODE_CATALOG_CHANGED };

  br_catalog_release (&node->catalog);
  node->catalog = (br_catalog_t){ 0 };
  br_state_each_declaration (node->state, catalog_add_declaration, catalog);
  node->catalog.revision = br_state_revision (node->state);
  catalog->compiled_ms = br_node_now (node);
  BR_LOG (&node->log, "operator", "in_force",
          br_field_int ("revision", (int64_t)node->catalog.revision));
  br_node_post (node, message);
  catalog_report_all (catalog);
}

static void
catalog_on_compile_timer (evutil_socket_t fd, short what, void *context)
{
  br_operator_catalog_t *catalog = context;

  (void)fd;
  (void)what;
  if (br_state_revision (catalog->node->state)
      != catalog->node->catalog.revision)
    catalog_compile (catalog);
}

void
br_operator_catalog_on_applied (br_operator_catalog_t *catalog)
{
  br_ms_t since = br_node_now (catalog->node) - catalog->compiled_ms;
  struct timeval delay = { 0, (COMPILE_INTERVAL_MIN_MS - since) * 1000 };

  if (br_state_revision (catalog->node->state)
      == catalog->node->catalog.revision)
    return;
  if (since >= COMPILE_INTERVAL_MIN_MS)
    catalog_compile (catalog);
  else if (!evtimer_pending (catalog->compile_timer, NULL))
    evtimer_add (catalog->compile_timer, &delay);
}

static void
catalog_on_report_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  catalog_report_all (context);
}

void
br_operator_catalog_on_peer_up (br_operator_catalog_t *catalog,
                                const br_name_t *vm)
{
  catalog_send_report (catalog, vm);
}

void
br_operator_catalog_on_report (br_operator_catalog_t *catalog,
                               const br_peer_message_t *message)
{
  Br__State__Report *report = br__state__report__unpack (
      NULL, message->payload.len, (const uint8_t *)message->payload.data);
  br_error_t err;

  if (report == NULL)
    {
      br_error_set (&err, BR_ERROR_PROTOCOL, "read report", message->vm.data,
                    "the report does not parse");
      br_log_error (&catalog->node->log, "operator", "bad_message", &err);
      br_counters_add (&catalog->node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
      return;
    }
  for (size_t i = 0; i < catalog->reports.len; i++)
    {
      peer_report_t *each = &catalog->reports.items[i];

      if (!br_name_equal (&each->vm, &message->vm))
        continue;
      each->revision = report->revision;
      each->last_seen_ms = br_node_now (catalog->node);
    }
  br__state__report__free_unpacked (report, NULL);
}

static uint64_t
catalog_newest (const br_operator_catalog_t *catalog)
{
  uint64_t newest = catalog->node->catalog.revision;

  for (size_t i = 0; i < catalog->reports.len; i++)
    newest = BR_MAX (newest, catalog->reports.items[i].revision);
  return newest;
}

static void
print_vm (const br_name_t *vm,
          uint64_t revision,
          uint64_t newest,
          br_ms_t last_seen_ms_ago,
          br_buf_t *out)
{
  br_buf_printf (out,
                 "{\"vm\":\"%s\",\"revision\":%" PRIu64
                 ",\"lags\":%s,\"heard_ms_ago\":%" PRId64 "}",
                 vm->data, revision, revision < newest ? "true" : "false",
                 last_seen_ms_ago);
}

void
br_operator_catalog_print (const br_operator_catalog_t *catalog, br_buf_t *out)
{
  const br_node_t *node = catalog->node;
  uint64_t newest = catalog_newest (catalog);

  print_vm (&node->settings.vm, node->catalog.revision, newest, 0, out);
  for (size_t i = 0; i < catalog->reports.len; i++)
    {
      const peer_report_t *each = &catalog->reports.items[i];

      br_buf_append_char (out, ',');
      print_vm (&each->vm, each->revision, newest,
                each->last_seen_ms > 0 ? br_node_now (node) - each->last_seen_ms
                                       : -1,
                out);
    }
}

br_operator_catalog_t *
br_operator_catalog_new (br_node_t *node)
{
  br_operator_catalog_t *catalog = br_alloc_zero (sizeof *catalog);
  struct timeval period = { REPORT_PERIOD_MS / 1000, 0 };

  catalog->node = node;
  for (size_t i = 0; i < node->settings.vms.len; i++)
    {
      peer_report_t report = { .vm = node->settings.vms.items[i].name };

      peer_reports_push (&catalog->reports, report);
    }
  catalog->compile_timer
      = evtimer_new (node->base, catalog_on_compile_timer, catalog);
  catalog->report_timer = event_new (node->base, -1, EV_PERSIST,
                                     catalog_on_report_timer, catalog);
  event_add (catalog->report_timer, &period);
  return catalog;
}

void
br_operator_catalog_free (br_operator_catalog_t *catalog)
{
  peer_reports_free (&catalog->reports);
  event_free (catalog->compile_timer);
  event_free (catalog->report_timer);
  free (catalog);
}
