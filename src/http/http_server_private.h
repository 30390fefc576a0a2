/* The inside of the callers' HTTP server, which its files share: http_server.c
 * has the connections and what comes in, http_answer.c what goes out. */
#ifndef BR_HTTP_SERVER_PRIVATE_H
#define BR_HTTP_SERVER_PRIVATE_H

#include <event2/bufferevent.h>

#include "http/http_reader.h"
#include "http/http_server.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_HTTP_CONN_IDLE,     /* no byte of a request yet */
  BR_HTTP_CONN_READING,  /* part of a request */
  BR_HTTP_CONN_WAITING,  /* the owner has the request */
  BR_HTTP_CONN_STREAMS,  /* part of the answer was sent */
  BR_HTTP_CONN_LINGERS,  /* the last answer was sent; input is thrown away */
  BR_HTTP_CONN_FLUSHING, /* closed once the output is out */
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
  br_ms_t since_ms; /* of the state */
  bool keep_alive;
  bool chunked; /* of the answer */
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
  bool close_after;
  bool stopped;
  br_http_server_stats_t stats;
};

/* Now, in milliseconds of the monotonic clock. */
br_ms_t br_http_now (void);

void br_http_conn_set_state (br_http_conn_t *conn, br_http_conn_state_t state);

BR_END_DECLS

#endif
