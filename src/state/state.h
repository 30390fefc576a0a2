/* The replicated state machine: declarations, claims, fencing numbers and the
 * state of the site.  It changes only by commands that the replica log has
 * committed. */
#ifndef BR_STATE_STATE_H
#define BR_STATE_STATE_H

#include "base/clock.h"
#include "base/error.h"
#include "base/str.h"
#include "state/message.h"

BR_BEGIN_DECLS

/* Bounds of the state.  A command that exceeds one is refused. */
#define BR_STATE_DECLARATIONS_MAX 16384
#define BR_STATE_DECLARATION_MAX_BYTES 16384
#define BR_STATE_DECLARATIONS_MAX_BYTES (8 * 1024 * 1024)
#define BR_STATE_CHANGE_MAX_BYTES (480 * 1024)
#define BR_STATE_OPERATION_RESULTS_MAX 1024
#define BR_STATE_CLAIMS_MAX 65536
#define BR_STATE_CLAIM_KEY_MAX 400
#define BR_STATE_CLAIM_BODY_MAX_BYTES 16384
#define BR_STATE_CLAIM_BODIES_MAX_BYTES (16 * 1024 * 1024)
#define BR_STATE_FENCES_MAX 65536

/* Longest span by which one tick advances the time of the state. */
#define BR_STATE_TICK_MAX_MS 10000

/* Longest time between proposing the `sent` record and sending the first byte.
 * An owner that is later than this does not send. */
#define BR_STATE_SEND_BOUND_MS 2000

typedef struct br_state br_state_t;

/* Outcome of a command that was proposed for the log. */
typedef enum
{
  BR_PROPOSAL_COMMITTED, /* applied, and there is a result */
  BR_PROPOSAL_REFUSED,   /* not in the log, and never will be */
  BR_PROPOSAL_UNKNOWN,   /* may be committed, now or later */
} br_proposal_outcome_t;

br_state_t *br_state_new (void);
void br_state_free (br_state_t *state);

/* Applies the committed COMMAND at log position INDEX and appends its result,
 * a packed br_result_t, to RESULT.  Deterministic: the same commands give the
 * same state and the same results on every VM.  A command that does not parse
 * changes only the position. */
void br_state_apply (br_state_t *state,
                     uint64_t index,
                     br_str_t command,
                     br_buf_t *result);

/* Appends the whole state to OUT, in the form that br_state_restore()
 * reads. */
void br_state_snapshot (const br_state_t *state, br_buf_t *out);

/* Replaces the whole state by SNAPSHOT.  On an error STATE is unchanged. */
bool br_state_restore (br_state_t *state, br_str_t snapshot, br_error_t *err);

/* Returns the log position of the last command that was applied. */
uint64_t br_state_applied (const br_state_t *state);

/* Returns the revision of the declarations in force.  It never decreases. */
uint64_t br_state_revision (const br_state_t *state);

/* Return the sequence and the time of the last tick.  The time of the state is
 * the sum of the elapsed times of all ticks.  A VM measures the elapsed time of
 * a tick from when it saw the tick before, so the spans do not overlap and
 * their sum does not run ahead of real time. */
uint64_t br_state_tick (const br_state_t *state);
br_ms_t br_state_now (const br_state_t *state);

/* The views below are valid until the next command. */
typedef void (*br_declaration_visit_t) (const br_declaration_t *declaration,
                                        void *context);
void br_state_each_declaration (const br_state_t *state,
                                br_declaration_visit_t visit,
                                void *context);
const br_declaration_t *
br_state_declaration (const br_state_t *state, br_str_t kind, br_str_t name);

typedef void (*br_claim_visit_t) (const br_claim_record_t *claim,
                                  void *context);
void br_state_each_claim (const br_state_t *state,
                          br_claim_visit_t visit,
                          void *context);

/* Returns the result of OPERATION, or NULL when it was never applied or its
 * result is no longer kept. */
const br_change_result_t *br_state_operation_result (const br_state_t *state,
                                                     br_str_t operation);

size_t br_state_claim_count (const br_state_t *state);

/* Returns the claim on KEY, or NULL. */
const br_claim_record_t *br_state_claim (const br_state_t *state, br_str_t key);

/* Returns the last fencing number given out for RESOURCE, or 0. */
uint64_t br_state_fence (const br_state_t *state, br_str_t resource);

/* Return the version and text of the site's configuration in force.  The
 * version is 0 when there is none. */
uint64_t br_state_site_version (const br_state_t *state);
br_str_t br_state_site_text (const br_state_t *state);

/* Returns the counts that are fixed for an accounting window, or NULL. */
const Br__State__UsageDecision *br_state_usage (const br_state_t *state,
                                                uint64_t window);

/* Return the number of batches of streams ever applied, and the batches that
 * are kept, oldest first. */
uint64_t br_state_streams_made (const br_state_t *state);
size_t br_state_n_streams (const br_state_t *state);
const Br__State__Streams *br_state_streams (const br_state_t *state, size_t at);

/* Return the number of ban commands ever applied, and the bans that are kept.
 * A copy of the list that was made at the same number is up to date. */
uint64_t br_state_bans_made (const br_state_t *state);
size_t br_state_n_bans (const br_state_t *state);
const Br__State__Ban *br_state_ban (const br_state_t *state, size_t at);

/* Returns the ban of the request CONTENT, or NULL when there is none or it is
 * no longer kept. */
const Br__State__Ban *br_state_find_ban (const br_state_t *state,
                                         uint64_t content);

/* Return the number of changes to orders since this process started, and the
 * newest order of each service that ever had one. */
uint64_t br_state_rollouts_changed (const br_state_t *state);
size_t br_state_n_rollouts (const br_state_t *state);
const Br__State__Rollout *br_state_rollout (const br_state_t *state, size_t at);

/* Returns the service's newest order, or NULL. */
const Br__State__Rollout *br_state_find_rollout (const br_state_t *state,
                                                 br_str_t service);

BR_END_DECLS

#endif
