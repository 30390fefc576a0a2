/* Requests that began to run, by accounting window and organisation.  Windows
 * are counted from the start of 1970 in the site's own time. */
#ifndef BR_SITE_USAGE_H
#define BR_SITE_USAGE_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Windows that are kept: enough for a report that was delayed for some. */
#define BR_USAGE_WINDOWS 6

typedef struct
{
  br_name_t organisation;
  uint64_t requests;
} br_usage_entry_t;

BR_VEC (br_usage_entries, br_usage_entry_t);

typedef struct
{
  uint64_t number;
  br_usage_entries_t entries;
  bool changed; /* since br_usage_mark_reported() */
} br_usage_window_t;

/* An all-zero value has counted nothing. */
typedef struct
{
  br_usage_window_t windows[BR_USAGE_WINDOWS];
} br_usage_t;

/* Number of the window in which WALL_MS lies. */
uint64_t br_usage_window_of (br_ms_t wall_ms, br_ms_t window_ms);

/* REQUESTS may be below 0: what was counted and did not run. */
void br_usage_add (br_usage_t *usage,
                   uint64_t window,
                   br_str_t organisation,
                   int64_t requests);

/* Forgets what was counted in WINDOW. */
void br_usage_clear (br_usage_t *usage, uint64_t window);

/* Returns NULL when nothing was counted in WINDOW. */
const br_usage_window_t *br_usage_find (const br_usage_t *usage,
                                        uint64_t window);

/* Whether anything was counted since the last br_usage_mark_reported(). */
bool br_usage_changed (const br_usage_t *usage);

/* The counts of all windows have been sent. */
void br_usage_mark_reported (br_usage_t *usage);
void br_usage_release (br_usage_t *usage);

BR_END_DECLS

#endif
