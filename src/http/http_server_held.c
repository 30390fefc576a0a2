/* What the connections of the HTTP server hold, and which of them go when they
 * are too many or hold too much. */
#include <event2/buffer.h>
#include <string.h>
#include <sys/ioctl.h>

#include "http/http_server_private.h"

/* Unsent bytes of answers that a reader may leave before it can be shed for
 * them, and before its next request is read. */
#define UNSENT_KEPT_BYTES (64 * 1024)

/* Size of a block, and of its part of the body, in bytes. */
#define BLOCK_BYTES ((size_t)16 * 1024)
#define BLOCK_DATA_BYTES (BLOCK_BYTES - sizeof (br_http_block_t))

/* Retry-After of a request that was shed, in milliseconds. */
#define SHED_RETRY_AFTER_MS 1000

static void
conn_shed (void *owner)
{
  br_http_conn_t *conn = owner;
  br_error_t err;

  if (conn->state != BR_HTTP_CONN_READING)
    {
      conn->server->stats.slow_readers++;
      br_http_conn_drop (conn);
      return;
    }
  br_error_set (&err, BR_ERROR_UNAVAILABLE, "read request", "",
                "this VM holds as many bytes of requests as it may");
  err.retry_after_ms = SHED_RETRY_AFTER_MS;
  br_http_conn_refuse (conn, &err);
}

void
br_http_conn_join (br_http_conn_t *conn)
{
  conn->held.shed = conn_shed;
  conn->held.owner = conn;
  br_held_join (&conn->held, conn->server->options.account, conn->since_ms);
}

void
br_http_conn_account (br_http_conn_t *conn)
{
  size_t unsent = evbuffer_get_length (bufferevent_get_output (conn->bev));
  size_t bytes
      = unsent + evbuffer_get_length (bufferevent_get_input (conn->bev))
        + conn->body.cap + conn->blocks.n * BLOCK_BYTES + conn->head.bytes.cap
        + br_http_reader_allocated (conn->reader);

  if (unsent < conn->unsent)
    br_held_progress (&conn->held, conn->unsent - unsent, br_http_now ());
  conn->unsent = unsent;
  br_held_set (&conn->held, bytes,
               conn->state == BR_HTTP_CONN_READING
                   || unsent > UNSENT_KEPT_BYTES);
}

void
br_http_conn_add_body (br_http_conn_t *conn, br_str_t piece)
{
  br_http_blocks_t *blocks = &conn->blocks;

  /* One block at most. */
  if (conn->head.content_length >= 0
      && conn->head.content_length <= (int64_t)BLOCK_DATA_BYTES)
    {
      br_buf_reserve_exactly (&conn->body, (size_t)conn->head.content_length);
      br_buf_append (&conn->body, piece);
      return;
    }
  while (piece.len > 0)
    {
      br_http_block_t *last = blocks->last;
      size_t n;

      if (last == NULL || last->len == BLOCK_DATA_BYTES)
        {
          last = br_alloc (BLOCK_BYTES);
          last->next = NULL;
          last->len = 0;
          if (blocks->last != NULL)
            blocks->last->next = last;
          else
            blocks->first = last;
          blocks->last = last;
          blocks->n++;
        }
      n = BR_MIN (piece.len, BLOCK_DATA_BYTES - last->len);
      memcpy (last->data + last->len, piece.data, n);
      last->len += n;
      blocks->len += n;
      piece = br_str_make (piece.data + n, piece.len - n);
    }
}

static void
blocks_drop_first (br_http_blocks_t *blocks)
{
  br_http_block_t *first = blocks->first;

  blocks->first = first->next;
  free (first);
}

void
br_http_conn_join_body (br_http_conn_t *conn)
{
  br_http_blocks_t *blocks = &conn->blocks;

  if (blocks->first == NULL)
    return;
  br_buf_reserve_exactly (&conn->body, blocks->len);
  while (blocks->first != NULL)
    {
      br_buf_append (&conn->body,
                     br_str_make (blocks->first->data, blocks->first->len));
      blocks_drop_first (blocks);
    }
  *blocks = (br_http_blocks_t){ 0 };
}

void
br_http_conn_free_body (br_http_conn_t *conn)
{
  br_buf_free (&conn->body);
  while (conn->blocks.first != NULL)
    blocks_drop_first (&conn->blocks);
  conn->blocks = (br_http_blocks_t){ 0 };
}

