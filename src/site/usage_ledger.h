/* The last usage report of each entry VM; their sum is the usage of the site.
 * The last report of an entry VM is kept after the VM has ended. */
#ifndef BR_SITE_USAGE_LEDGER_H
#define BR_SITE_USAGE_LEDGER_H

#include "site/usage.h"

BR_BEGIN_DECLS

/* An entry VM that is in touch with the control VMs has reported to a new one,
 * or to one that is back, after this long. */
#define BR_LEDGER_SETTLE_MS 3000

/* One run of an entry VM. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  br_usage_t usage;     /* owned */
  br_ms_t site_wall_ms; /* site's time at the VM in its last report */
  br_ms_t last_seen_ms;
} br_ledger_entry_t;

BR_VEC (br_ledger_entries, br_ledger_entry_t);

/* An all-zero value is empty. */
typedef struct
{
  br_ledger_entries_t entries;
  br_ms_t since_ms;    /* reports have come without a long gap since then */
  br_ms_t received_ms; /* when the last one came */
} br_usage_ledger_t;

/* Records that a run of VM has reported.  Returns its row, and adds it when
 * there is none. */
br_ledger_entry_t *br_usage_ledger_receive (br_usage_ledger_t *ledger,
                                            const br_name_t *vm,
                                            uint64_t incarnation,
                                            br_ms_t now);

/* Sets SUM to the sum of WINDOW over all rows; the caller frees it. */
void br_usage_ledger_sum (const br_usage_ledger_t *ledger,
                          uint64_t window,
                          br_usage_entries_t *sum);

/* Returns whether every run that was seen in the last AWAITED_MS, and that no
 * newer run of its VM replaced, has reported its usage up to SITE_WALL_MS.
 * Returns false while there may be entry VMs that the ledger does not know:
 * after a start, or after a time in which no report reached this VM. */
bool br_usage_ledger_is_complete (const br_usage_ledger_t *ledger,
                                  br_ms_t now,
                                  br_ms_t awaited_ms,
                                  br_ms_t site_wall_ms);

/* Drops runs that were not seen since SEEN_SINCE_MS. */
void br_usage_ledger_trim (br_usage_ledger_t *ledger, br_ms_t seen_since_ms);
void br_usage_ledger_release (br_usage_ledger_t *ledger);

BR_END_DECLS

#endif
