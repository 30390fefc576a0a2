/* Fake upstream that answers with bytes from files, and that can write an
 * answer once more.  In an answer, %P stands for the first "content" of the
 * request, and %C for its X-Contract-Id; a
 * length in the answer is not adapted.  Prints one JSON line for each answered
 * request.
 *
 * Answers to health and load requests are correct.  The first request gets the
 * first --answer, the next one the next; the last --answer is used again for
 * all further requests. */
#include <argp.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/str.h"

#define ANSWERS_MAX 8
#define PORTS_MAX 4

/* With a small buffer a long request is sent in several parts. */
#define RECEIVE_BUFFER_BYTES 4096

#define AGAIN_IDLE_MS 50

/* Time in which a request that was interrupted is not read. */
#define EARLY_PAUSE_MS 200

typedef enum
{
  AGAIN_NEVER,
  AGAIN_JOINED, /* right behind the answer */
  AGAIN_IDLE,   /* AGAIN_IDLE_MS later */
  AGAIN_LATE,   /* when the next request has arrived, before its answer */
  AGAIN_EARLY,  /* when a part of the next request has arrived */
} again_t;

typedef struct
{
  int ports[PORTS_MAX];
  size_t n_ports;
  bool keep;
  again_t again;
  br_buf_t answers[ANSWERS_MAX];
  size_t n_answers;
  size_t next;
} raw_t;

typedef struct
{
  raw_t *raw;
  struct bufferevent *bev;
  struct event *timer; /* of AGAIN_IDLE, or reads on after AGAIN_EARLY */
  br_buf_t last;       /* answer to the last request */
  bool early_done;
} connection_t;

static void
connection_free (connection_t *connection)
{
  bufferevent_free (connection->bev);
  event_free (connection->timer);
  br_buf_free (&connection->last);
  free (connection);
}

static void
connection_write (connection_t *connection, br_str_t bytes)
{
  evbuffer_add (bufferevent_get_output (connection->bev), bytes.data,
                bytes.len);
}

static br_str_t
request_content (br_str_t request)
{
  static const char key[] = "\"content\":\"";
  const char *at = memmem (request.data, request.len, key, sizeof key - 1);
  const char *end;

  if (at == NULL)
    return br_str_from ("none");
  at += sizeof key - 1;
  end = memchr (at, '"', request.len - (size_t)(at - request.data));
  return br_str_make (at, end != NULL ? BR_MIN ((size_t)(end - at), 32) : 0);
}

static br_str_t
request_contract (br_str_t request)
{
  static const char key[] = "X-Contract-Id: ";
  const char *at = memmem (request.data, request.len, key, sizeof key - 1);
  const char *end;

  if (at == NULL)
    return br_str_from ("none");
  at += sizeof key - 1;
  end = memchr (at, '\r', request.len - (size_t)(at - request.data));
  return br_str_make (at, end != NULL ? (size_t)(end - at) : 0);
}

static void
connection_answer (connection_t *connection, br_str_t request)
{
  raw_t *raw = connection->raw;
  br_str_t answer = br_buf_str (&raw->answers[raw->next]);
  br_str_t content = request_content (request);
  br_str_t contract = request_contract (request);
  struct timeval idle = { 0, AGAIN_IDLE_MS * 1000 };
  const char *mark;

  if (raw->next + 1 < raw->n_answers)
    raw->next++;
  printf ("{\"event\":\"run\",\"content\":\"%.*s\"}\n", (int)content.len,
          content.data);
  fflush (stdout);
  if (raw->again == AGAIN_LATE)
    connection_write (connection, br_buf_str (&connection->last));
  br_buf_clear (&connection->last);
  while ((mark = memchr (answer.data, '%', answer.len)) != NULL)
    {
      size_t before = (size_t)(mark - answer.data);

      br_buf_append (&connection->last, br_str_make (answer.data, before));
      br_buf_append (&connection->last, mark[1] == 'C' ? contract : content);
      answer = br_str_make (mark + 2, answer.len - before - 2);
    }
  br_buf_append (&connection->last, answer);
  connection_write (connection, br_buf_str (&connection->last));
  if (raw->again == AGAIN_JOINED)
    connection_write (connection, br_buf_str (&connection->last));
  if (raw->again == AGAIN_IDLE)
    event_add (connection->timer, &idle);
}

static void
connection_on_written (struct bufferevent *bev, void *context)
{
  (void)bev;
  connection_free (context);
}

static void
connection_on_event (struct bufferevent *bev, short what, void *context)
{
  (void)bev;
  (void)what;
  connection_free (context);
}

/* Returns the length of the first request in INPUT, 0 if it is incomplete. */
static size_t
request_length (br_str_t input)
{
  static const char field[] = "Content-Length: ";
  const char *end = memmem (input.data, input.len, "\r\n\r\n", 4);
  const char *length;
  size_t head;
  size_t body = 0;

  if (end == NULL)
    return 0;
  head = (size_t)(end - input.data) + 4;
  length = memmem (input.data, head, field, sizeof field - 1);
  if (length != NULL)
    body = strtoul (length + sizeof field - 1, NULL, 10);
  return input.len < head + body ? 0 : head + body;
}