bool
br_http_conn_must_drain (const br_http_conn_t *conn)
{
  return conn->state == BR_HTTP_CONN_IDLE
         && evbuffer_get_length (bufferevent_get_output (conn->bev))
                > UNSENT_KEPT_BYTES;
}

bool
br_http_conn_check_pace (br_http_conn_t *conn, br_ms_t now, br_error_t *err)
{
  const br_http_server_options_t *options = &conn->server->options;
  const br_http_limits_t *limits = &options->limits;

  if (conn->body_ms == 0)
    {
      if (now - conn->since_ms <= limits->request_ms)
        return true;
      options->account->counts[BR_HELD_SLOW]++;
      return br_error_set (err, BR_ERROR_REQUEST_TIMEOUT, "read request", "",
                           "the request was not complete after %d ms",
                           (int)limits->request_ms);
    }
  if (!br_held_is_slow (options->account, conn->received, conn->body_ms, now)
      && now - conn->held.progress_ms <= limits->idle_ms)
    return true;
  options->account->counts[BR_HELD_SLOW]++;
  return br_error_set (err, BR_ERROR_REQUEST_TIMEOUT, "read request", "",
                       "the request was not complete after %d ms: its body "
                       "comes too slowly",
                       (int)(now - conn->began_ms));
}

/* --- number of connections --- */

/* Returns whether bytes of a request wait in the socket. */
static bool
conn_has_waiting (const br_http_conn_t *conn)
{
  int n = 0;

  return ioctl (bufferevent_getfd (conn->bev), FIONREAD, &n) == 0 && n > 0;
}

/* Returns whether A goes before B, both idle: an answer that is still being
 * sent may be of a request that must not be repeated. */
static bool
idle_goes_before (const br_http_conn_t *a, const br_http_conn_t *b)
{
  bool a_sends = br_http_conn_unsent (a) > 0;
  bool b_sends = br_http_conn_unsent (b) > 0;

  return a_sends != b_sends ? b_sends : a->since_ms <= b->since_ms;
}

/* Returns the connection that has been idle for longest, or NULL. */
static br_http_conn_t *
server_oldest_idle (const br_http_server_t *server, bool silent_only)
{
  br_http_conn_t *oldest = NULL;

  for (br_http_conn_t *conn = server->conns; conn != NULL; conn = conn->next)
    if (conn->state == BR_HTTP_CONN_IDLE && !(silent_only && conn->has_sent)
        && (oldest == NULL || idle_goes_before (conn, oldest))
        && !conn_has_waiting (conn))
      oldest = conn;
  return oldest;
}

/* Returns the connection whose request comes most slowly, or one that was
 * answered and only has to close, or NULL. */
static br_http_conn_t *
server_slowest (const br_http_server_t *server)
{
  br_ms_t now = br_http_now ();
  br_http_conn_t *slowest = NULL;
  double least = 0;

  for (br_http_conn_t *conn = server->conns; conn != NULL; conn = conn->next)
    {
      double rate = conn->state == BR_HTTP_CONN_READING
                        ? br_held_rate (&conn->held, now)
                        : 0;

      if (conn->state != BR_HTTP_CONN_READING
          && conn->state != BR_HTTP_CONN_LINGERING)
        continue;
      if (slowest == NULL || rate <= least)
        {
          slowest = conn;
          least = rate;
        }
    }
  return slowest;
}

/* Closes the connection.  Its descriptor is closed at once: bufferevent_free()
 * leaves it open until the event loop turns, and many connections may be
 * accepted before that. */
static void
conn_close_now (br_http_conn_t *conn)
{
  evutil_socket_t fd = bufferevent_getfd (conn->bev);

  bufferevent_setfd (conn->bev, -1);
  evutil_closesocket (fd);
  br_http_conn_free (conn);
}

bool
br_http_server_make_room (br_http_server_t *server)
{
  br_held_account_t *account = server->options.account;
  br_http_conn_t *conn = NULL;

  if (server->n_silent >= account->silent_max)
    conn = server_oldest_idle (server, true);
  if (conn != NULL)
    {
      account->counts[BR_HELD_SILENT]++;
      conn_close_now (conn);
    }
  if (server->n_conns < account->connections_max)
    return true;
  account->counts[BR_HELD_CONNECTIONS]++;
  conn = server_oldest_idle (server, false);
  if (conn == NULL)
    conn = server_slowest (server);
  if (conn == NULL)
    return false;
  conn_close_now (conn);
  return true;
}
