/* Handles an upstream's answer to an attempt and forwards it to the caller. */
#include "shell/exchange_private.h"

#include <string.h>

#include "http/response_match.h"
#include "shell/upstream_pool.h"

/* Most bytes of all plain answers that are being read, and of one of them.  An
 * answer up to PLAIN_ANSWER_SMALL is read in any case. */
#define PLAIN_ANSWERS_MAX (16 * 1024 * 1024)
#define PLAIN_ANSWER_SMALL (256 * 1024)

/* While a caller has more bytes than this to receive, no more of its answer is
 * read. */
#define CALLER_BACKLOG_MAX (256 * 1024)

void
br_exchange_forward_head (br_exchange_t *exchange,
                          br_forwarded_head_t *forwarded)
{
  const br_http_head_t *head = &exchange->answer_head;
  br_http_header_t stated;

  *forwarded = (br_forwarded_head_t){ 0 };
  for (size_t i = 0; i < head->headers.len; i++)
    if (br_platform_forwards_field (head, head->headers.items[i].name))
      br_http_headers_push (&forwarded->headers, head->headers.items[i]);
  if (br_exchange_state_ran (exchange, &stated, &forwarded->statement))
    br_http_headers_push (&forwarded->headers, stated);
  forwarded->answer = (br_http_answer_t){
    .status = head->status,
    .headers = forwarded->headers.items,
    .n_headers = forwarded->headers.len,
  };
}

void
br_forwarded_head_release (br_forwarded_head_t *forwarded)
{
  br_http_headers_free (&forwarded->headers);
  br_buf_free (&forwarded->statement);
}

/* Records that the engine has begun to generate. */
static void
exchange_on_first_event (br_exchange_t *exchange)
{
  br_ms_t now = br_exchange_now (exchange);

  if (exchange->had_first_event)
    return;
  exchange->had_first_event = true;
  br_exchange_hedge_answered (exchange);
  br_exchange_move_went_on (exchange);
  br_fleet_on_alive (exchange->upstream, exchange->sent_ms);
  br_exchange_observe_first (exchange);
  br_fleet_first_event (&exchange->task->fleet, exchange->upstream,
                        exchange->choice.uncached, now - exchange->sent_ms,
                        now);
  br_exchange_rollout_begun (exchange);
  br_exchange_count_usage (exchange);
  br_exchange_record_begun (exchange);
  if (exchange->first_ms > 0)
    return;
  exchange->first_ms = now;
  br_histogram_add (&exchange->task->first_event_ms, now - exchange->began_ms);
}

static void
exchange_record_gap (br_exchange_t *exchange)
{
  br_ms_t now = br_exchange_now (exchange);

  if (exchange->last_event_ms > 0)
    exchange->longest_gap_ms
        = BR_MAX (exchange->longest_gap_ms, now - exchange->last_event_ms);
  exchange->last_event_ms = now;
}

void
br_exchange_forward_bytes (br_exchange_t *exchange, br_str_t bytes)
{
  br_forwarded_head_t head;

  if (!exchange->begun)
    {
      br_exchange_forward_head (exchange, &head);
      br_http_conn_begin (exchange->conn, &head.answer);
      br_forwarded_head_release (&head);
      exchange->begun = true;
      exchange->version = exchange->attempt_version;
    }
  br_http_conn_write (exchange->conn, bytes);
  if (br_http_conn_unsent (exchange->conn) > CALLER_BACKLOG_MAX)
    {
      exchange->paused = true;
      br_http_client_pause (exchange->client, true);
    }
  exchange_record_gap (exchange);
  br_exchange_rollout_event (exchange);
  br_counters_add (&exchange->task->node->counters, BR_COUNTER_BYTES_STREAMED,
                   bytes.len);
}

/* Forwards EVENTS, which are whole. */
static void
exchange_forward_events (br_exchange_t *exchange, br_str_t events)
{
  if (events.len == 0)
    return;
  exchange_on_first_event (exchange);
  br_exchange_forward_bytes (exchange, events);
}

static bool
exchange_streams (const br_exchange_t *exchange)
{
  return exchange->route->kind == BR_ROUTE_STREAM
         && exchange->outcome.status == 200;
}

/* Records a whole answer.  Must be called before the caller is answered: until
 * then the logged fields of the request live in the connection. */
static void
exchange_complete (br_exchange_t *exchange, const char *outcome, bool reusable)
{
  br_ms_t now = br_exchange_now (exchange);

  if (!exchange->had_first_event)
    br_exchange_hedge_answered (exchange);
  br_exchange_move_went_on (exchange);
  br_histogram_add (&exchange->task->answer_ms, now - exchange->began_ms);
  br_exchange_observe_answer (exchange);
  exchange->ran++;
  br_exchange_record_answered (exchange);
  br_exchange_rollout_answered (exchange);
  br_exchange_log (exchange, outcome, exchange->outcome.status);
  br_exchange_end_attempt (exchange, reusable);
}

