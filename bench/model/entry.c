/* Simulated entry VM: routing, admission, retries and failure handling. */
#include <stdio.h>

#include "world.h"

#define BASELINE_ATTEMPTS_MAX 4
#define NO_UPSTREAM_RETRY_MS 100
#define REFUSED_RETRY_AFTER_MS 1000
#define RETRY_AFTER_JITTER 0.5

static bool
uses_current_policy (const world_t *world)
{
  return world->options.arm == ARM_TODAY || world->options.arm == ARM_EXPORT;
}

static uint64_t
request_tokens (const request_t *request)
{
  return request->plain ? 1 : request->prefix.tokens + request->answer_tokens;
}

/* Resubmits after the retry time with jitter, until the caller gives up. */
static void
request_refused (world_t *world, request_t *request, br_ms_t retry_after_ms)
{
  br_ms_t wait_ms
      = (br_ms_t)((double)retry_after_ms
                  * (1 + RETRY_AFTER_JITTER * br_random_unit (&world->random)));

  world->result.refused++;
  request->state = REQUEST_NOT_ACCEPTED;
  if (request->submissions >= SUBMISSIONS_MAX
      || world->now + wait_ms - request->submitted_ms > CALLER_GIVES_UP_MS)
    {
      request->state = REQUEST_ABANDONED;
      return;
    }
  world_schedule (world, wait_ms + 2 * CALLER_LINK_MS, EVENT_ARRIVE)->request
      = request;
}

static void
vm_admission (world_t *world, vm_t *vm, const br_admission_input_t *input);

static void
request_end (world_t *world, request_t *request, request_state_t state)
{
  vm_t *vm = &world->vms[request->vm];
  br_admission_input_t input = { .kind = BR_ADMISSION_DONE };

  request->state = state;
  request->attempt = 0;
  if (!uses_current_policy (world))
    return;
  input.done = request->ticket;
  vm_admission (world, vm, &input);
}

static void
vm_end_attempt (world_t *world, request_t *request, bool complete)
{
  vm_t *vm = &world->vms[request->vm];

  vm->in_flight[request->upstream]--;
  if (!uses_current_policy (world))
    return;
  vm_quarantine_end (vm, request, complete);
  if (!request->first_token_noted)
    br_router_first_token (vm->router, request->route.upstream,
                           request->route.uncached);
  br_router_ended (vm->router, request->route.upstream,
                   world->now - request->sent_ms, complete, world->now);
}

static void
vm_send (world_t *world, vm_t *vm, request_t *request, int upstream)
{
  upstream_t *target = &world->upstreams[upstream];
  br_ms_t link_ms = world_link_ms (world, vm->domain, target->domain);
  event_t *event;

  request->attempts++;
  request->attempt = ++world->last_attempt;
  request->upstream = upstream;
  request->sent_ms = world->now;
  request->stalled = request->first_token_noted = false;
  request->engine_first_token_ms = MODEL_NONE;
  request->state = REQUEST_RUNNING;
  request->accepted = true;
  vm->in_flight[upstream]++;
  if (uses_current_policy (world))
    vm_quarantine_start (vm, request, &target->name);
  if (uses_current_policy (world))
    br_router_sent (vm->router, &request->route,
                    request->plain ? NULL : &request->prefix, world->now);
  if (!world_is_connected (world, vm->domain, target->domain))
    event = world_schedule (world, CONNECT_TIMEOUT_MS, EVENT_FAILED);
  else if (!target->up)
    event = world_schedule (world, 2 * link_ms, EVENT_FAILED);
  else
    event = world_schedule (world, link_ms, EVENT_UPSTREAM_ARRIVE);
  event->request = request;
  event->attempt = request->attempt;
  event->upstream = upstream;
}

