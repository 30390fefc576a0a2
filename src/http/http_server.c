#include "http/http_server_private.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>

#include "http/error_body.h"

/* Interval at which connections are checked for timeouts. */
#define CHECK_INTERVAL_MS 250

/* Maximum unsent answer bytes of one connection; the longest event stream is
 * well below it. */
#define OUTPUT_MAX_BYTES (4 * 1024 * 1024)

/* After a request that was not read completely, further input is discarded for
 * this long: closing at once could reset the connection and lose the answer. */
#define LINGER_MS 1000

/* A connection fails when sent bytes are not acknowledged for this long; the
 * system's default is many minutes. */
#define USER_TIMEOUT_MS 8000

/* Maximum connections that wait to be accepted.  It is large because a connect
 * that finds the queue full is retransmitted only after one second. */
#define BACKLOG 4096

/* Maximum bytes that are read ahead while a request is being answered. */
#define READ_AHEAD_MAX_BYTES (16 * 1024)

#define MS_PER_S 1000

void
br_http_conn_free (br_http_conn_t *conn)
{
  br_http_server_t *server = conn->server;

  if (!conn->has_sent)
    server->n_silent--;
  br_held_leave (&conn->held);
  if (conn->prev != NULL)
    conn->prev->next = conn->next;
  else
    server->conns = conn->next;
  if (conn->next != NULL)
    conn->next->prev = conn->prev;
  server->n_conns--;
  bufferevent_free (conn->bev);
  br_http_reader_free (conn->reader);
  br_http_head_release (&conn->head);
  br_http_conn_free_body (conn);
  free (conn);
}

void
br_http_conn_drop (br_http_conn_t *conn)
{
  bool owned = conn->state == BR_HTTP_CONN_WAITING
               || conn->state == BR_HTTP_CONN_STREAMING;

  if (owned)
    conn->server->options.on_disconnect (conn->server->options.context, conn);
  br_http_conn_free (conn);
}

/* --- requests --- */

void
br_http_conn_refuse (br_http_conn_t *conn, const br_error_t *err)
{
  br_buf_t body = { 0 };
  char seconds[24];
  br_http_header_t headers[2] = {
    { br_str_from ("Content-Type"), br_str_from ("application/json") },
  };
  br_http_answer_t answer = {
    .status = br_error_http_status (err->code),
    .headers = headers,
    .n_headers = 1,
  };

  if (err->retry_after_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%d",
                (int)((err->retry_after_ms + MS_PER_S - 1) / MS_PER_S));
      headers[answer.n_headers++]
          = (br_http_header_t){ br_str_from ("Retry-After"),
                                br_str_from (seconds) };
    }

  conn->server->stats.bad_requests++;
  conn->keep_alive = false;
  br_http_conn_set_state (conn, BR_HTTP_CONN_READING);
  br_http_error_json (err, &body);
  br_http_conn_answer (conn, &answer, br_buf_str (&body));
  br_buf_free (&body);
}

/* Hands the request over to the owner. */
static void
conn_hand_over (br_http_conn_t *conn)
{
  br_http_server_t *server = conn->server;

  conn->read_ms = br_http_now ();
  bufferevent_setwatermark (conn->bev, EV_READ, 0, READ_AHEAD_MAX_BYTES);
  server->options.on_request (server->options.context, conn);
}

/* Returns whether the rest of the request is in the input. */
static bool
conn_has_body (const br_http_conn_t *conn)
{
  struct evbuffer *input = bufferevent_get_input (conn->bev);

  return !conn->head.chunked
         && conn->head.content_length <= (int64_t)evbuffer_get_length (input);
}

