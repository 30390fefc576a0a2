#include "shell/upstream_pool.h"

#include <event2/util.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/vec.h"

/* A connection is not reused during this time, in milliseconds, before its
 * upstream closes it as idle: the upstream could close it while the request is
 * on its way. */
#define KEEP_ALIVE_MARGIN_MS 400

/* Longest time that an idle connection is kept, also when the upstream states
 * no keep-alive time. */
#define IDLE_MAX_MS 8000

BR_VEC (clients, br_http_client_t *);

typedef struct
{
  clients_t idle; /* the most recently used one is last */
} pool_t;

static pool_t *
pool_get (br_fleet_upstream_t *upstream)
{
  if (upstream->pool == NULL)
    upstream->pool = br_alloc_zero (sizeof (pool_t));
  return upstream->pool;
}

static bool
client_is_reusable (const br_http_client_t *client, br_ms_t max_ms, br_ms_t now)
{
  br_ms_t idle_ms = now - br_http_client_idle_since (client);
  br_ms_t keep_alive_ms = br_http_client_keep_alive_ms (client);

  if (keep_alive_ms > 0 && idle_ms > keep_alive_ms - KEEP_ALIVE_MARGIN_MS)
    return false;
  return idle_ms <= BR_MIN (max_ms, IDLE_MAX_MS);
}

/* Removes an idle connection that the upstream closed. */
static void
on_idle_event (void *context,
               br_http_client_t *client,
               const br_client_event_t *event)
{
  br_fleet_upstream_t *upstream = context;
  pool_t *pool = pool_get (upstream);

  if (event->kind == BR_CLIENT_CONNECTED)
    return;
  for (size_t i = 0; i < pool->idle.len; i++)
    if (pool->idle.items[i] == client)
      {
        pool->idle.items[i] = pool->idle.items[--pool->idle.len];
        br_http_client_free (client);
        return;
      }
}

br_http_client_t *
br_upstream_pool_connect (struct event_base *base,
                          const br_fleet_upstream_t *upstream)
{
  const br_listing_t *listing = &upstream->listing;
  struct sockaddr_storage address;
  char text[BR_NAME_MAX + 16];
  int len = sizeof address;

  snprintf (text, sizeof text, "%s:%u", listing->address.data, listing->port);
  if (evutil_parse_sockaddr_port (text, (struct sockaddr *)&address, &len) != 0)
    return NULL;
  return br_http_client_new (base, (struct sockaddr *)&address, len);
}

br_http_client_t *
br_upstream_pool_take (struct event_base *base,
                       br_fleet_upstream_t *upstream,
                       const br_upstream_pool_options_t *options,
                       br_ms_t now,
                       bool *is_new)
{
  pool_t *pool = pool_get (upstream);
  br_http_client_t *client = NULL;

  for (size_t i = pool->idle.len; i-- > 0 && client == NULL;)
    if (client_is_reusable (pool->idle.items[i], options->idle_max_ms, now))
      {
        client = pool->idle.items[i];
        pool->idle.items[i] = pool->idle.items[--pool->idle.len];
      }
  *is_new = client == NULL;
  if (client == NULL)
    client = br_upstream_pool_connect (base, upstream);
  if (client != NULL)
    br_http_client_set_owner (client, options->on_event, options->context);
  return client;
}

void
br_upstream_pool_keep (br_fleet_upstream_t *upstream,
                       br_http_client_t *client,
                       size_t keep_max)
{
  pool_t *pool = pool_get (upstream);

  if (upstream->removed || pool->idle.len >= keep_max)
    {
      br_http_client_free (client);
      return;
    }
  br_http_client_set_owner (client, on_idle_event, upstream);
  clients_push (&pool->idle, client);
}

void
br_upstream_pool_drop (br_fleet_upstream_t *upstream)
{
  pool_t *pool = pool_get (upstream);

  while (pool->idle.len > 0)
    br_http_client_free (pool->idle.items[--pool->idle.len]);
}

void
br_upstream_pool_trim (br_fleet_upstream_t *upstream, br_ms_t now)
{
  pool_t *pool = upstream->pool;

  if (pool == NULL)
    return;
  for (size_t i = pool->idle.len; i-- > 0;)
    if (!client_is_reusable (pool->idle.items[i], IDLE_MAX_MS, now))
      {
        br_http_client_free (pool->idle.items[i]);
        pool->idle.items[i] = pool->idle.items[--pool->idle.len];
      }
}

void
br_upstream_pool_free (void *context, br_fleet_upstream_t *upstream)
{
  pool_t *pool = upstream->pool;

  (void)context;
  if (pool == NULL)
    return;
  br_upstream_pool_drop (upstream);
  clients_free (&pool->idle);
  free (pool);
  upstream->pool = NULL;
}
