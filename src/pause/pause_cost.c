#include "pause/pause_cost.h"

#include "base/macros.h"

/* Engines read prompts between the tokens of running streams, and an event has
 * several tokens: a backlog pauses all streams for about the time that it takes
 * to read.  More prompts may come meanwhile, so the cost begins at this part of
 * the longest gap and reaches its most at REACHED_PART. */
#define BEGIN_PART 0.4
#define REACHED_PART 1.0

/* Cost of one paused stream, in milliseconds.  Its caller loses as much as by a
 * first event that misses an objective of 500 ms or more; a third of that, as
 * part of the backlog is read before the stream has begun or after its end. */
#define STREAM_MS 180.0

double
br_pause_cost_ms (const br_pause_query_t *query)
{
  double begin_ms = BEGIN_PART * (double)query->max_gap_ms;
  double span_ms = (REACHED_PART - BEGIN_PART) * (double)query->max_gap_ms;
  double part;

  if (query->max_gap_ms <= 0 || query->reading_ms <= begin_ms)
    return 0;
  part = BR_MIN ((query->reading_ms - begin_ms) / span_ms, 1);
  return STREAM_MS * part * query->streams;
}
