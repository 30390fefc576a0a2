/* The clock type: milliseconds, monotonic or set by hand for scripted runs. */
#ifndef BR_BASE_CLOCK_H
#define BR_BASE_CLOCK_H

#include <stdint.h>

#include "base/macros.h"

BR_BEGIN_DECLS

/* A point in time or a span, in milliseconds. */
typedef int64_t br_ms_t;

/* A time that never comes. */
#define BR_MS_NEVER INT64_MAX

typedef enum
{
  BR_CLOCK_MONOTONIC,
  BR_CLOCK_MANUAL,
} br_clock_kind_t;

/* A source of time.  A manual clock stands still until it is set. */
typedef struct
{
  br_clock_kind_t kind;
  br_ms_t manual_ms;
} br_clock_t;

/* Returns the time of CLOCK; only differences have a meaning. */
br_ms_t br_clock_now (const br_clock_t *clock);

/* Returns the wall-clock time in milliseconds since the Unix epoch. */
br_ms_t br_clock_wall (void);

BR_END_DECLS

#endif
