/* Event log of one process as JSON lines; `briarrack timeline` merges several
 * logs. */
#ifndef BR_BASE_LOG_H
#define BR_BASE_LOG_H

#include <stdint.h>
#include <stdio.h>

#include "base/error.h"
#include "base/hlc.h"
#include "base/str.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_FIELD_STR,
  BR_FIELD_INT,
} br_field_kind_t;

/* One key and value of a log line.  KEY and the bytes of STR must live until
 * br_log_event() returns. */
typedef struct
{
  br_field_kind_t kind;
  const char *key;
  br_str_t str;
  int64_t num;
} br_field_t;

/* A log that writes to STREAM, which it does not own; a NULL STREAM discards
 * everything. */
typedef struct
{
  FILE *stream;
  br_name_t vm;
  uint64_t incarnation;
  br_hlc_t hlc;
  size_t pending_max; /* bytes buffered until br_log_flush(); 0: each line is
                       * written at once */
  br_buf_t pending;   /* owned */
  uint64_t dropped;   /* lines dropped since the last "lines dropped" event */
  uint64_t dropped_total;
} br_log_t;

br_field_t br_field_str (const char *key, br_str_t value);
br_field_t br_field_z (const char *key, const char *value);
br_field_t br_field_int (const char *key, int64_t value);

/* Writes one line with the time, VM, incarnation, PART, EVENT and FIELDS. */
void br_log_event (br_log_t *log,
                   const char *part,
                   const char *event,
                   const br_field_t *fields,
                   size_t n_fields);

/* Buffers up to PENDING_MAX bytes of lines from now on, and makes the stream's
 * file non-blocking.  A line that does not fit into the buffer is dropped and
 * counted. */
void br_log_defer (br_log_t *log, size_t pending_max);

/* Writes as many buffered bytes as the file accepts without blocking. */
void br_log_flush (br_log_t *log);
void br_log_release (br_log_t *log);

/* Writes an event with the step, peer, code and text of ERR. */
void br_log_error (br_log_t *log,
                   const char *part,
                   const char *event,
                   const br_error_t *err);

/* Calls br_log_event() with the fields as arguments, at least one. */
#define BR_LOG(log, part, event, ...)                                          \
  br_log_event ((log), (part), (event), (br_field_t[]){ __VA_ARGS__ },         \
                sizeof ((br_field_t[]){ __VA_ARGS__ }) / sizeof (br_field_t))

BR_END_DECLS

#endif
