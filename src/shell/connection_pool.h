/* Keeps idle HTTP connections for reuse, by address and port. */
#ifndef BR_SHELL_CONNECTION_POOL_H
#define BR_SHELL_CONNECTION_POOL_H

#include <event2/event.h>
#include <event2/http.h>

#include "base/str.h"

BR_BEGIN_DECLS

typedef struct br_connection_pool br_connection_pool_t;

br_connection_pool_t *br_connection_pool_new (struct event_base *base);
void br_connection_pool_free (br_connection_pool_t *pool);

/* Returns an idle connection, which the caller then owns, or NULL. */
struct evhttp_connection *br_connection_pool_take (br_connection_pool_t *pool,
                                                   const char *address,
                                                   uint16_t port);

/* Takes ownership of CONNECTION.  Frees it when the pool already holds the
 * maximum for this address and port. */
void br_connection_pool_put (br_connection_pool_t *pool,
                             const char *address,
                             uint16_t port,
                             struct evhttp_connection *connection);

/* Frees the idle connections to one address and port. */
void br_connection_pool_drop (br_connection_pool_t *pool,
                              const char *address,
                              uint16_t port);

/* Frees the connection in the next iteration of the event loop, because evhttp
 * may still use it on the stack. */
void br_connection_free_later (struct event_base *base,
                               struct evhttp_connection *connection);

BR_END_DECLS

#endif
