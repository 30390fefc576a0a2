/* Fake model engine: streams completions token by token, resumes and cancels
 * them, and reports its load.  Prints one JSON line for each event of a
 * completion.  A token is a function of its index and of the prompt, which lets
 * a test detect an answer that was put together wrongly. */
#include <argp.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/str.h"

#define DEFAULT_TOKENS 16
#define TOKEN_MAX 32
#define LISTEN_BACKLOG 4096

typedef struct
{
  const char *name;
  int port;
  int token_ms;
  int prefill_ms;
  int slots;
  const char *crash_on;
} engine_options_t;

typedef struct stream
{
  struct engine *engine;
  struct evhttp_request *request;
  struct event *timer;
  struct event *closed;
  uint64_t prompt_hash;
  int next_token;
  int end_token;
  bool chat;
  bool running;
  bool stalled;
  bool crashes;
  struct stream *older; /* list, newest first */
} stream_t;

typedef struct engine
{
  engine_options_t options;
  struct event_base *base;
  stream_t *streams;
  int running;
  int waiting;
} engine_t;

static void engine_start_waiting (engine_t *engine);

static void
token_text (const stream_t *stream, int index, char *text)
{
  snprintf (
      text, TOKEN_MAX, "t%d-%04x ", index,
      (unsigned)(br_str_hash (br_str_make ((const char *)&index, sizeof index),
                              stream->prompt_hash)
                 & 0xffff));
}

static void
stream_log (const stream_t *stream, const char *event, const char *contract)
{
  printf ("{\"event\":\"%s\",\"engine\":\"%s\",\"contract\":\"%s\","
          "\"prompt\":\"%016llx\",\"token\":%d}\n",
          event, stream->engine->options.name, contract,
          (unsigned long long)stream->prompt_hash, stream->next_token);
  fflush (stdout);
}

static void
stream_free (stream_t *stream)
{
  engine_t *engine = stream->engine;
  stream_t **at = &engine->streams;

  while (*at != stream)
    at = &(*at)->older;
  *at = stream->older;
  if (stream->running)
    engine->running--;
  else
    engine->waiting--;
  event_free (stream->timer);
  event_free (stream->closed);
  free (stream);
  engine_start_waiting (engine);
}

static void
stream_on_closed (evutil_socket_t fd, short what, void *context)
{
  stream_t *stream = context;
  struct evhttp_connection *connection
      = evhttp_request_get_connection (stream->request);

  (void)fd;
  (void)what;
  stream_log (stream, "cancelled", "");
  stream_free (stream);
  if (connection != NULL)
    evhttp_connection_free (connection);
}

static void
stream_send (stream_t *stream, const char *data)
{
  struct evbuffer *chunk = evbuffer_new ();

  evbuffer_add_printf (chunk, "data: %s\n\n", data);
  evhttp_send_reply_chunk (stream->request, chunk);
  evbuffer_free (chunk);
}

static void
stream_send_token (stream_t *stream)
{
  char text[TOKEN_MAX];
  char data[256];

  token_text (stream, stream->next_token++, text);
  if (stream->chat)
    snprintf (data, sizeof data,
              "{\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"choices\":"
              "[{\"index\":0,\"delta\":{\"content\":\"%s\"},"
              "\"finish_reason\":null}]}",
              text);
  else
    snprintf (data, sizeof data,
              "{\"id\":\"x\",\"object\":\"text_completion\",\"choices\":"
              "[{\"index\":0,\"text\":\"%s\",\"finish_reason\":null}]}",
              text);
  stream_send (stream, data);
}

static void
stream_finish (stream_t *stream)
{
  struct evhttp_request *request = stream->request;

  stream_send (stream, stream->chat
                           ? "{\"id\":\"x\",\"choices\":[{\"index\":0,"
                             "\"delta\":{},\"finish_reason\":\"length\"}]}"
                           : "{\"id\":\"x\",\"choices\":[{\"index\":0,"
                             "\"text\":\"\",\"finish_reason\":\"length\"}]}");
  stream_send (stream, "[DONE]");
  stream_log (stream, "finished", "");
  stream_free (stream);
  evhttp_send_reply_end (request);
}

static void
stream_set_timer (stream_t *stream, int ms)
{
  struct timeval delay = { ms / 1000, ms % 1000 * 1000 };

  event_add (stream->timer, &delay);
}

