/* Sends a copy of a slow request to a second upstream.  The run that first has
 * an event or a whole good answer goes on; the other is ended. */
#include "shell/exchange_private.h"

#include "http/response_match.h"
#include "shell/upstream_pool.h"

/* Longest answer of a copy that is kept until it is whole. */
#define HEDGE_ANSWER_MAX (256 * 1024)

/* Least time, in milliseconds, that must be left beside the expected time. */
#define HEDGE_REMAINING_MIN_MS 30

static double
exchange_share (const br_exchange_t *exchange)
{
  return exchange->task->node->settings.site.hedge_share;
}

static br_entry_service_t *
exchange_entry_service (const br_exchange_t *exchange)
{
  return br_entry_service (exchange->task,
                           br_name_str (&exchange->service->name));
}

static bool
exchange_is_stream (const br_exchange_t *exchange)
{
  return exchange->route->kind == BR_ROUTE_STREAM;
}

bool
br_exchange_hedge_runs (const br_exchange_t *exchange)
{
  return exchange->hedge.upstream != NULL;
}

static br_hedge_verdict_t
exchange_decide (br_exchange_t *exchange)
{
  br_hedge_query_t query = {
    .kind = exchange->route->kind,
    .resumable = exchange->route->resumable,
    .begun = exchange->begun || exchange->had_first_event
             || exchange->inbound.last_event_id.len > 0
             || br_exchange_is_take_up (exchange),
    .rollout_running = br_exchange_rollout_runs (exchange),
    .relayed = exchange->is_relayed || exchange->helper.len > 0,
    .suspect = exchange->suspect || exchange->on_trial || exchange->asked_trial
               || br_exchange_is_suspect (exchange),
    .moving = br_exchange_goes_on (exchange) || exchange->move.closed,
    .ran = exchange->ran,
    .max_attempts = exchange->max_attempts,
  };

  return br_hedge_decide (&query);
}

/* --- ends of the copy --- */

static void
hedge_log (br_exchange_t *exchange, const char *outcome, const char *cause)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;
  br_ms_t now = br_exchange_now (exchange);

  BR_LOG (&exchange->task->node->log, "request", "hedge",
          br_field_str ("id", exchange->inbound.id),
          br_field_z ("route", exchange->route->name.data),
          br_field_z ("outcome", outcome), br_field_z ("cause", cause),
          br_field_z ("upstream", hedge->beside.data),
          br_field_str ("copy", br_name_str (&hedge->upstream->listing.id)),
          br_field_int ("copied_after_ms", hedge->sent_ms - hedge->first_ms),
          br_field_int ("copy_ms", now - hedge->sent_ms),
          br_field_int ("after_ms", now - exchange->began_ms));
}

static void
hedge_clear_answer (br_exchange_t *exchange)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;

  br_http_head_release (&hedge->head);
  exchange->task->answer_bytes -= hedge->answer.len;
  br_buf_free (&hedge->answer);
  br_event_stream_release (&hedge->events);
  hedge->events = (br_event_stream_t){ 0 };
  hedge->head_seen = false;
}

/* Takes the copy's load off and closes its connection, which ends its run. */
static void
hedge_end (br_exchange_t *exchange)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;

  br_fleet_ended (hedge->upstream, hedge->choice.uncached, false);
  exchange_entry_service (exchange)->in_flight--;
  br_http_client_free (hedge->client);
  hedge->client = NULL;
  hedge->upstream = NULL;
  hedge_clear_answer (exchange);
  event_del (hedge->timer);
}

/* Ends a copy that lost: nothing of it counts as the upstream's failure. */
static void
hedge_cancel (br_exchange_t *exchange, const char *outcome, const char *cause)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;

  if (!br_exchange_hedge_runs (exchange))
    return;
  exchange->ran += br_http_client_has_sent (hedge->client) ? 1 : 0;
  hedge_log (exchange, outcome, cause);
  hedge_end (exchange);
}

/* Ends a copy whose answer cannot be used, though it is no failure; the attempt
 * beside it goes on. */
static void
hedge_give_up (br_exchange_t *exchange, const char *cause)
{
  hedge_cancel (exchange, "ended", cause);
  br_exchange_check_later (exchange);
}

