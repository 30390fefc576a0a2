/* Decides which faults of the platform's list are logged.  A list is read twice
 * a second, and a fault usually stands in many lists. */
#ifndef BR_SITE_LIST_REPORT_H
#define BR_SITE_LIST_REPORT_H

#include "base/clock.h"
#include "base/str.h"

BR_BEGIN_DECLS

#define BR_LIST_REPORTS_MAX 64

typedef struct
{
  uint64_t fault; /* hash */
  br_ms_t logged_ms;
} br_list_report_t;

/* An all-zero value has logged nothing. */
typedef struct
{
  br_list_report_t logged[BR_LIST_REPORTS_MAX]; /* the newest ones */
  size_t n_logged;                              /* so far */
  br_ms_t minute_ms;                            /* start of this minute */
  int n_in_minute;
} br_list_reports_t;

/* Returns whether the fault WHY of the entry ID is logged now: each is once a
 * minute, and 20 of them at most.  ID is empty for the whole list. */
bool br_list_reports_take (br_list_reports_t *reports,
                           br_str_t id,
                           br_str_t why,
                           br_ms_t now);

BR_END_DECLS

#endif