static void
stream_on_timer (evutil_socket_t fd, short what, void *context)
{
  stream_t *stream = context;

  (void)fd;
  (void)what;
  if (stream->stalled)
    return;
  if (stream->next_token >= stream->end_token)
    {
      stream_finish (stream);
      return;
    }
  stream_send_token (stream);
  if (stream->crashes)
    _exit (1);
  stream_set_timer (stream, stream->engine->options.token_ms);
}

static void
stream_start (stream_t *stream)
{
  engine_t *engine = stream->engine;

  stream->running = true;
  engine->waiting--;
  engine->running++;
  evhttp_add_header (evhttp_request_get_output_headers (stream->request),
                     "Content-Type", "text/event-stream");
  evhttp_send_reply_start (stream->request, HTTP_OK, NULL);
  stream_set_timer (stream, engine->options.prefill_ms);
}

static void
engine_start_waiting (engine_t *engine)
{
  stream_t *oldest = NULL;

  if (engine->running >= engine->options.slots)
    return;
  for (stream_t *each = engine->streams; each != NULL; each = each->older)
    if (!each->running)
      oldest = each;
  if (oldest != NULL)
    stream_start (oldest);
}

static void
reply_text (struct evhttp_request *request, int status, const char *text)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  evhttp_add_header (headers, "Content-Type", "application/json");
  evbuffer_add_printf (evhttp_request_get_output_buffer (request), "%s\n",
                       text);
  evhttp_send_reply (request, status, NULL, NULL);
}

static uint64_t
hash_prompt (json_object *body, br_buf_t *prompt)
{
  json_object *value;

  if (json_object_object_get_ex (body, "prompt", &value)
      || json_object_object_get_ex (body, "messages", &value))
    br_buf_printf (prompt, "%s", json_object_to_json_string (value));
  return br_str_hash (br_buf_str (prompt), 0);
}

static int
body_int (json_object *body, const char *key, int fallback)
{
  json_object *value;

  if (!json_object_object_get_ex (body, key, &value))
    return fallback;
  return json_object_get_int (value);
}

/* Reads where to resume.  Returns false if the text so far is not the one that
 * the prompt generates. */
static bool
stream_read_resume (stream_t *stream, json_object *body)
{
  json_object *resume;
  json_object *text;
  br_buf_t expected = { 0 };
  bool ok;

  if (!json_object_object_get_ex (body, "resume", &resume))
    return true;
  stream->next_token = body_int (resume, "tokens", 0);
  for (int i = 0; i < stream->next_token && i < stream->end_token; i++)
    {
      char token[TOKEN_MAX];

      token_text (stream, i, token);
      br_buf_printf (&expected, "%s", token);
    }
  ok = json_object_object_get_ex (resume, "text", &text)
       && strcmp (json_object_get_string (text),
                  expected.data != NULL ? expected.data : "")
              == 0;
  br_buf_free (&expected);
  return ok;
}

static void
engine_add_stream (engine_t *engine,
                   struct evhttp_request *request,
                   json_object *body,
                   bool chat)
{
  stream_t *stream = br_alloc_zero (sizeof *stream);
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  const char *contract = evhttp_find_header (
      evhttp_request_get_input_headers (request), "X-Contract-Id");
  br_buf_t prompt = { 0 };

  stream->engine = engine;
  stream->request = request;
  stream->chat = chat;
  stream->prompt_hash = hash_prompt (body, &prompt);
  stream->end_token = body_int (body, "max_tokens", DEFAULT_TOKENS);
  stream->crashes = engine->options.crash_on != NULL && prompt.data != NULL
                    && strstr (prompt.data, engine->options.crash_on) != NULL;
  br_buf_free (&prompt);
  if (!stream_read_resume (stream, body))
    {
      stream_log (stream, "bad_resume", contract != NULL ? contract : "");
      free (stream);
      reply_text (request, 400, "{\"error\":\"resume text does not match\"}");
      return;
    }
  stream->timer = evtimer_new (engine->base, stream_on_timer, stream);
  stream->closed = event_new (engine->base, bufferevent_getfd (bev), EV_CLOSED,
                              stream_on_closed, stream);
  event_add (stream->closed, NULL);
  stream->older = engine->streams;
  engine->streams = stream;
  engine->waiting++;
  stream_log (stream, "run", contract != NULL ? contract : "");
  engine_start_waiting (engine);
}

