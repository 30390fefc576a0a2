/* Decides which runs of a leaving engine move to other engines, and in which
 * order.  Does no input or output and keeps no state. */
#ifndef BR_MOVE_PLAN_H
#define BR_MOVE_PLAN_H

#include "site/configuration.h"
#include "site/fleet.h"

BR_BEGIN_DECLS

/* How long a leaving engine still runs. */
typedef struct
{
  br_ms_t least_ms;
  br_ms_t most_ms; /* BR_MS_NEVER: not bounded */
} br_move_time_t;

/* Returns the time that UPSTREAM, which leaves, still has. */
br_move_time_t br_move_time_left (const br_fleet_t *fleet,
                                  const br_fleet_upstream_t *upstream,
                                  br_ms_t now);

/* A run that its caller would lose with the engine. */
typedef struct
{
  void *owner; /* the caller's */
  uint32_t prompt_tokens;
  uint32_t made_tokens;
  uint32_t hint_tokens;   /* that its caller expects; 0: not given */
  uint32_t output_tokens; /* at most; 0: not given */
  br_ms_t generating_ms;  /* since its first event; 0: it has none */
  br_ms_t max_gap_ms;     /* that its caller accepts; 0: any */
} br_move_run_t;

BR_VEC (br_move_runs, br_move_run_t);

/* Returns the estimated time to the end of the answer; BR_MS_NEVER when it is
 * not known. */
br_ms_t br_move_rest_ms (const br_move_run_t *run);

/* Returns the tokens that the run holds, which are lost with it. */
uint64_t br_move_tokens (const br_move_run_t *run);

/* Returns the time in which the memory of TOKENS is copied over a free link
 * within a failure domain.  It takes twice as long between two. */
br_ms_t br_move_copy_ms (const br_engine_limits_t *engine, uint64_t tokens);

/* X (id, name): why a run moves or not */
#define BR_MOVE_CHOICE_TABLE(X)                                                \
  X (GO, "go")                                                                 \
  X (ENDS, "ends_in_time")                                                     \
  X (TOO_LATE, "too_late") /* the copy can't be there in time */

typedef enum
{
#define X(id, name) BR_MOVE_##id,
  BR_MOVE_CHOICE_TABLE (X)
#undef X
} br_move_choice_t;

const char *br_move_choice_name (br_move_choice_t choice);

typedef struct
{
  br_move_run_t run;
  br_move_choice_t choice;
  br_ms_t rest_ms;
  br_ms_t copy_ms;
  br_ms_t queue_ms; /* of the copies called for before it */
} br_move_step_t;

BR_VEC (br_move_steps, br_move_step_t);

/* Fills STEPS with the runs of one engine, the most valuable first.  QUEUE_MS
 * is the time of the copies from it that are under way. */
void br_move_plan (const br_move_runs_t *runs,
                   const br_engine_limits_t *engine,
                   const br_move_time_t *left,
                   br_ms_t queue_ms,
                   br_move_steps_t *steps);

BR_END_DECLS

#endif
