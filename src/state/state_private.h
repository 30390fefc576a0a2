/* The contents of the replicated state, for the files of this folder. */
#ifndef BR_STATE_STATE_PRIVATE_H
#define BR_STATE_STATE_PRIVATE_H

#include "state/claim_store.h"
#include "state/declaration_store.h"
#include "state/fence_store.h"
#include "state/rollout_store.h"
#include "state/site_store.h"
#include "state/state.h"

struct br_state
{
  uint64_t applied;
  br_declaration_store_t declarations;
  br_claim_store_t claims;
  br_fence_store_t fences;
  br_site_store_t site;
  br_rollout_store_t rollouts;
};

/* Frees what STATE owns, but not STATE itself. */
void br_state_release (br_state_t *state);

#endif