/* The copy failed by itself; the attempt beside it goes on. */
static void
hedge_fail (br_exchange_t *exchange,
            const char *cause,
            bool may_have_run,
            br_result_kind_t result)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;
  br_entry_task_t *task = exchange->task;

  hedge_log (exchange, "failed", cause);
  br_fleet_record_result (&task->fleet, hedge->upstream, result,
                          br_exchange_now (exchange));
  if (may_have_run && result == BR_RESULT_BROKEN)
    {
      br_lost_run_t run = br_exchange_lost_run (exchange);

      br_entry_record_loss (task, hedge->upstream,
                            br_exchange_content (exchange));
      br_entry_record_lost_run (task, hedge->upstream, &run, hedge->sent_ms);
    }
  if (may_have_run)
    {
      exchange->ran++;
      br_exchange_count_usage (exchange);
    }
  hedge_end (exchange);
  br_exchange_check_later (exchange);
}

void
br_exchange_hedge_abandon (br_exchange_t *exchange)
{
  hedge_cancel (exchange, "ended", "the request ended");
  if (exchange->hedge.timer != NULL)
    event_del (exchange->hedge.timer);
}

void
br_exchange_hedge_answered (br_exchange_t *exchange)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;
  br_ms_t now = br_exchange_now (exchange);

  if (hedge->timer == NULL)
    return;
  event_del (hedge->timer);
  if (br_exchange_hedge_runs (exchange))
    br_counters_add (&exchange->task->node->counters, BR_COUNTER_HEDGES_LOST,
                     1);
  hedge_cancel (exchange, "lost", "");
  /* An error shows nothing about the time that an answer takes. */
  if (exchange->outcome.status >= 400)
    return;
  br_route_times_add (
      &exchange->task->route_times, &exchange->route->name,
      now - (hedge->first_ms > 0 ? hedge->first_ms : exchange->sent_ms), now);
}

void
br_exchange_hedge_release (br_exchange_t *exchange)
{
  br_exchange_hedge_abandon (exchange);
  if (exchange->hedge.timer != NULL)
    event_free (exchange->hedge.timer);
}

/* --- the copy becomes the current attempt --- */

bool
br_exchange_hedge_takes_over (br_exchange_t *exchange)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;
  br_str_t bytes;

  if (!br_exchange_hedge_runs (exchange))
    return false;
  br_exchange_clear_answer (exchange);
  br_event_stream_discard (&exchange->events);
  exchange->upstream = hedge->upstream;
  exchange->client = hedge->client;
  exchange->choice = hedge->choice;
  exchange->attempt_version = br_listing_version (&hedge->upstream->listing);
  exchange->sent_ms = hedge->sent_ms;
  exchange->last_byte_ms = br_exchange_now (exchange);
  exchange->had_first_event = false;
  exchange->suspect = false;
  exchange->loss_recorded = false;
  exchange->rollout.number = 0;
  hedge->upstream = NULL;
  hedge->client = NULL;
  event_del (hedge->timer);
  br_http_client_set_owner (exchange->client, br_exchange_on_client, exchange);
  if (hedge->head_seen)
    {
      exchange->outcome = hedge->outcome;
      exchange->head_seen = true;
      exchange->framing = hedge->framing;
      br_exchange_copy_head (exchange, &hedge->head);
      bytes = br_buf_str (&hedge->answer);
      /* Of a stream these bytes hold no whole event: the first one has made it
       * the current attempt. */
      if (exchange_is_stream (exchange))
        br_event_stream_take (&exchange->events, bytes);
      else
        {
          br_buf_append (&exchange->answer, bytes);
          exchange->task->answer_bytes += bytes.len;
        }
    }
  hedge_clear_answer (exchange);
  if (!exchange->service->has_engine)
    br_exchange_count_usage (exchange);
  br_exchange_check_later (exchange);
  return true;
}

/* The copy has the first event or a whole good answer. */
static void
hedge_win (br_exchange_t *exchange)
{
  hedge_log (exchange, "won", "");
  br_counters_add (&exchange->task->node->counters, BR_COUNTER_HEDGES_WON, 1);
  exchange->ran += br_http_client_has_sent (exchange->client) ? 1 : 0;
  exchange->arrived++;
  br_exchange_end_attempt (exchange, false);
  br_exchange_hedge_takes_over (exchange);
}

/* --- events of the copy --- */

