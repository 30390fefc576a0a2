#include "shell/http_guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdlib.h>

#include "http/framing.h"

/* Interval at which connections are checked. */
#define CHECK_INTERVAL_MS 250

/* Requests on an evhttp server have a head of at most 16 KiB. */
#define HEAD_MAX_BYTES (16 * 1024)

/* While this many connections are being closed none is accepted: evhttp closes
 * their descriptors only when the event loop turns. */
#define CLOSING_MAX 8

/* A connection that holds no more than this is not shed. */
#define KEPT_BYTES (64 * 1024)

/* One connection.  Its bufferevent is kept until the guard has seen that evhttp
 * has freed it, which shows in its callbacks. */
typedef struct guarded
{
  br_http_guard_t *guard;
  struct bufferevent *bev;
  size_t read; /* bytes of the request that is being read or answered */
  br_ms_t began_ms;
  bool handed;  /* the request is complete */
  bool closing; /* evhttp is told that the connection has failed */
  bool has_sent;
  br_held_t held;
  struct guarded *next;
} guarded_t;

struct br_http_guard
{
  br_held_account_t *account;
  struct evhttp *http;
  struct event *timer;
  struct event *sweep; /* runs after evhttp has freed connections */
  size_t read_max;     /* bytes of a request with its framing */
  guarded_t *conns;    /* the newest first */
  size_t n_conns;
  size_t n_closing; /* of these */
  bool paused;      /* no connections are accepted */
};

static const br_clock_t clock_monotonic = { BR_CLOCK_MONOTONIC, 0 };

static br_ms_t
guard_now (void)
{
  return br_clock_now (&clock_monotonic);
}

static bool
conn_is_freed (const guarded_t *conn)
{
  bufferevent_data_cb on_read;
  bufferevent_data_cb on_write;
  bufferevent_event_cb on_event;
  void *context;

  bufferevent_getcb (conn->bev, &on_read, &on_write, &on_event, &context);
  return on_read == NULL && on_write == NULL && on_event == NULL;
}

/* Lets evhttp free the connection after the current callback. */
static void
conn_close (guarded_t *conn)
{
  static const struct timeval at_once = { 0, 0 };

  if (conn->closing)
    return;
  conn->closing = true;
  conn->guard->n_closing++;
  bufferevent_disable (conn->bev, EV_READ);
  bufferevent_trigger_event (conn->bev, BEV_EVENT_READING | BEV_EVENT_EOF,
                             BEV_OPT_DEFER_CALLBACKS);
  event_add (conn->guard->sweep, &at_once);
}

static void
conn_shed (void *owner)
{
  conn_close (owner);
}

static void
conn_account (guarded_t *conn)
{
  size_t unsent = evbuffer_get_length (bufferevent_get_output (conn->bev));
  size_t bytes = conn->read + unsent;

  if (conn->closing)
    return;
  br_held_set (&conn->held, bytes,
               bytes > KEPT_BYTES && (!conn->handed || unsent > 0));
}

static void
conn_check_read (guarded_t *conn)
{
  if (conn->read <= conn->guard->read_max)
    return;
  /* The owner has the request; evhttp reads on after the answer. */
  if (conn->handed)
    {
      bufferevent_disable (conn->bev, EV_READ);
      return;
    }
  conn->guard->account->counts[BR_HELD_EXCESS]++;
  conn_close (conn);
}

static void
on_input (struct evbuffer *buffer,
          const struct evbuffer_cb_info *info,
          void *context)
{
  guarded_t *conn = context;
  br_ms_t now;

  (void)buffer;
  if (info->n_added == 0)
    return;
  if (conn->closing || conn_is_freed (conn))
    {
      bufferevent_disable (conn->bev, EV_READ);
      return;
    }
  now = guard_now ();
  if (conn->read == 0)
    {
      conn->began_ms = now;
      br_held_begin (&conn->held, now);
    }
  conn->has_sent = true;
  conn->read += info->n_added;
  br_held_progress (&conn->held, info->n_added, now);
  conn_account (conn);
  conn_check_read (conn);
  if (br_held_is_over (conn->guard->account))
    br_held_shed (conn->guard->account, now);
}

static void
on_output (struct evbuffer *buffer,
           const struct evbuffer_cb_info *info,
           void *context)
{
  guarded_t *conn = context;
  br_ms_t now = guard_now ();

  if (info->n_deleted > 0)
    br_held_progress (&conn->held, info->n_deleted, now);
  if (conn->handed && info->n_deleted > 0 && evbuffer_get_length (buffer) == 0)
    {
      conn->handed = false;
      conn->read = evbuffer_get_length (bufferevent_get_input (conn->bev));
      conn->began_ms = now;
      br_held_begin (&conn->held, now);
    }
  conn_account (conn);
}

static void
conn_free (guarded_t *conn)
{
  br_held_leave (&conn->held);
  bufferevent_disable (conn->bev, EV_READ | EV_WRITE);
  evbuffer_remove_cb (bufferevent_get_input (conn->bev), on_input, conn);
  evbuffer_remove_cb (bufferevent_get_output (conn->bev), on_output, conn);
  bufferevent_decref (conn->bev);
  conn->guard->n_conns--;
  if (conn->closing)
    conn->guard->n_closing--;
  free (conn);
}

