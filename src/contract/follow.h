/* Reads an answer that another VM owns: finds the owner of a contract, requests
 * the parts from an offset, and continues at a new owner when the old one is
 * lost.  Has no sockets and no clock; calls add actions to the outbox. */
#ifndef BR_CONTRACT_FOLLOW_H
#define BR_CONTRACT_FOLLOW_H

#include "base/clock.h"
#include "contract/message.h"

BR_BEGIN_DECLS

typedef struct br_follows br_follows_t;

/* All times in milliseconds. */
typedef struct
{
  br_name_t vm;
  br_ms_t locate_ms;         /* time for VMs to answer LOCATE */
  br_ms_t locate_again_ms;   /* before the next LOCATE, while a VM has a copy */
  br_ms_t search_timeout_ms; /* longest search for an owner */
  br_ms_t renew_ms;          /* interval of FOLLOW to the owner */
  br_ms_t owner_timeout_ms;  /* time without FEED before a new search */
} br_follow_options_t;

/* Returns options with the default times, and no name. */
br_follow_options_t br_follow_options (void);

typedef enum
{
  BR_FOLLOW_SEND,   /* send MESSAGE to VM */
  BR_FOLLOW_FOUND,  /* VM is the owner; MESSAGE is its LOCATED */
  BR_FOLLOW_PARTS,  /* the answer has more parts */
  BR_FOLLOW_ENDED,  /* the answer is complete, with STATUS */
  BR_FOLLOW_FAILED, /* the last action of this contract, with ERROR */
} br_follow_action_kind_t;

typedef struct
{
  br_follow_action_kind_t kind;
  br_name_t vm;
  br_contract_id_t contract;
  br_contract_message_t message;
  uint32_t status;
  br_error_t error;
} br_follow_action_t;

BR_VEC (br_follow_outbox, br_follow_action_t);

br_follows_t *br_follows_new (const br_follow_options_t *options);
void br_follows_free (br_follows_t *follows);

/* Returns the actions added since the outbox was cleared. */
br_follow_outbox_t *br_follows_outbox (br_follows_t *follows);
void br_follows_add_peer (br_follows_t *follows, const br_name_t *vm);
void br_follows_on_link (br_follows_t *follows,
                         const br_name_t *vm,
                         bool up,
                         br_ms_t now);

/* Adds the parts of CONTRACT's answer to ANSWER, which may have parts already
 * and must live until BR_FOLLOW_ENDED, BR_FOLLOW_FAILED or br_follows_stop().
 * OWNER is NULL if unknown.  COPY_HERE is set if this VM is the backup: it may
 * become the owner, so the search lasts until its time limit. */
void br_follows_start (br_follows_t *follows,
                       const br_contract_id_t *contract,
                       const br_name_t *owner,
                       bool copy_here,
                       br_answer_t *answer,
                       br_ms_t now);
void br_follows_stop (br_follows_t *follows, const br_contract_id_t *contract);
void br_follows_on_message (br_follows_t *follows,
                            const br_name_t *from,
                            const br_contract_message_t *message,
                            br_ms_t now);
void br_follows_on_tick (br_follows_t *follows, br_ms_t now);

BR_END_DECLS

#endif
