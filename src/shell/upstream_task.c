#include "shell/upstream_task.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <uthash.h>

#include "shell/answer_watch.h"
#include "shell/connection_pool.h"
#include "shell/domain_task.h"
#include "shell/upstream_check.h"
#include "shell/upstream_http.h"
#include "shell/upstream_watch.h"
#include "upstream/sse.h"

/* Timeout of evhttp itself.  The timers of an attempt are shorter and end it
 * first. */
#define HTTP_TIMEOUT_S 3600

typedef struct
{
  uint64_t number;
  br_upstream_task_t *task;
  uint64_t work;
  br_name_t upstream;
  char address[BR_UPSTREAM_ADDRESS_MAX];
  uint16_t port;
  char contract[BR_NAME_MAX + 40];
  uint64_t content;
  struct evhttp_connection *connection; /* NULL while CHECKING */
  struct evhttp_request *request;
  bool reused; /* the connection has carried an earlier attempt */
  struct evbuffer_cb_entry *output_cb;
  struct evbuffer_cb_entry *input_cb;
  br_answer_watch_t watch;
  struct event *timer;
  const char *step; /* "connect", "first token" or "token gap" */
  bool stream;
  bool opened;
  bool output_started; /* bytes of the request were queued for sending */
  br_ms_t not_after_ms;
  int http_error; /* evhttp's code, or -1 */
  br_sse_t sse;
  bool out_of_turn; /* bytes came before the request had been sent */
  br_error_code_t fault_code;
  const char *fault; /* it fails in the next iteration of the event loop */
  bool checking;     /* it failed, and the upstream's health is checked */
  br_error_t error;  /* why it failed */
  UT_hash_handle hh;
} attempt_t;

struct br_upstream_task
{
  br_node_t *node;
  br_connection_pool_t *pool;
  br_upstream_checks_t *checks;
  attempt_t *attempts;
  uint64_t last_number;
  uint64_t received; /* bytes of the answers of ATTEMPTS */
};

static br_node_message_t
attempt_message (const attempt_t *attempt, br_attempt_event_t event)
{
  br_node_message_t message = { .kind = BR_NODE_ATTEMPT };

  message.attempt.attempt = attempt->number;
  message.attempt.work = attempt->work;
  message.attempt.event = event;
  if (attempt->request != NULL)
    message.attempt.status
        = evhttp_request_get_response_code (attempt->request);
  return message;
}

static void
attempt_post_data (attempt_t *attempt, br_attempt_event_t event, br_str_t data)
{
  br_node_message_t message = attempt_message (attempt, event);

  br_buf_append (&message.attempt.data, data);
  br_node_post (attempt->task->node, message);
}

static void
attempt_set_timer (attempt_t *attempt, const char *step, br_ms_t timeout_ms)
{
  struct timeval bound = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

  attempt->step = step;
  event_add (attempt->timer, &bound);
}

static void
attempt_remove_buffer_cbs (attempt_t *attempt)
{
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (attempt->connection);

  if (attempt->output_cb != NULL)
    evbuffer_remove_cb_entry (bufferevent_get_output (bev), attempt->output_cb);
  if (attempt->input_cb != NULL)
    evbuffer_remove_cb_entry (bufferevent_get_input (bev), attempt->input_cb);
  attempt->output_cb = attempt->input_cb = NULL;
}

/* Returns the connection to the pool when REUSE, otherwise closes it. */
static void
attempt_release_connection (attempt_t *attempt, bool reuse)
{
  br_upstream_task_t *task = attempt->task;

  if (attempt->connection == NULL)
    return;
  attempt_remove_buffer_cbs (attempt);
  if (reuse)
    br_connection_pool_put (task->pool, attempt->address, attempt->port,
                            attempt->connection);
  else
    br_connection_free_later (task->node->base, attempt->connection);
  attempt->connection = NULL;
}

/* Frees the attempt.  The connection returns to the pool when REUSE, otherwise
 * it is closed. */
