/* Handles the signals in upstreams' answers: announced leaving, limits and
 * Retry-After. */
#include "shell/entry_private.h"

void
br_entry_upstream_leaving (br_entry_task_t *task,
                           br_fleet_upstream_t *upstream,
                           br_str_t request)
{
  br_node_t *node = task->node;

  if (!br_fleet_mark_leaving (upstream, br_node_now (node)))
    return;
  br_quarantine_discard (&node->quarantine, &upstream->listing.id,
                         upstream->listing.started_ms);
  br_counters_add (&node->counters, BR_COUNTER_UPSTREAMS_LEAVING, 1);
  BR_LOG (&node->log, "site", "upstream leaves",
          br_field_z ("upstream", upstream->listing.id.data),
          br_field_int ("born", (int64_t)upstream->listing.started_ms),
          br_field_z ("source", "answer"), br_field_str ("id", request),
          br_field_int ("under_way", upstream->in_flight));
  /* Sends the report at once, so that the other VMs stop using it too. */
  task->report_due = true;
  event_active (task->timer, EV_TIMEOUT, 0);
}

void
br_entry_upstream_limit (br_entry_task_t *task,
                         br_fleet_upstream_t *upstream,
                         const br_outcome_head_t *outcome,
                         br_str_t request)
{
  br_node_t *node = task->node;
  br_limit_statement_t statement = {
    .named = outcome->has_limit,
    .per_s = outcome->limit_per_s,
    .said_ms = br_node_now (node),
  };

  if (outcome->limit_unreadable)
    {
      if (upstream->limit.unreadable)
        return;
      upstream->limit.unreadable = true;
      BR_LOG (&node->log, "site", "unreadable limit",
              br_field_z ("upstream", upstream->listing.id.data),
              br_field_str ("id", request));
      return;
    }
  upstream->limit.unreadable = false;
  if (!br_upstream_limit_receive (&upstream->limit, &statement))
    return;
  task->limits_changed = true;
  BR_LOG (&node->log, "site",
          statement.named ? "upstream limits requests" : "limit ended",
          br_field_z ("upstream", upstream->listing.id.data),
          br_field_int ("born", (int64_t)upstream->listing.started_ms),
          br_field_z ("source", "answer"), br_field_str ("id", request),
          br_field_int ("per_1000_s", (int64_t)(statement.per_s * 1000)),
          br_field_int ("under_way", upstream->in_flight));
}

void
br_entry_upstream_pace (br_entry_task_t *task,
                        br_fleet_upstream_t *upstream,
                        const br_outcome_head_t *outcome,
                        br_str_t request)
{
  br_node_t *node = task->node;

  if (!outcome->has_pace)
    return;
  br_fleet_receive_pace (upstream, outcome->pace, br_node_now (node));
  if (!outcome->pace_unreadable)
    return;
  br_counters_add (&node->counters, BR_COUNTER_PACES_UNREADABLE, 1);
  if (upstream->speed.pace_unreadable)
    return;
  upstream->speed.pace_unreadable = true;
  BR_LOG (&node->log, "site", "unreadable pace",
          br_field_z ("upstream", upstream->listing.id.data),
          br_field_str ("id", request));
}

void
br_entry_upstream_retry_after (br_entry_task_t *task,
                               br_fleet_upstream_t *upstream,
                               const br_outcome_head_t *outcome,
                               br_str_t request)
{
  br_node_t *node = task->node;
  br_ms_t now = br_node_now (node);

  br_fleet_back_off (upstream, outcome->retry_after_ms,
                     br_random_unit (&node->random), now);
  br_counters_add (&node->counters, BR_COUNTER_UPSTREAMS_RETRY_AFTER, 1);
  BR_LOG (&node->log, "site",
          outcome->retry_after_unreadable ? "unreadable Retry-After"
                                          : "upstream held off",
          br_field_z ("upstream", upstream->listing.id.data),
          br_field_str ("id", request),
          br_field_int ("told_ms", outcome->retry_after_ms),
          br_field_int ("for_ms", upstream->backoff_until_ms - now));
}

size_t
br_entry_report_leaving (const br_entry_task_t *task,
                         Br__Site__Leaving *wire,
                         Br__Site__Leaving **views)
{
  size_t n = 0;

  for (size_t i = 0; i < task->fleet.all.len; i++)
    {
      const br_fleet_upstream_t *upstream = task->fleet.all.items[i];

      if (!upstream->announced_leaving)
        continue;
      wire[n] = (Br__Site__Leaving)BR__SITE__LEAVING__INIT;
      wire[n].id = (char *)upstream->listing.id.data;
      wire[n].incarnation = upstream->listing.started_ms;
      views[n] = &wire[n];
      n++;
    }
  return n;
}
