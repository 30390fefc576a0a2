/* Load generator for plain services: keeps a fixed number of calls in flight,
 * each with its own idempotency key, and prints the rate and the latencies as
 * one JSON object. */
#include <argp.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/str.h"
#include "base/vec.h"

#define HTTP_TIMEOUT_S 30

BR_VEC (samples, double);

typedef struct
{
  int port;
  const char *key;
  const char *path;
  const char *prefix; /* of the idempotency keys */
  int count;
  int concurrency;
  struct event_base *base;
  int sent;
  int done;
  int failed;
  samples_t latency_ms;
} load_t;

/* A connection that sends one call at a time. */
typedef struct
{
  load_t *load;
  struct evhttp_connection *connection;
  double sent_ms;
} caller_t;

static double
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void caller_send (caller_t *caller);

static void
caller_on_done (struct evhttp_request *request, void *context)
{
  caller_t *caller = context;
  load_t *load = caller->load;

  if (request != NULL && evhttp_request_get_response_code (request) == HTTP_OK)
    samples_push (&load->latency_ms, now_ms () - caller->sent_ms);
  else
    load->failed++;
  if (++load->done == load->count)
    event_base_loopbreak (load->base);
  else if (load->sent < load->count)
    caller_send (caller);
}

static void
caller_send (caller_t *caller)
{
  load_t *load = caller->load;
  struct evhttp_request *request = evhttp_request_new (caller_on_done, caller);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char text[128];

  snprintf (text, sizeof text, "Bearer %s", load->key);
  evhttp_add_header (headers, "Authorization", text);
  snprintf (text, sizeof text, "%s-%d", load->prefix, load->sent++);
  evhttp_add_header (headers, "Idempotency-Key", text);
  evhttp_add_header (headers, "Host", "127.0.0.1");
  evhttp_add_header (headers, "Content-Type", "application/json");
  evbuffer_add_printf (evhttp_request_get_output_buffer (request),
                       "{\"order\":\"%s\"}", text);
  caller->sent_ms = now_ms ();
  evhttp_make_request (caller->connection, request, EVHTTP_REQ_POST,
                       load->path);
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static double
quantile (const samples_t *samples, double q)
{
  if (samples->len == 0)
    return 0;
  return samples->items[(size_t)(q * (double)(samples->len - 1))];
}

static const struct argp_option load_options[] = {
  { "port", 'p', "PORT", 0, "Port on 127.0.0.1", 0 },
  { "key", 'k', "KEY", 0, "Workload's key", 0 },
  { "path", 'a', "PATH", 0, "Path of the call", 0 },
  { "prefix", 'x', "TEXT", 0, "Prefix of the idempotency keys", 0 },
  { "count", 'n', "N", 0, "Calls in all (1000)", 0 },
  { "concurrency", 'c', "N", 0, "Calls at once (1)", 0 },
  { 0 },
};

static error_t
load_parse (int key, char *arg, struct argp_state *state)
{
  load_t *load = state->input;

  switch (key)
    {
    case 'p':
      load->port = atoi (arg);
      return 0;
    case 'k':
      load->key = arg;
      return 0;
    case 'a':
      load->path = arg;
      return 0;
    case 'x':
      load->prefix = arg;
      return 0;
    case 'n':
      load->count = atoi (arg);
      return 0;
    case 'c':
      load->concurrency = atoi (arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = load_options, .parser = load_parse };
  load_t load = {
    .key = "", .path = "/", .prefix = "load", .count = 1000, .concurrency = 1
  };
  caller_t *callers;
  double start;

  argp_parse (&argp, argc, argv, 0, NULL, &load);
  load.base = event_base_new ();
  callers = br_alloc_zero (sizeof *callers * (size_t)load.concurrency);
  start = now_ms ();
  for (int i = 0; i < load.concurrency && i < load.count; i++)
    {
      callers[i].load = &load;
      callers[i].connection = evhttp_connection_base_new (
          load.base, NULL, "127.0.0.1", (uint16_t)load.port);
      evhttp_connection_set_timeout (callers[i].connection, HTTP_TIMEOUT_S);
      caller_send (&callers[i]);
    }
  event_base_dispatch (load.base);
  qsort (load.latency_ms.items, load.latency_ms.len, sizeof (double),
         compare_doubles);
  printf ("{\"calls\":%d,\"failed\":%d,\"per_second\":%.0f,\"p50_ms\":%.2f,"
          "\"p95_ms\":%.2f,\"p99_ms\":%.2f}\n",
          load.done, load.failed, load.done / ((now_ms () - start) / 1e3),
          quantile (&load.latency_ms, 0.5), quantile (&load.latency_ms, 0.95),
          quantile (&load.latency_ms, 0.99));
  return load.failed > 0;
}
