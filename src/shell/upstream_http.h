/* The heads of requests to upstreams, and evhttp's errors in words. */
#ifndef BR_SHELL_UPSTREAM_HTTP_H
#define BR_SHELL_UPSTREAM_HTTP_H

#include "shell/upstream_task.h"

BR_BEGIN_DECLS

void br_upstream_http_add_headers (struct evhttp_request *request,
                                   const br_attempt_options_t *options);

/* Returns the reason for ERROR, a value of enum evhttp_request_error, or -1
 * when evhttp gave none. */
const char *br_upstream_http_error_text (int error);

/* Returns why an answer that evhttp takes for complete is not certain to be, or
 * NULL.  The end of a stream is checked by its events. */
const char *br_upstream_http_end_fault (struct evhttp_request *request,
                                        bool stream);

/* Acknowledges received bytes at once.  An engine that leaves Nagle's algorithm
 * on delays its first event until the head is acknowledged. */
void br_upstream_http_acknowledge (struct evhttp_connection *connection);

BR_END_DECLS

#endif
