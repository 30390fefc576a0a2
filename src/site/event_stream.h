/* Splits a stream of server-sent events into whole events, which are passed on
 * to the caller, and keeps the id of the last one, from which another upstream
 * can resume the stream. */
#ifndef BR_SITE_EVENT_STREAM_H
#define BR_SITE_EVENT_STREAM_H

#include "base/str.h"

BR_BEGIN_DECLS

/* An all-zero value has passed nothing. */
typedef struct
{
  br_buf_t pending; /* the start of an incomplete event */
  br_buf_t output;  /* the result of the last call */
  br_buf_t last_id; /* of the last whole event */
  uint64_t passed;  /* number of whole events passed on */
} br_event_stream_t;

/* Takes BYTES and returns the bytes of all events that are complete now; valid
 * until the next call. */
br_str_t br_event_stream_take (br_event_stream_t *stream, br_str_t bytes);

/* Returns whether the bytes so far end inside an event: a stream that ends
 * there was broken off. */
bool br_event_stream_is_inside_event (const br_event_stream_t *stream);

/* Discards an incomplete event after the upstream's connection broke. */
void br_event_stream_discard (br_event_stream_t *stream);

/* Returns the id of the last whole event; empty before the first. */
br_str_t br_event_stream_last (const br_event_stream_t *stream);
void br_event_stream_release (br_event_stream_t *stream);

BR_END_DECLS

#endif
