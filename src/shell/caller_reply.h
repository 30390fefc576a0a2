/* Replies on the callers' port: whole bodies, JSON errors and heads of
 * streams. */
#ifndef BR_SHELL_CALLER_REPLY_H
#define BR_SHELL_CALLER_REPLY_H

#include "http/http_server.h"

BR_BEGIN_DECLS

/* HEADERS are sent before Content-Type. */
typedef struct
{
  int status;
  const char *content_type;
  const br_http_header_t *headers;
  size_t n_headers;
} br_caller_reply_t;

/* Sends BODY and ends the request. */
void br_caller_reply (br_http_conn_t *conn,
                      const br_caller_reply_t *reply,
                      br_str_t body);

/* Sends ERR as JSON with its status, and with Retry-After when ERR has a
 * retry_after_ms.  HEADERS are sent first. */
void br_caller_reply_error (br_http_conn_t *conn,
                            const br_http_header_t *headers,
                            size_t n_headers,
                            const br_error_t *err);

/* Sends the head of a streamed reply. */
void br_caller_reply_begin (br_http_conn_t *conn,
                            const br_caller_reply_t *reply);

/* Returns the key of the header "Authorization: Bearer KEY", or an empty view
 * when there is none. */
br_str_t br_caller_bearer_key (const br_http_conn_t *conn);

BR_END_DECLS

#endif