static void
hedge_on_head (br_exchange_t *exchange,
               br_http_client_t *client,
               const br_http_head_t *head)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;
  br_outcome_head_t outcome;
  br_response_match_t match = {
    .request_id = exchange->inbound.id,
    .is_first = br_http_client_is_first_response (client),
  };

  br_platform_read_response (head, &outcome);
  match.response_id = outcome.request_id;
  if (!br_response_matches (&match))
    {
      br_http_client_skip (client);
      return;
    }
  br_exchange_take_signals (exchange, hedge->upstream, &outcome);
  if (outcome.status == 503 && outcome.has_retry_after)
    br_entry_upstream_retry_after (exchange->task, hedge->upstream, &outcome,
                                   exchange->inbound.id);
  if (outcome.not_executed)
    hedge_fail (exchange, "not_run", false,
                outcome.status == 421     ? BR_RESULT_MOVED
                : outcome.has_retry_after ? BR_RESULT_RETRY_AFTER
                                          : BR_RESULT_FULL);
  else if (outcome.status >= 500)
    hedge_fail (exchange, "upstream_error", true,
                outcome.status == 503 && outcome.has_retry_after
                    ? BR_RESULT_RETRY_AFTER
                    : BR_RESULT_FAILED);
  else if (outcome.status >= 300
           || (exchange_is_stream (exchange) && outcome.status != 200))
    hedge_give_up (exchange, "no good answer");
  else if (!outcome.has_signature)
    hedge_fail (exchange, "unsigned_answer", true, BR_RESULT_FAILED);
  else if (exchange_is_stream (exchange)
           && !br_event_stream_is_type (
               br_http_head_find (head, "Content-Type")))
    hedge_fail (exchange, "not_a_stream", true, BR_RESULT_FAILED);
  else
    {
      hedge->outcome = outcome;
      hedge->outcome.request_id = (br_str_t){ 0 };
      hedge->head_seen = true;
      hedge->framing = br_http_head_framing_name (head);
      br_http_head_copy (&hedge->head, head);
    }
}

static void
hedge_on_body (br_exchange_t *exchange,
               br_http_client_t *client,
               const br_client_event_t *event)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;

  if (exchange_is_stream (exchange))
    {
      br_str_t events = br_event_stream_take (&hedge->events, event->body);

      if (br_event_stream_fault (&hedge->events) != BR_EVENT_FAULT_NONE)
        {
          hedge_fail (exchange, "bad_event", true, BR_RESULT_FAILED);
          return;
        }
      if (events.len > 0)
        {
          hedge_win (exchange);
          br_exchange_on_client (exchange, client, event);
          return;
        }
    }
  if (hedge->answer.len + event->body.len > HEDGE_ANSWER_MAX)
    {
      hedge_give_up (exchange, "its answer is too long");
      return;
    }
  br_buf_append (&hedge->answer, event->body);
  exchange->task->answer_bytes += event->body.len;
}

static void
hedge_on_end (br_exchange_t *exchange,
              br_http_client_t *client,
              const br_client_event_t *event)
{
  if (exchange_is_stream (exchange))
    hedge_fail (exchange, "empty_stream", true, BR_RESULT_FAILED);
  /* Such an end is not proved yet, and may be a crash. */
  else if (br_http_client_ended_by_close (client))
    hedge_give_up (exchange, "its end is not proved");
  else
    {
      hedge_win (exchange);
      br_exchange_on_client (exchange, client, event);
    }
}

static void
hedge_on_client (void *context,
                 br_http_client_t *client,
                 const br_client_event_t *event)
{
  br_exchange_t *exchange = context;

  switch (event->kind)
    {
    case BR_CLIENT_CONNECTED:
      break;
    case BR_CLIENT_HEAD:
      hedge_on_head (exchange, client, event->head);
      break;
    case BR_CLIENT_BODY:
      hedge_on_body (exchange, client, event);
      break;
    case BR_CLIENT_END:
      hedge_on_end (exchange, client, event);
      break;
    case BR_CLIENT_FAILED:
    case BR_CLIENT_LOST:
      hedge_fail (exchange, br_client_fault_name (event->fault),
                  br_http_client_has_sent (client),
                  br_exchange_count_fault (exchange->task, event->fault));
      break;
    }
}

/* --- sending --- */

static void
hedge_set_timer (br_exchange_t *exchange, br_ms_t wait_ms)
{
  struct timeval wait = { wait_ms / 1000, wait_ms % 1000 * 1000 };

  event_add (exchange->hedge.timer, &wait);
}

