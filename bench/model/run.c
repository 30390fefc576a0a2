/* Runs the simulation once and collects its result. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define MS_PER_HOUR 3600000.0
#define ENGINE_SLOTS 16
#define ENGINE_PREFILL_PER_S 4000
#define SERVICE_SLOTS 8
#define PRICE_ON_DEMAND 3.0
#define PRICE_RECLAIMABLE 1.0
#define PRICE_SERVICE 0.5

/* Time for work to finish after the last request. */
#define FINISH_MS 120000

const site_options_t site_options[] = {
  { "Rocha",
    { "castillos", "lascano", "chuy", "la-paloma" },
    7,
    12,
    4,
    4,
    26,
    1200,
    120 },
  { "Kovacik",
    { "trnava-a", "nitra-b", "bratislava-c", "senec-d" },
    6,
    9,
    4,
    7,
    11.5,
    2400,
    250 },
};
const size_t n_site_options = BR_N_ELEMENTS (site_options);

const char *
arm_name (arm_t arm)
{
  static const char *const names[] = {
#define X(id, name) name,
    ARM_TABLE (X)
#undef X
  };

  return names[arm];
}

const char *
scenario_name (scenario_t scenario)
{
  static const char *const names[] = {
#define X(id, name) name,
    SCENARIO_TABLE (X)
#undef X
  };

  return names[scenario];
}

static void
world_make_upstreams (world_t *world)
{
  const site_options_t *site = world->options.site;

  world->n_upstreams = site->n_engines + site->n_services;
  world->upstreams
      = br_alloc_zero ((size_t)world->n_upstreams * sizeof *world->upstreams);
  for (int i = 0; i < world->n_upstreams; i++)
    {
      upstream_t *upstream = &world->upstreams[i];
      char name[32];

      upstream->plain = i >= site->n_engines;
      snprintf (name, sizeof name, "%s-%d", upstream->plain ? "ledger" : "e",
                i);
      upstream->name = br_name_from (name);
      upstream->domain = i % DOMAINS_MAX;
      /* 5 of 9 engines are reclaimable, spread over all failure domains. */
      upstream->reclaimable = !upstream->plain && i * 5 % 9 < 5;
      upstream->up = true;
      upstream->incarnation = 1;
      upstream->slots = upstream->plain ? SERVICE_SLOTS : ENGINE_SLOTS;
      upstream->prefill_per_s = ENGINE_PREFILL_PER_S;
      upstream->token_ms = ENGINE_TOKEN_MS;
      upstream->leave_by_ms = MODEL_NONE;
      upstream->price = upstream->plain         ? PRICE_SERVICE
                        : upstream->reclaimable ? PRICE_RECLAIMABLE
                                                : PRICE_ON_DEMAND;
    }
}

static void
world_make_vms (world_t *world)
{
  br_error_t err;

  br_catalog_add (&world->catalog,
                  br_str_from ("{\"kind\":\"service\",\"name\":\"lm\","
                               "\"selector\":\"kind=lm\"}"),
                  &err);
  br_catalog_add (&world->catalog,
                  br_str_from ("{\"kind\":\"service\",\"name\":\"ledger\","
                               "\"answers\":\"plain\",\"repeatable\":false,"
                               "\"selector\":\"kind=ledger\"}"),
                  &err);
  for (int i = 0; i < world->options.site->n_vms; i++)
    {
      vm_t *vm = &world->vms[i];
      char name[16];

      snprintf (name, sizeof name, "vm-%d", i);
      vm->name = br_name_from (name);
      vm->domain = i % DOMAINS_MAX;
      vm->next_upstream = i;
      vm_start (world, vm);
      world_schedule (world, i, EVENT_TICK)->vm = i;
    }
}

static void
upstream_start (world_t *world, upstream_t *upstream)
{
  upstream->up = true;
  upstream->up_since_ms = world->now;
  upstream->prefill_free_ms = world->now;
  upstream->incarnation++;
}

static void
upstream_send_reports (world_t *world, int number)
{
  upstream_t *upstream = &world->upstreams[number];
  br_ms_t lag = world->options.scenario == SCENARIO_LAG ? LATE_REPORT_DELAY_MS
                                                        : REPORT_DELAY_MS;

  world_schedule (world, REPORT_PERIOD_MS, EVENT_REPORT)->upstream = number;
  for (int i = 0; i < world->options.site->n_vms && upstream->up; i++)
    if (world_is_connected (world, world->vms[i].domain, upstream->domain))
      {
        event_t *event = world_schedule (world, lag, EVENT_REPORT_RECEIVED);

        event->vm = i;
        event->upstream = number;
        event->incarnation = upstream->incarnation;
        event->load = upstream_load (upstream, world->now);
      }
}

static void
world_send_notice (world_t *world, int upstream)
{
  for (int i = 0; i < world->options.site->n_vms; i++)
    {
      event_t *event
          = world_schedule (world, NOTICE_DELAY_MS, EVENT_NOTICE_RECEIVED);

      event->vm = i;
      event->upstream = upstream;
    }
}

