/* The head of an HTTP/1.1 message: its first line and its header fields. */
#ifndef BR_HTTP_HTTP_HEAD_H
#define BR_HTTP_HTTP_HEAD_H

#include "base/error.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* A header field.  Both parts are views into the head's bytes. */
typedef struct
{
  br_str_t name;
  br_str_t value;
} br_http_header_t;

BR_VEC (br_http_headers, br_http_header_t);

typedef struct
{
  br_buf_t bytes;            /* owned: the head as received */
  br_http_headers_t headers; /* owned */
  br_str_t method;           /* of a request */
  br_str_t target;           /* of a request: path and query */
  int status;                /* of a response */
  bool keep_alive;           /* the connection may carry another message */
  bool chunked;
  int64_t content_length; /* in bytes; -1 when the head has none */
} br_http_head_t;

/* Replaces *COPY by a copy of HEAD, whose bytes may live in a connection. */
void br_http_head_copy (br_http_head_t *copy, const br_http_head_t *head);

void br_http_head_release (br_http_head_t *head);

/* Returns the value of the first field NAME (case-insensitive), or an empty
 * view. */
br_str_t br_http_head_find (const br_http_head_t *head, const char *name);
bool br_http_name_is (br_str_t name, const char *expected);

/* Returns what ends the body of the response: "length", "chunks" or "close". */
const char *br_http_head_framing_name (const br_http_head_t *head);

/* Returns whether NAME is a hop-by-hop field: a standard one, or one that the
 * Connection field of HEAD names. */
bool br_http_head_is_hop_by_hop (const br_http_head_t *head, br_str_t name);

/* Checks the raw bytes of a head for faults that a lenient parser accepts: bare
 * line feeds, control characters, folded lines, white space around a field
 * name, and repeated fields that may occur only once.  *ERR describes the
 * fault. */
bool br_http_head_is_strict (br_str_t bytes, br_error_t *err);

/* Checks the raw bytes of a response's head: its first line must state a status
 * of three digits from 100 to 599 (RFC 9110, section 15).  101 is refused, as
 * no request asks for another protocol. */
bool br_http_head_has_status (br_str_t bytes, br_error_t *err);

BR_END_DECLS

#endif