static void
socket_pause (struct evhttp_bound_socket *bound, void *context)
{
  const br_http_guard_t *guard = context;
  struct evconnlistener *listener = evhttp_bound_socket_get_listener (bound);

  if (guard->paused)
    evconnlistener_disable (listener);
  else
    evconnlistener_enable (listener);
}

static void
guard_set_paused (br_http_guard_t *guard, bool paused)
{
  if (guard->paused == paused)
    return;
  guard->paused = paused;
  evhttp_foreach_bound_socket (guard->http, socket_pause, guard);
}

/* Frees what evhttp has freed. */
static void
guard_sweep (br_http_guard_t *guard)
{
  guarded_t **at = &guard->conns;

  while (*at != NULL)
    {
      guarded_t *conn = *at;

      if (!conn_is_freed (conn))
        {
          at = &conn->next;
          continue;
        }
      *at = conn->next;
      conn_free (conn);
    }
  if (guard->n_closing == 0)
    guard_set_paused (guard, false);
}

static void
on_sweep (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  guard_sweep (context);
}

static void
conn_check (guarded_t *conn, br_ms_t now)
{
  br_held_account_t *account = conn->guard->account;

  conn_account (conn);
  if (conn->closing || conn->handed || conn->read == 0
      || !br_held_is_slow (account, conn->read, conn->began_ms, now))
    return;
  account->counts[BR_HELD_SLOW]++;
  conn_close (conn);
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  br_http_guard_t *guard = context;
  br_ms_t now = guard_now ();

  (void)fd;
  (void)what;
  guard_sweep (guard);
  for (guarded_t *conn = guard->conns; conn != NULL; conn = conn->next)
    conn_check (conn, now);
  br_held_shed (guard->account, now);
}

/* Closes the oldest connection that has no request, or else the one whose
 * request comes most slowly. */
static void
guard_close_one (br_http_guard_t *guard, bool silent_only)
{
  br_ms_t now = guard_now ();
  guarded_t *idle = NULL;
  guarded_t *slow = NULL;

  for (guarded_t *conn = guard->conns; conn != NULL; conn = conn->next)
    {
      if (conn->closing || conn->handed)
        continue;
      if (conn->read == 0 && !(silent_only && conn->has_sent))
        idle = conn;
      if (conn->read > 0
          && (slow == NULL
              || br_held_rate (&conn->held, now)
                     <= br_held_rate (&slow->held, now)))
        slow = conn;
    }
  if (idle != NULL)
    conn_close (idle);
  else if (slow != NULL && !silent_only)
    conn_close (slow);
}

static void
guard_make_room (br_http_guard_t *guard)
{
  br_held_account_t *account = guard->account;
  size_t n_silent = 0;
  size_t n_open = 0;

  for (guarded_t *conn = guard->conns; conn != NULL; conn = conn->next)
    {
      n_silent += !conn->has_sent && !conn->closing;
      n_open += !conn->closing;
    }
  if (n_silent >= account->silent_max)
    {
      account->counts[BR_HELD_SILENT]++;
      guard_close_one (guard, true);
    }
  else if (n_open >= account->connections_max)
    {
      account->counts[BR_HELD_CONNECTIONS]++;
      guard_close_one (guard, false);
    }
}

static struct bufferevent *
on_new_connection (struct event_base *base, void *context)
{
  br_http_guard_t *guard = context;
  guarded_t *conn;

  guard_sweep (guard);
  guard_make_room (guard);
  conn = br_alloc_zero (sizeof *conn);
  conn->guard = guard;
  conn->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_incref (conn->bev);
  conn->held.shed = conn_shed;
  conn->held.owner = conn;
  br_held_join (&conn->held, guard->account, guard_now ());
  evbuffer_add_cb (bufferevent_get_input (conn->bev), on_input, conn);
  evbuffer_add_cb (bufferevent_get_output (conn->bev), on_output, conn);
  conn->next = guard->conns;
  guard->conns = conn;
  guard->n_conns++;
  guard_set_paused (guard, guard->n_closing >= CLOSING_MAX);
  return conn->bev;
}

br_http_guard_t *
br_http_guard_new (struct event_base *base,
                   struct evhttp *http,
                   br_held_account_t *account,
                   size_t body_max)
{
  br_http_guard_t *guard = br_alloc_zero (sizeof *guard);
  struct timeval period = { 0, CHECK_INTERVAL_MS * 1000 };

  guard->http = http;
  guard->account = account;
  guard->read_max = HEAD_MAX_BYTES + 2 * body_max + BR_HTTP_FRAMING_MAX;
  account->longest = BR_MAX (account->longest, body_max);
  evhttp_set_bevcb (http, on_new_connection, guard);
  guard->sweep = event_new (base, -1, 0, on_sweep, guard);
  guard->timer = event_new (base, -1, EV_PERSIST, on_timer, guard);
  event_add (guard->timer, &period);
  return guard;
}

void
br_http_guard_on_request (br_http_guard_t *guard,
                          struct evhttp_request *request)
{
  const struct bufferevent *bev = evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (request));

  for (guarded_t *conn = guard->conns; conn != NULL; conn = conn->next)
    if (conn->bev == bev)
      {
        conn->handed = true;
        conn_account (conn);
      }
}

void
br_http_guard_free (br_http_guard_t *guard)
{
  guarded_t *next;

  if (guard == NULL)
    return;
  for (guarded_t *conn = guard->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      conn_free (conn);
    }
  event_free (guard->timer);
  event_free (guard->sweep);
  free (guard);
}
