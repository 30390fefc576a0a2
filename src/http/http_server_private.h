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

struct br_http_conn
{
  br_http_server_t *server;
  struct bufferevent *bev;
  br_http_reader_t *reader;
  br_http_conn_state_t state;
  br_http_head_t head;
  br_buf_t body;
  br_ms_t began_ms;
  br_ms_t read_ms;
  br_ms_t since_ms; /* when STATE was set */
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
  bool close_after_answers;
  bool stopped;
  br_http_server_stats_t stats;
};

/* Returns the monotonic time in milliseconds. */
br_ms_t br_http_now (void);

void br_http_conn_set_state (br_http_conn_t *conn, br_http_conn_state_t state);

BR_END_DECLS

#endif