/* Chooses the upstream of the copy; NULL if none has room for it in time. */
static br_choice_t
hedge_choose (br_exchange_t *exchange, br_ms_t now)
{
  br_choice_query_t query = br_exchange_choice_query (exchange);
  int slots
      = exchange->service->has_engine ? exchange->service->engine.slots : 0;
  br_choice_t none = { 0 };
  br_choice_t choice;

  if (br_hedge_is_crowded (&exchange->task->fleet, &exchange->service->name,
                           slots, now))
    return none;
  /* The stream's version is recorded: its copy has to be of the same. */
  if (exchange_is_stream (exchange))
    query.version = exchange->attempt_version;
  choice = br_choice_make (&exchange->task->fleet, &query, now);
  if (choice.upstream == NULL || choice.upstream == exchange->upstream
      || br_fleet_is_excluded (&exchange->task->fleet, choice.upstream, now)
      || br_hedge_upstream_is_busy (choice.upstream, slots, now)
      || now + choice.expected_ms + HEDGE_REMAINING_MIN_MS > exchange->until_ms)
    return none;
  return choice;
}

/* Takes a copy from both budgets. */
static bool
hedge_take_budget (br_exchange_t *exchange, br_ms_t now)
{
  br_entry_service_t *service = exchange_entry_service (exchange);
  br_repeat_limits_t limits = br_entry_repeat_limits (exchange->task);

  if (br_hedge_budget_take (&service->hedges))
    {
      if (br_repeat_budget_take (&service->repeats, &limits, now))
        return true;
      br_hedge_budget_give_back (&service->hedges);
    }
  br_counters_add (&exchange->task->node->counters,
                   BR_COUNTER_HEDGES_OVER_BUDGET, 1);
  return false;
}

static void
hedge_send (br_exchange_t *exchange, br_ms_t now)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;
  br_upstream_pool_options_t options = {
    .on_event = hedge_on_client,
    .context = exchange,
    .idle_max_ms
    = exchange->inbound.id.len == 0 ? BR_UPSTREAM_POOL_NEW : BR_MS_NEVER,
  };
  br_choice_t choice = hedge_choose (exchange, now);
  bool is_new;

  if (choice.upstream == NULL || !hedge_take_budget (exchange, now))
    return;
  hedge->client = br_upstream_pool_take (
      exchange->task->node->base, choice.upstream, &options, now, &is_new);
  if (hedge->client == NULL)
    return;
  hedge->upstream = choice.upstream;
  hedge->choice = choice;
  hedge->sent_ms = now;
  hedge->first_ms = exchange->sent_ms;
  hedge->beside = exchange->upstream->listing.id;
  br_fleet_sent (hedge->upstream, &exchange->inbound, choice.uncached, now);
  exchange_entry_service (exchange)->in_flight++;
  if (exchange->n_tried < BR_CHOICE_TRIED_MAX)
    exchange->tried[exchange->n_tried++] = hedge->upstream;
  br_counters_add (&exchange->task->node->counters, BR_COUNTER_ATTEMPTS, 1);
  br_counters_add (&exchange->task->node->counters, BR_COUNTER_HEDGES, 1);
  br_exchange_write_request (exchange, hedge->upstream, &hedge->choice, now,
                             hedge->client);
  hedge_set_timer (exchange, BR_EXCHANGE_CONNECT_MS);
}

static void
hedge_on_timer (evutil_socket_t fd, short what, void *context)
{
  br_exchange_t *exchange = context;
  br_exchange_hedge_t *hedge = &exchange->hedge;

  (void)fd;
  (void)what;
  if (br_exchange_hedge_runs (exchange))
    {
      if (!br_http_client_is_connected (hedge->client))
        hedge_fail (exchange, "connect_timeout", false, BR_RESULT_TIMED_OUT);
      return;
    }
  if (exchange->upstream != NULL && exchange->client != NULL
      && exchange->end_check == NULL
      && exchange_decide (exchange) == BR_HEDGE_ALLOWED)
    hedge_send (exchange, br_exchange_now (exchange));
}

void
br_exchange_hedge_arm (br_exchange_t *exchange)
{
  br_exchange_hedge_t *hedge = &exchange->hedge;
  br_ms_t now = br_exchange_now (exchange);
  br_ms_t delay_ms;

  /* One copy for each request. */
  if (exchange_share (exchange) <= 0 || hedge->first_ms > 0
      || exchange_decide (exchange) != BR_HEDGE_ALLOWED)
    return;
  if (hedge->timer == NULL)
    hedge->timer
        = evtimer_new (exchange->task->node->base, hedge_on_timer, exchange);
  delay_ms = br_route_times_delay_ms (
      &exchange->task->route_times, &exchange->route->name,
      exchange_share (exchange), exchange->choice.expected_ms, now);
  if (delay_ms < exchange->until_ms - now)
    hedge_set_timer (exchange, delay_ms);
}
