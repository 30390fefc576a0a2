/* Custody of accepted work that may be repeated.  The VM that accepted it owns
 * it; a backup VM holds the request and the parts generated so far, and
 * becomes the owner, in a higher epoch, when the owner is lost or hands over.
 *
 * This part does no I/O and has no clock: calls take the time, and what must
 * happen is added to the outbox. */
#ifndef BR_CONTRACT_CONTRACT_H
#define BR_CONTRACT_CONTRACT_H

#include "base/clock.h"
#include "contract/message.h"

BR_BEGIN_DECLS

typedef struct br_contracts br_contracts_t;

/* All times in milliseconds. */
typedef struct
{
  br_name_t vm;
  br_name_t failure_domain;
  uint64_t incarnation;
  br_ms_t acknowledge_ms;  /* wait for one backup's answer */
  uint32_t backups_tried;  /* before work goes on unprotected */
  size_t checkpoint_parts; /* parts generated before they are sent; 0: parts
                              are never sent */
  br_ms_t checkpoint_ms;   /* longest wait of a part before it is sent */
  br_ms_t resend_ms;       /* without an answer, messages are sent again */
  br_ms_t take_over_ms;    /* silence of an owner before it is replaced */
  br_ms_t replace_ms;      /* silence of a backup before it is replaced */
  br_ms_t sweep_ms;     /* between two looks at work that waits for nothing */
  br_ms_t retention_ms; /* how long a whole or released copy is kept */
} br_contract_options_t;

/* Returns options with the default times, and no names. */
br_contract_options_t br_contract_options (void);

typedef enum
{
  BR_CONTRACT_SEND,      /* MESSAGE goes to VM */
  BR_CONTRACT_ACCEPTED,  /* the caller may hear of acceptance; VM is the
                            backup, empty when there is none */
  BR_CONTRACT_PROTECTED, /* VM holds all that was generated, AFTER_MS after
                            protection was lost or begun */
  BR_CONTRACT_TAKE_OVER, /* this VM is the owner now; COPY goes over */
  BR_CONTRACT_STOP,      /* VM is the owner now: end attempts here */
} br_contract_action_kind_t;

/* What a backup holds, and a new owner gets. */
typedef struct
{
  br_contract_request_t request;
  br_answer_t answer;
  uint32_t status; /* HTTP status of a whole answer */
} br_contract_copy_t;

typedef struct
{
  br_contract_action_kind_t kind;
  br_name_t vm;
  br_contract_id_t contract;
  br_contract_message_t message; /* views: valid until the next call */
  br_contract_copy_t *copy;      /* owned by the receiver */
  br_ms_t after_ms;
} br_contract_action_t;

BR_VEC (br_contract_outbox, br_contract_action_t);

br_contracts_t *br_contracts_new (const br_contract_options_t *options);

/* Frees what is in the outbox as well. */
void br_contracts_free (br_contracts_t *contracts);

/* The actions since it was cleared last; the shell carries them out and
 * clears it after each call. */
br_contract_outbox_t *br_contracts_outbox (br_contracts_t *contracts);

/* Names another entry VM, which is down at first. */
void br_contracts_add_peer (br_contracts_t *contracts,
                            const br_name_t *vm,
                            const br_name_t *failure_domain);

/* The link to VM came up, its process being INCARNATION, or went down. */
void br_contracts_on_link (br_contracts_t *contracts,
                           const br_name_t *vm,
                           uint64_t incarnation,
                           bool up,
                           br_ms_t now);
void br_contracts_on_message (br_contracts_t *contracts,
                              const br_name_t *from,
                              const br_contract_message_t *message,
                              br_ms_t now);
void br_contracts_on_tick (br_contracts_t *contracts, br_ms_t now);

/* This VM accepted work.  REQUEST and ANSWER stay with the caller and must
 * live until br_contracts_forget(). */
void br_contracts_accept (br_contracts_t *contracts,
                          const br_contract_id_t *contract,
                          const br_contract_request_t *request,
                          const br_answer_t *answer,
                          br_ms_t now);

/* This VM goes on with what BR_CONTRACT_TAKE_OVER gave it; see
 * br_contracts_accept(). */
void br_contracts_adopt (br_contracts_t *contracts,
                         const br_contract_id_t *contract,
                         const br_contract_request_t *request,
                         const br_answer_t *answer,
                         uint32_t status,
                         br_ms_t now);

/* The answer of work owned here grew or became whole. */
void br_contracts_on_answer (br_contracts_t *contracts,
                             const br_contract_id_t *contract,
                             uint32_t status,
                             br_ms_t now);

/* Work owned here has failed or is forgotten: its copy is released. */
void br_contracts_forget (br_contracts_t *contracts,
                          const br_contract_id_t *contract,
                          br_ms_t now);

/* Tells the others that this VM stops: it keeps no copies from now on. */
void br_contracts_leave (br_contracts_t *contracts, br_ms_t now);

/* Hands over all work that is not finished; goes on by ticks. */
void br_contracts_hand_over (br_contracts_t *contracts, br_ms_t now);

/* Contracts that would be lost, or unprotected, if this VM ended now: owned
 * and not whole, or held until a new owner is protected. */
size_t br_contracts_needed_here (const br_contracts_t *contracts);

/* What this VM knows of CONTRACT; *EPOCH is filled unless nothing. */
br_contract_role_t br_contracts_look_up (br_contracts_t *contracts,
                                         const br_contract_id_t *contract,
                                         br_contract_epoch_t *epoch);

/* Request of a copy held here as backup, or NULL. */
const br_contract_request_t *
br_contracts_request (br_contracts_t *contracts,
                      const br_contract_id_t *contract);

BR_END_DECLS

#endif
