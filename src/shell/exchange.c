/* Runs the attempts of a caller's request: chooses an upstream, sends the
 * request, and decides what follows a failure or timeout. */
#include "shell/exchange_private.h"

#include <string.h>

#include "shell/upstream_pool.h"

/* Share of the latency objective, and the minimum in milliseconds, after which
 * a request that may be repeated is tried at another upstream. */
#define SLOW_ATTEMPT_SHARE 0.8
#define SLOW_ATTEMPT_MIN_MS 80

/* A resumable stream counts as stalled, and is resumed at another upstream, if
 * its first event is later than twice the expected time and this, in
 * milliseconds, or if no event comes for this many of the route's longest gaps
 * and at least the minimum, in milliseconds. */
#define STALL_FIRST_EVENT_MS 1200
#define STALL_GAPS 3
#define STALL_GAP_MIN_MS 1800

/* If its failure domain is unreachable, a request that may be repeated is tried
 * at another upstream after the expected time and this, in milliseconds,
 * without a byte.  This is several of the usual pauses between events. */
#define UNREACHABLE_STALL_MS 350

/* A request that ran in a crash, and whose connection broke again, waits this
 * long before its next attempt, in milliseconds.  If the upstream crashed, a
 * new connection to it is refused by then. */
#define SUSPECT_RETRY_DELAY_MS 60

/* Longest wait for a permit of an upstream with a limit, in milliseconds.  The
 * leader answers a request for permits within two of its ticks. */
#define PERMIT_WAIT_MS 300

/* Time between two checks whether another upstream can take a request whose
 * attempt is slow, in milliseconds. */
#define REPLACEMENT_CHECK_MS 100

/* --- attempts --- */

/* A plain service runs a request as soon as it arrives.  An engine has run it
 * once it sends its first event or an error, or its connection breaks. */
void
br_exchange_count_usage (br_exchange_t *exchange)
{
  if (exchange->counted || exchange->organisation == NULL)
    return;
  exchange->counted = true;
  exchange->window = br_entry_count_usage (
      exchange->task, br_name_str (&exchange->organisation->name));
}

/* Takes back the count of an attempt that did not run. */
static void
exchange_uncount_usage (br_exchange_t *exchange)
{
  if (!exchange->counted)
    return;
  exchange->counted = false;
  br_entry_uncount_usage (exchange->task, exchange->window,
                          br_name_str (&exchange->organisation->name));
}

void
br_exchange_set_timer (br_exchange_t *exchange, br_ms_t at_ms)
{
  br_ms_t wait_ms = BR_MAX (
      BR_MIN (at_ms, exchange->until_ms) - br_exchange_now (exchange), 0);
  struct timeval wait = { wait_ms / 1000, wait_ms % 1000 * 1000 };

  event_add (exchange->timer, &wait);
}

bool
br_exchange_may_repeat (const br_exchange_t *exchange)
{
  return exchange->route->kind == BR_ROUTE_IDEMPOTENT
         || (exchange->route->kind == BR_ROUTE_STREAM
             && exchange->route->resumable
             && br_event_stream_can_resume (&exchange->events));
}

/* Returns when the current attempt is checked for a timeout next. */
br_ms_t
br_exchange_next_check_ms (const br_exchange_t *exchange)
{
  const br_site_route_t *route = exchange->route;
  br_ms_t slow_ms;

  if (exchange->end_check != NULL)
    return exchange->end_check_until_ms;
  if (exchange->move.closed)
    return exchange->move.closed_until_ms;
  if (!br_http_client_is_connected (exchange->client))
    return exchange->sent_ms + BR_EXCHANGE_CONNECT_MS;
  if (exchange->helper.len > 0)
    return exchange->until_ms;
  if (exchange->paused || !br_exchange_may_repeat (exchange))
    return exchange->until_ms;
  /* No attempt follows a trial, and a trial that is given up counts as lost. */
  if (exchange->on_trial && !exchange->had_first_event)
    return exchange->until_ms;
  if (br_domain_health_is_unreachable (
          &exchange->task->fleet.domains,
          &exchange->upstream->listing.failure_domain,
          br_exchange_now (exchange)))
    return exchange->last_byte_ms + UNREACHABLE_STALL_MS
           + (exchange->had_first_event ? 0 : exchange->choice.expected_ms);
  if (route->kind == BR_ROUTE_IDEMPOTENT)
    {
      slow_ms = (br_ms_t)((double)route->objective_ms * SLOW_ATTEMPT_SHARE);
      return exchange->sent_ms + BR_MAX (slow_ms, SLOW_ATTEMPT_MIN_MS);
    }
  if (!exchange->had_first_event)
    return exchange->sent_ms + 2 * exchange->choice.expected_ms
           + STALL_FIRST_EVENT_MS;
  return exchange->last_byte_ms
         + BR_MAX (route->max_gap_ms * STALL_GAPS, STALL_GAP_MIN_MS);
}

