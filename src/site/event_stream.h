/* A stream of server-sent events on its way to the caller: only whole events
 * are passed on, and the id of the last one is known, so that another upstream
 * can go on behind it. */
#ifndef BR_SITE_EVENT_STREAM_H
#define BR_SITE_EVENT_STREAM_H

#include "base/str.h"

BR_BEGIN_DECLS

/* An all-zero value has passed nothing. */
typedef struct
{
  br_buf_t pending; /* the start of an event */
  br_buf_t given;   /* what the last call returned */
  br_buf_t last_id; /* of the last whole event */
  uint64_t passed;  /* whole events */
} br_event_stream_t;

/* Takes BYTES and returns the events that are whole now, with all their bytes;
 * valid until the next call. */
br_str_t br_event_stream_take (br_event_stream_t *stream, br_str_t bytes);

/* The stream has ended: returns what was left of it. */
br_str_t br_event_stream_rest (br_event_stream_t *stream);

/* The upstream broke off: forgets the part of an event. */
void br_event_stream_cut (br_event_stream_t *stream);

/* Returns the id of the last whole event; empty before the first. */
br_str_t br_event_stream_last (const br_event_stream_t *stream);
void br_event_stream_release (br_event_stream_t *stream);

BR_END_DECLS

#endif
