/* Counts requests that began to run, by accounting window and organisation.
 * Windows are numbered from the start of 1970 in the site's time. */
#ifndef BR_SITE_USAGE_H
#define BR_SITE_USAGE_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Windows that are kept: enough for a report that is delayed by several
 * windows. */
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

/* An all-zero value holds no counts. */
typedef struct
{
  br_usage_window_t windows[BR_USAGE_WINDOWS];
} br_usage_t;

/* Returns the number of the window that contains WALL_MS. */
uint64_t br_usage_window_of (br_ms_t wall_ms, br_ms_t window_ms);

/* Adds REQUESTS, which is below 0 to take back requests that were counted but
 * did not run. */
void br_usage_add (br_usage_t *usage,
                   uint64_t window,
                   br_str_t organisation,
                   int64_t requests);

/* Clears the counts of WINDOW. */
void br_usage_clear (br_usage_t *usage, uint64_t window);

/* Returns NULL when nothing was counted in WINDOW. */
const br_usage_window_t *br_usage_find (const br_usage_t *usage,
                                        uint64_t window);

/* Returns how often an entry VM sends changed counts to all control VMs, and
 * not to the leader alone, while there are ENTRIES entry VMs.  The messages
 * that a control VM receives for that are bounded. */
br_ms_t br_usage_spread_ms (uint32_t entries);

/* Returns whether a count changed since the last br_usage_mark_reported(). */
bool br_usage_changed (const br_usage_t *usage);

/* Records that the counts of all windows were sent. */
void br_usage_mark_reported (br_usage_t *usage);
void br_usage_release (br_usage_t *usage);

BR_END_DECLS

#endif
