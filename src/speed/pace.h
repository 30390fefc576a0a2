/* The pace of an upstream: how long work takes there at this moment, as its
 * answers state it.  Does no input or output. */
#ifndef BR_SPEED_PACE_H
#define BR_SPEED_PACE_H

#include <stdbool.h>

#include "base/clock.h"

BR_BEGIN_DECLS

/* Bounds of a pace, in percent.  Figures outside are errors. */
#define BR_PACE_MIN 10
#define BR_PACE_MAX 10000
#define BR_PACE_USUAL 100

/* Time in which a pace falls back to the usual one, in milliseconds: the length
 * of the spells in which upstreams are slow. */
#define BR_PACE_LIFE_MS 600

/* An all-zero value is not known. */
typedef struct
{
  uint32_t percent; /* of the usual time; 0: not known */
  br_ms_t said_ms;  /* time of the answer that said so */
} br_pace_t;

/* Takes a pace if it is not older; returns whether it is.  Values out of bounds
 * are ignored. */
bool br_pace_receive (br_pace_t *pace, uint32_t percent, br_ms_t said_ms);

/* Returns whether the pace is young enough to count. */
bool br_pace_is_fresh (const br_pace_t *pace, br_ms_t now);

/* Returns whether the upstream states that it is much slower than usual. */
bool br_pace_is_slow (const br_pace_t *pace, br_ms_t now);

/* Returns the expected time of work that usually takes WORK_MS; exactly WORK_MS
 * when no pace is known. */
double br_pace_expected_ms (const br_pace_t *pace, double work_ms, br_ms_t now);

/* Returns the factor by which the newest answer says that work takes longer; 1
 * when none is known. */
double br_pace_factor (const br_pace_t *pace, br_ms_t now);

BR_END_DECLS

#endif
