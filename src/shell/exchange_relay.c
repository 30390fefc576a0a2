/* Sends requests that this entry VM cannot serve, as it reaches no upstream of
 * their service, to another entry VM, and forwards its answer.  That VM serves
 * them like its own callers', but takes nothing from the quota again. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/digest.h"
#include "shell/exchange_private.h"

/* Helpers that a request tries. */
#define HELPERS_MAX 2

/* Upstreams that accept no connection, after which a request goes to a helper
 * though its service does not count as lost: other connections may live on. */
#define UNCONNECTED_MAX 2

/* Taken from the remaining time of a relayed request, in milliseconds: its way
 * and that of its answer. */
#define RELAY_MARGIN_MS 10

/* Size of a nonce as text. */
#define RELAY_NONCE_DIGITS 17

static void
proof_append (const br_exchange_t *exchange, br_buf_t *out)
{
  const br_buf_t *key = &exchange->task->node->settings.shared_key;
  br_buf_t data = { 0 };
  br_digest_t mac;

  br_buf_printf (&data, "relay %.*s", (int)exchange->inbound.id.len,
                 exchange->inbound.id.data);
  mac = br_digest_hmac (br_buf_str (key), br_buf_str (&data));
  br_digest_print (&mac, out);
  br_buf_free (&data);
}

bool
br_exchange_is_relay_proved (const br_exchange_t *exchange)
{
  br_buf_t expected = { 0 };
  br_digest_t right;
  br_digest_t given;
  bool is_right;

  proof_append (exchange, &expected);
  is_right = br_digest_parse (br_buf_str (&expected), &right)
             && br_digest_parse (exchange->inbound.relay_proof, &given)
             && br_digest_equal (&right, &given);
  br_buf_free (&expected);
  return is_right;
}

/* --- the statement of a helper --- */

/* Returns the proof that an entry VM which was sent NONCE states RAN. */
static br_digest_t
statement_mac (const br_exchange_t *exchange, br_str_t nonce, int ran)
{
  br_buf_t data = { 0 };
  br_digest_t mac;

  br_buf_printf (&data, "relayed %.*s %d %.*s", (int)nonce.len, nonce.data, ran,
                 (int)exchange->inbound.id.len, exchange->inbound.id.data);
  mac = br_digest_hmac (br_buf_str (&exchange->task->node->settings.shared_key),
                        br_buf_str (&data));
  br_buf_free (&data);
  return mac;
}

/* Returns how many upstreams may have run the request. */
static int
exchange_ran_at_most (const br_exchange_t *exchange)
{
  bool is_sent = exchange->upstream != NULL && exchange->client != NULL
                 && br_http_client_has_sent (exchange->client);

  return exchange->ran + (is_sent ? 1 : 0);
}

bool
br_exchange_state_ran (const br_exchange_t *exchange,
                       br_http_header_t *header,
                       br_buf_t *value)
{
  br_relay_statement_t statement = { .ran = exchange_ran_at_most (exchange) };
  br_buf_t proof = { 0 };
  br_digest_t mac;

  if (!exchange->is_relayed || exchange->inbound.relay_nonce.len == 0
      || !br_exchange_is_relay_proved (exchange))
    return false;
  mac = statement_mac (exchange, exchange->inbound.relay_nonce, statement.ran);
  br_digest_print (&mac, &proof);
  statement.proof = br_buf_str (&proof);
  *header = br_platform_statement_header (&statement, value);
  br_buf_free (&proof);
  return true;
}

bool
br_exchange_looks_refused (const br_exchange_t *exchange)
{
  return exchange->is_relayed && exchange->inbound.relay_nonce.len == 0
         && !exchange->outcome.has_signature;
}

static br_str_t
nonce_text (uint64_t nonce, char text[RELAY_NONCE_DIGITS])
{
  snprintf (text, RELAY_NONCE_DIGITS, "%016" PRIx64, nonce);
  return br_str_from (text);
}