/* Takes a repeat for the next attempt from the site's budget; returns false if
 * none is left. */
static bool
exchange_take_repeat (br_exchange_t *exchange)
{
  br_entry_task_t *task = exchange->task;
  br_entry_service_t *service
      = br_entry_service (task, br_name_str (&exchange->service->name));
  br_repeat_limits_t limits = br_entry_repeat_limits (task);

  if (!exchange->repeat_granted)
    exchange->repeat_granted = br_repeat_budget_take (
        &service->repeats, &limits, br_exchange_now (exchange));
  return exchange->repeat_granted;
}

/* Returns what follows when the budget allows no repeat.  A stream of which the
 * caller has received a part waits until it does. */
static br_attempt_next_t
exchange_wait_or_give_up (const br_exchange_t *exchange)
{
  br_attempt_query_t query = {
    .ran = exchange->ran,
    .begun = exchange->begun,
    .remaining_ms = exchange->until_ms - br_exchange_now (exchange),
  };

  if (exchange->begun && query.remaining_ms >= BR_ATTEMPT_REMAINING_MIN_MS)
    return BR_ATTEMPT_LATER;
  return br_attempt_give_up (&query);
}

/* Lets the request wait for a permit if one is on its way; returns false if it
 * has waited long enough, or no limit holds it back. */
static bool
exchange_await_permit (br_exchange_t *exchange, const br_choice_query_t *query)
{
  br_ms_t now = br_exchange_now (exchange);

  if (exchange->permit_until_ms == 0)
    exchange->permit_until_ms = now + PERMIT_WAIT_MS;
  if (now >= exchange->permit_until_ms
      || !br_choice_awaits_permit (&exchange->task->fleet, query, now))
    return false;
  br_exchange_set_timer (exchange, exchange->permit_until_ms);
  return true;
}

void
br_exchanges_resume_limited (br_entry_task_t *task)
{
  br_exchange_t *exchange = task->exchanges;
  br_exchange_t *next;

  for (; exchange != NULL; exchange = next)
    {
      next = exchange->next;
      if (exchange->permit_until_ms > br_exchange_now (exchange)
          && exchange->upstream == NULL)
        br_exchange_attempt (exchange);
    }
}

br_choice_query_t
br_exchange_choice_query (br_exchange_t *exchange)
{
  br_node_t *node = exchange->task->node;
  br_choice_query_t query = {
    .service = exchange->service,
    .inbound = &exchange->inbound,
    .failure_domain = node->settings.failure_domain,
    .quarantine = br_exchange_is_suspect (exchange) ? &node->quarantine : NULL,
    .content = exchange->content,
    .version = exchange->version,
    .versions = br_exchange_versions (exchange),
    .max_gap_ms = exchange->route->max_gap_ms,
    .on_trial = exchange->on_trial,
    .n_tried = exchange->n_tried,
  };

  memcpy (query.tried, exchange->tried, sizeof query.tried);
  return query;
}

void
br_exchange_attempt (br_exchange_t *exchange)
{
  br_ms_t now = br_exchange_now (exchange);
  bool suspect = br_exchange_is_suspect (exchange);
  br_choice_query_t query;

  switch (br_exchange_ask_quarantine (exchange))
    {
    case BR_PERMISSION_GIVEN:
      break;
    case BR_PERMISSION_ASKED:
      br_exchange_set_timer (exchange, now + BR_TRIAL_VALID_MS);
      return;
    case BR_PERMISSION_DENIED:
      br_exchange_end_quarantined (exchange);
      return;
    }
  if (exchange->arrived > 0 && !exchange_take_repeat (exchange))
    {
      br_exchange_end (exchange, exchange_wait_or_give_up (exchange),
                       "the site's budget for repeats is used up");
      return;
    }
  if (br_exchange_version_left (exchange))
    {
      br_exchange_end_stream (exchange);
      return;
    }
  if (br_exchange_relay (exchange) || br_exchange_refuse_lost (exchange))
    return;
  query = br_exchange_choice_query (exchange);
  exchange->choice = br_exchange_choose (exchange, &query, now);
  if (exchange->choice.upstream == NULL
      && exchange_await_permit (exchange, &query))
    return;
  if (exchange->choice.upstream == NULL)
    {
      br_attempt_query_t end = {
        .ran = exchange->ran,
        .begun = exchange->begun,
        .remaining_ms = exchange->until_ms - now,
      };

      br_exchange_end (exchange,
                       exchange->begun ? br_attempt_decide (&end)
                                       : br_attempt_give_up (&end),
                       "no upstream of the service can take the request");
      return;
    }
  if (!exchange->begun
      && now + exchange->choice.expected_ms > exchange->until_ms
      && exchange->ran == 0)
    {
      br_exchange_refuse (exchange, "it cannot be answered before its deadline",
                          BR_EXCHANGE_RETRY_AFTER_MS);
      return;
    }
  br_exchange_send (exchange, suspect);
}

