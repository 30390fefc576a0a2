/* The site's time of day: the median of several VMs' clocks, which a jump of a
 * single clock hardly changes. */
#ifndef BR_SITE_SITE_CLOCK_H
#define BR_SITE_SITE_CLOCK_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* A VM's time of day as an offset from this VM's monotonic clock. */
typedef struct
{
  br_name_t vm;
  br_ms_t offset_ms;
  br_ms_t last_seen_ms;
} br_clock_sample_t;

BR_VEC (br_clock_samples, br_clock_sample_t);

/* An all-zero value has no samples. */
typedef struct
{
  br_clock_samples_t samples;
  br_ms_t offset_ms; /* in force */
  bool known;
} br_site_clock_t;

/* Adds a sample: VM's time of day was WALL_MS at NOW. */
void br_site_clock_add_sample (br_site_clock_t *clock,
                               const br_name_t *vm,
                               br_ms_t wall_ms,
                               br_ms_t now);

/* Sets the site's time to WALL_MS, which another VM has computed. */
void br_site_clock_set (br_site_clock_t *clock, br_ms_t wall_ms, br_ms_t now);

/* Updates the offset to the median of the recent samples. */
void br_site_clock_update (br_site_clock_t *clock, br_ms_t now);

/* Returns the site's time in milliseconds since the start of 1970; this VM's
 * own time of day while the site's is not known. */
br_ms_t br_site_clock_wall (const br_site_clock_t *clock, br_ms_t now);
void br_site_clock_release (br_site_clock_t *clock);

BR_END_DECLS

#endif
