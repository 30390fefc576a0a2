/* Keeps the paces and speeds of upstreams that entry VMs report, and adds them
 * to what the leader sends. */
#include "shell/control_private.h"

void
br_control_receive_speeds (br_control_task_t *task,
                           Br__Site__UpstreamLoad *const *loads,
                           size_t n_loads,
                           br_ms_t now)
{
  for (size_t i = 0; i < n_loads; i++)
    {
      br_speed_report_t report = {
        .pace = loads[i]->pace,
        .pace_age_ms
        = (br_ms_t)BR_MIN (loads[i]->pace_age_ms, (uint64_t)BR_PACE_LIFE_MS),
        .sum = loads[i]->speed_sum,
        .weight = loads[i]->speed_weight,
      };

      if (br_name_set (&report.upstream, br_str_from (loads[i]->id)))
        br_speed_pool_receive (&task->speeds, &report, now);
    }
}

static bool
listing_is_first_of_service (const br_listings_t *listings, size_t at)
{
  for (size_t i = 0; i < at; i++)
    if (br_name_equal (&listings->items[i].service,
                       &listings->items[at].service))
      return false;
  return true;
}

/* Logs the slowest and the fastest of the upstreams, in percent. */
static void
log_speeds (br_control_task_t *task,
            const char *event,
            const br_name_t *service,
            const br_name_t *const *upstreams,
            size_t n)
{
  const br_pooled_speed_t *slowest = NULL;
  const br_pooled_speed_t *fastest = NULL;

  for (size_t i = 0; i < n; i++)
    {
      const br_pooled_speed_t *item
          = br_speed_pool_find (&task->speeds, upstreams[i]);

      if (item == NULL)
        continue;
      if (slowest == NULL || item->speed < slowest->speed)
        slowest = item;
      if (fastest == NULL || item->speed > fastest->speed)
        fastest = item;
    }
  BR_LOG (&task->node->log, "site", event,
          br_field_z ("service", service->data),
          br_field_int ("upstreams", (int64_t)n),
          br_field_z ("slowest", slowest != NULL ? slowest->upstream.data : ""),
          br_field_int ("slowest_speed",
                        slowest != NULL ? (int64_t)(100 * slowest->speed) : 0),
          br_field_z ("fastest", fastest != NULL ? fastest->upstream.data : ""),
          br_field_int ("fastest_speed",
                        fastest != NULL ? (int64_t)(100 * fastest->speed) : 0));
}

static void
task_decide_service (br_control_task_t *task,
                     const br_name_t *service,
                     const br_name_t **upstreams)
{
  const char *event = NULL;
  size_t n = 0;

  for (size_t i = 0; i < task->listings.len; i++)
    if (br_name_equal (&task->listings.items[i].service, service))
      upstreams[n++] = &task->listings.items[i].id;
  switch (br_speed_pool_decide (&task->speeds, service, upstreams, n))
    {
    case BR_SPEEDS_UNCHANGED:
      return;
    case BR_SPEEDS_BEGAN:
      event = "speeds in force";
      break;
    case BR_SPEEDS_ENDED:
      event = "speeds no longer in force";
      break;
    }
  log_speeds (task, event, service, upstreams, n);
}

void
br_control_decide_speeds (br_control_task_t *task, br_ms_t now)
{
  const br_name_t **upstreams
      = br_alloc ((task->listings.len + 1) * sizeof *upstreams);

  br_speed_pool_trim (&task->speeds, now);
  for (size_t i = 0; i < task->listings.len; i++)
    if (listing_is_first_of_service (&task->listings, i))
      task_decide_service (task, &task->listings.items[i].service, upstreams);
  free (upstreams);
}

void
br_control_add_speeds (const br_control_task_t *task,
                       bool with_speeds,
                       br_ms_t now,
                       br_load_sums_t *sums)
{
  for (size_t i = 0; i < task->speeds.list.len; i++)
    {
      const br_pooled_speed_t *item = &task->speeds.list.items[i];
      br_load_sum_t load = { .upstream = item->upstream };

      if (br_pace_is_fresh (&item->pace, now))
        {
          load.pace = item->pace.percent;
          load.pace_age_ms = BR_MAX (now - item->pace.said_ms, 0);
        }
      if (with_speeds)
        load.speed = item->speed;
      if (load.pace > 0 || load.speed > 0)
        br_load_sums_add (sums, &load);
    }
}
