/* HTTP/1.1 server.  Passes complete requests to its owner and sends answers
 * whole or in pieces; each connection has one request at a time. */
#ifndef BR_HTTP_HTTP_SERVER_H
#define BR_HTTP_HTTP_SERVER_H

#include <event2/event.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "http/held_bytes.h"
#include "http/http_head.h"

BR_BEGIN_DECLS

typedef struct br_http_server br_http_server_t;
typedef struct br_http_conn br_http_conn_t;

/* Bounds on what a caller may send and how long it may take. */
typedef struct
{
  size_t head_max_bytes;
  size_t body_max_bytes;
  br_ms_t request_ms; /* from the first byte of a request to its body */
  br_ms_t idle_ms;    /* without a request */
} br_http_limits_t;

/* The event counts of a server, for its metrics. */
typedef struct
{
  uint64_t accepted;
  uint64_t bad_requests; /* invalid, too slow or over a limit */
  uint64_t slow_readers; /* disconnected for not reading their answer */
} br_http_server_stats_t;

typedef struct
{
  struct event_base *base; /* not owned */
  const struct sockaddr *address;
  int address_len;
  br_http_limits_t limits;

  /* What the connections hold; owned by the caller. */
  br_held_account_t *account;

  /* Called with the head of a request before its body is read, unless the body
   * came with it; may be NULL.  Returns false if on_request() will refuse the
   * request whatever its body is; it is then called at once, and must refuse.
   * The connection is closed after that answer. */
  bool (*on_head) (void *context, br_http_conn_t *conn);

  /* Called with a complete request, which may be answered now or later. */
  void (*on_request) (void *context, br_http_conn_t *conn);

  /* Called when the connection ends before the answer is complete.  CONN must
   * not be used afterwards. */
  void (*on_disconnect) (void *context, br_http_conn_t *conn);

  /* Called when all pieces of an answer so far were sent; may be NULL. */
  void (*on_drained) (void *context, br_http_conn_t *conn);
  void *context;
} br_http_server_options_t;

/* Returns NULL and sets *ERR when it cannot listen on the address. */
br_http_server_t *br_http_server_new (const br_http_server_options_t *options,
                                      br_error_t *err);
void br_http_server_free (br_http_server_t *server);
void br_http_server_set_limits (br_http_server_t *server,
                                const br_http_limits_t *limits);

/* Sends "Connection: close" with all further answers. */
void br_http_server_close_after_answers (br_http_server_t *server);

/* Stops accepting connections; existing ones continue. */
void br_http_server_stop_listening (br_http_server_t *server);

/* Stops accepting connections, and closes those without a request. */
void br_http_server_stop (br_http_server_t *server);
size_t br_http_server_connections (const br_http_server_t *server);
const br_http_server_stats_t *
br_http_server_stats (const br_http_server_t *server);

/* --- one connection --- */

const br_http_head_t *br_http_conn_head (const br_http_conn_t *conn);
br_str_t br_http_conn_body (const br_http_conn_t *conn);

/* Returns whether on_head() refused the request, whose body was not read. */
bool br_http_conn_is_refused (const br_http_conn_t *conn);

/* Returns the number of answer bytes that wait to be sent. */
size_t br_http_conn_unsent (const br_http_conn_t *conn);

/* Return when the first byte of the request was read and when the request was
 * complete. */
br_ms_t br_http_conn_began_ms (const br_http_conn_t *conn);
br_ms_t br_http_conn_read_ms (const br_http_conn_t *conn);

/* The owner's data for the current request; NULL for each new request. */
void br_http_conn_set_user (br_http_conn_t *conn, void *user);
void *br_http_conn_user (const br_http_conn_t *conn);

/* The head of an answer; HEADERS are copied.  The server adds Content-Length,
 * Transfer-Encoding and Connection. */
typedef struct
{
  int status;
  const br_http_header_t *headers;
  size_t n_headers;
} br_http_answer_t;

/* Sends a complete answer. */
void br_http_conn_answer (br_http_conn_t *conn,
                          const br_http_answer_t *answer,
                          br_str_t body);

/* Send an answer of unknown length: its head, its pieces and its end. */
void br_http_conn_begin (br_http_conn_t *conn, const br_http_answer_t *answer);
bool br_http_conn_has_begun (const br_http_conn_t *conn);
void br_http_conn_write (br_http_conn_t *conn, br_str_t piece);
void br_http_conn_end (br_http_conn_t *conn);

/* Closes the connection without the end of the answer, so that the caller sees
 * that it is incomplete. */
void br_http_conn_abort (br_http_conn_t *conn);

BR_END_DECLS

#endif