static void
vm_route (world_t *world, vm_t *vm, request_t *request)
{
  int upstream;

  if (uses_current_policy (world)
      && request_is_quarantined (world, vm, request))
    {
      request_end (world, request, REQUEST_ABANDONED);
      return;
    }
  upstream = arm_choose (world, vm, request);

  if (upstream != MODEL_NONE)
    {
      vm_send (world, vm, request, upstream);
      return;
    }
  if (request->accepted)
    {
      request->state = REQUEST_WAITING;
      br_names_clear (&request->tried);
      world_schedule (world, NO_UPSTREAM_RETRY_MS, EVENT_RETRY)->request
          = request;
      return;
    }
  request_end (world, request, REQUEST_NOT_ACCEPTED);
  request_refused (world, request, REFUSED_RETRY_AFTER_MS);
}

static request_t *
world_request_by_ticket (world_t *world, uint64_t ticket)
{
  return world->tickets[ticket];
}

static void
vm_admission (world_t *world, vm_t *vm, const br_admission_input_t *input)
{
  br_admission_outbox_t outbox = { 0 };

  br_admission_handle (vm->admission, input, world->now, &outbox);
  for (size_t i = 0; i < outbox.len; i++)
    {
      br_admission_output_t *output = &outbox.items[i];

      switch (output->kind)
        {
        case BR_ADMISSION_ADMITTED:
          vm_route (world, vm, world_request_by_ticket (world, output->ticket));
          break;
        case BR_ADMISSION_REFUSED:
          request_refused (world,
                           world_request_by_ticket (world, output->ticket),
                           output->error.retry_after_ms);
          break;
        case BR_ADMISSION_SEND_DIGEST:
          break;
        }
    }
  br_admission_outbox_reset (&outbox);
  br_admission_outbox_free (&outbox);
}

static uint64_t
world_new_ticket (world_t *world, request_t *request)
{
  uint64_t ticket = ++world->last_ticket;

  if (ticket >= world->tickets_cap)
    {
      world->tickets_cap = BR_MAX (world->tickets_cap * 2, 4096);
      world->tickets = br_realloc (world->tickets,
                                   world->tickets_cap * sizeof *world->tickets);
    }
  world->tickets[ticket] = request;
  return ticket;
}

static void
vm_request_admission (world_t *world, vm_t *vm, request_t *request)
{
  br_admission_input_t input = { .kind = BR_ADMISSION_REQUEST };
  char organisation[16];

  snprintf (organisation, sizeof organisation, "org-%d", request->organisation);
  request->ticket = world_new_ticket (world, request);
  request->state = REQUEST_QUEUED;
  input.request = (br_admission_request_t){
    .ticket = request->ticket,
    .organisation = br_name_from (organisation),
    .service = br_name_from (request->plain ? "ledger" : "lm"),
    .tokens = request_tokens (request),
    .deadline_ms = world->now + TARGET_FIRST_TOKEN_MS,
  };
  vm_admission (world, vm, &input);
}

void
vm_on_request (world_t *world, vm_t *vm, request_t *request)
{
  request->submissions++;
  if (uses_current_policy (world))
    vm_request_admission (world, vm, request);
  else
    vm_route (world, vm, request);
}

void
vm_retry (world_t *world, request_t *request)
{
  if (request->state == REQUEST_WAITING)
    vm_route (world, &world->vms[request->vm], request);
}

static void
vm_set_capacity (world_t *world, vm_t *vm, const char *service)
{
  br_admission_input_t input = { .kind = BR_ADMISSION_CAPACITY };
  br_route_capacity_t capacity;

  input.capacity.service = br_name_from (service);
  capacity = br_router_capacity (vm->router, br_str_from (service),
                                 (size_t)world->options.site->n_vms);
  input.capacity.max = capacity.max;
  input.capacity.unreserved = capacity.unreserved;
  vm_admission (world, vm, &input);
}

