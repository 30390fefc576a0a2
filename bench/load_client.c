/* Load generator for model services: sends streamed completions at a fixed rate
 * or keeps a fixed number in flight, and prints the times to the first token,
 * between tokens and to the end as one JSON object. */
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

#define US_PER_S 1000000
#define HTTP_TIMEOUT_S 120

BR_VEC (samples, double);

typedef struct
{
  const char *address;
  int port;
  const char *key;
  const char *model;
  int count;       /* requests in all */
  int concurrency; /* at once, when there is no rate */
  double rate;     /* requests a second; 0: CONCURRENCY in flight instead */
  int tokens;
  int prompt_words;
} load_options_t;

typedef struct
{
  load_options_t options;
  struct event_base *base;
  struct event *timer;
  int started;
  int ended;
  int ok;
  int refused;
  int failed;
  int64_t first_us;
  int64_t last_us;
  samples_t first_token_ms;
  samples_t gap_ms;
  samples_t total_ms;
} load_t;

typedef struct
{
  load_t *load;
  struct evhttp_connection *connection;
  int64_t started_us;
  int64_t last_us;
  bool seen_done;
} call_t;

static int64_t
now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

static void load_start_one (load_t *load);

static void
connection_on_free (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (context);
}

static void
call_end (call_t *call, int status)
{
  load_t *load = call->load;
  struct timeval now = { 0, 0 };

  load->ended++;
  load->last_us = now_us ();
  if (status == HTTP_OK && call->seen_done)
    {
      load->ok++;
      samples_push (&load->total_ms,
                    (double)(load->last_us - call->started_us) / 1000);
    }
  else if (status == 429 || status == HTTP_SERVUNAVAIL)
    load->refused++;
  else
    load->failed++;
  event_base_once (load->base, -1, EV_TIMEOUT, connection_on_free,
                   call->connection, &now);
  free (call);
  if (load->ended == load->options.count)
    event_base_loopexit (load->base, &now);
  else if (load->options.rate <= 0)
    load_start_one (load);
}

static void
call_on_done (struct evhttp_request *request, void *context)
{
  call_end (context,
            request != NULL ? evhttp_request_get_response_code (request) : 0);
}

static void
call_on_chunk (struct evhttp_request *request, void *context)
{
  call_t *call = context;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  int64_t now = now_us ();
  samples_t *samples
      = call->last_us == 0 ? &call->load->first_token_ms : &call->load->gap_ms;
  int64_t since = call->last_us == 0 ? call->started_us : call->last_us;

  samples_push (samples, (double)(now - since) / 1000);
  call->last_us = now;
  if (evbuffer_search (input, "[DONE]", 6, NULL).pos >= 0)
    call->seen_done = true;
  evbuffer_drain (input, evbuffer_get_length (input));
}

static void
call_add_body (const load_t *load, struct evhttp_request *request)
{
  struct evbuffer *out = evhttp_request_get_output_buffer (request);

  evbuffer_add_printf (out,
                       "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,"
                       "\"messages\":[{\"role\":\"user\",\"content\":\"%d",
                       load->options.model, load->options.tokens,
                       load->started);
  for (int i = 0; i < load->options.prompt_words; i++)
    evbuffer_add_printf (out, " word%d", i);
  evbuffer_add_printf (out, "\"}]}");
}

static void
load_start_one (load_t *load)
{
  call_t *call;
  struct evhttp_request *request;
  struct evkeyvalq *headers;
  char bearer[128];

  if (load->started == load->options.count)
    return;
  call = br_alloc_zero (sizeof *call);
  call->load = load;
  call->connection = evhttp_connection_base_new (
      load->base, NULL, load->options.address, (uint16_t)load->options.port);
  evhttp_connection_set_timeout (call->connection, HTTP_TIMEOUT_S);
  request = evhttp_request_new (call_on_done, call);
  evhttp_request_set_chunked_cb (request, call_on_chunk);
  headers = evhttp_request_get_output_headers (request);
  snprintf (bearer, sizeof bearer, "Bearer %s", load->options.key);
  evhttp_add_header (headers, "Host", "load");
  evhttp_add_header (headers, "Authorization", bearer);
  evhttp_add_header (headers, "Content-Type", "application/json");
  call_add_body (load, request);
  load->started++;
  call->started_us = now_us ();
  evhttp_make_request (call->connection, request, EVHTTP_REQ_POST,
                       "/v1/chat/completions");
}

