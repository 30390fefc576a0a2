#include "state/state.h"

#include <stdlib.h>

struct br_state
{
  uint64_t applied;
};

br_state_t *
br_state_new (void)
{
  return br_alloc_zero (sizeof (br_state_t));
}

void
br_state_free (br_state_t *state)
{
  free (state);
}

void
br_state_apply (br_state_t *state,
                uint64_t index,
                br_str_t command,
                br_buf_t *result)
{
  state->applied = index;
  br_buf_append (result, command);
}

void
br_state_snapshot (const br_state_t *state, br_buf_t *out)
{
  br_buf_printf (out, "%llu", (unsigned long long)state->applied);
}

bool
br_state_restore (br_state_t *state, br_str_t snapshot, br_error_t *err)
{
  if (br_str_to_u64 (snapshot, &state->applied))
    return true;
  return br_error_set (err, BR_ERROR_CORRUPT, "restore state", "",
                       "not a number");
}
