/* Short HTTP calls, each on a connection of its own: probes of upstreams, and
 * the platform's interface. */
#ifndef BR_SHELL_HTTP_CALL_H
#define BR_SHELL_HTTP_CALL_H

#include <event2/http.h>

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Longest answer that is taken, in bytes. */
#define BR_HTTP_CALL_BODY_MAX (8 * 1024 * 1024)

/* STATUS is 0 when no whole answer came in time; BODY is a view that ends with
 * the callback. */
typedef void (*br_http_call_cb_t) (void *context, int status, br_str_t body);

typedef struct
{
  const char *name;
  const char *value;
} br_http_call_header_t;

typedef struct
{
  const char *address;
  uint16_t port;
  enum evhttp_cmd_type method;
  const char *path;
  const char *vm; /* name of this VM, sent as X-VM; or NULL */
  const br_http_call_header_t *headers; /* copied */
  size_t n_headers;
  br_str_t body;
  br_ms_t bound_ms; /* on the whole call */
  br_http_call_cb_t done;
  void *context;
} br_http_call_options_t;

/* The calls of one task that are under way. */
typedef struct br_http_calls br_http_calls_t;

br_http_calls_t *br_http_calls_new (struct event_base *base);

/* Ends all calls without their callbacks. */
void br_http_calls_free (br_http_calls_t *calls);

/* Starts a call.  DONE is called once, never before this returns. */
void br_http_call (br_http_calls_t *calls,
                   const br_http_call_options_t *options);

BR_END_DECLS

#endif
