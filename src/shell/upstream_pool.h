/* Pools idle connections to the upstreams of a fleet. */
#ifndef BR_SHELL_UPSTREAM_POOL_H
#define BR_SHELL_UPSTREAM_POOL_H

#include "http/http_client.h"
#include "site/fleet.h"

BR_BEGIN_DECLS

/* Value of IDLE_MAX_MS with which no connection is reused. */
#define BR_UPSTREAM_POOL_NEW (-1)

typedef struct
{
  br_client_fn on_event;
  void *context;
  br_ms_t idle_max_ms; /* a connection idle for longer is not reused */
} br_upstream_pool_options_t;

/* Returns an idle connection, or starts a new one and sets *IS_NEW.  Returns
 * NULL when the upstream's address is not valid. */
br_http_client_t *
br_upstream_pool_take (struct event_base *base,
                       br_fleet_upstream_t *upstream,
                       const br_upstream_pool_options_t *options,
                       br_ms_t now,
                       bool *is_new);

/* Starts a new connection that has no owner yet.  Returns NULL when the
 * upstream's address is not valid. */
br_http_client_t *
br_upstream_pool_connect (struct event_base *base,
                          const br_fleet_upstream_t *upstream);

/* Adds an idle connection to the pool, or closes it when the pool holds
 * KEEP_MAX or the upstream was removed. */
void br_upstream_pool_keep (br_fleet_upstream_t *upstream,
                            br_http_client_t *client,
                            size_t keep_max);

/* Closes all idle connections.  Used when one of them has stalled. */
void br_upstream_pool_drop (br_fleet_upstream_t *upstream);

/* Closes the connections that were idle for too long. */
void br_upstream_pool_trim (br_fleet_upstream_t *upstream, br_ms_t now);

/* Frees the pool; for br_fleet_sweep(). */
void br_upstream_pool_free (void *context, br_fleet_upstream_t *upstream);

BR_END_DECLS

#endif
