/* Ends exchanges: writes the log lines, ends attempts, and answers the caller
 * when no upstream does. */
#include "shell/exchange_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "http/error_body.h"
#include "shell/upstream_pool.h"
#include "upstream/quarantine.h"

/* Wait before a stream that was refused is tried again, in milliseconds.  A
 * full engine frees a slot in about this time. */
#define STREAM_RETRY_DELAY_MS 100

br_ms_t
br_exchange_now (const br_exchange_t *exchange)
{
  return br_node_now (exchange->task->node);
}

uint64_t
br_exchange_content (br_exchange_t *exchange)
{
  if (exchange->content == 0)
    exchange->content = br_request_content (
        exchange->organisation != NULL
            ? br_name_str (&exchange->organisation->name)
            : (br_str_t){ 0 },
        exchange->inbound.target, br_http_conn_body (exchange->conn));
  return exchange->content;
}

/* --- the log --- */

const char *
br_content_text (uint64_t content, char text[BR_CONTENT_DIGITS])
{
  text[0] = '\0';
  if (content != 0)
    snprintf (text, BR_CONTENT_DIGITS, "%016" PRIx64, content);
  return text;
}

/* Size of the text of all parts that other requests may share. */
#define PARTS_TEXT_MAX (BR_PROMPT_PARTS_MAX * 17)

/* Writes the ids of the shared parts of the prompt to TEXT, separated by
 * commas; returns TEXT. */
static const char *
parts_text (const br_inbound_t *inbound, char text[PARTS_TEXT_MAX])
{
  size_t len = 0;

  text[0] = '\0';
  for (size_t i = 0; i + 1 < inbound->n_parts; i++)
    len += (size_t)snprintf (text + len, PARTS_TEXT_MAX - len, "%s%" PRIx64,
                             i > 0 ? "," : "", inbound->parts[i].id);
  return text;
}

void
br_exchange_log (br_exchange_t *exchange, const char *outcome, int status)
{
  br_entry_task_t *task = exchange->task;
  br_ms_t now = br_exchange_now (exchange);
  br_str_t upstream = exchange->upstream != NULL
                          ? br_name_str (&exchange->upstream->listing.id)
                          : (br_str_t){ 0 };
  char content[BR_CONTENT_DIGITS];

  br_exchange_move_detach (exchange);
  br_exchange_hedge_abandon (exchange);
  BR_LOG (
      &task->node->log, "request", outcome,
      br_field_str ("id", exchange->inbound.id),
      br_field_z ("route",
                  exchange->route != NULL ? exchange->route->name.data : ""),
      br_field_z ("organisation", exchange->organisation != NULL
                                      ? exchange->organisation->name.data
                                      : ""),
      br_field_z ("content", br_content_text (exchange->content, content)),
      br_field_int ("status", status),
      br_field_z ("cause", exchange->cause != NULL ? exchange->cause : ""),
      br_field_int ("deadline_ms", exchange->inbound.deadline_ms),
      br_field_int ("after_ms", now - exchange->began_ms),
      br_field_int ("first_ms", exchange->first_ms > 0
                                    ? exchange->first_ms - exchange->began_ms
                                    : -1),
      br_field_int ("longest_gap_ms", exchange->longest_gap_ms),
      br_field_int ("attempts", exchange->ran + exchange->refused),
      br_field_int ("ran", exchange->ran),
      br_field_int ("moves", exchange->move.moves),
      br_field_int ("events", (int64_t)exchange->events.passed),
      br_field_z ("framing", exchange->framing),
      br_field_str ("upstream", upstream),
      br_field_z ("helper", exchange->helper.data),
      br_field_int ("relayed", exchange->is_relayed),
      br_field_z ("version", exchange->upstream != NULL
                                 ? exchange->upstream->listing.version.data
                                 : ""),
      br_field_z ("versions", exchange->rollout.reason != NULL
                                  ? exchange->rollout.reason
                                  : ""),
      br_field_str ("resumes", exchange->inbound.resumes),
      br_field_int ("expected_ms", exchange->choice.expected_ms),
      br_field_int ("prompt", exchange->inbound.prompt_tokens),
      br_field_int ("output", exchange->inbound.output_tokens),
      br_field_int ("uncached", exchange->choice.uncached),
      br_field_int ("upstream_load", exchange->choice.load),
      br_field_int ("upstream_pace", exchange->choice.pace),
      br_field_int ("upstream_speed", exchange->choice.speed),
      br_field_int ("configuration",
                    exchange->configuration != NULL
                        ? (int64_t)exchange->configuration->version
                        : 0),
      br_field_int ("list_age_ms", now - task->fleet.read_ms));
}

