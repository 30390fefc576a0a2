/* Keeps idle HTTP connections for reuse, by address and port.
 *
 * HTTP/1.1 assigns an answer to a request by its place alone.  Bytes that an
 * upstream writes while no request has been sent whole ("out of turn") would be
 * taken for the answer to the next one.  They end the connection, and for a
 * while no connection to that upstream is kept. */
#ifndef BR_SHELL_CONNECTION_POOL_H
#define BR_SHELL_CONNECTION_POOL_H

#include <event2/event.h>
#include <event2/http.h>

#include "base/str.h"

BR_BEGIN_DECLS

typedef struct br_connection_pool br_connection_pool_t;

/* Reports that an upstream has begun to write out of turn, with LEN bytes. */
typedef void (*br_out_of_turn_cb_t) (void *context,
                                     const char *address,
                                     uint16_t port,
                                     size_t len);

br_connection_pool_t *br_connection_pool_new (struct event_base *base,
                                              br_out_of_turn_cb_t out_of_turn,
                                              void *context);
void br_connection_pool_free (br_connection_pool_t *pool);

/* Returns an idle connection on which nothing was received since its last
 * answer, or NULL.  The caller then owns it. */
struct evhttp_connection *br_connection_pool_take (br_connection_pool_t *pool,
                                                   const char *address,
                                                   uint16_t port);

/* Takes ownership of CONNECTION, whose answer is complete.  Frees it when it
 * cannot be reused, or when the pool already holds the maximum for this address
 * and port. */
void br_connection_pool_put (br_connection_pool_t *pool,
                             const char *address,
                             uint16_t port,
                             struct evhttp_connection *connection);

/* Frees the idle connections to one address and port. */
void br_connection_pool_drop (br_connection_pool_t *pool,
                              const char *address,
                              uint16_t port);

/* Reports LEN bytes that came out of turn on a connection that was taken, and
 * frees the idle connections. */
void br_connection_pool_out_of_turn (br_connection_pool_t *pool,
                                     const char *address,
                                     uint16_t port,
                                     size_t len);

/* Returns whether bytes that were written to the connection have not reached
 * the peer: they are buffered here, or its system has not acknowledged them. */
bool br_connection_has_unsent (struct evhttp_connection *connection);

/* Frees the connection in the next iteration of the event loop, because evhttp
 * may still use it on the stack. */
void br_connection_free_later (struct event_base *base,
                               struct evhttp_connection *connection);

BR_END_DECLS

#endif
