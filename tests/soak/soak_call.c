#include "soak_call.h"

struct soak_call
{
  br_http_client_t *client;
  struct event *timer;
  int status;
  br_buf_t body;
  soak_call_fn on_done;
  void *context;
};

void
soak_call_cancel (soak_call_t *call)
{
  if (call == NULL)
    return;
  br_http_client_free (call->client);
  event_free (call->timer);
  br_buf_free (&call->body);
  free (call);
}

static void
call_done (soak_call_t *call, int status)
{
  soak_call_fn on_done = call->on_done;
  void *context = call->context;
  br_buf_t body = call->body;

  call->body = (br_buf_t){ 0 };
  soak_call_cancel (call);
  on_done (context, status, br_buf_str (&body));
  br_buf_free (&body);
}

static void
call_on_event (void *context,
               br_http_client_t *client,
               const br_client_event_t *event)
{
  soak_call_t *call = context;

  (void)client;
  switch (event->kind)
    {
    case BR_CLIENT_CONNECTED:
      break;
    case BR_CLIENT_HEAD:
      call->status = event->head->status;
      break;
    case BR_CLIENT_BODY:
      br_buf_append (&call->body, event->body);
      break;
    case BR_CLIENT_END:
      call_done (call, call->status);
      break;
    case BR_CLIENT_FAILED:
    case BR_CLIENT_LOST:
      call_done (call, 0);
      break;
    }
}

static void
call_on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  call_done (context, 0);
}

soak_call_t *
soak_call_new (const soak_call_options_t *options)
{
  soak_call_t *call = br_alloc_zero (sizeof *call);
  struct timeval wait
      = { options->timeout_ms / 1000, options->timeout_ms % 1000 * 1000 };
  br_buf_t request = { 0 };

  call->on_done = options->on_done;
  call->context = options->context;
  call->client = br_http_client_new (options->base,
                                     (const struct sockaddr *)&options->address,
                                     sizeof options->address);
  br_http_client_set_owner (call->client, call_on_event, call);
  call->timer = evtimer_new (options->base, call_on_timer, call);
  event_add (call->timer, &wait);
  br_buf_printf (&request,
                 "%s %s HTTP/1.1\r\n%sConnection: close\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 options->method, options->path,
                 options->headers != NULL ? options->headers
                                          : "Host: control\r\n",
                 options->body.len);
  br_buf_append (&request, options->body);
  br_http_client_send (call->client, br_buf_str (&request));
  br_buf_free (&request);
  return call;
}
