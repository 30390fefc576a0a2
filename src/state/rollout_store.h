/* Stores the newest rollout order of each service as part of the replicated
 * state.  The outcome of each command follows from the store alone. */
#ifndef BR_STATE_ROLLOUT_STORE_H
#define BR_STATE_ROLLOUT_STORE_H

#include "base/vec.h"
#include "state/message.h"

BR_BEGIN_DECLS

/* Services with an order.  An order for one more is refused. */
#define BR_ROLLOUTS_MAX 1024

/* Versions that one service allows.  The one allowed first is dropped. */
#define BR_ROLLOUT_ALLOWED_MAX 64

/* Longest reason of a step, in bytes; the rest is cut off. */
#define BR_ROLLOUT_WHY_MAX 200

/* Phases of an order, as in br.site.VersionPolicy. */
typedef enum
{
  BR_ROLLOUT_ORDERED, /* the old versions are not recorded yet */
  BR_ROLLOUT_HOLD,
  BR_ROLLOUT_SAMPLE,
  BR_ROLLOUT_MOVE,
  BR_ROLLOUT_COMPLETED,
  BR_ROLLOUT_ROLLED_BACK,
} br_rollout_phase_t;

typedef Br__State__Rollout br_rollout_t;

BR_VEC (br_rollouts, br_rollout_t *);

/* An all-zero value is an empty store. */
typedef struct
{
  br_rollouts_t list; /* owned */
  uint64_t made;      /* orders ever accepted */
  uint64_t changes;   /* not part of the replicated state */
} br_rollout_store_t;

/* Returns whether an order in this phase still runs. */
bool br_rollout_is_running (uint32_t phase);

/* Accepts an order.  Returns false if it is not valid, another one of the
 * service runs, or the newest one has the same target. */
bool br_rollout_store_start (br_rollout_store_t *store,
                             const Br__State__RolloutStart *start);

/* Returns false if the step is not the next one.  A final phase never changes;
 * a step may then allow further versions. */
bool br_rollout_store_step (br_rollout_store_t *store,
                            const Br__State__RolloutStep *step);
bool br_rollout_store_totals (br_rollout_store_t *store,
                              const Br__State__RolloutTotals *totals);

/* Returns the service's newest order, or NULL. */
const br_rollout_t *br_rollout_store_find (const br_rollout_store_t *store,
                                           br_str_t service);

/* Adds an order of a snapshot.  Returns false if it is not valid. */
bool br_rollout_store_add (br_rollout_store_t *store,
                           const br_rollout_t *rollout);
void br_rollout_store_release (br_rollout_store_t *store);

BR_END_DECLS

#endif
