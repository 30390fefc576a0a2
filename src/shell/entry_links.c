/* Connects to the upstreams of services that an entry VM may have lost, which
 * shows whether it reaches them. */
#include <stdlib.h>

#include "shell/entry_private.h"
#include "shell/upstream_pool.h"

/* Time between two probes of such a service, and connections in one, in
 * milliseconds.  Each one costs its upstream about what a request does. */
#define PROBE_PERIOD_MS 500
#define PROBE_CONNECTIONS 3

/* A running upstream that is reached accepts a connection within this time, in
 * milliseconds. */
#define PROBE_TIMEOUT_MS 400

struct br_link_probe
{
  br_entry_task_t *task;
  br_name_t service;
  br_name_t upstream;
  br_http_client_t *client;
  br_ms_t started_ms;
  br_link_probe_t *next;
};

static void
probe_free (br_link_probe_t *probe)
{
  br_link_probe_t **at = &probe->task->probes;

  while (*at != probe)
    at = &(*at)->next;
  *at = probe->next;
  br_http_client_free (probe->client);
  free (probe);
}

static void
probe_fail (br_link_probe_t *probe)
{
  br_entry_task_t *task = probe->task;

  br_fleet_link_failed (&task->fleet, &probe->service, &probe->upstream,
                        br_node_now (task->node));
  probe_free (probe);
}

static void
probe_on_client (void *context,
                 br_http_client_t *client,
                 const br_client_event_t *event)
{
  br_link_probe_t *probe = context;

  (void)client;
  if (event->kind != BR_CLIENT_CONNECTED)
    {
      probe_fail (probe);
      return;
    }
  br_service_link_connected (&probe->task->fleet.links, &probe->service);
  probe_free (probe);
}

static void
probe_begin (br_entry_task_t *task, const br_fleet_upstream_t *upstream)
{
  br_http_client_t *client
      = br_upstream_pool_connect (task->node->base, upstream);
  br_link_probe_t *probe;

  if (client == NULL)
    return;
  probe = br_alloc_zero (sizeof *probe);
  probe->task = task;
  probe->service = upstream->listing.service;
  probe->upstream = upstream->listing.id;
  probe->client = client;
  probe->started_ms = br_node_now (task->node);
  probe->next = task->probes;
  task->probes = probe;
  br_http_client_set_owner (client, probe_on_client, probe);
}

/* Connects to some upstreams of the service, one after the other from a random
 * one. */
static void
task_probe (br_entry_task_t *task, const br_name_t *service)
{
  size_t n = task->fleet.all.len;
  size_t from = n > 0 ? br_random_below (&task->node->random, n) : 0;
  size_t begun = 0;

  for (size_t i = 0; i < n && begun < PROBE_CONNECTIONS; i++)
    {
      const br_fleet_upstream_t *upstream
          = task->fleet.all.items[(from + i) % n];

      if (upstream->listing.draining
          || !br_name_equal (&upstream->listing.service, service))
        continue;
      probe_begin (task, upstream);
      begun++;
    }
}

/* Idle connections of a lost service may hang. */
static void
task_drop_connections (br_entry_task_t *task, const br_name_t *service)
{
  for (size_t i = 0; i < task->fleet.all.len; i++)
    if (br_name_equal (&task->fleet.all.items[i]->listing.service, service))
      br_upstream_pool_drop (task->fleet.all.items[i]);
}

static void
task_on_link_change (br_entry_task_t *task, br_service_link_t *link)
{
  br_ms_t now = br_node_now (task->node);

  link->logged_as_lost = link->is_lost;
  task->report_due = true;
  BR_LOG (&task->node->log, "site",
          link->is_lost ? "service lost" : "service reached again",
          br_field_z ("service", link->service.data),
          br_field_z ("unconnected", link->is_lost ? link->failed[0].data : ""),
          br_field_int ("lost_ms", link->lost_ms > 0 ? now - link->lost_ms : 0),
          br_field_int ("helpers", (int64_t)task->helpers.len));
  if (link->is_lost)
    task_drop_connections (task, &link->service);
}

void
br_entry_links_tick (br_entry_task_t *task)
{
  br_ms_t now = br_node_now (task->node);
  br_link_probe_t *probe = task->probes;
  br_link_probe_t *next;

  for (; probe != NULL; probe = next)
    {
      next = probe->next;
      if (now - probe->started_ms >= PROBE_TIMEOUT_MS)
        probe_fail (probe);
    }
  for (size_t i = 0; i < task->fleet.links.len; i++)
    {
      br_service_link_t *link = &task->fleet.links.items[i];
      br_entry_service_t *service;

      if (link->is_lost != link->logged_as_lost)
        task_on_link_change (task, link);
      if (!link->is_suspected)
        continue;
      service = br_entry_service (task, br_name_str (&link->service));
      if (now - service->probed_ms < PROBE_PERIOD_MS)
        continue;
      service->probed_ms = now;
      task_probe (task, &link->service);
    }
}

void
br_entry_free_probes (br_entry_task_t *task)
{
  while (task->probes != NULL)
    probe_free (task->probes);
}

void
br_entry_set_helpers (br_entry_task_t *task,
                      Br__Site__Helper *const *helpers,
                      size_t n)
{
  br_name_t name;

  br_helpers_release (&task->helpers);
  for (size_t i = 0; i < n; i++)
    {
      br_helper_t *helper;

      if (!br_name_set (&name, br_str_from (helpers[i]->vm)) || name.len == 0
          || br_name_equal (&name, &task->node->settings.vm))
        continue;
      helper = br_helpers_add (&task->helpers, &name);
      for (size_t j = 0; j < helpers[i]->n_lost_services; j++)
        if (br_name_set (&name, br_str_from (helpers[i]->lost_services[j])))
          br_names_push (&helper->lost, name);
    }
}