static void
exchange_on_stream_end (br_exchange_t *exchange, bool reusable)
{
  if (br_event_stream_is_inside_event (&exchange->events))
    {
      br_exchange_fail_attempt (exchange, "cut_event", true, BR_RESULT_BROKEN);
      return;
    }
  /* Also when an earlier attempt has begun the stream: an upstream that resumes
   * it has at least the last event to send, unless the earlier one may have
   * ended it. */
  if (!br_event_stream_has_event (&exchange->events)
      && !(exchange->end_unproved
           && !br_http_client_ended_by_close (exchange->client)))
    {
      br_exchange_fail_attempt (exchange, "empty_stream", true,
                                BR_RESULT_FAILED);
      return;
    }
  br_fleet_record_result (&exchange->task->fleet, exchange->upstream,
                          BR_RESULT_GOOD, br_exchange_now (exchange));
  exchange_complete (exchange, "answered", reusable);
  br_http_conn_end (exchange->conn);
  br_exchange_free (exchange);
}

static const char *
refusal_name (br_result_kind_t result)
{
  switch (result)
    {
    case BR_RESULT_MOVED:
      return "moved";
    case BR_RESULT_RETRY_AFTER:
      return "held_off";
    default:
      return "full";
    }
}

/* Handles an error status of the upstream.  Returns true if it ended the
 * attempt, false if the answer is to be forwarded. */
static bool
exchange_on_error_status (br_exchange_t *exchange)
{
  const br_outcome_head_t *outcome = &exchange->outcome;
  bool has_retry_after = outcome->status == 503 && outcome->has_retry_after;

  if (has_retry_after)
    br_entry_upstream_retry_after (exchange->task, exchange->upstream, outcome,
                                   exchange->inbound.id);
  if (outcome->not_executed)
    {
      br_result_kind_t result = outcome->status == 421 ? BR_RESULT_MOVED
                                : has_retry_after      ? BR_RESULT_RETRY_AFTER
                                                       : BR_RESULT_FULL;

      br_exchange_fail_attempt (exchange, refusal_name (result), false, result);
      return true;
    }
  if (br_status_means_not_run (outcome->status))
    {
      /* The upstream does not say that the request has not run. */
      br_exchange_count_usage (exchange);
      br_exchange_fail_attempt (exchange, "unavailable", true,
                                has_retry_after ? BR_RESULT_RETRY_AFTER
                                                : BR_RESULT_FAILED);
      return true;
    }
  if (outcome->status < 500)
    return false;
  /* An engine that answers with an error has begun to run the request. */
  br_exchange_count_usage (exchange);
  br_fleet_record_result (&exchange->task->fleet, exchange->upstream,
                          BR_RESULT_FAILED, br_exchange_now (exchange));
  if (!br_exchange_may_repeat (exchange)
      || (exchange->ran + 1 >= exchange->max_attempts
          && !br_exchange_hedge_runs (exchange))
      || exchange->begun)
    return false;
  br_exchange_fail_attempt (exchange, "upstream_error", true, BR_RESULT_FAILED);
  return true;
}

static void
exchange_on_plain_end (br_exchange_t *exchange, bool reusable)
{
  br_forwarded_head_t head;

  if (exchange->outcome.status >= 400 && exchange_on_error_status (exchange))
    return;
  if (exchange->begun)
    {
      br_exchange_fail_attempt (exchange, "upstream_error", true,
                                BR_RESULT_FAILED);
      return;
    }
  if (br_exchange_looks_refused (exchange))
    {
      br_exchange_fail_attempt (exchange, "looks_refused", true,
                                BR_RESULT_GOOD);
      return;
    }
  if (exchange->outcome.status < 400)
    br_fleet_record_result (&exchange->task->fleet, exchange->upstream,
                            BR_RESULT_GOOD, br_exchange_now (exchange));
  exchange_complete (exchange, "answered", reusable);
  br_exchange_forward_head (exchange, &head);
  br_http_conn_answer (exchange->conn, &head.answer,
                       br_buf_str (&exchange->answer));
  br_forwarded_head_release (&head);
  br_exchange_free (exchange);
}

/* Handles the end of a whole answer, or of one that its upstream's crash may
 * have cut. */
static void
exchange_on_end (br_exchange_t *exchange, bool reusable)
{
  if (exchange_streams (exchange))
    exchange_on_stream_end (exchange, reusable);
  else
    exchange_on_plain_end (exchange, reusable);
}

/* --- ends without framing --- */

