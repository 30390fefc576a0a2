/* Moves a run: makes the call at the engine that leaves and sends the request
 * to the engine that has the copy. */
#include "shell/exchange_private.h"

#include <string.h>

#include "shell/http_call.h"

/* An engine that leaves is gone 2.5 s after its notice, and its copies with it.
 */
#define CALL_TIMEOUT_MS 3000

/* Time after the expected one in which the answer to a call must come once the
 * source has closed the stream, in milliseconds. */
#define ANSWER_WAIT_MS 300

/* Longest copy that is waited for, the link's queue included, in
 * milliseconds. */
#define COPY_WAIT_MAX_MS 2000

/* Engines that one move is ordered to. */
#define CALLS_MAX 2

/* A call in progress.  It may outlive its exchange, to free the copy. */
struct br_move_call
{
  br_move_calls_t *calls;
  br_exchange_t *exchange; /* NULL: it has ended */
  br_name_t address;       /* of the source */
  uint16_t port;
  br_move_call_t *next;
};

struct br_move_calls
{
  br_entry_task_t *task;
  br_http_calls_t *http;
  br_move_call_t *first;
};

br_move_calls_t *
br_move_calls_new (br_entry_task_t *task)
{
  br_move_calls_t *calls = br_alloc_zero (sizeof *calls);

  calls->task = task;
  calls->http = br_http_calls_new (task->node->base);
  return calls;
}

void
br_move_calls_free (br_move_calls_t *calls)
{
  if (calls == NULL)
    return;
  br_http_calls_free (calls->http);
  while (calls->first != NULL)
    {
      br_move_call_t *call = calls->first;

      calls->first = call->next;
      free (call);
    }
  free (calls);
}

static void
call_free (br_move_call_t *call)
{
  br_move_call_t **at = &call->calls->first;

  while (*at != call)
    at = &(*at)->next;
  *at = call->next;
  free (call);
}

void
br_exchange_log_move (const br_exchange_t *exchange,
                      const char *outcome,
                      int status)
{
  const br_exchange_move_t *move = &exchange->move;
  br_ms_t now = br_exchange_now (exchange);

  BR_LOG (&exchange->task->node->log, "request", "move",
          br_field_str ("id", exchange->inbound.id),
          br_field_z ("outcome", outcome), br_field_int ("status", status),
          br_field_z ("from", move->source.data),
          br_field_z ("to", move->choice.upstream != NULL
                                ? move->choice.upstream->listing.id.data
                                : ""),
          br_field_int ("calls", move->calls),
          br_field_int ("begun", exchange->begun),
          br_field_int ("events", (int64_t)(br_exchange_goes_on (exchange)
                                                ? move->events
                                                : exchange->events.passed)),
          br_field_int ("made", move->made),
          br_field_int ("tokens", (int64_t)br_move_tokens (&move->step.run)),
          br_field_int ("rest_ms", move->step.rest_ms == BR_MS_NEVER
                                       ? -1
                                       : move->step.rest_ms),
          br_field_int ("least_ms", move->left.least_ms),
          br_field_int ("most_ms", move->left.most_ms == BR_MS_NEVER
                                       ? -1
                                       : move->left.most_ms),
          br_field_int ("copy_ms", move->step.copy_ms),
          br_field_int ("queue_ms", move->step.queue_ms),
          br_field_int ("target_load", move->choice.load),
          br_field_int ("closed", move->closed),
          br_field_int ("since_call_ms",
                        move->called_ms > 0 ? now - move->called_ms : -1),
          br_field_int ("gap_ms", exchange->last_event_ms > 0
                                      ? now - exchange->last_event_ms
                                      : -1));
}

/* --- the target --- */

static void
exchange_hold_target (br_exchange_t *exchange, const br_choice_t *choice)
{
  exchange->move.choice = *choice;
  exchange->move.holds_target = true;
  br_fleet_copy_begins (choice->upstream);
}

static void
exchange_release_target (br_exchange_t *exchange)
{
  if (exchange->move.holds_target)
    br_fleet_copy_ended (exchange->move.choice.upstream);
  exchange->move.holds_target = false;
}

void
br_exchange_move_detach (br_exchange_t *exchange)
{
  br_exchange_move_t *move = &exchange->move;

  if (move->phase != BR_MOVE_NONE)
    br_exchange_log_move (exchange, "ended", 0);
  exchange_release_target (exchange);
  if (move->call != NULL)
    move->call->exchange = NULL;
  move->call = NULL;
  move->closed = false;
  move->choice.upstream = NULL;
  move->phase = BR_MOVE_NONE;
}

