/* Checks the claims in commands and snapshots against the bounds of the
 * state. */
#ifndef BR_STATE_CLAIM_CHECK_H
#define BR_STATE_CLAIM_CHECK_H

#include "state/message.h"

BR_BEGIN_DECLS

bool br_claim_take_is_valid (const Br__State__ClaimTake *take);
bool br_claim_end_is_valid (const Br__State__ClaimEnd *end);
bool br_claim_record_is_valid (const br_claim_record_t *record);

BR_END_DECLS

#endif
