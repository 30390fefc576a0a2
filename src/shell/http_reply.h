/* Helpers for requests that evhttp serves: body, key and replies.  Errors have
 * the same JSON form for callers and operators. */
#ifndef BR_SHELL_HTTP_REPLY_H
#define BR_SHELL_HTTP_REPLY_H

#include <event2/http.h>

#include "http/error_body.h"

BR_BEGIN_DECLS

/* Sends BODY with STATUS and ends the request. */
void br_http_reply (struct evhttp_request *request,
                    int status,
                    const char *content_type,
                    br_str_t body);

/* Sends {"error": {...}} with the status of ERR, and with Retry-After when ERR
 * has a retry_after_ms.  "outcome" is "unknown" when the work may have run and
 * "not_run" otherwise. */
void br_http_reply_error (struct evhttp_request *request,
                          const br_error_t *err);

/* Returns the whole body of the request, valid until the request ends. */
br_str_t br_http_body (struct evhttp_request *request);

/* Returns the key of the header "Authorization: Bearer KEY", or an empty view
 * when there is none. */
br_str_t br_http_bearer_key (struct evhttp_request *request);

BR_END_DECLS

#endif
