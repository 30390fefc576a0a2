/* JSON replies on the callers' port. */
#ifndef BR_SHELL_CALLER_REPLY_H
#define BR_SHELL_CALLER_REPLY_H

#include "http/http_server.h"

BR_BEGIN_DECLS

/* HEADERS go before those of the reply itself. */
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

/* Sends ERR with its status, and Retry-After when there is a time to come
 * back. */
void br_caller_reply_error (br_http_conn_t *conn,
                            const br_http_header_t *headers,
                            size_t n_headers,
                            const br_error_t *err);

/* Sends the head of a streamed reply. */
void br_caller_reply_begin (br_http_conn_t *conn,
                            const br_caller_reply_t *reply);

/* Returns the key of an "Authorization: Bearer KEY" field, or an empty
 * view. */
br_str_t br_caller_bearer_key (const br_http_conn_t *conn);

BR_END_DECLS

#endif