static void
world_handle (world_t *world, const event_t *event)
{
  upstream_t *upstream = &world->upstreams[BR_MAX (event->upstream, 0)];
  vm_t *vm = &world->vms[event->vm];

  switch (event->kind)
    {
    case EVENT_ARRIVE:
      vm_on_request (world, &world->vms[event->request->vm], event->request);
      break;
    case EVENT_UPSTREAM_ARRIVE:
      if (upstream->up)
        upstream_receive (world, upstream, event->request, event->attempt);
      else
        vm_on_failure (world, event->request, event->attempt, false);
      break;
    case EVENT_PREFILLED:
      upstream_prefilled (world, upstream, event->request, event->attempt);
      break;
    case EVENT_FIRST_TOKEN:
      vm_on_first_token (world, event->request, event->attempt);
      break;
    case EVENT_FINISH:
      upstream_finish (world, upstream, event->request, event->attempt);
      break;
    case EVENT_ANSWER:
      vm_on_answer (world, event->request, event->attempt);
      break;
    case EVENT_FAILED:
      vm_on_failure (world, event->request, event->attempt,
                     event->may_have_run);
      break;
    case EVENT_RETRY:
      vm_retry (world, event->request);
      break;
    case EVENT_REPORT:
      upstream_send_reports (world, event->upstream);
      break;
    case EVENT_REPORT_RECEIVED:
      vm_on_report (world, vm, event);
      break;
    case EVENT_TICK:
      vm_on_tick (world, vm);
      world_schedule (world, TICK_MS, EVENT_TICK)->vm = event->vm;
      break;
    case EVENT_NOTICE:
      upstream->leave_by_ms = world->now + NOTICE_LEAD_MS;
      world_send_notice (world, event->upstream);
      break;
    case EVENT_NOTICE_RECEIVED:
      vm_on_notice (world, vm, event->upstream);
      break;
    case EVENT_KILL:
      upstream_kill (world, upstream);
      break;
    case EVENT_START:
      upstream_start (world, upstream);
      break;
    case EVENT_EXPORT:
      vm_export (world, event->request, event->attempt);
      break;
    case EVENT_EXPORTED:
      vm_on_exported (world, event->request, event->attempt);
      break;
    case EVENT_FAULT:
      world_fault (world, event);
      break;
    }
}

static int
compare_ms (const void *a, const void *b)
{
  br_ms_t x = *(const br_ms_t *)a;
  br_ms_t y = *(const br_ms_t *)b;

  return (x > y) - (x < y);
}

static void
result_add_request (run_result_t *result, const request_t *request)
{
  br_ms_t wait = request->first_token_ms - request->submitted_ms;

  if (request->crashes_engine)
    return;
  result->requests++;
  result->org_requests[request->organisation]++;
  if (request->plain && request->runs > 1)
    result->duplicated++;
  if (request->state == REQUEST_UNKNOWN)
    result->unknown++;
  else if (request->accepted && request->state != REQUEST_ANSWERED)
    result->lost++;
  if (request->state != REQUEST_ANSWERED)
    return;
  result->answered++;
  result->first_token_ms[result->n_first_tokens++] = wait;
  if (wait > TARGET_FIRST_TOKEN_MS)
    return;
  result->within_target++;
  result->org_within_target[request->organisation]++;
}

static void
world_add_requests (world_t *world)
{
  run_result_t *result = &world->result;

  result->first_token_ms
      = br_alloc ((size_t)world->n_requests * sizeof (br_ms_t));
  for (int i = 0; i < world->n_requests; i++)
    result_add_request (result, &world->requests[i]);
  qsort (result->first_token_ms, (size_t)result->n_first_tokens,
         sizeof (br_ms_t), compare_ms);
}

/* Adds the cost of each upstream's VM for its time up before RUN_MS. */
static void
world_add_cost (world_t *world)
{
  for (int i = 0; i < world->n_upstreams; i++)
    {
      upstream_t *upstream = &world->upstreams[i];
      double up_ms = upstream->up_ms;

      if (upstream->up && upstream->up_since_ms < RUN_MS)
        up_ms += (double)(RUN_MS - upstream->up_since_ms);
      world->result.cost += up_ms * upstream->price / MS_PER_HOUR;
    }
}

static void
world_release (world_t *world)
{
  for (int i = 0; i < world->n_requests; i++)
    br_names_free (&world->requests[i].tried);
  for (int i = 0; i < world->options.site->n_vms; i++)
    vm_release (&world->vms[i]);
  for (int i = 0; i < world->n_upstreams; i++)
    upstream_clear_cache (&world->upstreams[i]);
  br_catalog_release (&world->catalog);
  free (world->requests);
  free (world->upstreams);
  free (world->heap);
  free (world->tickets);
}

run_result_t
model_run (const run_options_t *options)
{
  world_t *world = br_alloc_zero (sizeof *world);
  run_result_t result;
  event_t event;

  world->options = *options;
  world->cut_domain = MODEL_NONE;
  br_random_seed (&world->random, options->seed);
  world_make_requests (world);
  world_make_upstreams (world);
  world_make_vms (world);
  for (int i = 0; i < world->n_upstreams; i++)
    world_schedule (world, i * 7 % REPORT_PERIOD_MS, EVENT_REPORT)->upstream
        = i;
  world_plan_faults (world);
  while (world_next_event (world, &event) && event.at_ms < RUN_MS + FINISH_MS)
    world_handle (world, &event);
  world_add_cost (world);
  world_add_requests (world);
  result = world->result;
  world_release (world);
  free (world);
  return result;
}

void
run_result_release (run_result_t *result)
{
  free (result->first_token_ms);
}

br_ms_t
run_result_percentile (const run_result_t *result, int percent)
{
  if (result->n_first_tokens == 0)
    return MODEL_NONE;
  return result->first_token_ms[(result->n_first_tokens - 1) * percent / 100];
}
