/* Plans what happens to the work on an upstream that is leaving.  Work can
 * finish there, continue on another upstream with its cache exported and
 * imported, or continue on another upstream that recomputes what it has not
 * cached.  The plan minimises the tokens recomputed in the remaining time. */
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
  uint64_t uncached;      /* of these, not cached on the next upstream */
  uint64_t remaining_min; /* bounds of the answer's remaining tokens */
  uint64_t remaining_max;
  bool started;             /* its first token was generated */
  br_drain_action_t action; /* output */
  br_ms_t at_ms;            /* output: when to end it there, from now */
  uint64_t recomputed;      /* output: expected number of recomputed tokens */
} br_drain_work_t;

BR_VEC (br_drain_works, br_drain_work_t);

typedef struct
{
  br_ms_t remaining_ms;  /* until the upstream ends */
  uint32_t token_ms;     /* time between two tokens there */
  uint64_t export_per_s; /* tokens whose cache can be exported; 0: none */
  double leaving_share;  /* share of the service's upstreams that leave now */
} br_drain_options_t;

const char *br_drain_action_name (br_drain_action_t action);

/* Sets the outputs and sorts WORKS by the time at which to end them. */
void br_drain_plan (const br_drain_options_t *options, br_drain_works_t *works);

BR_END_DECLS

#endif