static void
attempt_free (attempt_t *attempt, bool reuse)
{
  attempt_release_connection (attempt, reuse);
  br_answer_watch_release (&attempt->watch);
  HASH_DEL (attempt->task->attempts, attempt);
  event_free (attempt->timer);
  br_sse_free (&attempt->sse);
  free (attempt);
}

/* Returns whether the attempt may have failed because its connection stalled,
 * and not because of the upstream. */
static bool
attempt_may_have_stalled (const attempt_t *attempt)
{
  return attempt->error.code == BR_ERROR_TIMEOUT
         && (attempt->opened || attempt->reused);
}

static void
attempt_post_failure (attempt_t *attempt, bool answers)
{
  br_upstream_task_t *task = attempt->task;
  br_node_message_t message = attempt_message (attempt, BR_ATTEMPT_FAILED);

  message.attempt.may_have_run = attempt->output_started;
  message.attempt.error = attempt->error;
  message.attempt.upstream_answers
      = answers && (attempt->out_of_turn || attempt_may_have_stalled (attempt));
  if (answers && attempt_may_have_stalled (attempt))
    {
      br_counters_add (&task->node->counters, BR_COUNTER_STALLED_CONNECTIONS,
                       1);
      br_connection_pool_drop (task->pool, attempt->address, attempt->port);
    }
  br_node_post (task->node, message);
  attempt_free (attempt, false);
}

/* Announces a crash.  A broken connection to an upstream that no longer answers
 * is a crash unless the upstream was leaving or was removed from the list.  Any
 * request that ran there may have caused it. */
static void
attempt_report_crash (const attempt_t *attempt)
{
  br_node_t *node = attempt->task->node;
  const br_upstream_t *upstream
      = br_registry_find (&node->registry, br_name_str (&attempt->upstream));

  if (attempt->error.code == BR_ERROR_TIMEOUT || !attempt->output_started
      || attempt->content == 0 || upstream == NULL || upstream->leaving
      || upstream->removed)
    return;
  br_domain_task_announce (node->domain, BR_NOTICE_CRASH, &attempt->upstream,
                           upstream->incarnation, attempt->content);
}

static void
task_on_checked (void *context, const br_name_t *upstream, bool answers)
{
  br_upstream_task_t *task = context;
  attempt_t *attempt;
  attempt_t *next;

  if (!answers)
    br_upstream_watch_set_down (task->node->upstream_watch, upstream, true);
  HASH_ITER (hh, task->attempts, attempt, next)
  {
    if (!attempt->checking || !br_name_equal (&attempt->upstream, upstream))
      continue;
    if (!answers)
      attempt_report_crash (attempt);
    attempt_post_failure (attempt, answers);
  }
}

/* Ends the exchange with the upstream.  BR_ATTEMPT_FAILED is posted when the
 * health check of the upstream has ended. */
static void
attempt_fail (attempt_t *attempt, br_error_code_t code, const char *text)
{
  br_upstream_task_t *task = attempt->task;

  br_error_set (&attempt->error, code, attempt->step, attempt->upstream.data,
                "%s", text);
  br_counters_add (&task->node->counters, BR_COUNTER_ATTEMPTS_FAILED, 1);
  if (attempt->request != NULL)
    evhttp_cancel_request (attempt->request);
  attempt->request = NULL;
  event_del (attempt->timer);
  attempt_release_connection (attempt, false);
  attempt->checking = true;
  br_upstream_checks_start (task->checks, &attempt->upstream, attempt->address,
                            attempt->port);
}

static void
attempt_on_timer (evutil_socket_t fd, short what, void *context)
{
  attempt_t *attempt = context;

  (void)fd;
  (void)what;
  if (attempt->fault != NULL)
    attempt_fail (attempt, attempt->fault_code, attempt->fault);
  else
    attempt_fail (attempt, BR_ERROR_TIMEOUT,
                  "no progress within the time limit");
}

/* Fails the attempt once evhttp no longer uses its request on the stack.  Until
 * then the rest of the answer is ignored. */
static void
attempt_fail_soon (attempt_t *attempt, br_error_code_t code, const char *fault)
{
  if (attempt->fault != NULL)
    return;
  attempt->fault_code = code;
  attempt->fault = fault;
  event_active (attempt->timer, EV_TIMEOUT, 0);
}

