/* What goes wrong in each scenario, and when. */
#include "world.h"

#define FAULT_AT_MS 15000
#define CUT_UNTIL_MS 40000
#define WAVE_GAP_MS 200
#define WAVE_DOMAINS 2
#define REPLACED_AFTER_MS 25000
#define SILENCES 3
#define SILENCE_EVERY_MS 10000

bool
world_reaches (const world_t *world, int domain_a, int domain_b)
{
  return domain_a == domain_b
         || (world->cut_domain != domain_a && world->cut_domain != domain_b);
}

br_ms_t
world_link_ms (const world_t *world, int domain_a, int domain_b)
{
  return domain_a == domain_b ? 1 : world->options.site->link_ms;
}

/* Nothing more is heard of the attempt; the entry VM's bounds end it. */
void
attempt_silence (world_t *world, request_t *request)
{
  br_ms_t bound = TOKEN_GAP_MS;
  event_t *event;

  if (request->state != REQUEST_RUNNING || request->silent)
    return;
  request->silent = true;
  request->silent_ms = world->now;
  if (request->token_at_ms == MODEL_NEVER)
    bound = BR_MAX (request->sent_ms + FIRST_TOKEN_BOUND_MS - world->now, 0);
  event = world_at (world, bound, EVENT_FAILED);
  event->request = request;
  event->attempt = request->attempt;
  event->ran = true;
}

static void
plan_wave (world_t *world)
{
  br_ms_t at = FAULT_AT_MS;

  for (int i = 0; i < world->n_upstreams; i++)
    {
      if (world->upstreams[i].domain >= WAVE_DOMAINS
          || !world->upstreams[i].reclaimable)
        continue;
      world_at (world, at, EVENT_NOTICE)->upstream = i;
      world_at (world, at + NOTICE_MS, EVENT_KILL)->upstream = i;
      world_at (world, at + NOTICE_MS + REPLACED_AFTER_MS, EVENT_START)
          ->upstream
          = i;
      at += WAVE_GAP_MS;
    }
}

void
world_plan_faults (world_t *world)
{
  switch (world->options.scenario)
    {
    case SCENARIO_RECLAIM:
      plan_wave (world);
      break;
    case SCENARIO_CUT:
      world_at (world, FAULT_AT_MS, EVENT_FAULT)->upstream = 0;
      world_at (world, CUT_UNTIL_MS, EVENT_FAULT)->upstream = MODEL_NEVER;
      break;
    case SCENARIO_SILENT:
      for (int i = 0; i < SILENCES; i++)
        world_at (world, FAULT_AT_MS + i * SILENCE_EVERY_MS, EVENT_FAULT)
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
fault_hits (const world_t *world, const request_t *request, int domain)
{
  int at = world->upstreams[request->upstream].domain;

  if (world->options.scenario == SCENARIO_CUT)
    return !world_reaches (world, world->vms[request->vm].domain, at);
  return at == domain;
}

/* A failure domain is cut off, or its open connections go silent. */
void
world_fault (world_t *world, const event_t *event)
{
  if (world->options.scenario == SCENARIO_CUT)
    world->cut_domain = event->upstream;
  if (event->upstream == MODEL_NEVER)
    return;
  for (int i = 0; i < world->n_requests; i++)
    if (world->requests[i].state == REQUEST_RUNNING
        && fault_hits (world, &world->requests[i], event->upstream))
      attempt_silence (world, &world->requests[i]);
}