void
br_exchange_move_reset (br_exchange_t *exchange)
{
  int moves = exchange->move.moves;

  if (!br_exchange_goes_on (exchange))
    exchange->move = (br_exchange_move_t){ .moves = moves };
}

bool
br_exchange_goes_on (const br_exchange_t *exchange)
{
  return exchange->move.phase == BR_MOVE_CONTINUING;
}

bool
br_exchange_move_has_run (const br_exchange_t *exchange)
{
  return exchange->move.phase != BR_MOVE_NONE
         && exchange->move.handle[0] != '\0';
}

/* --- the end of a move --- */

/* The run stays where it is, or ends there.  May free the exchange. */
static void
exchange_settle (br_exchange_t *exchange, const char *outcome, int status)
{
  br_exchange_move_t *move = &exchange->move;
  br_client_event_t end = move->end;
  bool closed = move->closed;

  br_exchange_log_move (exchange, outcome, status);
  exchange_release_target (exchange);
  move->phase = BR_MOVE_NONE;
  move->closed = false;
  move->choice.upstream = NULL;
  move->settled = true;
  if (closed && move->unknown)
    br_exchange_fail_attempt (exchange, "move_unknown", true, BR_RESULT_BROKEN);
  else if (closed)
    br_exchange_on_end (exchange, &end);
  else
    br_exchange_check_later (exchange);
}

/* Ends an exchange whose run has stopped and can't go on. */
static void
exchange_end_stopped (br_exchange_t *exchange, const char *why, int status)
{
  br_attempt_query_t query = { .begun = exchange->begun };

  br_exchange_log_move (exchange, "lost", status);
  br_counters_add (&exchange->task->node->counters, BR_COUNTER_MOVES_LOST, 1);
  exchange->move.phase = BR_MOVE_NONE;
  br_exchange_move_detach (exchange);
  br_exchange_count_usage (exchange);
  query.ran = ++exchange->ran;
  query.remaining_ms = exchange->until_ms - br_exchange_now (exchange);
  br_exchange_end (exchange, br_attempt_give_up (&query), why);
}

/* Sends the request to UPSTREAM, which has the run's memory.  The current
 * attempt must have ended. */
static void
exchange_go_on_at (br_exchange_t *exchange, const br_choice_t *choice)
{
  exchange->move.phase = BR_MOVE_CONTINUING;
  exchange->move.closed = false;
  exchange->move.events = exchange->events.passed;
  exchange->choice = *choice;
  br_exchange_send (exchange, false);
}

/* Sends the request back to the source if it still runs. */
static void
exchange_go_back (br_exchange_t *exchange, int status)
{
  br_exchange_move_t *move = &exchange->move;
  br_fleet_upstream_t *source
      = br_fleet_find (&exchange->task->fleet, br_name_str (&move->source));
  br_choice_t choice = { .upstream = source };

  exchange_release_target (exchange);
  if (source == NULL)
    {
      exchange_end_stopped (exchange, "its engine has left", status);
      return;
    }
  move->choice = choice;
  exchange_go_on_at (exchange, &choice);
}

/* --- the call --- */

static void move_call_done (void *context, int status, br_str_t body);

static void
exchange_call (br_exchange_t *exchange)
{
  br_exchange_move_t *move = &exchange->move;
  const br_listing_t *target = &move->choice.upstream->listing;
  br_move_calls_t *calls = exchange->task->move_calls;
  br_move_call_t *call = br_alloc_zero (sizeof *call);
  br_move_order_t order = {
    .id = exchange->inbound.id,
    .address = target->address.data,
    .port = target->port,
    .stops = true,
  };
  br_buf_t body = { 0 };
  br_http_call_options_t options = {
    .address = move->source_address.data,
    .port = move->source_port,
    .method = EVHTTP_REQ_POST,
    .path = br_platform_move_path (),
    .timeout_ms = CALL_TIMEOUT_MS,
    .done = move_call_done,
    .context = call,
  };

  call->calls = calls;
  call->exchange = exchange;
  call->address = move->source_address;
  call->port = move->source_port;
  call->next = calls->first;
  calls->first = call;
  move->call = call;
  move->phase = BR_MOVE_CALLING;
  move->calls++;
  move->called_ms = br_exchange_now (exchange);
  br_platform_write_move (&order, &body);
  options.body = br_buf_str (&body);
  br_http_call (calls->http, &options);
  br_buf_free (&body);
}

