/* Estimates the load of one upstream from its last report, which arrives late,
 * and the attempts of this VM that started or ended since it was taken. */
#ifndef BR_ROUTE_ESTIMATE_H
#define BR_ROUTE_ESTIMATE_H

#include "upstream/registry.h"

BR_BEGIN_DECLS

/* Events of this VM that are kept; older ones count as part of the last report.
 */
#define BR_ESTIMATE_EVENTS 64

/* Assumed for an upstream that reports no value. */
#define BR_ESTIMATE_SLOTS 16
#define BR_ESTIMATE_TOKEN_MS 28
#define BR_ESTIMATE_PREFILL_PER_S 4000
#define BR_ESTIMATE_HOLD_MS 2000

/* Ring buffer of the times of this VM's events, the newest at (COUNT - 1)
 * modulo BR_ESTIMATE_EVENTS. */
typedef struct
{
  br_ms_t at_ms[BR_ESTIMATE_EVENTS];
  uint64_t count;
} br_estimate_events_t;

typedef struct
{
  br_load_t load;
  uint32_t own;             /* attempts of this VM that run there */
  uint64_t pending_prefill; /* prompt tokens sent, no first token yet */
  double hold_ms;           /* smoothed time of an attempt; 0: not measured */
  double uncached;          /* smoothed prompt tokens of an attempt */
  br_estimate_events_t sent;
  br_estimate_events_t ended;
  float prefill_ms; /* until the waiting prompts are read */
  float wait_ms;    /* until reading of a new prompt would start */
  float active;     /* requests there, per slot */
  float token_ms;   /* time to read one prompt token */
} br_estimate_t;

void br_estimate_report (br_estimate_t *estimate, const br_load_t *load);

/* Records that an attempt with UNCACHED prompt tokens to read was sent. */
void br_estimate_sent (br_estimate_t *estimate, uint64_t uncached, br_ms_t now);

/* Records that the first token of an attempt came, or that it ended without
 * one. */
void br_estimate_prefilled (br_estimate_t *estimate, uint64_t uncached);

/* Records that an attempt ended after HELD_MS.  WHOLE is set when its answer
 * was complete. */
void br_estimate_ended (br_estimate_t *estimate,
                        br_ms_t held_ms,
                        bool whole,
                        br_ms_t now);

/* Returns the free slots; below 0 when requests wait for one. */
int64_t br_estimate_slots_free (const br_estimate_t *estimate);

/* Returns how many further prompts can be read within QUEUE_MS. */
int64_t br_estimate_prompts (const br_estimate_t *estimate, br_ms_t queue_ms);

BR_END_DECLS

#endif