static void
attempt_fail_out_of_turn (attempt_t *attempt, size_t len, const char *fault)
{
  br_connection_pool_out_of_turn (attempt->task->pool, attempt->address,
                                  attempt->port, len);
  attempt->out_of_turn = true;
  attempt_fail_soon (attempt, BR_ERROR_UPSTREAM, fault);
}

/* What a reused connection brings before the request has been sent whole is not
 * the answer to it. */
static void
attempt_on_input (struct evbuffer *buffer,
                  const struct evbuffer_cb_info *info,
                  void *context)
{
  attempt_t *attempt = context;
  br_answer_fault_t fault;

  if (info->n_added == 0 || attempt->fault != NULL)
    return;
  fault = br_answer_watch_take (&attempt->watch, buffer, info->n_added);
  if (attempt->reused && br_connection_has_unsent (attempt->connection))
    attempt_fail_out_of_turn (
        attempt, info->n_added,
        "an answer began before the request had been sent");
  if (fault.text == NULL || attempt->fault != NULL)
    return;
  if (fault.code == BR_ERROR_PROTOCOL)
    {
      attempt->step = "read head";
      br_counters_add (&attempt->task->node->counters,
                       BR_COUNTER_PROTOCOL_ERRORS, 1);
      br_counters_add (&attempt->task->node->counters,
                       BR_COUNTER_ANSWERS_INVALID, 1);
    }
  attempt_fail_soon (attempt, fault.code, fault.text);
}

static void
attempt_on_output (struct evbuffer *buffer,
                   const struct evbuffer_cb_info *info,
                   void *context)
{
  attempt_t *attempt = context;

  (void)buffer;
  if (info->n_added == 0 || attempt->output_started)
    return;
  if (attempt->not_after_ms > 0
      && br_node_now (attempt->task->node) > attempt->not_after_ms)
    {
      /* Ends the attempt before the event loop polls the socket for writing, so
       * no byte is sent. */
      event_active (attempt->timer, EV_TIMEOUT, 0);
      return;
    }
  attempt->output_started = true;
  attempt_set_timer (attempt, "first token",
                     attempt->task->node->settings.first_token_ms);
}

static void
attempt_open (attempt_t *attempt)
{
  if (attempt->opened)
    return;
  attempt->opened = true;
  br_node_post (attempt->task->node,
                attempt_message (attempt, BR_ATTEMPT_OPENED));
}

/* Restarts the time limit when a part of the answer has arrived. */
static void
attempt_restart_timer (attempt_t *attempt)
{
  attempt_set_timer (attempt, "token gap",
                     attempt->task->node->settings.token_gap_ms);
}

/* Only a complete event restarts the time limit.  An upstream that sends single
 * bytes and completes no event has stalled and times out. */
static void
attempt_take_events (attempt_t *attempt, br_str_t bytes)
{
  br_sse_result_t result;
  br_str_t data;

  if (!br_sse_feed (&attempt->sse, bytes))
    {
      attempt->http_error = EVREQ_HTTP_DATA_TOO_LONG;
      return;
    }
  while ((result = br_sse_next (&attempt->sse, &data)) == BR_SSE_EVENT)
    {
      attempt_restart_timer (attempt);
      attempt_post_data (attempt, BR_ATTEMPT_EVENT, data);
    }
  if (result == BR_SSE_MORE)
    return;
  attempt->step = "read event";
  if (result == BR_SSE_ERROR)
    attempt_fail_soon (attempt, BR_ERROR_UPSTREAM,
                       "the engine reports an error");
  else
    attempt_fail_soon (attempt, BR_ERROR_PROTOCOL,
                       "a line belongs to no event");
}

static bool
attempt_is_event_stream (const attempt_t *attempt)
{
  return attempt->stream
         && evhttp_request_get_response_code (attempt->request) == HTTP_OK;
}

