/* Rollouts on a control VM: operators' orders, the counts of the entry VMs, the
 * version policies, and on the leader the decisions of src/rollout/plan. */
#ifndef BR_SHELL_CONTROL_ROLLOUT_H
#define BR_SHELL_CONTROL_ROLLOUT_H

#include "rollout/plan.h"
#include "rollout/replacement.h"
#include "shell/control_private.h"

BR_BEGIN_DECLS

/* An operator's call that waits. */
typedef struct
{
  uint64_t ticket; /* of the read or proposal; 0: waits for the first step */
  bool is_read;
  bool is_known; /* an order whose service was looked up after a read */
  br_rollout_request_t order; /* of a read only the service */
  br_ms_t since_ms;
  struct evhttp_request *request; /* NULL after a disconnect */
} br_rollout_wait_t;

BR_VEC (br_rollout_waits, br_rollout_wait_t);

/* A service with an order. */
typedef struct
{
  br_name_t service;
  bool has_plan; /* while an order runs */
  br_plan_t plan;
  br_replacement_t replacement;
  uint64_t replacement_term; /* in which REPLACEMENT was last noted */
  uint64_t step;             /* last seen in the log */
  uint64_t proposed_step;    /* after which a further one was proposed */
  br_ms_t proposed_ms;
  br_ms_t ended_ms; /* when a final phase was first seen */
} br_rollout_row_t;

BR_VEC (br_rollout_rows, br_rollout_row_t);

struct br_control_rollouts
{
  br_control_task_t *task;
  br_rollout_waits_t waits;
  br_rollout_rows_t rows;
  uint64_t changes; /* of the state, last seen */
};

/* Returns whether the settings allow rollouts. */
bool br_rollouts_in_force (const br_control_task_t *task);

/* Returns the row of an order's service, which is added if it is missing. */
br_rollout_row_t *br_rollouts_row (br_control_rollouts_t *rollouts,
                                   const br_rollout_t *order);

/* Counts the service's upstreams that serve: of allowed versions other than the
 * order's target, and of the target. */
void br_rollouts_count (const br_control_task_t *task,
                        const br_rollout_t *order,
                        size_t *old_upstreams,
                        size_t *new_upstreams);

/* On the leader: proposes what is due for one order. */
void br_rollouts_lead (br_control_rollouts_t *rollouts,
                       const br_rollout_t *order,
                       br_rollout_row_t *row,
                       br_ms_t now);

/* Answers the operators that wait for an order's first step. */
void br_rollouts_answer_waits (br_control_rollouts_t *rollouts, br_ms_t now);

BR_END_DECLS

#endif
