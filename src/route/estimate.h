/* The load of one upstream as this VM estimates it: the last report, which
 * lags, and what this VM sent there and saw ending since the report was
 * taken. */
#ifndef BR_ROUTE_ESTIMATE_H
#define BR_ROUTE_ESTIMATE_H

#include "upstream/registry.h"

BR_BEGIN_DECLS

/* Own events remembered; more than this since the last report count as part
 * of it. */
#define BR_ESTIMATE_EVENTS 64

/* Taken when an upstream tells nothing. */
#define BR_ESTIMATE_SLOTS 16
#define BR_ESTIMATE_TOKEN_MS 28
#define BR_ESTIMATE_PREFILL_PER_S 4000
#define BR_ESTIMATE_HOLD_MS 2000

/* Times of own events, the newest at (COUNT - 1) modulo BR_ESTIMATE_EVENTS. */
typedef struct
{
  br_ms_t at_ms[BR_ESTIMATE_EVENTS];
  uint64_t count;
} br_estimate_events_t;

typedef struct
{
  br_load_t load;
  uint32_t own;             /* attempts of this VM that run there */
  uint64_t pending_prefill; /* prompt tokens sent, without a first token yet */
  double hold_ms;           /* smoothed time of an attempt; 0: not measured */
  double uncached;          /* smoothed prompt tokens of an attempt */
  br_estimate_events_t sent;
  br_estimate_events_t ended;
  float prefill_ms; /* until the prompts there are read */
  float wait_ms;    /* until a new prompt would be read */
  float active;     /* requests there, per slot */
  float token_ms;   /* time to read one prompt token */
} br_estimate_t;

void br_estimate_report (br_estimate_t *estimate, const br_load_t *load);

/* An attempt with UNCACHED prompt tokens was sent. */
void br_estimate_sent (br_estimate_t *estimate, uint64_t uncached, br_ms_t now);

/* Its first token came, or it ended without one. */
void br_estimate_prefilled (br_estimate_t *estimate, uint64_t uncached);

/* An attempt ended after HELD_MS.  WHOLE: with a whole answer. */
void br_estimate_ended (br_estimate_t *estimate,
                        br_ms_t held_ms,
                        bool whole,
                        br_ms_t now);

/* Returns the free slots; below 0 when requests wait for one. */
int64_t br_estimate_slots_free (const br_estimate_t *estimate);

/* Returns how many more prompts are read within QUEUE_MS. */
int64_t br_estimate_prompts (const br_estimate_t *estimate, br_ms_t queue_ms);

BR_END_DECLS

#endif
