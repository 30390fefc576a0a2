/* Splits a stream of server-sent events into the data of complete events.  A
 * stream is trusted only as far as it consists of events: after an error or
 * after text that belongs to no event, what follows may be something else, such
 * as another answer on the same connection. */
#ifndef BR_UPSTREAM_SSE_H
#define BR_UPSTREAM_SSE_H

#include "base/error.h"
#include "base/str.h"

BR_BEGIN_DECLS

/* Longest event accepted, in bytes. */
#define BR_SSE_EVENT_MAX (1024 * 1024)

/* An all-zero value is a reader at the start of a stream. */
typedef struct
{
  br_buf_t pending; /* bytes received, with TAKEN bytes already parsed */
  size_t taken;     /* bytes at the start of PENDING that were parsed */
  br_buf_t data;    /* data of the event returned last */
} br_sse_t;

/* Adds bytes of the stream.  Returns false when more than BR_SSE_EVENT_MAX
 * bytes are pending. */
bool br_sse_feed (br_sse_t *sse, br_str_t bytes);

typedef enum
{
  BR_SSE_MORE,  /* no further complete event is pending */
  BR_SSE_EVENT, /* an event with data */
  BR_SSE_ERROR, /* an event with the name "error" */
  BR_SSE_BAD,   /* a line that is neither a field of an event nor a comment */
} br_sse_result_t;

/* Reads the next complete event.  BR_SSE_EVENT sets *DATA, which is valid until
 * the next call.  After BR_SSE_ERROR and BR_SSE_BAD nothing more may be read.
 */
br_sse_result_t br_sse_next (br_sse_t *sse, br_str_t *data);

/* Returns whether VALUE, a Content-Type, is that of server-sent events. */
bool br_sse_is_content_type (br_str_t value);
void br_sse_free (br_sse_t *sse);

BR_END_DECLS

#endif
