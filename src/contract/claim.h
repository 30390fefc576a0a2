/* The claim of one contract on a key whose work may run at most once.  Decides
 * when the first byte may be sent to the upstream, what the caller's reply is,
 * and what must still be proposed to the log.
 *
 * The claim (TAKE) and the record that the request may have been sent (SENT)
 * are proposed together.  The first byte may be sent only if SENT is committed
 * within BR_STATE_SEND_BOUND_MS.  A contract that sent nothing proves this by a
 * record (END) that makes its earlier proposals ineffective, even if they are
 * committed later.  A contract never sends the request of another contract's
 * claim. */
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
  X (RUNNING, "running")     /* the request may have been sent */              \
  X (RECORDING, "recording") /* the end is proposed */                         \
  X (FENCING, "fencing")     /* not sent; the proof is proposed */             \
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
  uint32_t takes;           /* TAKE proposals of this contract */
  br_ms_t sent_proposed_ms; /* when SENT was proposed last */
  uint32_t sent_proposals;  /* SENT proposals of this attempt */
  bool no_majority;         /* of the START input that is being handled */
  bool taken;               /* TAKE is committed */
  bool sent_before_take;    /* SENT was committed before TAKE */
  bool sent_refused;        /* SENT was refused before TAKE was committed */
  br_claim_state_t end;     /* of RECORDING and FENCING */
  uint32_t status;
  br_buf_t body; /* owned */
  bool body_kept;
  br_error_t failure;    /* the reply once the proof is committed */
  br_ms_t propose_at_ms; /* when END is proposed again */
  br_ms_t reply_by_ms;   /* latest reply while WAITING or FENCING */
  bool replied;          /* the caller has its reply */
} br_claim_t;

typedef enum
{
  BR_CLAIM_INPUT_START,    /* RECORD is the claim in this VM's state, or NULL */
  BR_CLAIM_INPUT_PROPOSAL, /* a proposal has an outcome */
  BR_CLAIM_INPUT_RECORD,   /* the claim changed; RECORD is NULL if purged */
  BR_CLAIM_INPUT_END,      /* the attempt at the upstream ended */
  BR_CLAIM_INPUT_TIME,
} br_claim_input_kind_t;

typedef struct
{
  br_claim_input_kind_t kind;
  const br_claim_record_t *record;
  bool no_majority; /* of START: the log has had no leader for some time */
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
  BR_CLAIM_ACTION_PROPOSE, /* propose the command BYTES to the log */
  BR_CLAIM_ACTION_SEND,    /* send to an upstream, until NOT_AFTER_MS */
  BR_CLAIM_ACTION_ANSWER,  /* reply with STATUS and the body BYTES */
  BR_CLAIM_ACTION_FAIL,    /* reply with ERROR */
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
  br_str_t body; /* method, path and body; only its digest is kept */
  br_contract_id_t contract;
  uint64_t retention_ms;
} br_claim_options_t;

/* Returns false when the key with organisation and service is longer than
 * BR_STATE_CLAIM_KEY_MAX. */
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