void
br_exchange_log_attempt (br_exchange_t *exchange,
                         const char *cause,
                         bool may_have_run,
                         const char *next)
{
  const br_fleet_upstream_t *upstream = exchange->upstream;
  br_ms_t now = br_exchange_now (exchange);
  br_entry_service_t *service = br_entry_service (
      exchange->task, br_name_str (&exchange->service->name));
  br_repeat_limits_t limits = br_entry_repeat_limits (exchange->task);
  char content[BR_CONTENT_DIGITS];
  char parts[PARTS_TEXT_MAX];
  br_client_progress_t progress = { .fault = "" };

  if (exchange->client != NULL)
    progress = br_http_client_progress (exchange->client);
  BR_LOG (
      &exchange->task->node->log, "request", "attempt_failed",
      br_field_str ("id", exchange->inbound.id),
      br_field_z ("content",
                  br_content_text (br_exchange_content (exchange), content)),
      br_field_z ("parts", parts_text (&exchange->inbound, parts)),
      br_field_str ("upstream", br_name_str (&upstream->listing.id)),
      br_field_int ("born", (int64_t)upstream->listing.started_ms),
      br_field_z ("version", upstream->listing.version.data),
      br_field_z ("peer", upstream->listing.address.data),
      br_field_z ("cause", cause), br_field_z ("fault", progress.fault),
      br_field_int ("may_have_run", may_have_run), br_field_z ("next", next),
      br_field_int ("attempt_ms", now - exchange->sent_ms),
      br_field_int ("events", (int64_t)exchange->events.passed),
      br_field_z ("framing", exchange->framing),
      br_field_int ("received", (int64_t)progress.received),
      br_field_int ("unacked", (int64_t)progress.unacked),
      br_field_int ("inside_event",
                    br_event_stream_is_inside_event (&exchange->events)),
      br_field_int ("answering", exchange->had_first_event),
      br_field_int ("load", br_fleet_load (upstream, now)),
      br_field_int ("repeats_left", (int64_t)br_repeat_budget_remaining (
                                        &service->repeats, &limits, now)),
      br_field_int ("left_ms", exchange->until_ms - now));
}

/* --- ends --- */

void
br_exchange_clear_answer (br_exchange_t *exchange)
{
  br_http_head_release (&exchange->answer_head);
  exchange->task->answer_bytes -= exchange->answer.len;
  br_buf_free (&exchange->answer);
  exchange->head_seen = false;
  exchange->framing = "";
}

void
br_exchange_end_attempt (br_exchange_t *exchange, bool keep)
{
  br_entry_task_t *task = exchange->task;
  size_t keep_max;

  br_exchange_move_detach (exchange);
  if (exchange->helper.len > 0)
    {
      br_http_client_free (exchange->client);
      exchange->client = NULL;
      exchange->helper = (br_name_t){ 0 };
      exchange->paused = false;
    }
  if (exchange->upstream == NULL)
    return;
  keep_max = (size_t)BR_MAX (
      exchange->service->max_connections / (int)BR_MAX (task->entries, 1), 1);
  br_fleet_ended (exchange->upstream, exchange->choice.uncached,
                  exchange->had_first_event);
  if (exchange->suspect)
    br_quarantine_end (&task->node->quarantine, exchange->content);
  exchange->suspect = false;
  br_entry_service (task, br_name_str (&exchange->service->name))->in_flight--;
  if (keep)
    br_upstream_pool_keep (exchange->upstream, exchange->client, keep_max);
  else
    br_http_client_free (exchange->client);
  br_http_client_free (exchange->end_check);
  exchange->client = NULL;
  exchange->end_check = NULL;
  exchange->paused = false;
  exchange->upstream = NULL;
}

void
br_exchange_free (br_exchange_t *exchange)
{
  br_entry_task_t *task = exchange->task;

  br_exchange_hedge_release (exchange);
  br_exchange_end_attempt (exchange, false);
  if (exchange->prev != NULL)
    exchange->prev->next = exchange->next;
  else
    task->exchanges = exchange->next;
  if (exchange->next != NULL)
    exchange->next->prev = exchange->prev;
  task->n_exchanges--;
  task->n_waiting -= exchange->waits_for_start ? 1 : 0;
  if (exchange->timer != NULL)
    event_free (exchange->timer);
  br_exchange_clear_answer (exchange);
  br_event_stream_release (&exchange->events);
  br_configuration_unref (exchange->configuration);
  free (exchange);
}

