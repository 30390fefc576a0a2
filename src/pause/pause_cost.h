/* The cost of a prompt for the streams that run at the engine which reads it.
 * Load: long prompts among many streams, at engines of uneven speed.  Does no
 * input or output and keeps no state. */
#ifndef BR_PAUSE_PAUSE_COST_H
#define BR_PAUSE_PAUSE_COST_H

#include "base/clock.h"

BR_BEGIN_DECLS

typedef struct
{
  double reading_ms;  /* to read the engine's backlog, the prompt included */
  uint32_t streams;   /* that run there */
  br_ms_t max_gap_ms; /* that callers accept between events; 0: any */
} br_pause_query_t;

/* Returns the cost in milliseconds of the expected time to the first event; 0
 * when no stream pauses for too long. */
double br_pause_cost_ms (const br_pause_query_t *query);

BR_END_DECLS

#endif
