/* A client connection to an upstream, for one request at a time. */
#ifndef BR_HTTP_HTTP_CLIENT_H
#define BR_HTTP_HTTP_CLIENT_H

#include <event2/event.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "http/http_head.h"

BR_BEGIN_DECLS

typedef struct br_http_client br_http_client_t;

typedef enum
{
  BR_CLIENT_CONNECTED, /* the new connection has no request yet */
  BR_CLIENT_HEAD,      /* a response head was received */
  BR_CLIENT_BODY,      /* the next bytes of its body */
  BR_CLIENT_END,       /* the response is complete */
  BR_CLIENT_FAILED,    /* the response failed; free the connection */
  BR_CLIENT_LOST,      /* the idle connection cannot be reused; free it */
} br_client_event_kind_t;

/* X (id, name) */
#define BR_CLIENT_FAULT_TABLE(X)                                               \
  X (CONNECT, "connect_failed") /* no byte of the request left this VM */      \
  X (CLOSED, "closed")          /* orderly, before the response ended */       \
  X (RESET, "reset")                                                           \
  X (UNPROVED, "close_unproved") /* closed; whether in order is not known */   \
  X (GARBLED, "garbled")         /* not a valid HTTP response */

typedef enum
{
#define X(id, name) BR_CLIENT_FAULT_##id,
  BR_CLIENT_FAULT_TABLE (X)
#undef X
} br_client_fault_t;

const char *br_client_fault_name (br_client_fault_t fault);

typedef struct
{
  br_client_event_kind_t kind;
  union
  {
    const br_http_head_t *head; /* of BR_CLIENT_HEAD */
    br_str_t body;              /* of BR_CLIENT_BODY; a view */
    bool reusable;              /* of BR_CLIENT_END */
    br_client_fault_t fault;    /* of BR_CLIENT_FAILED */
  };
} br_client_event_t;

typedef void (*br_client_fn) (void *context,
                              br_http_client_t *client,
                              const br_client_event_t *event);

/* Starts to connect.  ADDRESS is copied. */
br_http_client_t *br_http_client_new (struct event_base *base,
                                      const struct sockaddr *address,
                                      int address_len);

/* May be called from the client's own callback. */
void br_http_client_free (br_http_client_t *client);

/* Sets the callback for all further events, and its CONTEXT. */
void br_http_client_set_owner (br_http_client_t *client,
                               br_client_fn on_event,
                               void *context);

/* Sends REQUEST, head and body; no other request may be in progress. */
void br_http_client_send (br_http_client_t *client, br_str_t request);

/* Discards the rest of the response whose head was just reported, which is a
 * late response to another request, and continues with the next response.  The
 * connection is not reusable after that: its upstream may send more such
 * responses. */
void br_http_client_skip (br_http_client_t *client);

/* Stops reading the response, or goes on reading it.  Its upstream can send no
 * more than the buffers of the connection hold meanwhile. */
void br_http_client_pause (br_http_client_t *client, bool paused);

/* Returns whether the response whose head was reported last is the first one on
 * the connection.  Interim responses are not counted. */
bool br_http_client_is_first_response (const br_http_client_t *client);

/* Returns whether the close of the connection ended the last response, which
 * had neither a length nor chunks. */
bool br_http_client_ended_by_close (const br_http_client_t *client);

/* Returns whether a byte of the request may have left this VM.  This can be
 * true before the event of the established connection was handled. */
bool br_http_client_has_sent (const br_http_client_t *client);
bool br_http_client_is_connected (const br_http_client_t *client);

/* What the log says of the response in progress, or of the last one. */
typedef struct
{
  uint64_t received; /* bytes of its body */
  size_t unacked;    /* bytes of the request that the upstream has not
                      * acknowledged */
  const char *fault; /* why it is not valid HTTP, or empty; a view */
} br_client_progress_t;

br_client_progress_t br_http_client_progress (const br_http_client_t *client);

/* Return when the last response ended, and for how long the upstream announced
 * to keep the idle connection open; 0 if it announced nothing. */
br_ms_t br_http_client_idle_since (const br_http_client_t *client);
br_ms_t br_http_client_keep_alive_ms (const br_http_client_t *client);

BR_END_DECLS

#endif