void
vm_on_first_token (world_t *world, request_t *request, uint64_t attempt)
{
  if (request->attempt != attempt || request->stalled)
    return;
  if (request->first_token_ms == MODEL_NONE)
    request->first_token_ms = world->now + CALLER_LINK_MS;
  request->first_token_noted = true;
  if (uses_current_policy (world))
    {
      br_router_first_token (world->vms[request->vm].router,
                             request->route.upstream, request->route.uncached);
      vm_set_capacity (world, &world->vms[request->vm],
                       request->plain ? "ledger" : "lm");
    }
}

void
vm_on_answer (world_t *world, request_t *request, uint64_t attempt)
{
  vm_t *vm = &world->vms[request->vm];

  if (request->attempt != attempt || request->stalled)
    return;
  if (request->first_token_ms == MODEL_NONE)
    request->first_token_ms = world->now + CALLER_LINK_MS;
  vm_end_attempt (world, request, true);
  if (uses_current_policy (world))
    br_retry_budget_success (&vm->budget, world->now);
  request_end (world, request, REQUEST_ANSWERED);
}

static void
vm_schedule_retry (world_t *world,
                   vm_t *vm,
                   request_t *request,
                   bool may_have_run)
{
  br_retry_query_t query = {
    .attempts = request->attempts,
    .repeatable = !request->plain,
    .may_have_run = may_have_run,
  };
  br_retry_decision_t decision = { 0 };

  if (uses_current_policy (world))
    decision
        = br_retry_decide (&vm->budget, &query, &world->random, world->now);
  else
    decision.retry = request->attempts < BASELINE_ATTEMPTS_MAX;
  if (!decision.retry)
    {
      request_end (world, request, REQUEST_ABANDONED);
      return;
    }
  request->state = REQUEST_WAITING;
  world_schedule (world, decision.wait_ms, EVENT_RETRY)->request = request;
}

void
vm_on_failure (world_t *world,
               request_t *request,
               uint64_t attempt,
               bool may_have_run)
{
  vm_t *vm = &world->vms[request->vm];

  if (request->attempt != attempt)
    return;
  if (may_have_run)
    vm_report_crash (world, vm, request);
  request->delivered_tokens = request_generated (world, request);
  if (request->computed_tokens > 0)
    request->computed_tokens
        = request->prefix.tokens + request->delivered_tokens;
  vm_end_attempt (world, request, false);
  request->attempt = 0;
  br_names_push (&request->tried, world->upstreams[request->upstream].name);
  if (request->plain && may_have_run)
    request_end (world, request, REQUEST_UNKNOWN);
  else
    vm_schedule_retry (world, vm, request, may_have_run);
}

static void
vm_set_eligible (world_t *world, vm_t *vm, int upstream, bool eligible)
{
  vm->eligible[upstream] = eligible;
  if (uses_current_policy (world))
    br_router_set_eligible (vm->router, vm->router_numbers[upstream], eligible);
}

/* Records a new VM under a known upstream name and rebuilds the router from
 * the registry. */
static void
vm_replace_upstream (world_t *world,
                     vm_t *vm,
                     int upstream,
                     uint64_t incarnation)
{
  br_upstream_t entry = vm->registry.upstreams.items[upstream];

  vm->incarnation[upstream] = incarnation;
  entry.incarnation = incarnation;
  entry.load = (br_load_t){ 0 };
  entry.labels = (br_labels_t){ 0 };
  br_labels_copy (&entry.labels,
                  &vm->registry.upstreams.items[upstream].labels);
  br_registry_put (&vm->registry, entry);
  if (uses_current_policy (world))
    br_router_build (vm->router, &world->catalog, &vm->registry);
  for (int i = 0; i < world->n_upstreams; i++)
    vm_set_eligible (world, vm, i, vm->eligible[i]);
}

void
vm_on_report (world_t *world, vm_t *vm, const event_t *report)
{
  int upstream = report->upstream;

  if (report->incarnation < vm->incarnation[upstream])
    return;
  if (report->incarnation > vm->incarnation[upstream])
    vm_replace_upstream (world, vm, upstream, report->incarnation);
  vm->last_seen_ms[upstream] = world->now;
  if (vm->leaving[upstream] != report->incarnation)
    vm_set_eligible (world, vm, upstream, true);
  if (uses_current_policy (world))
    br_router_report (vm->router, vm->router_numbers[upstream], &report->load);
}

