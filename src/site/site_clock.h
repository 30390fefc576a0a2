/* The site's own time of day: the median of what several VMs' clocks say, so
 * that one that jumps changes nothing. */
#ifndef BR_SITE_SITE_CLOCK_H
#define BR_SITE_SITE_CLOCK_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* A VM's word on the time of day, as an offset from this VM's steady clock. */
typedef struct
{
  br_name_t vm;
  br_ms_t offset_ms;
  br_ms_t last_seen_ms;
} br_clock_sample_t;

BR_VEC (br_clock_samples, br_clock_sample_t);

/* An all-zero value has heard nothing. */
typedef struct
{
  br_clock_samples_t samples;
  br_ms_t offset_ms; /* in force */
  bool known;
} br_site_clock_t;

/* VM said at NOW that the time of day is WALL_MS. */
void br_site_clock_add_sample (br_site_clock_t *clock,
                               const br_name_t *vm,
                               br_ms_t wall_ms,
                               br_ms_t now);

/* Takes the time from one VM that has worked it out already. */
void br_site_clock_set (br_site_clock_t *clock, br_ms_t wall_ms, br_ms_t now);

/* Works out the median of what was heard lately. */
void br_site_clock_update (br_site_clock_t *clock, br_ms_t now);

/* Milliseconds since the start of 1970. */
br_ms_t br_site_clock_wall (const br_site_clock_t *clock, br_ms_t now);
void br_site_clock_release (br_site_clock_t *clock);

BR_END_DECLS

#endif
