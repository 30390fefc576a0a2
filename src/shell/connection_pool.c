#include "shell/connection_pool.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <uthash.h>

#include "base/clock.h"

/* Maximum number of idle connections that are kept for one address and port. */
#define POOL_MAX 64

/* Size of "ADDRESS:PORT" with its terminating zero. */
#define ADDRESS_KEY_BYTES 64

/* After bytes out of turn no connection to the upstream is kept for this
 * long. */
#define DISTRUST_MS 60000

typedef struct pooled
{
  struct idle *idle;
  struct evhttp_connection *connection;
  struct pooled *next;
} pooled_t;

/* The idle connections to one address and port. */
typedef struct idle
{
  br_connection_pool_t *pool;
  char key[ADDRESS_KEY_BYTES]; /* "ADDRESS:PORT" */
  char *address;
  uint16_t port;
  pooled_t *first;
  size_t n;
  br_ms_t distrusted_until_ms;
  UT_hash_handle hh;
} idle_t;

struct br_connection_pool
{
  struct event_base *base;
  br_out_of_turn_cb_t out_of_turn;
  void *context;
  idle_t *addresses;
};

static const br_clock_t clock_monotonic = { BR_CLOCK_MONOTONIC, 0 };

static void
connection_on_free (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (context);
}

void
br_connection_free_later (struct event_base *base,
                          struct evhttp_connection *connection)
{
  struct timeval now = { 0, 0 };

  event_base_once (base, -1, EV_TIMEOUT, connection_on_free, connection, &now);
}

static idle_t *
pool_idle (br_connection_pool_t *pool, const char *address, uint16_t port)
{
  char key[ADDRESS_KEY_BYTES];
  idle_t *idle;

  snprintf (key, sizeof key, "%s:%u", address, port);
  HASH_FIND_STR (pool->addresses, key, idle);
  if (idle != NULL)
    return idle;
  idle = br_alloc_zero (sizeof *idle);
  memcpy (idle->key, key, sizeof key);
  idle->pool = pool;
  idle->address = strdup (address);
  idle->port = port;
  HASH_ADD_STR (pool->addresses, key, idle);
  return idle;
}

/* Removes ENTRY and returns its connection, which reports no more events until
 * evhttp uses it again. */
static struct evhttp_connection *
pooled_remove (pooled_t *entry)
{
  idle_t *idle = entry->idle;
  struct evhttp_connection *connection = entry->connection;
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  pooled_t **at = &idle->first;

  while (*at != entry)
    at = &(*at)->next;
  *at = entry->next;
  idle->n--;
  free (entry);
  bufferevent_disable (bev, EV_READ);
  bufferevent_setcb (bev, NULL, NULL, NULL, NULL);
  return connection;
}

static void
idle_drop (idle_t *idle)
{
  while (idle->first != NULL)
    br_connection_free_later (idle->pool->base, pooled_remove (idle->first));
}

static void
idle_distrust (idle_t *idle, size_t len)
{
  br_connection_pool_t *pool = idle->pool;
  br_ms_t now = br_clock_now (&clock_monotonic);
  bool trusted = now >= idle->distrusted_until_ms;

  idle->distrusted_until_ms = now + DISTRUST_MS;
  idle_drop (idle);
  if (trusted)
    pool->out_of_turn (pool->context, idle->address, idle->port, len);
}

/* Returns the number of bytes that can be read from CONNECTION. */
static size_t
connection_unread (struct evhttp_connection *connection, bool *ended)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  size_t len = evbuffer_get_length (bufferevent_get_input (bev));
  char bytes[256];
  ssize_t more = recv (bufferevent_getfd (bev), bytes, sizeof bytes,
                       MSG_PEEK | MSG_DONTWAIT);

  *ended = more == 0 || (more < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  return len + (more > 0 ? (size_t)more : 0);
}

bool
br_connection_has_unsent (struct evhttp_connection *connection)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  int queued = 0;

  if (evbuffer_get_length (bufferevent_get_output (bev)) > 0)
    return true;
  return ioctl (bufferevent_getfd (bev), SIOCOUTQ, &queued) == 0 && queued > 0;
}

static void
pooled_on_read (struct bufferevent *bev, void *context)
{
  pooled_t *entry = context;

  idle_distrust (entry->idle,
                 evbuffer_get_length (bufferevent_get_input (bev)));
}

static void
pooled_on_event (struct bufferevent *bev, short what, void *context)
{
  pooled_t *entry = context;
  br_connection_pool_t *pool = entry->idle->pool;

  (void)bev;
  (void)what;
  br_connection_free_later (pool->base, pooled_remove (entry));
}

struct evhttp_connection *
br_connection_pool_take (br_connection_pool_t *pool,
                         const char *address,
                         uint16_t port)
{
  idle_t *idle = pool_idle (pool, address, port);

  while (idle->first != NULL)
    {
      struct evhttp_connection *connection = pooled_remove (idle->first);
      bool ended;
      size_t len = connection_unread (connection, &ended);

      if (len == 0 && !ended)
        return connection;
      br_connection_free_later (pool->base, connection);
      if (len > 0)
        idle_distrust (idle, len);
    }
  return NULL;
}

void
br_connection_pool_put (br_connection_pool_t *pool,
                        const char *address,
                        uint16_t port,
                        struct evhttp_connection *connection)
{
  idle_t *idle = pool_idle (pool, address, port);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  bool ended;
  size_t len = connection_unread (connection, &ended);
  pooled_t *entry;

  if (len > 0)
    idle_distrust (idle, len);
  if (len > 0 || ended || idle->n >= POOL_MAX
      || br_clock_now (&clock_monotonic) < idle->distrusted_until_ms)
    {
      br_connection_free_later (pool->base, connection);
      return;
    }
  entry = br_alloc (sizeof *entry);
  entry->idle = idle;
  entry->connection = connection;
  entry->next = idle->first;
  idle->first = entry;
  idle->n++;
  bufferevent_setcb (bev, pooled_on_read, NULL, pooled_on_event, entry);
  bufferevent_enable (bev, EV_READ);
}

void
br_connection_pool_drop (br_connection_pool_t *pool,
                         const char *address,
                         uint16_t port)
{
  idle_drop (pool_idle (pool, address, port));
}

void
br_connection_pool_out_of_turn (br_connection_pool_t *pool,
                                const char *address,
                                uint16_t port,
                                size_t len)
{
  idle_distrust (pool_idle (pool, address, port), len);
}

br_connection_pool_t *
br_connection_pool_new (struct event_base *base,
                        br_out_of_turn_cb_t out_of_turn,
                        void *context)
{
  br_connection_pool_t *pool = br_alloc_zero (sizeof *pool);

  pool->base = base;
  pool->out_of_turn = out_of_turn;
  pool->context = context;
  return pool;
}

void
br_connection_pool_free (br_connection_pool_t *pool)
{
  idle_t *idle;
  idle_t *next;

  HASH_ITER (hh, pool->addresses, idle, next)
  {
    while (idle->first != NULL)
      evhttp_connection_free (pooled_remove (idle->first));
    HASH_DEL (pool->addresses, idle);
    free (idle->address);
    free (idle);
  }
  free (pool);
}