void
vm_on_tick (world_t *world, vm_t *vm)
{
  br_admission_input_t input = { .kind = BR_ADMISSION_TICK };

  for (int i = 0; i < world->n_upstreams; i++)
    if (vm->eligible[i] && world->now - vm->last_seen_ms[i] > DOWN_AFTER_MS)
      vm_set_eligible (world, vm, i, false);
  if (!uses_current_policy (world))
    return;
  vm_set_capacity (world, vm, "lm");
  vm_set_capacity (world, vm, "ledger");
  vm_admission (world, vm, &input);
}

void
vm_move (world_t *world, vm_t *vm, request_t *request)
{
  uint64_t attempt = request->attempt;
  upstream_t *from = &world->upstreams[request->upstream];

  request->delivered_tokens = request_generated (world, request);
  if (request->computed_tokens > 0)
    request->computed_tokens
        = request->prefix.tokens + request->delivered_tokens;
  vm_end_attempt (world, request, false);
  request->attempt = 0;
  upstream_cancel (world, from, request, attempt);
  vm_route (world, vm, request);
}

void
vm_on_notice (world_t *world, vm_t *vm, int upstream)
{
  vm->leaving[upstream] = vm->incarnation[upstream];
  vm_set_eligible (world, vm, upstream, false);
  br_router_notice (vm->router, vm->router_numbers[upstream], world->now);
  if (uses_current_policy (world))
    vm_plan_drain (world, vm, upstream,
                   world->upstreams[upstream].leave_by_ms - world->now);
}

static void
vm_make_registry (const world_t *world, vm_t *vm)
{
  for (int i = 0; i < world->n_upstreams; i++)
    {
      const upstream_t *from = &world->upstreams[i];
      br_upstream_t upstream = {
        .name = from->name,
        .failure_domain
        = br_name_from (world->options.site->domains[from->domain]),
        .incarnation = 1,
        .reclaimable = from->reclaimable,
      };

      br_labels_set (&upstream.labels, br_str_from ("kind"),
                     br_str_from (from->plain ? "ledger" : "lm"));
      br_upstreams_push (&vm->registry.upstreams, upstream);
      vm->incarnation[i] = 1;
      vm->eligible[i] = true;
    }
}

void
vm_start (world_t *world, vm_t *vm)
{
  br_router_options_t router = {
    .failure_domain = br_name_from (world->options.site->domains[vm->domain]),
    .salt = br_str_hash (br_name_str (&vm->name), world->options.seed),
  };
  br_names_t vms = { 0 };
  br_admission_options_t admission
      = { .vm = vm->name, .incarnation = 1, .vms = &vms };

  vm_make_registry (world, vm);
  vm->router = br_router_new (&router);
  for (int i = 0; i < DOMAINS_MAX; i++)
    if (i != vm->domain)
      {
        br_name_t domain = br_name_from (world->options.site->domains[i]);

        br_router_set_link (vm->router, &domain, world->options.site->link_ms,
                            BR_ROUTE_LINK_COST_MS);
      }
  br_router_build (vm->router, &world->catalog, &vm->registry);
  for (int i = 0; i < world->n_upstreams; i++)
    vm->router_numbers[i]
        = br_router_find (vm->router, br_name_str (&world->upstreams[i].name));
  br_names_push (&vms, vm->name);
  vm->admission = br_admission_new (&admission);
  br_names_free (&vms);
  br_retry_budget_init (&vm->budget, 0);
}

void
vm_release (vm_t *vm)
{
  br_router_free (vm->router);
  br_admission_free (vm->admission);
  br_registry_release (&vm->registry);
  br_quarantine_free (&vm->quarantine);
}
