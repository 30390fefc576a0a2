/* Histograms of durations, for the metrics. */
#ifndef BR_BASE_HISTOGRAM_H
#define BR_BASE_HISTOGRAM_H

#include "base/clock.h"
#include "base/str.h"

BR_BEGIN_DECLS

/* Upper bounds of the buckets in milliseconds; the last bucket has none. */
#define BR_HISTOGRAM_BOUNDS                                                    \
  5, 10, 20, 50, 100, 200, 350, 500, 750, 1000, 2000, 5000, 15000
#define BR_HISTOGRAM_BUCKETS 14

typedef struct
{
  uint64_t counts[BR_HISTOGRAM_BUCKETS];
  uint64_t sum_ms;
} br_histogram_t;

void br_histogram_add (br_histogram_t *histogram, br_ms_t ms);

/* Appends HISTOGRAM in the text exposition format to OUT. */
void br_histogram_print (const br_histogram_t *histogram,
                         const char *name,
                         const char *help,
                         br_buf_t *out);

BR_END_DECLS

#endif
