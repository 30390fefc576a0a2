/* What the caller of a claim is told; once, whatever happens later. */
#ifndef BR_CONTRACT_CLAIM_REPLY_H
#define BR_CONTRACT_CLAIM_REPLY_H

#include "contract/claim.h"

BR_BEGIN_DECLS

/* Tells ERR; the claim goes on. */
void br_claim_reply_error (br_claim_t *claim,
                           const br_error_t *err,
                           br_claim_actions_t *outbox);

/* All others end the claim as well. */
void br_claim_fail (br_claim_t *claim,
                    const br_error_t *err,
                    br_claim_actions_t *outbox);

/* Refuses without knowing what became of the key elsewhere. */
void br_claim_refuse_cut_off (br_claim_t *claim, br_claim_actions_t *outbox);

/* Nothing was sent and nothing of this contract is in the log. */
void br_claim_refuse (br_claim_t *claim,
                      const char *why,
                      br_claim_actions_t *outbox);
void br_claim_fail_unknown (br_claim_t *claim,
                            const char *vm,
                            const char *why,
                            br_claim_actions_t *outbox);
void br_claim_fail_other_body (br_claim_t *claim, br_claim_actions_t *outbox);

/* RECORD holds the answer of another contract. */
void br_claim_reply_answer (br_claim_t *claim,
                            const br_claim_record_t *record,
                            br_claim_actions_t *outbox);

BR_END_DECLS

#endif