/* Starts the requests that are due at the configured rate. */
static void
load_on_timer (evutil_socket_t fd, short what, void *context)
{
  load_t *load = context;
  double elapsed_s = (double)(now_us () - load->first_us) / US_PER_S;

  (void)fd;
  (void)what;
  while (load->started < load->options.count
         && load->started < elapsed_s * load->options.rate)
    load_start_one (load);
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static void
samples_print (samples_t *samples, const char *name)
{
  static const double shares[] = { 0.5, 0.95, 0.99 };
  static const char *const labels[] = { "p50", "p95", "p99" };

  qsort (samples->items, samples->len, sizeof *samples->items, compare_doubles);
  printf (",\"%s\":{", name);
  for (size_t i = 0; i < BR_N_ELEMENTS (shares); i++)
    {
      size_t at = (size_t)(shares[i] * (double)samples->len);

      at = at < samples->len ? at : samples->len - 1;
      printf ("%s\"%s\":%.3f", i > 0 ? "," : "", labels[i],
              samples->len > 0 ? samples->items[at] : 0);
    }
  printf ("}");
}

static void
load_print (load_t *load)
{
  printf ("{\"requests\":%d,\"ok\":%d,\"refused\":%d,\"failed\":%d,"
          "\"seconds\":%.3f",
          load->ended, load->ok, load->refused, load->failed,
          (double)(load->last_us - load->first_us) / US_PER_S);
  samples_print (&load->first_token_ms, "first_token_ms");
  samples_print (&load->gap_ms, "token_gap_ms");
  samples_print (&load->total_ms, "total_ms");
  printf ("}\n");
}

static const struct argp_option load_argp_options[] = {
  { "port", 'p', "PORT", 0, "Port on 127.0.0.1", 0 },
  { "key", 'k', "KEY", 0, "Workload's key", 0 },
  { "model", 'm', "NAME", 0, "Model service (contract-lm)", 0 },
  { "count", 'n', "N", 0, "Requests in all (100)", 0 },
  { "concurrency", 'c', "N", 0, "Requests at once (10)", 0 },
  { "rate", 'r', "N", 0, "Requests a second, instead of -c", 0 },
  { "tokens", 't', "N", 0, "Tokens of an answer (16)", 0 },
  { "prompt-words", 'w', "N", 0, "Words of a prompt (20)", 0 },
  { 0 },
};

static error_t
load_parse (int key, char *arg, struct argp_state *state)
{
  load_options_t *options = state->input;

  switch (key)
    {
    case 'p':
      options->port = atoi (arg);
      return 0;
    case 'k':
      options->key = arg;
      return 0;
    case 'm':
      options->model = arg;
      return 0;
    case 'n':
      options->count = atoi (arg);
      return 0;
    case 'c':
      options->concurrency = atoi (arg);
      return 0;
    case 'r':
      options->rate = atof (arg);
      return 0;
    case 't':
      options->tokens = atoi (arg);
      return 0;
    case 'w':
      options->prompt_words = atoi (arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    .options = load_argp_options,
    .parser = load_parse,
    .doc = "Sends streamed completions and prints their times as JSON.",
  };
  load_t load = {
    .options = {
      .address = "127.0.0.1",
      .key = "",
      .model = "contract-lm",
      .count = 100,
      .concurrency = 10,
      .tokens = 16,
      .prompt_words = 20,
    },
  };
  struct timeval period = { 0, 1000 };

  argp_parse (&argp, argc, argv, 0, NULL, &load.options);
  load.base = event_base_new ();
  load.first_us = now_us ();
  if (load.options.rate > 0)
    {
      load.timer = event_new (load.base, -1, EV_PERSIST, load_on_timer, &load);
      event_add (load.timer, &period);
    }
  else
    for (int i = 0; i < load.options.concurrency; i++)
      load_start_one (&load);
  event_base_dispatch (load.base);
  load_print (&load);
  return load.failed > 0;
}