/* Reads what the helper states about the request, if its proof is right. */
static void
exchange_read_statement (br_exchange_t *exchange, const br_http_head_t *head)
{
  char nonce[RELAY_NONCE_DIGITS];
  br_relay_statement_t statement;
  br_digest_t right;
  br_digest_t given;

  if (!br_platform_read_statement (head, &statement)
      || !br_digest_parse (statement.proof, &given))
    return;
  right = statement_mac (exchange, nonce_text (exchange->relay_nonce, nonce),
                         statement.ran);
  exchange->relayed.is_stated = br_digest_equal (&right, &given);
  exchange->relayed.ran = statement.ran;
}

/* --- helpers --- */

/* Returns whether a helper may serve the request when this VM does not. */
static bool
exchange_needs_helper (const br_exchange_t *exchange)
{
  const br_entry_task_t *task = exchange->task;

  return !exchange->is_relayed && !exchange->on_trial
         && exchange->helpers_tried < HELPERS_MAX && task->helpers.len > 0
         && (exchange->unconnected >= UNCONNECTED_MAX
             || br_service_link_is_lost (&task->fleet.links,
                                         &exchange->service->name));
}

static void
exchange_log_helper (const br_exchange_t *exchange,
                     const char *event,
                     int status)
{
  br_ms_t now = br_exchange_now (exchange);

  BR_LOG (&exchange->task->node->log, "request", event,
          br_field_str ("id", exchange->inbound.id),
          br_field_z ("helper", exchange->helper.data),
          br_field_int ("status", status),
          br_field_int (
              "ran", exchange->relayed.is_stated ? exchange->relayed.ran : -1),
          br_field_int ("sent", br_http_client_has_sent (exchange->client)),
          br_field_int ("attempt_ms", now - exchange->sent_ms),
          br_field_int ("left_ms", exchange->until_ms - now));
}

/* Refuses the request: the helpers do not serve it either. */
static void
exchange_refuse_helpless (br_exchange_t *exchange, br_ms_t retry_after_ms)
{
  static const char why[]
      = "this VM reaches no upstream of the service, and no other VM helps";

  if (exchange->begun)
    br_exchange_end (exchange, BR_ATTEMPT_LATER, why);
  else if (exchange->ran > 0)
    br_exchange_end (exchange, BR_ATTEMPT_FAIL, why);
  else
    br_exchange_refuse (exchange, why,
                        retry_after_ms > 0 ? retry_after_ms
                                           : BR_EXCHANGE_RETRY_AFTER_MS);
}

/* --- the helper's answer --- */

/* The helper did not serve the request, which therefore did not run. */
static void
exchange_on_refusal (br_exchange_t *exchange, const br_outcome_head_t *outcome)
{
  br_ms_t retry_after_ms
      = outcome->has_retry_after ? outcome->retry_after_ms : 0;

  exchange_log_helper (exchange, "helper refused", outcome->status);
  br_exchange_end_attempt (exchange, false);
  if (br_exchange_relay (exchange))
    return;
  exchange_refuse_helpless (exchange, retry_after_ms);
}

/* Nothing shows that the request did not run: neither a statement of the helper
 * nor the signature of an upstream says who made the answer, or the two
 * contradict each other. */
static void
exchange_on_unknown (br_exchange_t *exchange)
{
  br_attempt_query_t query = {
    .kind = exchange->route->kind,
    .resumable = exchange->route->resumable,
    .max_attempts = exchange->max_attempts,
    .may_have_run = true,
    .begun = exchange->begun,
    .remaining_ms = exchange->until_ms - br_exchange_now (exchange),
  };

  query.ran = exchange->ran += br_relayed_answer_ran (&exchange->relayed);
  exchange->arrived++;
  exchange_log_helper (exchange, "helper unclear", exchange->relayed.status);
  br_counters_add (&exchange->task->node->counters, BR_COUNTER_RELAYS_UNCLEAR,
                   1);
  br_exchange_end_attempt (exchange, false);
  br_exchange_end (exchange, br_attempt_decide (&query),
                   "the other entry VM does not say whether it ran");
}