/* The failure domain of the exchange's upstream has become unreachable: sets
 * the timers of the other attempts there to an earlier check. */
static void
exchange_on_domain_unreachable (const br_exchange_t *exchange)
{
  br_entry_task_t *task = exchange->task;
  const br_name_t *domain = &exchange->upstream->listing.failure_domain;

  BR_LOG (&task->node->log, "site", "failure domain cut off",
          br_field_z ("failure_domain", domain->data),
          br_field_str ("id", exchange->inbound.id));
  for (br_exchange_t *other = task->exchanges; other != NULL;
       other = other->next)
    if (other != exchange && other->upstream != NULL
        && br_name_equal (&other->upstream->listing.failure_domain, domain))
      br_exchange_set_timer (other, br_exchange_next_check_ms (other));
}

/* Returns whether RESULT may mean that the upstream crashed. */
static bool
result_may_be_crash (br_result_kind_t result)
{
  return result == BR_RESULT_BROKEN || result == BR_RESULT_STALLED
         || result == BR_RESULT_LATE;
}

void
br_exchange_fail_attempt (br_exchange_t *exchange,
                          const char *cause,
                          bool may_have_run,
                          br_result_kind_t result)
{
  br_entry_task_t *task = exchange->task;
  br_ms_t now = br_exchange_now (exchange);
  br_attempt_query_t query = {
    .kind = exchange->route->kind,
    .resumable = exchange->route->resumable
                 && br_event_stream_can_resume (&exchange->events),
    .max_attempts = exchange->max_attempts,
    .may_have_run = may_have_run,
    .begun = exchange->begun,
    .remaining_ms = exchange->until_ms - now,
  };
  bool has_copy = br_exchange_hedge_runs (exchange);
  br_attempt_next_t next;

  if (br_exchange_move_failed (exchange, cause, may_have_run, result))
    return;
  br_exchange_rollout_failed (exchange, result);
  if (!may_have_run)
    exchange_uncount_usage (exchange);
  else if (result == BR_RESULT_FAILED || result == BR_RESULT_BROKEN
           || (result == BR_RESULT_SLOW
               && exchange->route->kind != BR_ROUTE_STREAM))
    br_exchange_count_usage (exchange);
  query.ran = exchange->ran += may_have_run ? 1 : 0;
  query.refused = exchange->refused += may_have_run ? 0 : 1;
  next = br_attempt_decide (&query);
  /* The attempt did not reach the upstream, so its repeat was not used. */
  if (result == BR_RESULT_UNREACHABLE || result == BR_RESULT_TIMED_OUT)
    exchange->repeat_granted = exchange->arrived > 0;
  else
    exchange->arrived++;
  if (!has_copy && next == BR_ATTEMPT_AGAIN && exchange->arrived > 0
      && !exchange_take_repeat (exchange))
    next = exchange->begun ? BR_ATTEMPT_LATER : br_attempt_give_up (&query);
  /* A trial may cost at most one more crash. */
  if (next == BR_ATTEMPT_AGAIN && may_have_run && exchange->on_trial)
    next = br_attempt_give_up (&query);
  br_exchange_log_attempt (exchange, cause, may_have_run,
                           has_copy ? "copy" : br_attempt_next_name (next));
  br_counters_add (&task->node->counters, BR_COUNTER_ATTEMPTS_FAILED, 1);
  if (result == BR_RESULT_SLOW)
    br_counters_add (&task->node->counters, BR_COUNTER_ATTEMPTS_SLOW, 1);
  if (result == BR_RESULT_UNREACHABLE || result == BR_RESULT_TIMED_OUT)
    exchange->unconnected++;
  if (br_fleet_record_result (&task->fleet, exchange->upstream, result, now))
    exchange_on_domain_unreachable (exchange);
  if (result == BR_RESULT_UNREACHABLE || result == BR_RESULT_TIMED_OUT)
    br_entry_links_tick (task);
  if (result == BR_RESULT_STALLED || result == BR_RESULT_LATE)
    br_upstream_pool_drop (exchange->upstream);
  if (may_have_run && result_may_be_crash (result) && !exchange->loss_recorded)
    br_entry_record_loss (task, exchange->upstream,
                          br_exchange_content (exchange));
  if (may_have_run && result_may_be_crash (result))
    {
      br_lost_run_t run = br_exchange_lost_run (exchange);

      br_entry_record_lost_run (task, exchange->upstream, &run,
                                exchange->sent_ms);
    }
  else if (may_have_run)
    br_exchange_record_unanswered (exchange);
  br_exchange_end_attempt (exchange, false);
  br_event_stream_discard (&exchange->events);
  if (br_exchange_hedge_takes_over (exchange))
    return;
  if (next == BR_ATTEMPT_AGAIN && result == BR_RESULT_BROKEN
      && br_exchange_is_suspect (exchange))
    {
      br_exchange_set_timer (exchange, now + SUSPECT_RETRY_DELAY_MS);
      return;
    }
  br_exchange_end (exchange, next, cause);
}

