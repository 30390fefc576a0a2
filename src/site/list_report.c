#include "site/list_report.h"

#define PERIOD_MS 60000
#define PERIOD_LINES_MAX 20

bool
br_list_reports_take (br_list_reports_t *reports,
                      br_str_t id,
                      br_str_t why,
                      br_ms_t now)
{
  uint64_t fault = br_str_hash (why, br_str_hash (id, 0));
  size_t n = BR_MIN (reports->n_logged, (size_t)BR_LIST_REPORTS_MAX);

  if (now - reports->minute_ms >= PERIOD_MS)
    {
      reports->minute_ms = now;
      reports->n_in_minute = 0;
    }
  for (size_t i = 0; i < n; i++)
    if (reports->logged[i].fault == fault
        && now - reports->logged[i].logged_ms < PERIOD_MS)
      return false;
  if (reports->n_in_minute == PERIOD_LINES_MAX)
    return false;
  reports->n_in_minute++;
  reports->logged[reports->n_logged++ % BR_LIST_REPORTS_MAX]
      = (br_list_report_t){ fault, now };
  return true;
}
