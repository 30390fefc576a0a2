/* The leading control VM's decision on one rollout order: its next step, the
 * share of new requests that go to the target, and the checkpoints.  Has no
 * input or output; the time is passed in. */
#ifndef BR_ROLLOUT_PLAN_H
#define BR_ROLLOUT_PLAN_H

#include "rollout/exposure.h"
#include "rollout/judge.h"
#include "state/rollout_store.h"

BR_BEGIN_DECLS

/* A completion is proposed this long before the limit at the latest, so that a
 * new leader can still commit it. */
#define BR_PLAN_RESERVE_MS 500

/* What callers bear: so many requests may go to a bad version. */
typedef struct
{
  double share; /* of the requests from the order to its limit */
  double slack; /* in addition */
} br_rollout_bounds_t;

/* A live entry VM. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  br_ms_t since_ms; /* when this process first reported */
} br_plan_entry_t;

/* What the leader sees at NOW. */
typedef struct
{
  br_ms_t now;
  br_ms_t wall; /* by the site's clock */
  const br_plan_entry_t *entries;
  size_t n_entries;
  size_t old_upstreams; /* that serve; of allowed versions */
  size_t new_upstreams; /* that serve; of the target */
} br_plan_view_t;

typedef struct
{
  bool has_step;
  br_rollout_phase_t phase;
  char why[BR_ROLLOUT_WHY_MAX];
  bool has_totals; /* the sums are to be written to the log */
  uint64_t sent;
  uint64_t sent_new;
} br_plan_decision_t;

/* Kept on every control VM while an order runs. */
typedef struct
{
  uint64_t number; /* of the order */
  br_rollout_bounds_t bounds;
  br_ms_t begun_ms; /* first look; counts are due after it */
  br_exposure_t exposure;
  br_judge_t judge;
  uint32_t share_ppm; /* of the last decision */
  uint32_t upstreams; /* that get the share; 0: all */
  br_ms_t decided_ms; /* when that was; 0: never */
  const char *waits;  /* why the share is 0, or NULL */
  br_ms_t pulse_ms;   /* start of the last pulse */
  br_ms_t move_ms;    /* when the phase was first seen; 0: it is another one */
  double rate_before; /* requests a second when the move began */
  bool is_looked_at;  /* the look before the move was taken */
  br_ms_t totals_ms;  /* of the last checkpoint */
  uint64_t totals_new;
} br_plan_t;

void br_plan_init (br_plan_t *plan,
                   uint64_t number,
                   const br_rollout_bounds_t *bounds);
void br_plan_release (br_plan_t *plan);

/* Takes an entry VM's counts; those of another order are left out. */
void br_plan_receive (br_plan_t *plan,
                      const br_name_t *vm,
                      uint64_t incarnation,
                      const Br__Site__RolloutCounts *counts,
                      br_ms_t now);

/* On every control VM, each 100 ms: keeps rate and judgement up to date. */
void br_plan_observe (br_plan_t *plan, const br_rollout_t *order, br_ms_t now);

/* On the leader, after br_plan_observe(): decides the share and what is to be
 * written to the log. */
void br_plan_decide (br_plan_t *plan,
                     const br_rollout_t *order,
                     const br_plan_view_t *view,
                     br_plan_decision_t *decision);

BR_END_DECLS

#endif