void
br_exchange_move_begin (br_exchange_t *exchange, const br_choice_t *choice)
{
  br_exchange_move_t *move = &exchange->move;
  const br_listing_t *source = &exchange->upstream->listing;

  move->source = source->id;
  move->source_address = source->address;
  move->source_port = source->port;
  move->source_domain = source->failure_domain;
  move->handle[0] = '\0';
  move->calls = 0;
  move->refused = (br_name_t){ 0 };
  exchange->permit_until_ms = 0;
  exchange_hold_target (exchange, choice);
  br_counters_add (&exchange->task->node->counters, BR_COUNTER_MOVES, 1);
  exchange_call (exchange);
}

/* Orders the move to another target, once.  Returns false if there is none. */
static bool
exchange_call_again (br_exchange_t *exchange)
{
  br_exchange_move_t *move = &exchange->move;
  br_choice_t choice;

  if (move->calls >= CALLS_MAX || move->choice.upstream == NULL
      || br_fleet_find (&exchange->task->fleet, br_name_str (&move->source))
             == NULL)
    return false;
  move->refused = move->choice.upstream->listing.id;
  exchange_release_target (exchange);
  choice = br_exchange_move_target (exchange);
  if (choice.upstream == NULL)
    return false;
  exchange_hold_target (exchange, &choice);
  exchange_call (exchange);
  return true;
}

/* The run has stopped, and the target has no copy that it takes. */
static void
exchange_on_refused (br_exchange_t *exchange, int status)
{
  if (exchange_call_again (exchange))
    br_exchange_set_timer (exchange, exchange->until_ms);
  else
    exchange_go_back (exchange, status);
}

/* Ends the attempt at the source, whose run has stopped, and keeps the move. */
static void
exchange_leave_source (br_exchange_t *exchange)
{
  br_exchange_move_t move = exchange->move;

  if (exchange->upstream == NULL)
    return;
  exchange->move = (br_exchange_move_t){ 0 };
  br_exchange_end_attempt (exchange, false);
  br_event_stream_discard (&exchange->events);
  exchange->move = move;
  exchange->move.closed = false;
}

static void
exchange_on_copied (br_exchange_t *exchange)
{
  br_choice_t choice = exchange->move.choice;

  exchange_leave_source (exchange);
  /* The attempt counts there from now on. */
  exchange_release_target (exchange);
  exchange_go_on_at (exchange, &choice);
}

/* The call has no answer that tells the state of the run. */
static void
exchange_on_unknown (br_exchange_t *exchange, int status)
{
  if (br_exchange_move_has_run (exchange))
    {
      /* It had stopped before this call, and only a handle lets it go on. */
      exchange_go_back (exchange, status);
      return;
    }
  exchange->move.unknown = true;
  exchange_settle (exchange, "unknown", status);
}

static void
exchange_on_reply (br_exchange_t *exchange,
                   int status,
                   const br_move_reply_t *reply)
{
  br_exchange_move_t *move = &exchange->move;
  bool had_stopped = br_exchange_move_has_run (exchange);

  if (reply->handle[0] != '\0' && (status == 200 || status == 503))
    {
      memcpy (move->handle, reply->handle, sizeof move->handle);
      move->made = reply->made;
    }
  if (status == 200 && reply->handle[0] != '\0')
    exchange_on_copied (exchange);
  else if (status == 503 && br_exchange_move_has_run (exchange))
    {
      exchange_leave_source (exchange);
      exchange_on_refused (exchange, status);
    }
  else if (status == 503 && !move->closed)
    {
      if (!exchange_call_again (exchange))
        exchange_settle (exchange, "refused", status);
    }
  else if (status == 404 && had_stopped)
    exchange_end_stopped (exchange, "its engine no longer has it", status);
  else if (status == 404)
    exchange_settle (exchange, "ended", status);
  else
    exchange_on_unknown (exchange, status);
}

/* --- calls that outlive their exchange --- */

static void
on_freed (void *context, int status, br_str_t body)
{
  (void)context;
  (void)status;
  (void)body;
}

/* Frees a copy that nobody uses. */
static void
call_free_handle (const br_move_call_t *call, const char *handle)
{
  br_buf_t path = { 0 };
  br_http_call_options_t options = {
    .address = call->address.data,
    .port = call->port,
    .method = EVHTTP_REQ_DELETE,
    .timeout_ms = CALL_TIMEOUT_MS,
    .done = on_freed,
  };

  br_platform_write_handle_path (handle, &path);
  br_buf_append_char (&path, '\0');
  options.path = path.data;
  br_http_call (call->calls->http, &options);
  br_buf_free (&path);
}

static void
move_call_done (void *context, int status, br_str_t body)
{
  br_move_call_t *call = context;
  br_exchange_t *exchange = call->exchange;
  br_move_reply_t reply;

  br_platform_read_move (body, &reply);
  if (exchange == NULL && reply.handle[0] != '\0')
    call_free_handle (call, reply.handle);
  call_free (call);
  if (exchange == NULL)
    return;
  exchange->move.call = NULL;
  exchange_on_reply (exchange, status, &reply);
}