/* The connection to the helper broke after the request was sent. */
static void
exchange_on_helper_lost (br_exchange_t *exchange, const char *cause)
{
  br_attempt_query_t query = {
    .ran = ++exchange->ran,
    .begun = exchange->begun,
    .remaining_ms = exchange->until_ms - br_exchange_now (exchange),
  };

  exchange_log_helper (exchange, "helper lost", 0);
  br_exchange_end_attempt (exchange, false);
  br_exchange_end (exchange, br_attempt_give_up (&query), cause);
}

void
br_exchange_helper_unconnected (br_exchange_t *exchange)
{
  exchange_log_helper (exchange, "helper unreachable", 0);
  br_helpers_remove (&exchange->task->helpers, &exchange->helper);
  br_exchange_end_attempt (exchange, false);
  br_exchange_attempt (exchange);
}

static bool
exchange_streams_relayed (const br_exchange_t *exchange)
{
  return exchange->route->kind == BR_ROUTE_STREAM
         && exchange->outcome.status == 200;
}

static void
exchange_on_relayed_head (br_exchange_t *exchange, const br_http_head_t *head)
{
  br_outcome_head_t outcome;

  br_platform_read_response (head, &outcome);
  exchange->relayed.status = outcome.status;
  exchange->relayed.has_signature = outcome.has_signature;
  exchange_read_statement (exchange, head);
  switch (br_relayed_answer_use (&exchange->relayed))
    {
    case BR_RELAYED_NOT_RUN:
      exchange_on_refusal (exchange, &outcome);
      return;
    case BR_RELAYED_UNKNOWN:
      exchange_on_unknown (exchange);
      return;
    case BR_RELAYED_FORWARD:
      break;
    }
  exchange->outcome = outcome;
  exchange->outcome.request_id = (br_str_t){ 0 };
  exchange->head_seen = true;
  exchange->framing = br_http_head_framing_name (head);
  if (!exchange->begun)
    br_exchange_copy_head (exchange, head);
}

static void
exchange_on_relayed_body (br_exchange_t *exchange, br_str_t body)
{
  br_ms_t now = br_exchange_now (exchange);

  if (!exchange_streams_relayed (exchange))
    {
      if (!exchange->begun && !br_exchange_keep_bytes (exchange, body))
        exchange_on_helper_lost (exchange, "answer_too_long");
      return;
    }
  if (exchange->first_ms == 0)
    {
      exchange->first_ms = now;
      br_histogram_add (&exchange->task->first_event_ms,
                        now - exchange->began_ms);
    }
  br_exchange_forward_bytes (exchange, body);
}

static void
exchange_on_relayed_end (br_exchange_t *exchange)
{
  br_forwarded_head_t head;
  bool streams = exchange_streams_relayed (exchange);

  if (br_http_client_ended_by_close (exchange->client)
      || (exchange->begun && !streams))
    {
      exchange_on_helper_lost (exchange, "the other entry VM broke off");
      return;
    }
  exchange->ran += br_relayed_answer_ran (&exchange->relayed);
  br_histogram_add (&exchange->task->answer_ms,
                    br_exchange_now (exchange) - exchange->began_ms);
  br_counters_add (&exchange->task->node->counters, BR_COUNTER_REQUESTS_RELAYED,
                   1);
  br_exchange_log (exchange,
                   exchange->outcome.status < 500 ? "answered" : "failed",
                   exchange->outcome.status);
  br_exchange_end_attempt (exchange, false);
  if (exchange->begun)
    br_http_conn_end (exchange->conn);
  else
    {
      br_exchange_forward_head (exchange, &head);
      br_http_conn_answer (exchange->conn, &head.answer,
                           br_buf_str (&exchange->answer));
      br_forwarded_head_release (&head);
    }
  br_exchange_free (exchange);
}

