/* Observes the speed of upstreams at an entry VM, and exchanges paces and
 * speeds with the control VMs. */
#include "shell/exchange_private.h"

/* Events of an answer from which its mean gap is used. */
#define STEP_EVENTS_MIN 8

/* Events from which the gap counts as a whole sample. */
#define STEP_EVENTS_FULL 64

/* Weight of a plain answer, whose work differs from request to request. */
#define PLAIN_WEIGHT 0.5

bool
br_entry_report_speed (br_fleet_upstream_t *upstream,
                       bool with_samples,
                       br_ms_t now,
                       Br__Site__UpstreamLoad *wire)
{
  br_speed_view_t *view = &upstream->speed;
  bool has_pace = view->pace_unsent && br_pace_is_fresh (&view->pace, now);
  bool has_samples = with_samples && view->weight > 0;

  view->pace_unsent = false;
  if (has_pace)
    {
      wire->pace = view->pace.percent;
      wire->pace_age_ms = (uint64_t)BR_MAX (now - view->pace.said_ms, 0);
    }
  if (has_samples)
    {
      wire->speed_sum = view->sum;
      wire->speed_weight = view->weight;
      view->sum = 0;
      view->weight = 0;
    }
  return has_pace || has_samples;
}

bool
br_entry_paces_are_due (const br_entry_task_t *task)
{
  for (size_t i = 0; i < task->fleet.all.len; i++)
    if (task->fleet.all.items[i]->speed.pace_unsent)
      return true;
  return false;
}

void
br_entry_receive_speed (br_fleet_upstream_t *upstream,
                        const Br__Site__UpstreamLoad *load,
                        bool has_speeds,
                        br_ms_t now)
{
  br_speed_view_t *view = &upstream->speed;

  if (load->pace > 0 && load->pace_age_ms < BR_PACE_LIFE_MS
      && br_pace_receive (&view->pace, load->pace,
                          now - (br_ms_t)load->pace_age_ms))
    view->pace_unsent = false;
  if (has_speeds)
    br_speed_view_receive (view, load->speed);
}

static void
exchange_observe (br_exchange_t *exchange, br_observation_t *observation)
{
  observation->service = br_name_str (&exchange->service->name);
  observation->route = br_name_str (&exchange->route->name);
  observation->load = exchange->choice.load;
  br_fleet_observe (&exchange->task->fleet, exchange->upstream, observation);
}

void
br_exchange_observe_first (br_exchange_t *exchange)
{
  exchange->attempt_first_ms = br_exchange_now (exchange);
  exchange->attempt_first_event = exchange->events.passed;
}

static void
exchange_observe_step (br_exchange_t *exchange)
{
  uint64_t events = exchange->events.passed - exchange->attempt_first_event;
  double span_ms
      = (double)(exchange->last_event_ms - exchange->attempt_first_ms);
  br_observation_t observation = {
    .kind = BR_OBSERVED_STEP,
    .slots = (uint32_t)BR_MAX (exchange->service->engine.slots, 1),
  };

  if (!exchange->had_first_event || events < STEP_EVENTS_MIN || span_ms <= 0)
    return;
  observation.value = span_ms / (double)events;
  observation.weight
      = (double)BR_MIN (events, STEP_EVENTS_FULL) / STEP_EVENTS_FULL;
  exchange_observe (exchange, &observation);
}

void
br_exchange_observe_answer (br_exchange_t *exchange)
{
  br_ms_t now = br_exchange_now (exchange);
  const br_fleet_upstream_t *upstream = exchange->upstream;
  br_observation_t observation = {
    .kind = BR_OBSERVED_PLAIN,
    .slots = BR_MAX (upstream->listing.slots, 1),
    .weight = PLAIN_WEIGHT,
  };

  if (exchange->outcome.status >= 300)
    return;
  if (exchange->service->has_engine)
    {
      if (exchange->route->kind == BR_ROUTE_STREAM)
        exchange_observe_step (exchange);
      return;
    }
  /* An answer within the same millisecond is one as well. */
  observation.value
      = (double)BR_MAX (now - exchange->sent_ms, 1)
        / (exchange->outcome.has_pace ? exchange->outcome.pace / 100.0 : 1);
  exchange_observe (exchange, &observation);
}
