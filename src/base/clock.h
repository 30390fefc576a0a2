/* Clocks in milliseconds: the system's monotonic clock, or a manual one for
 * scripted runs. */
#ifndef BR_BASE_CLOCK_H
#define BR_BASE_CLOCK_H

#include <stdint.h>

#include "base/macros.h"

BR_BEGIN_DECLS

/* A point in time or a duration, in milliseconds. */
typedef int64_t br_ms_t;

/* A deadline that is never reached. */
#define BR_MS_NEVER INT64_MAX

typedef enum
{
  BR_CLOCK_MONOTONIC,
  BR_CLOCK_MANUAL,
} br_clock_kind_t;

/* A source of time.  A manual clock changes only when MANUAL_MS is set. */
typedef struct
{
  br_clock_kind_t kind;
  br_ms_t manual_ms;
} br_clock_t;

/* Returns the time of CLOCK; only differences are meaningful. */
br_ms_t br_clock_now (const br_clock_t *clock);

/* Returns the processor time that this thread has used. */
br_ms_t br_clock_cpu (void);

/* Returns the wall-clock time in milliseconds since the Unix epoch. */
br_ms_t br_clock_wall (void);

BR_END_DECLS

#endif