static void
attempt_on_chunk (struct evhttp_request *request, void *context)
{
  attempt_t *attempt = context;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t len = evbuffer_get_length (input);
  br_str_t bytes = br_str_make ((const char *)evbuffer_pullup (input, -1), len);

  if (attempt->fault != NULL)
    {
      evbuffer_drain (input, len);
      return;
    }
  attempt->watch.body += len;
  attempt_open (attempt);
  if (!attempt_is_event_stream (attempt))
    {
      attempt_restart_timer (attempt);
      attempt_post_data (attempt, BR_ATTEMPT_BODY, bytes);
    }
  else
    attempt_take_events (attempt, bytes);
  evbuffer_drain (input, len);
}

static void
attempt_on_error (enum evhttp_request_error error, void *context)
{
  attempt_t *attempt = context;

  attempt->http_error = error;
}

static void
attempt_on_done (struct evhttp_request *request, void *context)
{
  attempt_t *attempt = context;
  const char *fault = attempt->fault;
  br_error_code_t code
      = fault != NULL ? attempt->fault_code : BR_ERROR_UPSTREAM;
  const char *keep;

  if (fault == NULL
      && (request == NULL || attempt->http_error >= 0
          || evhttp_request_get_response_code (request) == 0))
    fault = br_upstream_http_error_text (attempt->http_error);
  if (fault == NULL)
    fault = br_upstream_http_end_fault (request, attempt->stream);
  if (fault != NULL)
    {
      attempt->request = NULL;
      attempt_fail (attempt, code, fault);
      return;
    }
  attempt_open (attempt);
  br_node_post (attempt->task->node,
                attempt_message (attempt, BR_ATTEMPT_DONE));
  keep = evhttp_find_header (evhttp_request_get_input_headers (request),
                             "Connection");
  attempt_free (attempt,
                keep == NULL || evutil_ascii_strcasecmp (keep, "close"));
}

static int
attempt_on_head (struct evhttp_request *request, void *context)
{
  attempt_t *attempt = context;
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  const char *type = evhttp_find_header (headers, "Content-Type");
  const char *contract = evhttp_find_header (headers, "X-Contract-Id");

  br_upstream_http_acknowledge (attempt->connection);
  if (contract != NULL && strcmp (contract, attempt->contract) != 0)
    attempt_fail_out_of_turn (attempt, 0, "the answer to another request");
  else if (type != NULL && attempt_is_event_stream (attempt)
           && !br_sse_is_content_type (br_str_from (type)))
    {
      attempt->step = "read head";
      attempt_fail_soon (attempt, BR_ERROR_PROTOCOL,
                         "the answer is not an event stream");
    }
  if (attempt->fault == NULL)
    attempt_open (attempt);
  return 0;
}

static struct evhttp_request *
attempt_new_request (attempt_t *attempt, const br_attempt_options_t *options)
{
  struct evhttp_request *request
      = evhttp_request_new (attempt_on_done, attempt);

  evhttp_request_set_chunked_cb (request, attempt_on_chunk);
  evhttp_request_set_error_cb (request, attempt_on_error);
  evhttp_request_set_header_cb (request, attempt_on_head);
  br_upstream_http_add_headers (request, options);
  evbuffer_add (evhttp_request_get_output_buffer (request), options->body.data,
                options->body.len);
  return request;
}

static void
attempt_connect (attempt_t *attempt, const br_attempt_options_t *options)
{
  br_upstream_task_t *task = attempt->task;

  snprintf (attempt->address, sizeof attempt->address, "%s", options->address);
  attempt->port = options->port;
  if (!options->fresh_connection)
    attempt->connection
        = br_connection_pool_take (task->pool, attempt->address, attempt->port);
  attempt->reused = attempt->connection != NULL;
  if (!attempt->reused)
    attempt->connection = evhttp_connection_base_new (
        task->node->base, NULL, attempt->address, attempt->port);
  evhttp_connection_set_timeout (attempt->connection, HTTP_TIMEOUT_S);
  evhttp_connection_set_max_headers_size (attempt->connection,
                                          BR_ANSWER_HEAD_MAX_BYTES);
  evhttp_connection_set_max_body_size (attempt->connection,
                                       BR_ANSWER_BODY_MAX_BYTES);
}