/* Returns whether the end of the answer may be a crash: the close of the
 * connection ended it.  An upstream that leaves may be gone before it has sent
 * all. */
static bool
exchange_end_may_be_crash (const br_exchange_t *exchange)
{
  return br_http_client_ended_by_close (exchange->client)
         && !br_event_stream_is_inside_event (&exchange->events);
}

void
br_exchange_end_unproved (br_exchange_t *exchange)
{
  br_counters_add (&exchange->task->node->counters, BR_COUNTER_ANSWERS_UNPROVED,
                   1);
  exchange->end_unproved = true;
  br_exchange_fail_attempt (exchange, "end_unproved", true, BR_RESULT_BROKEN);
}

static void
exchange_on_end_check (void *context,
                       br_http_client_t *client,
                       const br_client_event_t *event)
{
  br_exchange_t *exchange = context;

  if (event->kind != BR_CLIENT_CONNECTED)
    {
      br_exchange_end_unproved (exchange);
      return;
    }
  exchange->end_check = NULL;
  br_http_client_free (exchange->client);
  exchange->client = client;
  exchange_on_end (exchange, true);
}

/* Connects to the upstream, which shows whether it still runs.  The next
 * request there uses the connection. */
static void
exchange_check_end (br_exchange_t *exchange)
{
  exchange->end_check = br_upstream_pool_connect (exchange->task->node->base,
                                                  exchange->upstream);
  if (exchange->end_check == NULL)
    {
      br_exchange_end_unproved (exchange);
      return;
    }
  br_http_client_set_owner (exchange->end_check, exchange_on_end_check,
                            exchange);
  exchange->end_check_until_ms = BR_MIN (
      br_exchange_now (exchange) + BR_EXCHANGE_CONNECT_MS, exchange->until_ms);
  br_exchange_set_timer (exchange, exchange->end_check_until_ms);
}

/* --- heads --- */

void
br_exchange_copy_head (br_exchange_t *exchange, const br_http_head_t *head)
{
  br_http_head_copy (&exchange->answer_head, head);
}

/* Discards an answer to another request.  None of it is used: it may be of any
 * age, and what an upstream states about itself is in its next answer too. */
static void
exchange_skip_answer (br_exchange_t *exchange,
                      br_http_client_t *client,
                      const br_outcome_head_t *outcome)
{
  BR_LOG (
      &exchange->task->node->log, "request", "answer skipped",
      br_field_str ("id", exchange->inbound.id),
      br_field_str ("upstream", br_name_str (&exchange->upstream->listing.id)),
      br_field_int ("born", (int64_t)exchange->upstream->listing.started_ms),
      br_field_str ("names", outcome->request_id),
      br_field_int ("status", outcome->status),
      br_field_int ("not_executed", outcome->not_executed),
      br_field_int ("attempt_ms",
                    br_exchange_now (exchange) - exchange->sent_ms));
  br_http_client_skip (client);
}

void
br_exchange_take_signals (br_exchange_t *exchange,
                          br_fleet_upstream_t *upstream,
                          const br_outcome_head_t *outcome)
{
  /* Another upstream answers 421. */
  if (outcome->status == 421)
    return;
  if (outcome->leaving)
    br_entry_upstream_leaving (exchange->task, upstream, exchange->inbound.id);
  br_entry_upstream_limit (exchange->task, upstream, outcome,
                           exchange->inbound.id);
  if (!outcome->has_load)
    return;
  br_fleet_receive_report (upstream, outcome->running, outcome->waiting,
                           br_exchange_now (exchange));
  br_entry_upstream_pace (exchange->task, upstream, outcome,
                          exchange->inbound.id);
}

static void
exchange_on_head (br_exchange_t *exchange,
                  br_http_client_t *client,
                  const br_http_head_t *head)
{
  br_outcome_head_t outcome;
  br_response_match_t match = {
    .request_id = exchange->inbound.id,
    .is_first = br_http_client_is_first_response (client),
  };

  br_platform_read_response (head, &outcome);
  match.response_id = outcome.request_id;
  if (!br_response_matches (&match))
    {
      exchange_skip_answer (exchange, client, &outcome);
      return;
    }
  exchange->last_byte_ms = br_exchange_now (exchange);
  if (match.is_first)
    br_service_link_connected (&exchange->task->fleet.links,
                               &exchange->upstream->listing.service);
  br_exchange_take_signals (exchange, exchange->upstream, &outcome);
  if (outcome.status < 300 && !outcome.has_signature)
    {
      br_exchange_fail_attempt (exchange, "unsigned_answer", true,
                                BR_RESULT_FAILED);
      return;
    }
  exchange->outcome = outcome;
  exchange->outcome.request_id = (br_str_t){ 0 };
  if (exchange_streams (exchange)
      && !br_event_stream_is_type (br_http_head_find (head, "Content-Type")))
    {
      br_exchange_fail_attempt (exchange, "not_a_stream", true,
                                BR_RESULT_FAILED);
      return;
    }
  exchange->head_seen = true;
  exchange->framing = br_http_head_framing_name (head);
  br_exchange_copy_head (exchange, head);
}

