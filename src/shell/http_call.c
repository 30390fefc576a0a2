#include "shell/http_call.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <sys/socket.h>

#include "http/framing.h"
#include "http/head_check.h"

#define ANSWER_HEAD_MAX_BYTES 65536

typedef struct call
{
  br_http_calls_t *calls;
  struct evhttp_connection *connection;
  struct evhttp_request *request; /* NULL once evhttp has ended it */
  struct event *timer;            /* the timeout, then the end of the call */
  uint64_t received;              /* bytes of the answer */
  br_http_head_check_t *head_check;
  bool has_bad_answer; /* the timer is about to end the call */
  br_http_call_cb_t done;
  void *context;
  int status; /* of an answer that is whole or bad */
  br_buf_t body;
  struct call *next;
} call_t;

struct br_http_calls
{
  struct event_base *base;
  call_t *first;
};

/* Makes the close of a call without an answer discard what the peer has not
 * received.  Otherwise the system may deliver the request much later, when a
 * cut ends and another VM has acted since. */
static void
call_discard_unsent (const call_t *call)
{
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (call->connection);
  struct linger now = { .l_onoff = 1, .l_linger = 0 };
  evutil_socket_t fd = bev != NULL ? bufferevent_getfd (bev) : -1;

  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

static void
call_free (call_t *call)
{
  call_t **at = &call->calls->first;

  while (*at != call)
    at = &(*at)->next;
  *at = call->next;
  if (call->request != NULL)
    {
      call_discard_unsent (call);
      evhttp_cancel_request (call->request);
    }
  evhttp_connection_free (call->connection);
  event_free (call->timer);
  br_http_head_check_free (call->head_check);
  br_buf_free (&call->body);
  free (call);
}

/* Ends the call.  Runs from the event loop, because the connection must not be
 * freed while evhttp uses it on the stack. */
static void
call_on_timer (evutil_socket_t fd, short what, void *context)
{
  call_t *call = context;
  br_http_call_cb_t done = call->done;
  void *done_context = call->context;
  int status = call->request == NULL || call->has_bad_answer ? call->status : 0;
  br_buf_t body = call->body;

  (void)fd;
  (void)what;
  call->body = (br_buf_t){ 0 };
  call_free (call);
  done (done_context, status, br_buf_str (&body));
  br_buf_free (&body);
}

static void
call_set_timer (call_t *call, br_ms_t ms)
{
  struct timeval delay = { ms / 1000, ms % 1000 * 1000 };

  event_add (call->timer, &delay);
}

static void
call_on_done (struct evhttp_request *request, void *context)
{
  call_t *call = context;

  call->request = NULL;
  if (request != NULL && !call->has_bad_answer)
    {
      struct evbuffer *input = evhttp_request_get_input_buffer (request);
      size_t len = evbuffer_get_length (input);

      call->status = evhttp_request_get_response_code (request);
      br_buf_append (
          &call->body,
          br_str_make ((const char *)evbuffer_pullup (input, -1), len));
    }
  call_set_timer (call, 0);
}

/* Ends the call when its answer has too much beside the body, or an invalid
 * head.  evhttp limits neither interim answers nor trailers, and accepts such
 * heads. */
static void
call_on_input (struct evbuffer *buffer,
               const struct evbuffer_cb_info *info,
               void *context)
{
  call_t *call = context;
  uint64_t body;
  uint64_t unread = evbuffer_get_length (buffer);
  br_error_t err;

  call->received += info->n_added;
  if (info->n_added == 0 || call->request == NULL || call->has_bad_answer)
    return;
  body = evbuffer_get_length (evhttp_request_get_input_buffer (call->request));
  call->has_bad_answer
      = unread > BR_HTTP_CALL_BODY_MAX
        || br_http_framing_is_excessive (call->received - unread - body, body);
  if (!call->has_bad_answer
      && !br_http_head_check_take (call->head_check, buffer, info->n_added,
                                   &err))
    {
      call->has_bad_answer = true;
      if (err.code == BR_ERROR_INVALID)
        call->status = BR_HTTP_CALL_INVALID;
    }
  if (call->has_bad_answer)
    event_active (call->timer, EV_TIMEOUT, 0);
}

static struct evhttp_request *
call_new_request (call_t *call, const br_http_call_options_t *options)
{
  struct evhttp_request *request = evhttp_request_new (call_on_done, call);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char host[64];

  snprintf (host, sizeof host, "%s:%u", options->address, options->port);
  evhttp_add_header (headers, "Host", host);
  evhttp_add_header (headers, "Connection", "close");
  if (options->vm != NULL)
    evhttp_add_header (headers, "X-VM", options->vm);
  for (size_t i = 0; i < options->n_headers; i++)
    evhttp_add_header (headers, options->headers[i].name,
                       options->headers[i].value);
  if (options->body.len > 0)
    {
      evhttp_add_header (headers, "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (request),
                    options->body.data, options->body.len);
    }
  return request;
}

void
br_http_call (br_http_calls_t *calls, const br_http_call_options_t *options)
{
  call_t *call = br_alloc_zero (sizeof *call);

  call->calls = calls;
  call->done = options->done;
  call->context = options->context;
  call->next = calls->first;
  calls->first = call;
  call->timer = evtimer_new (calls->base, call_on_timer, call);
  call->head_check = br_http_head_check_new (ANSWER_HEAD_MAX_BYTES);
  call->connection = evhttp_connection_base_new (
      calls->base, NULL, options->address, options->port);
  evhttp_connection_set_max_headers_size (call->connection,
                                          ANSWER_HEAD_MAX_BYTES);
  evhttp_connection_set_max_body_size (call->connection, BR_HTTP_CALL_BODY_MAX);
  evbuffer_add_cb (bufferevent_get_input (
                       evhttp_connection_get_bufferevent (call->connection)),
                   call_on_input, call);
  call_set_timer (call, options->timeout_ms);
  call->request = call_new_request (call, options);
  if (evhttp_make_request (call->connection, call->request, options->method,
                           options->path)
      != 0)
    {
      /* evhttp has freed the request already. */
      call->request = NULL;
      call_set_timer (call, 0);
    }
}

br_http_calls_t *
br_http_calls_new (struct event_base *base)
{
  br_http_calls_t *calls = br_alloc_zero (sizeof *calls);

  calls->base = base;
  return calls;
}

void
br_http_calls_free (br_http_calls_t *calls)
{
  if (calls == NULL)
    return;
  while (calls->first != NULL)
    call_free (calls->first);
  free (calls);
}
