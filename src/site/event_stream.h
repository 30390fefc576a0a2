/* Splits a stream of server-sent events into whole events, which are passed on
 * to the caller, and keeps the id of the last one, from which another upstream
 * can resume the stream.  Bytes that are not the stream's next events are not
 * passed on. */
#ifndef BR_SITE_EVENT_STREAM_H
#define BR_SITE_EVENT_STREAM_H

#include "base/str.h"

BR_BEGIN_DECLS

/* Longest event that is passed on, in bytes. */
#define BR_EVENT_MAX (256 * 1024)

/* X (id, name) */
#define BR_EVENT_FAULT_TABLE(X)                                                \
  X (NONE, "none")                                                             \
  X (FIELD, "not_an_event")     /* a line is no field of an event */           \
  X (ORDER, "event_order")      /* an id does not rise */                      \
  X (MISSING, "event_missing")  /* the resume leaves out events */             \
  X (NO_ID, "event_without_id") /* the resume cannot be placed */              \
  X (LONG, "event_too_long")    /* over BR_EVENT_MAX bytes */

typedef enum
{
#define X(id, name) BR_EVENT_FAULT_##id,
  BR_EVENT_FAULT_TABLE (X)
#undef X
} br_event_fault_t;

const char *br_event_fault_name (br_event_fault_t fault);

/* An all-zero value has passed nothing. */
typedef struct
{
  br_str_t extra_field; /* that events may have besides the standard ones; not
                           copied */
  br_buf_t pending;     /* the start of an incomplete event */
  br_buf_t output;      /* the result of the last call */
  br_buf_t last_id;     /* of the last whole event */
  uint64_t passed;      /* number of whole events passed on */
  uint64_t step;        /* between ids, if all steps were equal */
  size_t n_steps;       /* equal steps so far */
  bool steps_differ;
  bool resumed;    /* the next id continues another upstream's events */
  bool has_event;  /* the current upstream has sent more than comments */
  bool unnumbered; /* an event without an id followed the last id */
  br_event_fault_t fault;
} br_event_stream_t;

/* Returns whether an answer of this Content-Type, which may be empty, can be a
 * stream of events. */
bool br_event_stream_is_type (br_str_t content_type);

/* Begins after the event ID, which the caller already has. */
void br_event_stream_begin_after (br_event_stream_t *stream, br_str_t id);

/* Takes BYTES and returns the bytes of all events that are complete now; valid
 * until the next call.  The first event that is not the stream's next one sets
 * the fault: it is not returned, nor is anything after it. */
br_str_t br_event_stream_take (br_event_stream_t *stream, br_str_t bytes);

/* Returns why no more bytes of the current upstream are passed on. */
br_event_fault_t br_event_stream_fault (const br_event_stream_t *stream);

/* Returns whether the bytes so far end inside an event: a stream that ends
 * there was broken off. */
bool br_event_stream_is_inside_event (const br_event_stream_t *stream);

/* Returns whether the current upstream has sent an event. */
bool br_event_stream_has_event (const br_event_stream_t *stream);

/* Returns whether another upstream can resume after the last event. */
bool br_event_stream_can_resume (const br_event_stream_t *stream);

/* Ends the current upstream's part: discards an incomplete event and the
 * fault.  The next bytes are another upstream's. */
void br_event_stream_discard (br_event_stream_t *stream);

/* Returns the id of the last whole event; empty before the first. */
br_str_t br_event_stream_last (const br_event_stream_t *stream);
void br_event_stream_release (br_event_stream_t *stream);

BR_END_DECLS

#endif
