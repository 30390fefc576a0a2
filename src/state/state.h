/* The replicated state machine: declarations, claims and fencing numbers.
 * It changes only by commands that the replica log has committed. */
#ifndef BR_STATE_STATE_H
#define BR_STATE_STATE_H

#include "base/error.h"
#include "base/str.h"

BR_BEGIN_DECLS

typedef struct br_state br_state_t;

br_state_t *br_state_new (void);
void br_state_free (br_state_t *state);

/* Applies the committed COMMAND at log position INDEX and appends its result
 * to RESULT.  Deterministic: the same commands give the same state and the
 * same results on every VM. */
void br_state_apply (br_state_t *state,
                     uint64_t index,
                     br_str_t command,
                     br_buf_t *result);

/* Appends the whole state to OUT, in the form that br_state_restore()
 * reads. */
void br_state_snapshot (const br_state_t *state, br_buf_t *out);

/* Replaces the whole state.  On an error STATE stays as it was. */
bool br_state_restore (br_state_t *state, br_str_t snapshot, br_error_t *err);

BR_END_DECLS

#endif