uint64_t
br_upstream_task_start (br_upstream_task_t *task,
                        const br_attempt_options_t *options)
{
  attempt_t *attempt = br_alloc_zero (sizeof *attempt);
  struct bufferevent *bev;

  attempt->number = ++task->last_number;
  attempt->task = task;
  attempt->work = options->work;
  br_name_set (&attempt->upstream, br_str_from (options->upstream));
  attempt->stream = options->stream;
  attempt->not_after_ms = options->not_after_ms;
  attempt->http_error = -1;
  attempt->content = options->content;
  if (options->contract != NULL)
    snprintf (attempt->contract, sizeof attempt->contract, "%s",
              options->contract);
  br_answer_watch_init (&attempt->watch, &task->received);
  attempt_connect (attempt, options);
  attempt->timer = evtimer_new (task->node->base, attempt_on_timer, attempt);
  HASH_ADD (hh, task->attempts, number, sizeof attempt->number, attempt);
  bev = evhttp_connection_get_bufferevent (attempt->connection);
  attempt->output_cb = evbuffer_add_cb (bufferevent_get_output (bev),
                                        attempt_on_output, attempt);
  attempt->input_cb = evbuffer_add_cb (bufferevent_get_input (bev),
                                       attempt_on_input, attempt);
  attempt_set_timer (attempt, "connect", task->node->settings.connect_ms);
  attempt->request = attempt_new_request (attempt, options);
  br_counters_add (&task->node->counters, BR_COUNTER_ATTEMPTS, 1);
  if (evhttp_make_request (attempt->connection, attempt->request,
                           options->method, options->path)
      != 0)
    {
      uint64_t number = attempt->number;

      /* evhttp has already freed the request. */
      attempt->request = NULL;
      attempt_fail (attempt, BR_ERROR_UPSTREAM, "cannot connect");
      return number;
    }
  return attempt->number;
}

static attempt_t *
task_find (br_upstream_task_t *task, uint64_t number)
{
  attempt_t *attempt;

  HASH_FIND (hh, task->attempts, &number, sizeof number, attempt);
  return attempt;
}

void
br_upstream_task_cancel (br_upstream_task_t *task, uint64_t number)
{
  attempt_t *attempt = task_find (task, number);

  if (attempt == NULL)
    return;
  if (attempt->request != NULL)
    evhttp_cancel_request (attempt->request);
  attempt_free (attempt, false);
}

static void
task_on_out_of_turn (void *context,
                     const char *address,
                     uint16_t port,
                     size_t len)
{
  br_upstream_task_t *task = context;
  const br_upstream_t *upstream
      = br_registry_find_address (&task->node->registry, address, port);

  br_counters_add (&task->node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
  BR_LOG (&task->node->log, "upstream", "out_of_turn",
          br_field_z ("peer", upstream != NULL ? upstream->name.data : ""),
          br_field_int ("bytes", (int64_t)len));
}

br_upstream_task_t *
br_upstream_task_new (br_node_t *node)
{
  br_upstream_task_t *task = br_alloc_zero (sizeof *task);

  task->node = node;
  task->pool = br_connection_pool_new (node->base, task_on_out_of_turn, task);
  task->checks = br_upstream_checks_new (node->base, task_on_checked, task);
  return task;
}

void
br_upstream_task_free (br_upstream_task_t *task)
{
  attempt_t *attempt;
  attempt_t *next;

  if (task == NULL)
    return;
  HASH_ITER (hh, task->attempts, attempt, next)
  {
    struct evhttp_connection *connection = attempt->connection;

    if (connection != NULL)
      {
        attempt_remove_buffer_cbs (attempt);
        evhttp_connection_free (connection);
      }
    HASH_DEL (task->attempts, attempt);
    event_free (attempt->timer);
    br_sse_free (&attempt->sse);
    br_answer_watch_release (&attempt->watch);
    free (attempt);
  }
  br_upstream_checks_free (task->checks);
  br_connection_pool_free (task->pool);
  free (task);
}
