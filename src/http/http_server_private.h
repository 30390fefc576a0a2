/* Internal state of the HTTP server, shared by http_server.c (connections and
 * requests) and http_answer.c (answers). */
#ifndef BR_HTTP_SERVER_PRIVATE_H
#define BR_HTTP_SERVER_PRIVATE_H

#include <event2/bufferevent.h>

#include "http/http_reader.h"
#include "http/http_server.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_HTTP_CONN_IDLE,      /* no byte of a request was read */
  BR_HTTP_CONN_READING,   /* a request was read in part */
  BR_HTTP_CONN_WAITING,   /* for the owner to answer the request */
  BR_HTTP_CONN_STREAMING, /* the answer has begun */
  BR_HTTP_CONN_LINGERING, /* the last answer was sent; input is discarded */
  BR_HTTP_CONN_FLUSHING,  /* closed once all output is sent */
} br_http_conn_state_t;

/* A piece of a body.  Pieces of one size are reused by the next body, while a
 * buffer that grows leaves one of each size behind. */
typedef struct br_http_block
{
  struct br_http_block *next;
  size_t len;
  char data[];
} br_http_block_t;

/* A body that is not complete. */
typedef struct
{
  br_http_block_t *first;
  br_http_block_t *last;
  size_t n;
  size_t len; /* bytes of the body in all of them */
} br_http_blocks_t;

struct br_http_conn
{
  br_http_server_t *server;
  struct bufferevent *bev;
  br_http_reader_t *reader;
  br_http_conn_state_t state;
  br_http_head_t head;
  br_http_blocks_t blocks; /* owned: the body as it comes */
  br_buf_t body;           /* once it is complete */
  br_ms_t began_ms;
  br_ms_t read_ms;
  br_ms_t since_ms;  /* when STATE was set */
  br_ms_t body_ms;   /* when the head was complete; 0: not yet */
  uint64_t received; /* bytes of the request behind its head */
  br_held_t held;
  size_t unsent;   /* answer bytes that waited when HELD was set last */
  bool has_sent;   /* the caller has sent at least a byte */
  bool is_refused; /* by its head */
  bool keep_alive;
  bool chunked; /* the answer is sent in chunks */
  void *user;
  br_http_conn_t *prev;
  br_http_conn_t *next;
};

struct br_http_server
{
  br_http_server_options_t options;
  struct evconnlistener *listener;
  struct event *timer;
  br_http_conn_t *conns;
  size_t n_conns;
  size_t n_silent; /* of these have sent nothing */
  bool close_after_answers;
  bool stopped;
  br_http_server_stats_t stats;
};

/* Returns the monotonic time in milliseconds. */
br_ms_t br_http_now (void);

void br_http_conn_set_state (br_http_conn_t *conn, br_http_conn_state_t state);

/* Answers with the error and closes the connection after it. */
void br_http_conn_refuse (br_http_conn_t *conn, const br_error_t *err);

/* Closes the connection, and tells its owner if that has the request. */
void br_http_conn_drop (br_http_conn_t *conn);
void br_http_conn_free (br_http_conn_t *conn);

/* --- http_server_held.c --- */

/* Enters the connection into the account. */
void br_http_conn_join (br_http_conn_t *conn);

/* Updates the account after bytes came, went or were freed. */
void br_http_conn_account (br_http_conn_t *conn);

/* Appends a piece of the body; joins all pieces once it is complete; frees
 * them. */
void br_http_conn_add_body (br_http_conn_t *conn, br_str_t piece);
void br_http_conn_join_body (br_http_conn_t *conn);
void br_http_conn_free_body (br_http_conn_t *conn);

/* Returns whether answers must be read before the next request is. */
bool br_http_conn_must_drain (const br_http_conn_t *conn);

/* Returns false, with *ERR set, if the request comes too slowly. */
bool
br_http_conn_check_pace (br_http_conn_t *conn, br_ms_t now, br_error_t *err);

/* Closes connections until one more is allowed; returns false if none may be
 * closed. */
bool br_http_server_make_room (br_http_server_t *server);

BR_END_DECLS

#endif
