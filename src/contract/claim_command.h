/* Packs the commands that a claim proposes to the log. */
#ifndef BR_CONTRACT_CLAIM_COMMAND_H
#define BR_CONTRACT_CLAIM_COMMAND_H

#include "contract/claim.h"

BR_BEGIN_DECLS

/* Returns the owner of CLAIM; its strings belong to CLAIM. */
br_claim_owner_t br_claim_owner_of (const br_claim_t *claim);

/* Append a packed command to OUT. */
void br_claim_pack_take (const br_claim_t *claim, br_buf_t *out);
void br_claim_pack_sent (const br_claim_t *claim, br_buf_t *out);

/* Appends the packed command with the end state, status and body of CLAIM. */
void br_claim_pack_end (const br_claim_t *claim, br_buf_t *out);

BR_END_DECLS

#endif
