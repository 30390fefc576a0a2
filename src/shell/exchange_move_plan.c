/* Finds the runs that would be lost at engines that leave, and the engines that
 * they move to. */
#include "shell/exchange_private.h"

/* Returns whether the run at the exchange's upstream would be lost with it, and
 * can be moved. */
static bool
exchange_can_move (br_exchange_t *exchange)
{
  const br_exchange_move_t *move = &exchange->move;
  const br_site_route_t *route = exchange->route;

  if (exchange->service == NULL || !exchange->service->engine.moves
      || exchange->upstream == NULL || exchange->client == NULL
      || !exchange->upstream->listing.draining || exchange->upstream->removed)
    return false;
  if (move->phase != BR_MOVE_NONE || move->settled
      || move->moves >= BR_EXCHANGE_MOVES_MAX || exchange->end_check != NULL
      || exchange->inbound.id.len == 0
      || !br_http_client_has_sent (exchange->client))
    return false;
  if (route->kind == BR_ROUTE_IDEMPOTENT || route->resumable
      || exchange->asked_trial || exchange->on_trial
      || br_exchange_is_suspect (exchange)
      || !br_exchange_rollout_lets_move (exchange))
    return false;
  return route->kind == BR_ROUTE_STREAM
             ? br_event_stream_can_resume (&exchange->events)
             : !exchange->head_seen;
}

static br_move_run_t
exchange_run (br_exchange_t *exchange)
{
  const br_inbound_t *inbound = &exchange->inbound;
  br_move_run_t run = {
    .owner = exchange,
    .prompt_tokens = inbound->prompt_tokens,
    .made_tokens
    = (uint32_t)(exchange->events.passed
                 * (uint64_t)exchange->service->engine.event_tokens),
    .hint_tokens = inbound->length_hint,
    .output_tokens = inbound->output_tokens,
    .max_gap_ms = exchange->route->max_gap_ms,
  };

  if (exchange->first_ms > 0)
    run.generating_ms
        = BR_MAX (br_exchange_now (exchange) - exchange->first_ms, 1);
  return run;
}

/* Returns the time of the copies that this VM has ordered from SOURCE. */
static br_ms_t
task_queue_ms (const br_entry_task_t *task, const br_fleet_upstream_t *source)
{
  br_ms_t sum_ms = 0;

  for (const br_exchange_t *exchange = task->exchanges; exchange != NULL;
       exchange = exchange->next)
    if (exchange->move.phase == BR_MOVE_CALLING && exchange->upstream == source)
      sum_ms += exchange->move.step.copy_ms;
  return sum_ms;
}

br_choice_t
br_exchange_move_target (const br_exchange_t *exchange)
{
  const br_entry_task_t *task = exchange->task;
  const br_exchange_move_t *move = &exchange->move;
  br_move_query_t query = {
    .service = exchange->service,
    .inbound = &exchange->inbound,
    .source = br_fleet_find (&task->fleet, br_name_str (&move->source)),
    .refused = br_fleet_find (&task->fleet, br_name_str (&move->refused)),
    .failure_domain = move->source_domain,
    .version = exchange->attempt_version,
    .tokens = br_move_tokens (&move->step.run),
    .copy_ms = move->step.copy_ms,
  };

  return br_move_target (&task->fleet, &query, br_exchange_now (exchange));
}

static void
exchange_apply (br_exchange_t *exchange,
                const br_move_step_t *step,
                const br_move_time_t *left)
{
  br_exchange_move_t *move = &exchange->move;
  const br_listing_t *source = &exchange->upstream->listing;
  br_choice_t choice;

  move->step = *step;
  move->left = *left;
  move->source = source->id;
  move->source_domain = source->failure_domain;
  switch (step->choice)
    {
    case BR_MOVE_ENDS:
      return;
    case BR_MOVE_TOO_LATE:
      move->settled = true;
      br_exchange_log_move (exchange, br_move_choice_name (step->choice), 0);
      return;
    case BR_MOVE_GO:
      break;
    }
  choice = br_exchange_move_target (exchange);
  if (choice.upstream != NULL)
    br_exchange_move_begin (exchange, &choice);
  else if (!move->no_target)
    {
      move->no_target = true;
      br_counters_add (&exchange->task->node->counters,
                       BR_COUNTER_MOVES_NO_TARGET, 1);
      br_exchange_log_move (exchange, "no_target", 0);
    }
}

static void
task_move_from (br_entry_task_t *task, br_fleet_upstream_t *source)
{
  br_move_time_t left
      = br_move_time_left (&task->fleet, source, br_node_now (task->node));
  br_move_runs_t runs = { 0 };
  br_move_steps_t steps = { 0 };

  for (br_exchange_t *exchange = task->exchanges; exchange != NULL;
       exchange = exchange->next)
    if (exchange->upstream == source && exchange_can_move (exchange))
      br_move_runs_push (&runs, exchange_run (exchange));
  if (runs.len > 0)
    {
      const br_exchange_t *first = runs.items[0].owner;

      br_move_plan (&runs, &first->service->engine, &left,
                    task_queue_ms (task, source), &steps);
    }
  for (size_t i = 0; i < steps.len; i++)
    exchange_apply (steps.items[i].run.owner, &steps.items[i], &left);
  br_move_runs_free (&runs);
  br_move_steps_free (&steps);
}

static bool
task_has_movable (const br_entry_task_t *task)
{
  br_exchange_t *exchange = task->exchanges;

  while (exchange != NULL && !exchange_can_move (exchange))
    exchange = exchange->next;
  return exchange != NULL;
}

void
br_exchanges_move (br_entry_task_t *task)
{
  /* Else each leaving upstream would examine every exchange. */
  if (!task_has_movable (task))
    return;
  for (size_t i = 0; i < task->fleet.all.len; i++)
    {
      br_fleet_upstream_t *upstream = task->fleet.all.items[i];

      if (upstream->listing.draining && upstream->in_flight > 0)
        task_move_from (task, upstream);
    }
}
