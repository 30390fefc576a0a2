/* Bounds what the connections of an evhttp server hold and send.  evhttp bounds
 * heads and bodies, but neither the framing of a body, the time a request may
 * take, nor the number of its connections. */
#ifndef BR_SHELL_HTTP_GUARD_H
#define BR_SHELL_HTTP_GUARD_H

#include <event2/http.h>

#include "http/held_bytes.h"

BR_BEGIN_DECLS

typedef struct br_http_guard br_http_guard_t;

/* BODY_MAX is the limit that HTTP has on bodies.  The account and HTTP must
 * outlive the guard's last connection. */
br_http_guard_t *br_http_guard_new (struct event_base *base,
                                    struct evhttp *http,
                                    br_held_account_t *account,
                                    size_t body_max);

/* Must be called with each request that is complete. */
void br_http_guard_on_request (br_http_guard_t *guard,
                               struct evhttp_request *request);

/* Must be called after evhttp_free(). */
void br_http_guard_free (br_http_guard_t *guard);

BR_END_DECLS

#endif
