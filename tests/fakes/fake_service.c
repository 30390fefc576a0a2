/* Fake plain service: answers every call and prints one JSON line for each call
 * that it runs. */
#include <argp.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/str.h"

typedef struct
{
  const char *name;
  int port;
  int delay_ms;
  const char *crash_on;
  struct event_base *base;
  int calls;
  int running;
} service_t;

typedef struct
{
  service_t *service;
  struct evhttp_request *request;
  int number;
} call_t;

static void
call_on_timer (evutil_socket_t fd, short what, void *context)
{
  call_t *call = context;
  struct evhttp_request *request = call->request;

  (void)fd;
  (void)what;
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evbuffer_add_printf (evhttp_request_get_output_buffer (request),
                       "{\"service\":\"%s\",\"call\":%d}\n",
                       call->service->name, call->number);
  evhttp_send_reply (request, HTTP_OK, NULL, NULL);
  call->service->running--;
  free (call);
}

static const char *
header (struct evhttp_request *request, const char *name)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (request), name);

  return value != NULL ? value : "";
}

static bool
body_contains (struct evhttp_request *request, const char *text)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);

  return text != NULL
         && evbuffer_search (input, text, strlen (text), NULL).pos >= 0;
}

static void
service_on_request (struct evhttp_request *request, void *context)
{
  service_t *service = context;
  struct timeval delay
      = { service->delay_ms / 1000, service->delay_ms % 1000 * 1000 };
  call_t *call = br_alloc_zero (sizeof *call);

  call->service = service;
  call->request = request;
  call->number = ++service->calls;
  service->running++;
  printf ("{\"event\":\"run\",\"service\":\"%s\",\"key\":\"%s\","
          "\"contract\":\"%s\",\"path\":\"%s\",\"call\":%d}\n",
          service->name, header (request, "Idempotency-Key"),
          header (request, "X-Contract-Id"), evhttp_request_get_uri (request),
          call->number);
  fflush (stdout);
  if (body_contains (request, service->crash_on))
    _exit (1);
  event_base_once (service->base, -1, EV_TIMEOUT, call_on_timer, call, &delay);
}

static void
service_on_health (struct evhttp_request *request, void *context)
{
  (void)context;
  evhttp_send_reply (request, HTTP_OK, NULL, NULL);
}

static void
service_on_load (struct evhttp_request *request, void *context)
{
  service_t *service = context;

  evbuffer_add_printf (evhttp_request_get_output_buffer (request),
                       "{\"running\":%d,\"waiting\":0}\n", service->running);
  evhttp_send_reply (request, HTTP_OK, NULL, NULL);
}

static const struct argp_option service_options[] = {
  { "port", 'p', "PORT", 0, "Port on 127.0.0.1", 0 },
  { "name", 'n', "NAME", 0, "Name in the log", 0 },
  { "delay-ms", 'd', "MS", 0, "Time to answer (5)", 0 },
  { "crash-on", 'x', "TEXT", 0, "Crash when the body contains TEXT", 0 },
  { 0 },
};

static error_t
service_parse (int key, char *arg, struct argp_state *state)
{
  service_t *service = state->input;

  switch (key)
    {
    case 'p':
      service->port = atoi (arg);
      return 0;
    case 'n':
      service->name = arg;
      return 0;
    case 'd':
      service->delay_ms = atoi (arg);
      return 0;
    case 'x':
      service->crash_on = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = service_options, .parser = service_parse };
  service_t service = { .name = "service", .delay_ms = 5 };
  struct evhttp *http;

  argp_parse (&argp, argc, argv, 0, NULL, &service);
  signal (SIGPIPE, SIG_IGN);
  service.base = event_base_new ();
  http = evhttp_new (service.base);
  evhttp_set_cb (http, "/health", service_on_health, &service);
  evhttp_set_cb (http, "/v1/load", service_on_load, &service);
  evhttp_set_gencb (http, service_on_request, &service);
  if (evhttp_bind_socket (http, "127.0.0.1", (uint16_t)service.port) != 0)
    {
      fprintf (stderr, "cannot listen on port %d\n", service.port);
      return 1;
    }
  event_base_dispatch (service.base);
  return 0;
}
