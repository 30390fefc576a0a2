/* Replies to the caller of a claim.  Only the first reply is sent. */
#ifndef BR_CONTRACT_CLAIM_REPLY_H
#define BR_CONTRACT_CLAIM_REPLY_H

#include "contract/claim.h"

BR_BEGIN_DECLS

/* Replies with ERR.  The claim continues. */
void br_claim_reply_error (br_claim_t *claim,
                           const br_error_t *err,
                           br_claim_actions_t *outbox);

/* Replies with ERR and ends the claim, as do all functions below. */
void br_claim_fail (br_claim_t *claim,
                    const br_error_t *err,
                    br_claim_actions_t *outbox);

/* Refuses because no majority can be reached: the state of the key is
 * unknown. */
void br_claim_refuse_cut_off (br_claim_t *claim, br_claim_actions_t *outbox);

/* Refuses a claim of which nothing was sent and nothing is in the log. */
void br_claim_refuse (br_claim_t *claim,
                      const char *text,
                      br_claim_actions_t *outbox);
void br_claim_fail_unknown (br_claim_t *claim,
                            const char *vm,
                            const char *text,
                            br_claim_actions_t *outbox);
void br_claim_fail_other_body (br_claim_t *claim, br_claim_actions_t *outbox);

/* Replies with the answer in RECORD, which is another contract's. */
void br_claim_reply_answer (br_claim_t *claim,
                            const br_claim_record_t *record,
                            br_claim_actions_t *outbox);

BR_END_DECLS

#endif
