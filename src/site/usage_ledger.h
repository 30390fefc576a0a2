/* What each entry VM has counted, as last told: the sums make the usage of a
 * site.  An entry VM that has ended keeps its last word. */
#ifndef BR_SITE_USAGE_LEDGER_H
#define BR_SITE_USAGE_LEDGER_H

#include "site/usage.h"

BR_BEGIN_DECLS

/* One run of an entry VM. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  br_usage_t usage;     /* owned */
  br_ms_t site_wall_ms; /* the site's time there when it told last */
  br_ms_t last_seen_ms;
} br_ledger_entry_t;

BR_VEC (br_ledger_entries, br_ledger_entry_t);

/* An all-zero value is empty. */
typedef struct
{
  br_ledger_entries_t entries;
} br_usage_ledger_t;

/* Returns the row of a run of VM, which is made when it is not known. */
br_ledger_entry_t *br_usage_ledger_row (br_usage_ledger_t *ledger,
                                        const br_name_t *vm,
                                        uint64_t incarnation);

/* Adds up WINDOW over all rows into SUM, which the caller frees. */
void br_usage_ledger_sum (const br_usage_ledger_t *ledger,
                          uint64_t window,
                          br_usage_entries_t *sum);

/* Whether every run that was heard of since SEEN_SINCE_MS has told of the
 * time up to SITE_WALL_MS. */
bool br_usage_ledger_is_complete (const br_usage_ledger_t *ledger,
                                  br_ms_t seen_since_ms,
                                  br_ms_t site_wall_ms);

/* Drops runs that were not heard of since SEEN_SINCE_MS. */
void br_usage_ledger_trim (br_usage_ledger_t *ledger, br_ms_t seen_since_ms);
void br_usage_ledger_release (br_usage_ledger_t *ledger);

BR_END_DECLS

#endif