static void
engine_on_completion (struct evhttp_request *request, void *context)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t len = evbuffer_get_length (input);
  json_tokener *tokener = json_tokener_new ();
  json_object *body = json_tokener_parse_ex (
      tokener, (const char *)evbuffer_pullup (input, -1), (int)len);
  const char *uri = evhttp_request_get_uri (request);

  if (json_object_is_type (body, json_type_object))
    engine_add_stream (context, request, body, strstr (uri, "/chat/") != NULL);
  else
    reply_text (request, 400, "{\"error\":\"not a JSON object\"}");
  json_object_put (body);
  json_tokener_free (tokener);
}

static void
engine_on_load (struct evhttp_request *request, void *context)
{
  engine_t *engine = context;
  char text[160];

  snprintf (text, sizeof text,
            "{\"running\":%d,\"waiting\":%d,\"slots\":%d,\"token_ms\":%d}",
            engine->running, engine->waiting, engine->options.slots,
            engine->options.token_ms);
  reply_text (request, 200, text);
}

/* Stalls the open streams for good; new streams work. */
static void
engine_on_stall (struct evhttp_request *request, void *context)
{
  engine_t *engine = context;

  for (stream_t *each = engine->streams; each != NULL; each = each->older)
    each->stalled = true;
  reply_text (request, 200, "{}");
}

static void
engine_on_health (struct evhttp_request *request, void *context)
{
  (void)context;
  reply_text (request, 200, "{\"status\":\"ok\"}");
}

static bool
engine_listen (engine_t *engine, struct evhttp *http)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct evconnlistener *listener;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)engine->options.port);
  listener = evconnlistener_new_bind (
      engine->base, NULL, NULL, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      LISTEN_BACKLOG, (struct sockaddr *)&address, sizeof address);
  return listener != NULL && evhttp_bind_listener (http, listener) != NULL;
}

static const struct argp_option engine_argp_options[] = {
  { "port", 'p', "PORT", 0, "Port on 127.0.0.1", 0 },
  { "name", 'n', "NAME", 0, "Name in the log", 0 },
  { "token-ms", 't', "MS", 0, "Time between two tokens (5)", 0 },
  { "prefill-ms", 'f', "MS", 0, "Time to the first token (20)", 0 },
  { "slots", 's', "N", 0, "Streams that run at once (64)", 0 },
  { "crash-on", 'x', "TEXT", 0, "Crash after one token of a prompt with TEXT",
    0 },
  { 0 },
};

static error_t
engine_parse (int key, char *arg, struct argp_state *state)
{
  engine_options_t *options = state->input;

  switch (key)
    {
    case 'p':
      options->port = atoi (arg);
      return 0;
    case 'n':
      options->name = arg;
      return 0;
    case 't':
      options->token_ms = atoi (arg);
      return 0;
    case 'f':
      options->prefill_ms = atoi (arg);
      return 0;
    case 's':
      options->slots = atoi (arg);
      return 0;
    case 'x':
      options->crash_on = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = engine_argp_options, .parser = engine_parse };
  engine_t engine = {
    .options
    = { .name = "engine", .token_ms = 5, .prefill_ms = 20, .slots = 64 },
  };
  struct evhttp *http;

  argp_parse (&argp, argc, argv, 0, NULL, &engine.options);
  signal (SIGPIPE, SIG_IGN);
  engine.base = event_base_new ();
  http = evhttp_new (engine.base);
  evhttp_set_cb (http, "/v1/completions", engine_on_completion, &engine);
  evhttp_set_cb (http, "/v1/chat/completions", engine_on_completion, &engine);
  evhttp_set_cb (http, "/v1/load", engine_on_load, &engine);
  evhttp_set_cb (http, "/health", engine_on_health, &engine);
  evhttp_set_cb (http, "/fake/silence", engine_on_stall, &engine);
  if (!engine_listen (&engine, http))
    {
      fprintf (stderr, "cannot listen on port %d\n", engine.options.port);
      return 1;
    }
  event_base_dispatch (engine.base);
  return 0;
}
