/* Replicates accepted work that may be repeated (contracts).  The VM that
 * accepted it is the owner.  A backup VM holds the request and the parts of the
 * answer generated so far, and becomes the owner, in a higher epoch, when the
 * owner is lost or hands over.
 *
 * This module does no I/O and has no clock: calls take the time, and add
 * actions to the outbox. */
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
  br_ms_t acknowledge_ms;  /* time for one backup to confirm KEEP */
  uint32_t backups_tried;  /* before work goes on unprotected */
  size_t checkpoint_parts; /* parts generated before they are sent; 0: parts
                              are never sent */
  br_ms_t checkpoint_ms;   /* longest wait of a part before it is sent */
  br_ms_t resend_ms;       /* time without an answer before a resend */
  br_ms_t take_over_ms;    /* time that an owner is down before take-over */
  br_ms_t replace_ms;      /* time that a backup is down before replacement */
  br_ms_t sweep_ms;        /* between two checks of all contracts */
  br_ms_t retention_ms;    /* how long a complete or released copy is kept */
} br_contract_options_t;

/* Returns options with the default times, and no names. */
br_contract_options_t br_contract_options (void);

typedef enum
{
  BR_CONTRACT_SEND,      /* send MESSAGE to VM */
  BR_CONTRACT_ACCEPTED,  /* acceptance may be sent to the caller; VM is the
                            backup, empty when there is none */
  BR_CONTRACT_PROTECTED, /* VM holds the parts generated before it confirmed,
                            AFTER_MS after the work became unprotected */
  BR_CONTRACT_TAKE_OVER, /* this VM is the owner now; takes COPY */
  BR_CONTRACT_STOP,      /* VM is the owner now; end the attempts here */
} br_contract_action_kind_t;

/* The data that a backup holds and passes to a new owner. */
typedef struct
{
  br_contract_request_t request;
  br_answer_t answer;
  uint32_t status; /* HTTP status of a complete answer */
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

/* Frees CONTRACTS and the copies in its outbox. */
void br_contracts_free (br_contracts_t *contracts);

/* Returns the actions added since the outbox was cleared.  The shell executes
 * them and clears the outbox after each call. */
br_contract_outbox_t *br_contracts_outbox (br_contracts_t *contracts);

/* Adds another entry VM, which is down at first. */
void br_contracts_add_peer (br_contracts_t *contracts,
                            const br_name_t *vm,
                            const br_name_t *failure_domain);

/* Handles that the link to VM came up or went down.  INCARNATION is that of its
 * process. */
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

/* Adds work that this VM accepted.  REQUEST and ANSWER stay with the calling
 * code and must live until br_contracts_remove(). */
void br_contracts_accept (br_contracts_t *contracts,
                          const br_contract_id_t *contract,
                          const br_contract_request_t *request,
                          const br_answer_t *answer,
                          br_ms_t now);

/* Continues the work of a BR_CONTRACT_TAKE_OVER action.  For REQUEST and ANSWER
 * see br_contracts_accept(). */
void br_contracts_adopt (br_contracts_t *contracts,
                         const br_contract_id_t *contract,
                         const br_contract_request_t *request,
                         const br_answer_t *answer,
                         uint32_t status,
                         br_ms_t now);

/* Handles that the answer of work owned here got more parts or became
 * complete. */
void br_contracts_on_answer (br_contracts_t *contracts,
                             const br_contract_id_t *contract,
                             uint32_t status,
                             br_ms_t now);

/* Removes work owned here, which has failed or is no longer kept, and releases
 * its copies. */
void br_contracts_remove (br_contracts_t *contracts,
                          const br_contract_id_t *contract,
                          br_ms_t now);

/* Announces to the other VMs that this VM stops.  It accepts no copies from now
 * on. */
void br_contracts_leave (br_contracts_t *contracts, br_ms_t now);

/* Starts to hand over all unfinished work, which continues at every tick. */
void br_contracts_hand_over (br_contracts_t *contracts, br_ms_t now);

/* Returns the number of contracts whose copy here is still needed: the answer
 * is not complete, or the new owner has no backup yet. */
size_t br_contracts_count_needed (const br_contracts_t *contracts);

/* Returns this VM's role for CONTRACT.  Sets *EPOCH if there is a record of
 * it. */
br_contract_role_t br_contracts_look_up (br_contracts_t *contracts,
                                         const br_contract_id_t *contract,
                                         br_contract_epoch_t *epoch);

/* Returns the request of a copy held here as backup, or NULL. */
const br_contract_request_t *
br_contracts_request (br_contracts_t *contracts,
                      const br_contract_id_t *contract);

BR_END_DECLS

#endif
