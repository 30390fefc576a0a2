#include "shell/connection_pool.h"

#include <stdio.h>
#include <uthash.h>

/* Maximum number of idle connections that are kept for one address and port. */
#define POOL_MAX 64

/* Size of "ADDRESS:PORT" with its terminating zero. */
#define ADDRESS_KEY_BYTES 64

typedef struct pooled
{
  struct evhttp_connection *connection;
  struct pooled *next;
} pooled_t;

/* The idle connections to one address and port. */
typedef struct
{
  char key[ADDRESS_KEY_BYTES]; /* "ADDRESS:PORT" */
  pooled_t *idle;
  size_t n_idle;
  UT_hash_handle hh;
} idle_t;

struct br_connection_pool
{
  struct event_base *base;
  idle_t *addresses;
};

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
  HASH_ADD_STR (pool->addresses, key, idle);
  return idle;
}

static struct evhttp_connection *
idle_take (idle_t *idle)
{
  pooled_t *first = idle->idle;
  struct evhttp_connection *connection;

  if (first == NULL)
    return NULL;
  connection = first->connection;
  idle->idle = first->next;
  idle->n_idle--;
  free (first);
  return connection;
}

struct evhttp_connection *
br_connection_pool_take (br_connection_pool_t *pool,
                         const char *address,
                         uint16_t port)
{
  return idle_take (pool_idle (pool, address, port));
}

void
br_connection_pool_put (br_connection_pool_t *pool,
                        const char *address,
                        uint16_t port,
                        struct evhttp_connection *connection)
{
  idle_t *idle = pool_idle (pool, address, port);
  pooled_t *entry;

  if (idle->n_idle >= POOL_MAX)
    {
      br_connection_free_later (pool->base, connection);
      return;
    }
  entry = br_alloc (sizeof *entry);
  entry->connection = connection;
  entry->next = idle->idle;
  idle->idle = entry;
  idle->n_idle++;
}

static void
idle_drop (idle_t *idle)
{
  struct evhttp_connection *connection;

  while ((connection = idle_take (idle)) != NULL)
    evhttp_connection_free (connection);
}

void
br_connection_pool_drop (br_connection_pool_t *pool,
                         const char *address,
                         uint16_t port)
{
  idle_drop (pool_idle (pool, address, port));
}

br_connection_pool_t *
br_connection_pool_new (struct event_base *base)
{
  br_connection_pool_t *pool = br_alloc_zero (sizeof *pool);

  pool->base = base;
  return pool;
}

void
br_connection_pool_free (br_connection_pool_t *pool)
{
  idle_t *idle;
  idle_t *next;

  HASH_ITER (hh, pool->addresses, idle, next)
  {
    idle_drop (idle);
    HASH_DEL (pool->addresses, idle);
    free (idle);
  }
  free (pool);
}
