/* Whether upstreams of an undeclared version replace those of allowed ones one
 * after the other, outside of a rollout: all together are then no more than the
 * allowed ones were.  In a rollout the total doubles. */
#ifndef BR_ROLLOUT_REPLACEMENT_H
#define BR_ROLLOUT_REPLACEMENT_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"

BR_BEGIN_DECLS

/* Time over which the number of allowed upstreams counts, in seconds. */
#define BR_REPLACEMENT_SPAN_S 60

/* The most serving upstreams of allowed versions in each second.  An all-zero
 * value knows none. */
typedef struct
{
  size_t most[BR_REPLACEMENT_SPAN_S];
  br_ms_t second; /* of the newest entry, since the clock's start */
} br_replacement_t;

/* Notes that ALLOWED upstreams of allowed versions serve now. */
void br_replacement_note (br_replacement_t *replacement,
                          size_t allowed,
                          br_ms_t now);

/* Notes what a new leader sees first.  It knows no earlier list, so the LEAVING
 * upstreams of allowed versions, which drain for a few seconds at most, count
 * as serving until now. */
void br_replacement_begin (br_replacement_t *replacement,
                           size_t allowed,
                           size_t leaving,
                           br_ms_t now);

/* Returns whether a version with UNDECLARED serving upstreams may be allowed.
 */
bool br_replacement_admits (const br_replacement_t *replacement,
                            size_t allowed,
                            size_t undeclared);

BR_END_DECLS

#endif
