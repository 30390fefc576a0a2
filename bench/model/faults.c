/* Schedules and applies the faults of each scenario. */
#include "world.h"

#define FAULT_AT_MS 15000
#define CUT_UNTIL_MS 40000
#define WAVE_NOTICE_GAP_MS 200
#define WAVE_DOMAINS 2
#define REPLACED_AFTER_MS 25000
#define STALLS 3
#define STALL_PERIOD_MS 10000

bool
world_is_connected (const world_t *world, int domain_a, int domain_b)
{
  return domain_a == domain_b
         || (world->cut_domain != domain_a && world->cut_domain != domain_b);
}

br_ms_t
world_link_ms (const world_t *world, int domain_a, int domain_b)
{
  return domain_a == domain_b ? 1 : world->options.site->link_ms;
}

void
attempt_stall (world_t *world, request_t *request)
{
  br_ms_t timeout_ms = TOKEN_GAP_TIMEOUT_MS;
  event_t *event;

  if (request->state != REQUEST_RUNNING || request->stalled)
    return;
  request->stalled = true;
  request->stalled_ms = world->now;
  if (request->engine_first_token_ms == MODEL_NONE)
    timeout_ms
        = BR_MAX (request->sent_ms + FIRST_TOKEN_TIMEOUT_MS - world->now, 0);
  event = world_schedule (world, timeout_ms, EVENT_FAILED);
  event->request = request;
  event->attempt = request->attempt;
  event->may_have_run = true;
}

static void
plan_reclaim_wave (world_t *world)
{
  br_ms_t at = FAULT_AT_MS;

  for (int i = 0; i < world->n_upstreams; i++)
    {
      if (world->upstreams[i].domain >= WAVE_DOMAINS
          || !world->upstreams[i].reclaimable)
        continue;
      world_schedule (world, at, EVENT_NOTICE)->upstream = i;
      world_schedule (world, at + NOTICE_LEAD_MS, EVENT_KILL)->upstream = i;
      world_schedule (world, at + NOTICE_LEAD_MS + REPLACED_AFTER_MS,
                      EVENT_START)
          ->upstream
          = i;
      at += WAVE_NOTICE_GAP_MS;
    }
}

void
world_plan_faults (world_t *world)
{
  switch (world->options.scenario)
    {
    case SCENARIO_RECLAIM:
      plan_reclaim_wave (world);
      break;
    case SCENARIO_CUT:
      world_schedule (world, FAULT_AT_MS, EVENT_FAULT)->upstream = 0;
      world_schedule (world, CUT_UNTIL_MS, EVENT_FAULT)->upstream = MODEL_NONE;
      break;
    case SCENARIO_SILENT:
      for (int i = 0; i < STALLS; i++)
        world_schedule (world, FAULT_AT_MS + i * STALL_PERIOD_MS, EVENT_FAULT)
            ->upstream
            = i;
      break;
    case SCENARIO_STEADY:
    case SCENARIO_SURGE:
    case SCENARIO_CRASH:
    case SCENARIO_LAG:
    case SCENARIO_COUNT:
      break;
    }
}

static bool
fault_affects (const world_t *world, const request_t *request, int domain)
{
  int upstream_domain = world->upstreams[request->upstream].domain;

  if (world->options.scenario == SCENARIO_CUT)
    return !world_is_connected (world, world->vms[request->vm].domain,
                                upstream_domain);
  return upstream_domain == domain;
}

void
world_fault (world_t *world, const event_t *event)
{
  if (world->options.scenario == SCENARIO_CUT)
    world->cut_domain = event->upstream;
  if (event->upstream == MODEL_NONE)
    return;
  for (int i = 0; i < world->n_requests; i++)
    if (world->requests[i].state == REQUEST_RUNNING
        && fault_affects (world, &world->requests[i], event->upstream))
      attempt_stall (world, &world->requests[i]);
}
