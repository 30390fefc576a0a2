/* JSON-line event log of one process; `briarrack timeline` merges several. */
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
} br_log_t;

br_field_t br_field_str (const char *key, br_str_t value);
br_field_t br_field_z (const char *key, const char *value);
br_field_t br_field_int (const char *key, int64_t value);

/* Writes one line: time, VM, incarnation, PART, EVENT and then FIELDS. */
void br_log_event (br_log_t *log,
                   const char *part,
                   const char *event,
                   const br_field_t *fields,
                   size_t n_fields);

/* Writes an event with step, peer, code and text of ERR. */
void br_log_error (br_log_t *log,
                   const char *part,
                   const char *event,
                   const br_error_t *err);

/* br_log_event() with the fields given one by one; at least one. */
#define BR_LOG(log, part, event, ...)                                          \
  br_log_event ((log), (part), (event), (br_field_t[]){ __VA_ARGS__ },         \
                sizeof ((br_field_t[]){ __VA_ARGS__ }) / sizeof (br_field_t))

BR_END_DECLS

#endif
