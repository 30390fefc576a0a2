/* Makes short HTTP calls, each on its own connection: probes of upstreams and
 * calls of the platform's API. */
#ifndef BR_SHELL_HTTP_CALL_H
#define BR_SHELL_HTTP_CALL_H

#include <event2/http.h>

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Longest body of an answer, in bytes.  A longer answer fails. */
#define BR_HTTP_CALL_BODY_MAX (8 * 1024 * 1024)

/* Status of a call whose answer has an invalid head: the peer runs, and may
 * have carried out the call. */
#define BR_HTTP_CALL_INVALID (-1)

/* STATUS is 0 when no whole answer came in time, or BR_HTTP_CALL_INVALID.  BODY
 * is valid during the callback. */
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
  br_ms_t timeout_ms; /* timeout of the whole call */
  br_http_call_cb_t done;
  void *context;
} br_http_call_options_t;

/* The calls of one task that have not ended. */
typedef struct br_http_calls br_http_calls_t;

br_http_calls_t *br_http_calls_new (struct event_base *base);

/* Cancels all calls without running their callbacks. */
void br_http_calls_free (br_http_calls_t *calls);

/* Starts a call.  DONE is called once, after this function has returned. */
void br_http_call (br_http_calls_t *calls,
                   const br_http_call_options_t *options);

BR_END_DECLS

#endif