static void
conn_on_head (br_http_conn_t *conn)
{
  const br_http_server_options_t *options = &conn->server->options;
  size_t max = options->limits.body_max_bytes;
  br_error_t err;

  conn->head = br_http_reader_take_head (conn->reader);
  conn->keep_alive = conn->head.keep_alive;
  conn->body_ms = br_http_now ();
  conn->received = 0;
  if (options->on_head != NULL && !conn_has_body (conn)
      && !options->on_head (options->context, conn))
    {
      options->account->counts[BR_HELD_HEAD]++;
      conn->keep_alive = false;
      conn->is_refused = true;
      conn_hand_over (conn);
      return;
    }
  if (conn->head.content_length > (int64_t)max)
    {
      options->account->counts[BR_HELD_HEAD]++;
      br_error_set (&err, BR_ERROR_TOO_LARGE, "read body", "",
                    "the body is over %zu bytes", max);
      br_http_conn_refuse (conn, &err);
      return;
    }
  if (br_http_name_is (br_http_head_find (&conn->head, "expect"),
                       "100-continue"))
    bufferevent_write (conn->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void
conn_on_body (br_http_conn_t *conn)
{
  size_t max = conn->server->options.limits.body_max_bytes;
  br_str_t piece = br_http_reader_body (conn->reader);
  br_error_t err;

  if (conn->body.len + conn->blocks.len + piece.len <= max)
    {
      br_http_conn_add_body (conn, piece);
      return;
    }
  br_error_set (&err, BR_ERROR_TOO_LARGE, "read body", "",
                "the body is over %zu bytes", max);
  br_http_conn_refuse (conn, &err);
}

static void
conn_on_request (br_http_conn_t *conn)
{
  br_http_reader_trim (conn->reader);
  br_http_conn_join_body (conn);
  br_http_conn_set_state (conn, BR_HTTP_CONN_WAITING);
  br_http_conn_account (conn);
  conn_hand_over (conn);
}

static void
conn_begin_reading (br_http_conn_t *conn)
{
  if (conn->state != BR_HTTP_CONN_IDLE)
    return;
  br_http_conn_set_state (conn, BR_HTTP_CONN_READING);
  conn->began_ms = conn->since_ms;
  conn->body_ms = 0;
  br_held_begin (&conn->held, conn->since_ms);
  if (!conn->has_sent)
    conn->server->n_silent--;
  conn->has_sent = true;
}

/* Reads until the input is consumed or a request is complete.  The handlers may
 * answer, but never free the connection immediately. */
static void
conn_read (br_http_conn_t *conn)
{
  struct evbuffer *input = bufferevent_get_input (conn->bev);
  br_error_t err;

  while (
      (conn->state == BR_HTTP_CONN_IDLE || conn->state == BR_HTTP_CONN_READING)
      && !br_http_conn_must_drain (conn))
    {
      size_t len = evbuffer_get_length (input);
      const char *data = (const char *)evbuffer_pullup (input, -1);
      size_t used = 0;
      br_http_step_t step;

      if (len > 0)
        conn_begin_reading (conn);
      step = br_http_reader_next (conn->reader, br_str_make (data, len), &used,
                                  &err);
      evbuffer_drain (input, used);
      conn->received += used;
      if (step == BR_HTTP_HEAD)
        conn_on_head (conn);
      else if (step == BR_HTTP_BODY)
        conn_on_body (conn);
      else if (step == BR_HTTP_END)
        conn_on_request (conn);
      else if (step == BR_HTTP_BAD)
        br_http_conn_refuse (conn, &err);
      else
        return;
    }
  if (conn->state == BR_HTTP_CONN_LINGERING)
    evbuffer_drain (input, evbuffer_get_length (input));
}

static void
on_read (struct bufferevent *bev, void *context)
{
  br_http_conn_t *conn = context;
  br_held_account_t *account = conn->server->options.account;
  size_t len = evbuffer_get_length (bufferevent_get_input (bev));
  br_ms_t now = br_http_now ();

  conn_read (conn);
  if (conn->state == BR_HTTP_CONN_READING)
    br_held_progress (&conn->held, len, now);
  br_http_conn_account (conn);
  if (br_held_is_over (account))
    br_held_shed (account, now);
}

static void
on_write (struct bufferevent *bev, void *context)
{
  br_http_conn_t *conn = context;
  const br_http_server_options_t *options = &conn->server->options;

  if (evbuffer_get_length (bufferevent_get_output (bev)) > 0)
    return;
  br_http_conn_account (conn);
  if (conn->state == BR_HTTP_CONN_IDLE
      && evbuffer_get_length (bufferevent_get_input (bev)) > 0)
    {
      bufferevent_setwatermark (bev, EV_READ, 0, 0);
      bufferevent_trigger (bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
    }
  else if (conn->state == BR_HTTP_CONN_STREAMING && options->on_drained != NULL)
    options->on_drained (options->context, conn);
  else if (conn->state == BR_HTTP_CONN_FLUSHING)
    br_http_conn_free (conn);
  else if (conn->state == BR_HTTP_CONN_LINGERING)
    shutdown (bufferevent_getfd (bev), SHUT_WR);
}

static void
on_event (struct bufferevent *bev, short what, void *context)
{
  (void)bev;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    br_http_conn_drop (context);
}

/* --- the server --- */

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int len,
           void *context)
{
  br_http_server_t *server = context;
  br_http_conn_t *conn;
  unsigned user_timeout_ms = USER_TIMEOUT_MS;
  int on = 1;

  (void)listener;
  (void)address;
  (void)len;
  if (!br_http_server_make_room (server))
    {
      evutil_closesocket (fd);
      return;
    }
  conn = br_alloc_zero (sizeof *conn);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
  conn->server = server;
  conn->reader = br_http_reader_new (BR_HTTP_REQUESTS,
                                     server->options.limits.head_max_bytes);
  conn->bev = bufferevent_socket_new (server->options.base, fd,
                                      BEV_OPT_CLOSE_ON_FREE);
  br_http_conn_set_state (conn, BR_HTTP_CONN_IDLE);
  conn->next = server->conns;
  if (server->conns != NULL)
    server->conns->prev = conn;
  server->conns = conn;
  server->n_conns++;
  server->n_silent++;
  server->stats.accepted++;
  br_http_conn_join (conn);
  bufferevent_setcb (conn->bev, on_read, on_write, on_event, conn);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
}

static void
conn_check (br_http_conn_t *conn, br_ms_t now)
{
  const br_http_limits_t *limits = &conn->server->options.limits;
  br_ms_t elapsed = now - conn->since_ms;
  br_error_t err;

  switch (conn->state)
    {
    case BR_HTTP_CONN_IDLE:
      if (elapsed > limits->idle_ms || conn->server->stopped)
        br_http_conn_free (conn);
      break;
    case BR_HTTP_CONN_READING:
      if (!br_http_conn_check_pace (conn, now, &err))
        br_http_conn_refuse (conn, &err);
      break;
    case BR_HTTP_CONN_WAITING:
    case BR_HTTP_CONN_STREAMING:
      if (evbuffer_get_length (bufferevent_get_output (conn->bev))
          <= OUTPUT_MAX_BYTES)
        break;
      conn->server->stats.slow_readers++;
      br_http_conn_drop (conn);
      break;
    case BR_HTTP_CONN_LINGERING:
      if (elapsed > LINGER_MS)
        br_http_conn_free (conn);
      break;
    case BR_HTTP_CONN_FLUSHING:
      if (elapsed > USER_TIMEOUT_MS)
        br_http_conn_free (conn);
      break;
    }
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  br_http_server_t *server = context;
  br_ms_t now = br_http_now ();
  br_http_conn_t *next;

  (void)fd;
  (void)what;
  for (br_http_conn_t *conn = server->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      br_http_conn_account (conn);
      conn_check (conn, now);
    }
  br_held_shed (server->options.account, now);
}

br_http_server_t *
br_http_server_new (const br_http_server_options_t *options, br_error_t *err)
{
  br_http_server_t *server = br_alloc_zero (sizeof *server);
  struct timeval period = { 0, CHECK_INTERVAL_MS * 1000 };

  server->options = *options;
  server->options.address = NULL;
  br_http_server_set_limits (server, &options->limits);
  server->listener = evconnlistener_new_bind (
      options->base, on_accept, server,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG, options->address,
      options->address_len);
  if (server->listener == NULL)
    {
      br_error_set (err, BR_ERROR_INTERNAL, "listen for callers", "", "%s",
                    strerror (errno));
      free (server);
      return NULL;
    }
  server->timer = event_new (options->base, -1, EV_PERSIST, on_timer, server);
  event_add (server->timer, &period);
  return server;
}

void
br_http_server_free (br_http_server_t *server)
{
  if (server == NULL)
    return;
  while (server->conns != NULL)
    br_http_conn_free (server->conns);
  if (server->listener != NULL)
    evconnlistener_free (server->listener);
  event_free (server->timer);
  free (server);
}

void
br_http_server_set_limits (br_http_server_t *server,
                           const br_http_limits_t *limits)
{
  br_held_account_t *account = server->options.account;

  server->options.limits = *limits;
  account->longest = BR_MAX (account->longest, limits->body_max_bytes);
}

void
br_http_server_close_after_answers (br_http_server_t *server)
{
  server->close_after_answers = true;
}

void
br_http_server_stop_listening (br_http_server_t *server)
{
  if (server->listener != NULL)
    evconnlistener_free (server->listener);
  server->listener = NULL;
}

void
br_http_server_stop (br_http_server_t *server)
{
  br_http_conn_t *next;

  server->stopped = true;
  br_http_server_stop_listening (server);
  for (br_http_conn_t *conn = server->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      if (conn->state == BR_HTTP_CONN_IDLE)
        br_http_conn_free (conn);
    }
}

size_t
br_http_server_connections (const br_http_server_t *server)
{
  return server->n_conns;
}

const br_http_server_stats_t *
br_http_server_stats (const br_http_server_t *server)
{
  return &server->stats;
}
