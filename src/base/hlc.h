/* Hybrid logical clock: a wall time that never goes backwards and orders the
 * receipt of a message after its sending. */
#ifndef BR_BASE_HLC_H
#define BR_BASE_HLC_H

#include <stdint.h>

#include "base/clock.h"

BR_BEGIN_DECLS

typedef struct
{
  br_ms_t wall_ms;
  uint32_t count;
} br_hlc_t;

/* Advances HLC for a local event at WALL_MS and returns the new value. */
br_hlc_t br_hlc_tick (br_hlc_t *hlc, br_ms_t wall_ms);

/* Advances HLC past REMOTE, the clock in a received message, and returns the
 * new value. */
br_hlc_t br_hlc_receive (br_hlc_t *hlc, br_hlc_t remote, br_ms_t wall_ms);

/* Returns a negative number, 0 or a positive number when A is before, equal to
 * or after B. */
int br_hlc_compare (br_hlc_t a, br_hlc_t b);

BR_END_DECLS

#endif
