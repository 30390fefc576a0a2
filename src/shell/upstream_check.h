/* Checks the health of upstreams at which attempts failed, each on a new
 * connection, and at most one check of an upstream at a time. */
#ifndef BR_SHELL_UPSTREAM_CHECK_H
#define BR_SHELL_UPSTREAM_CHECK_H

#include "shell/http_call.h"

BR_BEGIN_DECLS

typedef struct br_upstream_checks br_upstream_checks_t;

typedef void (*br_upstream_check_cb_t) (void *context,
                                        const br_name_t *upstream,
                                        bool answers);

br_upstream_checks_t *br_upstream_checks_new (struct event_base *base,
                                              br_upstream_check_cb_t done,
                                              void *context);
void br_upstream_checks_free (br_upstream_checks_t *checks);

/* Starts a check of UPSTREAM unless one is in progress. */
void br_upstream_checks_start (br_upstream_checks_t *checks,
                               const br_name_t *upstream,
                               const char *address,
                               uint16_t port);

BR_END_DECLS

#endif