/* Gives the units back to the quota if the request did not run. */
static void
exchange_give_back_units (br_exchange_t *exchange)
{
  if (exchange->organisation != NULL && exchange->units > 0
      && exchange->ran == 0)
    br_quotas_give_back (&exchange->task->quotas, exchange->organisation,
                         exchange->units);
  exchange->units = 0;
}

void
br_exchange_answer_error (br_exchange_t *exchange, const br_error_t *err)
{
  br_entry_task_t *task = exchange->task;
  int status = br_error_http_status (err->code);
  br_buf_t body = { 0 };
  char seconds[24];
  br_buf_t statement = { 0 };
  br_http_header_t headers[3] = {
    { br_str_from ("Content-Type"), br_str_from ("application/json") },
  };
  br_http_answer_t answer
      = { .status = status, .headers = headers, .n_headers = 1 };

  if (err->retry_after_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%.3f",
                (double)err->retry_after_ms / 1000);
      headers[answer.n_headers++]
          = (br_http_header_t){ br_str_from ("Retry-After"),
                                br_str_from (seconds) };
    }
  if (br_exchange_state_ran (exchange, &headers[answer.n_headers], &statement))
    answer.n_headers++;
  exchange->cause = err->text;
  br_exchange_log (
      exchange, status == 503 || status == 429 ? "refused" : "failed", status);
  br_counters_add (&task->node->counters,
                   status == 503 || status == 429 ? BR_COUNTER_REQUESTS_REFUSED
                                                  : BR_COUNTER_REQUESTS_FAILED,
                   1);
  br_http_error_json (err, &body);
  br_http_conn_answer (exchange->conn, &answer, br_buf_str (&body));
  br_buf_free (&body);
  br_buf_free (&statement);
  exchange_give_back_units (exchange);
  br_exchange_free (exchange);
}

void
br_exchange_refuse (br_exchange_t *exchange,
                    const char *why,
                    br_ms_t retry_after_ms)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNAVAILABLE, "serve", "", "%s", why);
  err.retry_after_ms = retry_after_ms;
  br_exchange_answer_error (exchange, &err);
}

void
br_exchange_end (br_exchange_t *exchange,
                 br_attempt_next_t next,
                 const char *why)
{
  br_entry_task_t *task = exchange->task;
  br_version_filter_t versions;
  const char *waits_for;
  br_ms_t retry_after_ms;
  br_error_t err;

  switch (next)
    {
    case BR_ATTEMPT_AGAIN:
      br_exchange_attempt (exchange);
      return;
    case BR_ATTEMPT_LATER:
      exchange->n_tried = 0;
      br_exchange_set_timer (exchange, br_exchange_now (exchange)
                                           + STREAM_RETRY_DELAY_MS);
      return;
    case BR_ATTEMPT_REFUSE:
      versions = br_exchange_versions (exchange);
      retry_after_ms = br_choice_retry_after_ms (
          &task->fleet, exchange->service, &versions,
          br_random_unit (&task->node->random), br_exchange_now (exchange),
          &waits_for);
      br_exchange_refuse (exchange, waits_for != NULL ? waits_for : why,
                          retry_after_ms);
      return;
    case BR_ATTEMPT_FAIL:
      br_error_set (&err, BR_ERROR_UPSTREAM, "serve", "", "%s", why);
      err.may_have_run = true;
      br_exchange_answer_error (exchange, &err);
      return;
    case BR_ATTEMPT_TIME_OUT:
      br_error_set (&err, BR_ERROR_TIMEOUT, "serve", "", "%s", why);
      err.may_have_run = true;
      br_exchange_answer_error (exchange, &err);
      return;
    case BR_ATTEMPT_BREAK_OFF:
      exchange->cause = why;
      br_exchange_log (exchange, "broken_off", 0);
      br_counters_add (&exchange->task->node->counters,
                       BR_COUNTER_REQUESTS_FAILED, 1);
      br_http_conn_abort (exchange->conn);
      br_exchange_free (exchange);
      return;
    }
}

void
br_exchange_on_disconnect (void *context, br_http_conn_t *conn)
{
  br_exchange_t *exchange = br_http_conn_user (conn);

  (void)context;
  if (exchange == NULL)
    return;
  br_exchange_record_unanswered (exchange);
  exchange->cause = "the caller disconnected";
  br_exchange_log (exchange, "abandoned", 0);
  exchange_give_back_units (exchange);
  br_exchange_free (exchange);
}
