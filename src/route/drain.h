/* What becomes of the work that runs on an upstream that is leaving: it
 * finishes there, goes on elsewhere with its cache exported and imported, or
 * goes on elsewhere and computes again what is not cached there.  The choice is
 * the one that computes the fewest tokens again in the time that is left. */
#ifndef BR_ROUTE_DRAIN_H
#define BR_ROUTE_DRAIN_H

#include "base/clock.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* X (id, name in the time line) */
#define BR_DRAIN_ACTION_TABLE(X)                                               \
  X (FINISH, "finish")                                                         \
  X (EXPORT, "export")                                                         \
  X (MOVE, "move")

typedef enum
{
#define X(id, name) BR_DRAIN_##id,
  BR_DRAIN_ACTION_TABLE (X)
#undef X
} br_drain_action_t;

typedef struct
{
  uint64_t work;
  uint64_t context;       /* tokens of prompt and answer so far */
  uint64_t uncached;      /* of these, what the next upstream has to read */
  uint64_t remaining_min; /* tokens of the answer that are still to come */
  uint64_t remaining_max;
  bool started;             /* it has given a token */
  br_drain_action_t action; /* out */
  br_ms_t at_ms;            /* out: when to end it there, from now */
  uint64_t recomputed;      /* out: tokens expected to be computed again */
} br_drain_work_t;

BR_VEC (br_drain_works, br_drain_work_t);

typedef struct
{
  br_ms_t remaining_ms;  /* until the upstream is gone */
  uint32_t token_ms;     /* time between two tokens there */
  uint64_t export_per_s; /* tokens whose cache can be exported; 0: none */
  double leaving_share;  /* of the service's upstreams that leave now */
} br_drain_options_t;

const char *br_drain_action_name (br_drain_action_t action);

/* Fills in the outputs and sorts WORKS by when they are to be ended. */
void br_drain_plan (const br_drain_options_t *options, br_drain_works_t *works);

BR_END_DECLS

#endif