static void
connection_interrupt (connection_t *connection)
{
  struct timeval pause = { 0, EARLY_PAUSE_MS * 1000 };

  connection->early_done = true;
  printf ("{\"event\":\"early\"}\n");
  fflush (stdout);
  bufferevent_disable (connection->bev, EV_READ);
  connection_write (connection, br_buf_str (&connection->last));
  event_add (connection->timer, &pause);
}

static void
connection_on_timer (evutil_socket_t fd, short what, void *context)
{
  connection_t *connection = context;

  (void)fd;
  (void)what;
  if (connection->raw->again == AGAIN_IDLE)
    connection_write (connection, br_buf_str (&connection->last));
  else
    bufferevent_enable (connection->bev, EV_READ);
}

static void
connection_on_read (struct bufferevent *bev, void *context)
{
  connection_t *connection = context;
  raw_t *raw = connection->raw;
  struct evbuffer *input = bufferevent_get_input (bev);
  br_str_t bytes = br_str_make ((const char *)evbuffer_pullup (input, -1),
                                evbuffer_get_length (input));
  size_t len = request_length (bytes);
  bool close = !raw->keep;

  if (len == 0)
    {
      if (raw->again == AGAIN_EARLY && connection->last.len > 0
          && !connection->early_done)
        connection_interrupt (connection);
      return;
    }
  if (br_str_starts_with (bytes, br_str_from ("GET /health"))
      || br_str_starts_with (bytes, br_str_from ("GET /v1/load")))
    {
      connection_write (connection,
                        br_str_from ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                     "Connection: close\r\n\r\n{}"));
      close = true;
    }
  else
    connection_answer (connection, bytes);
  evbuffer_drain (input, len);
  if (close)
    bufferevent_setcb (bev, NULL, connection_on_written, connection_on_event,
                       connection);
}

static void
raw_on_accept (struct evconnlistener *listener,
               evutil_socket_t fd,
               struct sockaddr *address,
               int len,
               void *context)
{
  connection_t *connection = br_alloc_zero (sizeof *connection);
  struct event_base *base = evconnlistener_get_base (listener);

  (void)address;
  (void)len;
  connection->raw = context;
  connection->timer = evtimer_new (base, connection_on_timer, connection);
  connection->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (connection->bev, connection_on_read, NULL,
                     connection_on_event, connection);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
}

static bool
raw_add_answer (raw_t *raw, const char *path)
{
  FILE *file = fopen (path, "r");
  char bytes[4096];
  size_t n;

  if (file == NULL || raw->n_answers == ANSWERS_MAX)
    return false;
  while ((n = fread (bytes, 1, sizeof bytes, file)) > 0)
    br_buf_append (&raw->answers[raw->n_answers], br_str_make (bytes, n));
  fclose (file);
  raw->n_answers++;
  return true;
}

static const struct argp_option raw_options[] = {
  { "port", 'p', "PORT", 0, "Port on 127.0.0.1; several share the answers", 0 },
  { "answer", 'f', "FILE", 0, "Bytes of the next answer", 0 },
  { "keep", 'k', NULL, 0, "Keep connections open", 0 },
  { "again", 'a', "WHEN", 0,
    "Write answers once more: joined, idle, late or early in the next request",
    0 },
  { 0 },
};

static error_t
raw_parse (int key, char *arg, struct argp_state *state)
{
  raw_t *raw = state->input;

  switch (key)
    {
    case 'p':
      if (raw->n_ports == PORTS_MAX)
        return ARGP_ERR_UNKNOWN;
      raw->ports[raw->n_ports++] = atoi (arg);
      return 0;
    case 'f':
      return raw_add_answer (raw, arg) ? 0 : ARGP_ERR_UNKNOWN;
    case 'k':
      raw->keep = true;
      return 0;
    case 'a':
      raw->again = strcmp (arg, "early") == 0  ? AGAIN_EARLY
                   : strcmp (arg, "idle") == 0 ? AGAIN_IDLE
                   : strcmp (arg, "late") == 0 ? AGAIN_LATE
                                               : AGAIN_JOINED;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static bool
raw_listen (raw_t *raw, struct event_base *base, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct evconnlistener *listener;
  int buffer = RECEIVE_BUFFER_BYTES;

  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = evconnlistener_new_bind (
      base, raw_on_accept, raw, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
      (struct sockaddr *)&address, sizeof address);
  if (listener != NULL && raw->again == AGAIN_EARLY)
    setsockopt (evconnlistener_get_fd (listener), SOL_SOCKET, SO_RCVBUF,
                &buffer, sizeof buffer);
  return listener != NULL;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = raw_options, .parser = raw_parse };
  raw_t raw = { 0 };
  struct event_base *base = event_base_new ();

  signal (SIGPIPE, SIG_IGN);
  argp_parse (&argp, argc, argv, 0, NULL, &raw);
  for (size_t i = 0; i < raw.n_ports; i++)
    if (raw.n_answers == 0 || !raw_listen (&raw, base, raw.ports[i]))
      {
        fprintf (stderr, "cannot listen on port %d, or no answer\n",
                 raw.ports[i]);
        return 1;
      }
  event_base_dispatch (base);
  return 0;
}