/* --- time --- */

static void
exchange_on_timeout (br_exchange_t *exchange)
{
  br_attempt_query_t query = { .begun = exchange->begun };

  br_exchange_hedge_abandon (exchange);
  query.ran = exchange->ran;
  br_exchange_record_unanswered (exchange);
  br_exchange_rollout_timed_out (exchange);
  if (br_exchange_move_has_run (exchange))
    query.ran++;
  else if (exchange->client != NULL)
    query.ran += br_http_client_has_sent (exchange->client) ? 1 : 0;
  br_exchange_end (exchange, br_attempt_give_up (&query),
                   "the request's deadline has passed");
}

static br_result_kind_t
exchange_timeout_result (const br_exchange_t *exchange)
{
  if (!exchange->had_first_event
      && br_pace_is_slow (&exchange->upstream->speed.pace,
                          br_exchange_now (exchange)))
    return BR_RESULT_SLOW;
  if (exchange->route->kind != BR_ROUTE_STREAM)
    return BR_RESULT_FAILED;
  return exchange->had_first_event ? BR_RESULT_STALLED : BR_RESULT_LATE;
}

/* Returns whether giving up the slow attempt may help the caller.  A stream
 * that has begun may go on at the same upstream.  Another VM may reach a
 * failure domain that this one does not. */
static bool
exchange_has_replacement (br_exchange_t *exchange, br_ms_t now)
{
  br_choice_query_t query = br_exchange_choice_query (exchange);

  return exchange->begun
         || br_domain_health_is_unreachable (
             &exchange->task->fleet.domains,
             &exchange->upstream->listing.failure_domain, now)
         || br_choice_has_replacement (&exchange->task->fleet, &query,
                                       exchange->upstream, now);
}

/* The current attempt is slow: gives it up if another one may follow. */
static void
exchange_check_slow (br_exchange_t *exchange, br_ms_t now)
{
  bool has_attempts = exchange->ran + 1 < exchange->max_attempts;
  bool has_replacement;

  /* The copy is the replacement. */
  if (br_exchange_hedge_runs (exchange))
    {
      br_exchange_set_timer (exchange, exchange->until_ms);
      return;
    }
  has_replacement = exchange_has_replacement (exchange, now);
  if (has_attempts && has_replacement && exchange_take_repeat (exchange))
    {
      exchange->was_slow = true;
      br_exchange_fail_attempt (exchange, "silent", true,
                                exchange_timeout_result (exchange));
      return;
    }
  if (!has_attempts || has_replacement
      || exchange->route->kind == BR_ROUTE_STREAM)
    br_exchange_record_unanswered (exchange);
  br_exchange_set_timer (exchange, has_attempts && !has_replacement
                                       ? now + REPLACEMENT_CHECK_MS
                                       : exchange->until_ms);
}

void
br_exchange_check_later (br_exchange_t *exchange)
{
  br_exchange_set_timer (exchange, br_exchange_next_check_ms (exchange));
}

void
br_exchange_on_timer (evutil_socket_t fd, short what, void *context)
{
  br_exchange_t *exchange = context;
  br_ms_t now = br_exchange_now (exchange);
  br_ms_t next_check_ms;

  (void)fd;
  (void)what;
  if (exchange->waits_for_start)
    {
      br_exchange_refuse_not_ready (exchange);
      return;
    }
  if (exchange->end_check != NULL && now >= exchange->end_check_until_ms)
    {
      br_exchange_end_unproved (exchange);
      return;
    }
  if (now >= exchange->until_ms)
    {
      exchange_on_timeout (exchange);
      return;
    }
  if (exchange->version_answers > 0)
    {
      br_exchange_end_version_wait (exchange);
      return;
    }
  if (br_exchange_move_on_timer (exchange))
    return;
  if (exchange->client == NULL)
    {
      br_exchange_attempt (exchange);
      return;
    }
  next_check_ms = br_exchange_next_check_ms (exchange);
  if (now < next_check_ms)
    {
      br_exchange_set_timer (exchange, next_check_ms);
      return;
    }
  if (exchange->helper.len > 0)
    br_exchange_helper_unconnected (exchange);
  else if (!br_http_client_is_connected (exchange->client))
    br_exchange_fail_attempt (exchange, "connect_timeout", false,
                              BR_RESULT_TIMED_OUT);
  else
    exchange_check_slow (exchange, now);
}
