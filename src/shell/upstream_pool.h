/* Kept connections to the upstreams of a fleet. */
#ifndef BR_SHELL_UPSTREAM_POOL_H
#define BR_SHELL_UPSTREAM_POOL_H

#include "http/http_client.h"
#include "site/fleet.h"

BR_BEGIN_DECLS

typedef struct
{
  br_client_fn on_event;
  void *context;
  br_ms_t idle_max_ms; /* a connection that was idle for longer is not used */
} br_upstream_pool_options_t;

/* Returns a kept connection, or begins a new one; NULL when the upstream's
 * address is not valid.  *IS_NEW says which. */
br_http_client_t *
br_upstream_pool_take (struct event_base *base,
                       br_fleet_upstream_t *upstream,
                       const br_upstream_pool_options_t *options,
                       br_ms_t now,
                       bool *is_new);

/* Begins a new connection that nobody owns yet; NULL likewise. */
br_http_client_t *
br_upstream_pool_connect (struct event_base *base,
                          const br_fleet_upstream_t *upstream);

/* Keeps an idle connection, up to KEEP_MAX of them. */
void br_upstream_pool_keep (br_fleet_upstream_t *upstream,
                            br_http_client_t *client,
                            size_t keep_max);

/* Closes all idle connections: one of them has gone silent. */
void br_upstream_pool_drop (br_fleet_upstream_t *upstream);

/* Closes those that were idle for too long. */
void br_upstream_pool_trim (br_fleet_upstream_t *upstream, br_ms_t now);

/* Frees the pool; for br_fleet_sweep(). */
void br_upstream_pool_free (void *context, br_fleet_upstream_t *upstream);

BR_END_DECLS

#endif
