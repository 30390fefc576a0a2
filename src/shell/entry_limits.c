/* Shares the limits that upstreams name with the leading control VM, and gets
 * the permits to send them requests. */
#include <stdlib.h>

#include "shell/exchange_private.h"
#include "shell/site_message.h"

/* Limits are sent at least this often, in milliseconds, so that a new leader
 * learns them. */
#define SEND_PERIOD_MS 500

static void
entry_update_rates (br_entry_task_t *task)
{
  for (size_t i = 0; i < task->services.len; i++)
    {
      br_entry_service_t *service = &task->services.items[i];
      service->requests_per_s = br_upstream_limit_update_rate (
          service->requests_per_s, service->tick_requests, BR_ENTRY_TICK_MS);
      service->tick_requests = 0;
    }
}

/* Returns the number of requests to the service that wait for a permit. */
static size_t
entry_waiting_for (const br_entry_task_t *task, const br_name_t *service)
{
  size_t n = 0;

  for (const br_exchange_t *exchange = task->exchanges; exchange != NULL;
       exchange = exchange->next)
    n += exchange->permit_until_ms > br_exchange_now (exchange)
         && exchange->upstream == NULL
         && br_name_equal (&exchange->service->name, service);
  return n;
}

/* Returns what this VM needs of the upstream: an equal part of its requests to
 * the service, and of those that wait. */
static br_permit_need_t
entry_need_at (br_entry_task_t *task, const br_fleet_upstream_t *upstream)
{
  const br_name_t *service = &upstream->listing.service;
  br_permit_need_t need = {
    .entries = task->entries,
    .period_ms = BR_ENTRY_TICK_MS,
    .draw = br_random_unit (&task->node->random),
  };
  size_t upstreams = 0;
  size_t limited = 0;

  for (size_t i = 0; i < task->fleet.all.len; i++)
    {
      const br_fleet_upstream_t *each = task->fleet.all.items[i];

      if (each->listing.draining
          || !br_name_equal (&each->listing.service, service))
        continue;
      upstreams++;
      limited += each->limit.statement.named ? 1 : 0;
    }
  limited = BR_MAX (limited, 1);
  need.per_s = br_entry_service (task, br_name_str (service))->requests_per_s
               / (double)BR_MAX (upstreams, 1);
  need.waiting
      = (uint32_t)((entry_waiting_for (task, service) + limited - 1) / limited);
  return need;
}

static void
entry_issue_alone (br_entry_task_t *task)
{
  br_ms_t now = br_node_now (task->node);

  for (size_t i = 0; i < task->fleet.all.len; i++)
    if (task->fleet.all.items[i]->limit.statement.named)
      br_upstream_limit_issue_alone (&task->fleet.all.items[i]->limit,
                                     task->entries,
                                     br_random_unit (&task->node->random), now);
}

/* Fills LIMIT with a known limit and the permits that are requested. */
static void
entry_fill_limit (br_entry_task_t *task,
                  br_fleet_upstream_t *upstream,
                  Br__Site__Limit *limit)
{
  const br_limit_statement_t *statement = &upstream->limit.statement;
  br_permit_need_t need = entry_need_at (task, upstream);
  br_ms_t now = br_node_now (task->node);

  *limit = (Br__Site__Limit)BR__SITE__LIMIT__INIT;
  limit->upstream = upstream->listing.id.data;
  limit->incarnation = upstream->listing.started_ms;
  limit->named = statement->named;
  limit->per_s = statement->per_s;
  limit->age_ms = (uint64_t)(now - statement->said_ms);
  if (statement->named && !upstream->listing.draining)
    {
      limit->permits = br_upstream_limit_request (&upstream->limit, &need, now);
      limit->waiting = need.waiting;
    }
}

/* Sends the limits if permits are needed, a limit has changed, or the last
 * message is old. */
static void
entry_send_limits (br_entry_task_t *task)
{
  br_ms_t now = br_node_now (task->node);
  size_t max = task->fleet.all.len;
  Br__Site__Limit *wire = br_alloc ((max + 1) * sizeof *wire);
  Br__Site__Limit **views = br_alloc ((max + 1) * sizeof *views);
  Br__Site__Limits body = BR__SITE__LIMITS__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  bool due
      = task->limits_changed || now - task->limits_sent_ms >= SEND_PERIOD_MS;

  for (size_t i = 0; i < max; i++)
    {
      br_fleet_upstream_t *upstream = task->fleet.all.items[i];

      if (!upstream->limit.was_named)
        continue;
      views[body.n_limits] = &wire[body.n_limits];
      entry_fill_limit (task, upstream, &wire[body.n_limits]);
      due = due || wire[body.n_limits].permits > 0;
      body.n_limits++;
    }
  if (due && body.n_limits > 0)
    {
      body.limits = views;
      body.requested_ms = (uint64_t)now;
      message.body_case = BR__SITE__MESSAGE__BODY_LIMITS;
      message.limits = &body;
      br_site_send (task->node, &task->leader, &message);
      task->limits_sent_ms = now;
      task->limits_changed = false;
    }
  free (wire);
  free (views);
}

void
br_entry_limits_tick (br_entry_task_t *task, bool has_leader)
{
  entry_update_rates (task);
  if (has_leader)
    entry_send_limits (task);
  else
    {
      entry_issue_alone (task);
      br_exchanges_resume_limited (task);
    }
}

static void
entry_receive_limit (br_entry_task_t *task,
                     const Br__Site__Limit *received,
                     br_ms_t requested_ms)
{
  br_node_t *node = task->node;
  br_ms_t now = br_node_now (node);
  br_fleet_upstream_t *upstream
      = br_fleet_find (&task->fleet, br_str_from (received->upstream));
  br_limit_statement_t statement = {
    .named = received->named,
    .per_s = received->per_s,
    .said_ms = now - (br_ms_t)received->age_ms,
  };

  if (upstream == NULL || upstream->listing.started_ms != received->incarnation)
    return;
  if (br_upstream_limit_receive (&upstream->limit, &statement))
    BR_LOG (&node->log, "site",
            statement.named ? "upstream limits requests" : "limit ended",
            br_field_z ("upstream", upstream->listing.id.data),
            br_field_int ("born", (int64_t)upstream->listing.started_ms),
            br_field_z ("source", "control VM"),
            br_field_int ("per_1000_s", (int64_t)(statement.per_s * 1000)),
            br_field_int ("under_way", upstream->in_flight));
  if (requested_ms > 0)
    br_upstream_limit_grant (&upstream->limit, received->permits, requested_ms,
                             now);
}

void
br_entry_on_limits (br_entry_task_t *task, const Br__Site__Limits *limits)
{
  for (size_t i = 0; i < limits->n_limits; i++)
    entry_receive_limit (task, limits->limits[i],
                         (br_ms_t)limits->requested_ms);
  br_exchanges_resume_limited (task);
}