/* Forwards the events that BYTES complete.  An upstream that sends anything
 * else has failed. */
static void
exchange_on_events (br_exchange_t *exchange, br_str_t bytes)
{
  br_event_fault_t fault;

  exchange_forward_events (exchange,
                           br_event_stream_take (&exchange->events, bytes));
  fault = br_event_stream_fault (&exchange->events);
  if (fault != BR_EVENT_FAULT_NONE)
    br_exchange_fail_attempt (exchange, br_event_fault_name (fault), true,
                              BR_RESULT_FAILED);
}

void
br_exchange_on_drained (void *context, br_http_conn_t *conn)
{
  br_exchange_t *exchange = br_http_conn_user (conn);

  (void)context;
  if (exchange == NULL || !exchange->paused)
    return;
  exchange->paused = false;
  exchange->last_byte_ms = br_exchange_now (exchange);
  br_exchange_check_later (exchange);
  br_http_client_pause (exchange->client, false);
}

/* Returns whether LEN more bytes of a plain answer may be kept. */
static bool
exchange_has_room (const br_exchange_t *exchange, size_t len)
{
  return exchange->answer.len + len <= PLAIN_ANSWER_SMALL
         || exchange->task->answer_bytes + len <= PLAIN_ANSWERS_MAX;
}

bool
br_exchange_keep_bytes (br_exchange_t *exchange, br_str_t bytes)
{
  if (!exchange_has_room (exchange, bytes.len))
    return false;
  br_buf_append (&exchange->answer, bytes);
  exchange->task->answer_bytes += bytes.len;
  return true;
}

static void
exchange_on_body (br_exchange_t *exchange, br_str_t body)
{
  exchange->last_byte_ms = br_exchange_now (exchange);
  if (exchange_streams (exchange))
    exchange_on_events (exchange, body);
  else if (!br_exchange_keep_bytes (exchange, body))
    br_exchange_fail_attempt (exchange, "answer_too_long", true,
                              BR_RESULT_FAILED);
}

br_result_kind_t
br_exchange_count_fault (br_entry_task_t *task, br_client_fault_t fault)
{
  br_counters_t *counters = &task->node->counters;

  switch (fault)
    {
    case BR_CLIENT_FAULT_CONNECT:
      return BR_RESULT_UNREACHABLE;
    case BR_CLIENT_FAULT_CLOSED:
      br_counters_add (counters, BR_COUNTER_ANSWERS_CUT, 1);
      return BR_RESULT_BROKEN;
    case BR_CLIENT_FAULT_RESET:
      br_counters_add (counters, BR_COUNTER_ANSWERS_RESET, 1);
      return BR_RESULT_BROKEN;
    case BR_CLIENT_FAULT_UNPROVED:
      br_counters_add (counters, BR_COUNTER_ANSWERS_UNPROVED, 1);
      return BR_RESULT_BROKEN;
    case BR_CLIENT_FAULT_GARBLED:
      br_counters_add (counters, BR_COUNTER_ANSWERS_INVALID, 1);
      return BR_RESULT_FAILED;
    }
  return BR_RESULT_BROKEN;
}

void
br_exchange_on_end (br_exchange_t *exchange, const br_client_event_t *event)
{
  if (event->kind != BR_CLIENT_END)
    br_exchange_fail_attempt (
        exchange, br_client_fault_name (event->fault),
        br_http_client_has_sent (exchange->client),
        br_exchange_count_fault (exchange->task, event->fault));
  else if (exchange_end_may_be_crash (exchange))
    exchange_check_end (exchange);
  else
    exchange_on_end (exchange, event->reusable);
}

void
br_exchange_on_client (void *context,
                       br_http_client_t *client,
                       const br_client_event_t *event)
{
  br_exchange_t *exchange = context;

  switch (event->kind)
    {
    case BR_CLIENT_CONNECTED:
      break;
    case BR_CLIENT_HEAD:
      exchange_on_head (exchange, client, event->head);
      break;
    case BR_CLIENT_BODY:
      exchange_on_body (exchange, event->body);
      break;
    case BR_CLIENT_END:
    case BR_CLIENT_FAILED:
    case BR_CLIENT_LOST:
      if (!br_exchange_move_holds_end (exchange, event))
        br_exchange_on_end (exchange, event);
      break;
    }
}
