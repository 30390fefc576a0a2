/* The claim of one contract on a key whose work may run at most once: when
 * the first byte may go out, what the caller is told, and what the log must
 * still learn.
 *
 * The claim and the record that it may have been sent are proposed together;
 * the first byte needs the commit of the second one within
 * BR_STATE_SEND_BOUND_MS.  A contract that did not send proves it by a record
 * that keeps its proposals, wherever they still are, from having an effect.
 * Nobody ever sends the claim of another contract. */
#ifndef BR_CONTRACT_CLAIM_H
#define BR_CONTRACT_CLAIM_H

#include "base/clock.h"
#include "base/digest.h"
#include "base/vec.h"
#include "contract/contract_id.h"
#include "state/state.h"

BR_BEGIN_DECLS

/* X (id, name) */
#define BR_CLAIM_STEP_TABLE(X)                                                 \
  X (NEW, "new")                                                               \
  X (TAKING, "taking")       /* the claim is proposed */                       \
  X (RUNNING, "running")     /* the first byte may be out */                   \
  X (RECORDING, "recording") /* the end is proposed */                         \
  X (FENCING, "fencing")     /* surely not sent; the proof is proposed */      \
  X (WAITING, "waiting")     /* another contract has the key */                \
  X (OVER, "over")

typedef enum
{
#define X(id, name) BR_CLAIM_STEP_##id,
  BR_CLAIM_STEP_TABLE (X)
#undef X
} br_claim_step_t;

typedef enum
{
  BR_CLAIM_PROPOSE_TAKE,
  BR_CLAIM_PROPOSE_SENT,
  BR_CLAIM_PROPOSE_END,
} br_claim_proposal_t;

typedef struct
{
  br_buf_t key; /* "ORGANISATION/SERVICE/KEY"; owned */
  br_digest_t digest;
  br_contract_id_t contract;
  uint64_t retention_ms;
  br_claim_step_t step;
  uint32_t attempt;
  uint32_t takes;           /* attempts of this contract to get the key */
  br_ms_t sent_proposed_ms; /* of the latest record that it is sent */
  uint32_t sents;           /* records before the first byte proposed */
  bool no_majority;         /* while it starts */
  bool taken;               /* the claim is committed */
  bool sent_too_soon;       /* that record reached the log before the claim */
  bool sent_refused;
  br_claim_state_t end; /* of RECORDING and FENCING */
  uint32_t status;
  br_buf_t body; /* owned */
  bool body_kept;
  br_error_t failure; /* what the caller is told once it is proved */
  br_ms_t propose_at_ms;
  br_ms_t reply_by_ms;
  bool replied; /* the caller has its outcome */
} br_claim_t;

typedef enum
{
  BR_CLAIM_INPUT_START,    /* RECORD is what the state here holds, or NULL */
  BR_CLAIM_INPUT_PROPOSAL, /* a proposal has an outcome */
  BR_CLAIM_INPUT_RECORD,   /* the record changed, NULL when it is purged */
  BR_CLAIM_INPUT_END,      /* the attempt at the upstream ended */
  BR_CLAIM_INPUT_TIME,
} br_claim_input_kind_t;

typedef struct
{
  br_claim_input_kind_t kind;
  const br_claim_record_t *record;
  bool no_majority; /* of START: the log has had no leader for long */
  struct
  {
    br_claim_proposal_t kind;
    uint32_t attempt;
    br_proposal_outcome_t outcome;
    const br_claim_result_t *result; /* NULL unless committed */
  } proposal;
  struct
  {
    br_claim_state_t state; /* ANSWERED, NOT_RUN or UNKNOWN */
    uint32_t status;
    br_str_t body;
    br_error_t error; /* unless answered */
  } end;
} br_claim_input_t;

typedef enum
{
  BR_CLAIM_ACTION_PROPOSE, /* COMMAND to the log */
  BR_CLAIM_ACTION_SEND,    /* the work to an upstream, before NOT_AFTER_MS */
  BR_CLAIM_ACTION_ANSWER,  /* the caller gets STATUS and COMMAND, a body */
  BR_CLAIM_ACTION_FAIL,    /* the caller gets ERROR */
} br_claim_action_kind_t;

typedef struct
{
  br_claim_action_kind_t kind;
  br_claim_proposal_t proposal;
  uint32_t attempt;
  br_buf_t bytes; /* command or body; owned by the action */
  br_ms_t not_after_ms;
  uint32_t status;
  br_error_t error;
} br_claim_action_t;

BR_VEC (br_claim_actions, br_claim_action_t);

typedef struct
{
  br_str_t organisation;
  br_str_t service;
  br_str_t key;
  br_str_t body; /* with method and path in front; digested */
  br_contract_id_t contract;
  uint64_t retention_ms;
} br_claim_options_t;

/* False when the key is too long for the state. */
bool br_claim_init (br_claim_t *claim,
                    const br_claim_options_t *options,
                    br_error_t *err);
void br_claim_release (br_claim_t *claim);
void br_claim_handle (br_claim_t *claim,
                      br_ms_t now,
                      const br_claim_input_t *input,
                      br_claim_actions_t *outbox);
void br_claim_actions_release (br_claim_actions_t *actions);
const char *br_claim_step_name (br_claim_step_t step);

BR_END_DECLS

#endif
