/* Splits a stream of server-sent events into the data of complete events. */
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

/* Sets *DATA to the data of the next complete event that has data; valid until
 * the next call.  Returns false when there is no such event. */
bool br_sse_next (br_sse_t *sse, br_str_t *data);
void br_sse_free (br_sse_t *sse);

BR_END_DECLS

#endif