static void
exchange_on_helper (void *context,
                    br_http_client_t *client,
                    const br_client_event_t *event)
{
  br_exchange_t *exchange = context;

  switch (event->kind)
    {
    case BR_CLIENT_CONNECTED:
      break;
    case BR_CLIENT_HEAD:
      exchange_on_relayed_head (exchange, event->head);
      break;
    case BR_CLIENT_BODY:
      exchange_on_relayed_body (exchange, event->body);
      break;
    case BR_CLIENT_END:
      exchange_on_relayed_end (exchange);
      break;
    case BR_CLIENT_FAILED:
    case BR_CLIENT_LOST:
      br_exchange_count_fault (exchange->task, event->fault);
      if (br_http_client_has_sent (client))
        exchange_on_helper_lost (exchange, br_client_fault_name (event->fault));
      else
        br_exchange_helper_unconnected (exchange);
      break;
    }
}

/* --- the request --- */

/* At a site that the platform runs, a VM's name is its address. */
static br_http_client_t *
helper_connect (const br_entry_task_t *task, const br_name_t *helper)
{
  br_endpoint_t endpoint = { .port = task->node->settings.relay_port };
  struct sockaddr_storage address;
  int len;

  if (endpoint.port == 0 || helper->len >= sizeof endpoint.address)
    return NULL;
  memcpy (endpoint.address, helper->data, helper->len);
  if (!br_endpoint_to_sockaddr (&endpoint, &address, &len))
    return NULL;
  return br_http_client_new (task->node->base, (struct sockaddr *)&address,
                             len);
}

static void
exchange_send_relayed (br_exchange_t *exchange)
{
  br_ms_t left_ms = exchange->until_ms - exchange->sent_ms - RELAY_MARGIN_MS;
  char nonce[RELAY_NONCE_DIGITS];
  br_buf_t proof = { 0 };
  br_buf_t request = { 0 };
  br_relayed_t relayed = {
    .nonce = nonce_text (exchange->relay_nonce, nonce),
    .deadline_ms = BR_MAX (left_ms, 1),
    .last_event_id = exchange->begun ? br_event_stream_last (&exchange->events)
                                     : exchange->inbound.last_event_id,
    .resumes = exchange->inbound.resumes,
    .attempts = exchange->relayed.attempts,
    .version = exchange->task->configuration->version,
  };

  /* The stream that this request began, or takes up already. */
  if (exchange->begun && exchange->inbound.last_event_id.len == 0)
    relayed.resumes = exchange->inbound.id;
  proof_append (exchange, &proof);
  relayed.proof = br_buf_str (&proof);
  br_platform_write_relayed (br_http_conn_head (exchange->conn),
                             br_http_conn_body (exchange->conn), &relayed,
                             &request);
  br_http_client_send (exchange->client, br_buf_str (&request));
  br_buf_free (&request);
  br_buf_free (&proof);
}

bool
br_exchange_relay (br_exchange_t *exchange)
{
  br_entry_task_t *task = exchange->task;
  br_ms_t now = br_exchange_now (exchange);
  const br_name_t *helper;

  if (!exchange_needs_helper (exchange))
    return false;
  helper = br_helpers_choose (&task->helpers, &exchange->service->name,
                              &exchange->last_helper, &task->node->random);
  if (helper == NULL)
    return false;
  exchange->client = helper_connect (task, helper);
  if (exchange->client == NULL)
    return false;
  br_exchange_clear_answer (exchange);
  exchange->helper = exchange->last_helper = *helper;
  exchange->helpers_tried++;
  exchange->relay_nonce = br_random_below (&task->node->random, UINT64_MAX);
  exchange->relayed = (br_relayed_answer_t){
    .attempts = exchange->max_attempts - exchange->ran,
  };
  exchange->permit_until_ms = 0;
  exchange->asked_trial = false;
  exchange->had_first_event = false;
  exchange->sent_ms = exchange->last_byte_ms = now;
  br_http_client_set_owner (exchange->client, exchange_on_helper, exchange);
  exchange_send_relayed (exchange);
  br_exchange_check_later (exchange);
  return true;
}

bool
br_exchange_refuse_lost (br_exchange_t *exchange)
{
  if (exchange->begun || exchange->ran > 0
      || !br_service_link_is_lost (&exchange->task->fleet.links,
                                   &exchange->service->name))
    return false;
  br_exchange_refuse (exchange, "this VM reaches no upstream of the service",
                      BR_EXCHANGE_RETRY_AFTER_MS);
  return true;
}
