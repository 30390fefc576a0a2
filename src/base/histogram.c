#include "base/histogram.h"

#include <inttypes.h>

static const br_ms_t bounds_ms[] = { BR_HISTOGRAM_BOUNDS };

void
br_histogram_add (br_histogram_t *histogram, br_ms_t ms)
{
  size_t i = 0;

  while (i < BR_N_ELEMENTS (bounds_ms) && ms > bounds_ms[i])
    i++;
  histogram->counts[i]++;
  histogram->sum_ms += (uint64_t)BR_MAX (ms, 0);
}

void
br_histogram_print (const br_histogram_t *histogram,
                    const char *name,
                    const char *help,
                    br_buf_t *out)
{
  uint64_t total = 0;

  br_buf_printf (out, "# HELP briarrack_%s %s\n# TYPE briarrack_%s histogram\n",
                 name, help, name);
  for (size_t i = 0; i < BR_HISTOGRAM_BUCKETS; i++)
    {
      total += histogram->counts[i];
      if (i < BR_N_ELEMENTS (bounds_ms))
        br_buf_printf (out,
                       "briarrack_%s_bucket{le=\"%" PRId64 "\"} %" PRIu64 "\n",
                       name, bounds_ms[i], total);
    }
  br_buf_printf (out,
                 "briarrack_%s_bucket{le=\"+Inf\"} %" PRIu64
                 "\nbriarrack_%s_sum %" PRIu64 "\nbriarrack_%s_count %" PRIu64
                 "\n",
                 name, total, name, histogram->sum_ms, name, total);
}