/* --- what the exchange's other parts ask --- */

/* Returns how long the answer to the call may take after the source closed the
 * stream: a call that stops the run closes the stream before it copies. */
static br_ms_t
exchange_answer_wait_ms (const br_exchange_t *exchange)
{
  const br_exchange_move_t *move = &exchange->move;
  uint32_t before
      = br_fleet_load (exchange->upstream, br_exchange_now (exchange));
  br_ms_t copies_ms = 2 * move->step.copy_ms * ((br_ms_t)before + 1);

  return BR_MIN (copies_ms, COPY_WAIT_MAX_MS) + ANSWER_WAIT_MS;
}

bool
br_exchange_move_holds_end (br_exchange_t *exchange,
                            const br_client_event_t *event)
{
  br_exchange_move_t *move = &exchange->move;
  bool is_close = event->kind == BR_CLIENT_END
                      ? br_http_client_ended_by_close (exchange->client)
                      : event->fault == BR_CLIENT_FAULT_CLOSED
                            || event->fault == BR_CLIENT_FAULT_RESET
                            || event->fault == BR_CLIENT_FAULT_UNPROVED;

  if (!is_close)
    return false;
  if (move->phase == BR_MOVE_CALLING)
    {
      move->closed = true;
      move->end = *event;
      move->closed_until_ms
          = br_exchange_now (exchange) + exchange_answer_wait_ms (exchange);
      br_exchange_check_later (exchange);
      return true;
    }
  /* An answer without framing that was stopped looks whole. */
  if (!move->unknown || event->kind != BR_CLIENT_END)
    return false;
  br_exchange_fail_attempt (exchange, "move_unknown", true, BR_RESULT_BROKEN);
  return true;
}

bool
br_exchange_move_on_timer (br_exchange_t *exchange)
{
  br_exchange_move_t *move = &exchange->move;

  if (move->phase != BR_MOVE_CALLING
      || (!move->closed && exchange->upstream != NULL))
    return false;
  if (!move->closed || br_exchange_now (exchange) < move->closed_until_ms)
    {
      br_exchange_set_timer (exchange, move->closed ? move->closed_until_ms
                                                    : exchange->until_ms);
      return true;
    }
  move->call->exchange = NULL;
  move->call = NULL;
  exchange_on_unknown (exchange, 0);
  return true;
}

void
br_exchange_move_went_on (br_exchange_t *exchange)
{
  br_exchange_move_t *move = &exchange->move;
  bool is_back;

  if (!br_exchange_goes_on (exchange))
    return;
  is_back = br_name_equal (&exchange->upstream->listing.id, &move->source);
  br_exchange_log_move (exchange, is_back ? "went_back" : "went_on",
                        exchange->outcome.status);
  br_counters_add (&exchange->task->node->counters,
                   is_back ? BR_COUNTER_MOVES_BACK : BR_COUNTER_MOVES_DONE, 1);
  move->moves++;
  move->phase = BR_MOVE_NONE;
  br_exchange_move_reset (exchange);
  /* Two engines had no room, and each try stops the caller's stream. */
  move->settled = is_back;
}

bool
br_exchange_move_failed (br_exchange_t *exchange,
                         const char *cause,
                         bool may_have_run,
                         br_result_kind_t result)
{
  br_entry_task_t *task = exchange->task;
  br_exchange_move_t *move = &exchange->move;
  /* An engine that doesn't take the handle doesn't run the request. */
  bool is_refused = !may_have_run
                    || (exchange->head_seen && exchange->outcome.status == 503);
  bool is_back;

  if (!br_exchange_goes_on (exchange))
    return false;
  is_back = br_name_equal (&exchange->upstream->listing.id, &move->source);
  if (!is_refused)
    {
      br_exchange_log_move (exchange, "lost", exchange->outcome.status);
      br_counters_add (&task->node->counters, BR_COUNTER_MOVES_LOST, 1);
      move->phase = BR_MOVE_NONE;
      return false;
    }
  br_exchange_log_attempt (exchange, cause, false, "move");
  br_counters_add (&task->node->counters, BR_COUNTER_ATTEMPTS_FAILED, 1);
  br_fleet_record_result (&task->fleet, exchange->upstream, result,
                          br_exchange_now (exchange));
  exchange_leave_source (exchange);
  if (is_back)
    exchange_end_stopped (exchange, "its engine didn't take it back", 503);
  else
    exchange_on_refused (exchange, 503);
  return true;
}
