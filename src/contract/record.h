/* Internals of contract.c, owner.c, backup.c and peers.c: one record for each
 * contract that this VM owns, holds a copy of, or has recently released. */
#ifndef BR_CONTRACT_RECORD_H
#define BR_CONTRACT_RECORD_H

#include <uthash.h>

#include "base/label.h"
#include "contract/contract.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_CONTRACT_RECORD_OWNER,
  BR_CONTRACT_RECORD_BACKUP,
  BR_CONTRACT_RECORD_ENDED, /* released or superseded; late messages are
                               ignored */
} br_contract_record_role_t;

typedef enum
{
  BR_BACKUP_NONE,
  BR_BACKUP_REQUESTED, /* KEEP was sent */
  BR_BACKUP_CONFIRMED,
} br_backup_state_t;

typedef struct br_contract_record
{
  char key[BR_NAME_MAX + 40]; /* the printed contract id */
  br_contract_id_t contract;
  br_contract_record_role_t role;
  br_contract_epoch_t epoch;

  /* VMs that may have copies of older epochs.  Each owner passes the list to
   * its backup. */
  br_names_t stale;

  /* As owner. */
  const br_contract_request_t *request;
  const br_answer_t *answer;
  uint32_t status;
  bool announced; /* BR_CONTRACT_ACCEPTED was added to the outbox */
  br_backup_state_t backup_state;
  br_name_t backup;
  br_names_t tried; /* backups that did not answer in this search */
  br_ms_t requested_ms;
  size_t sent;     /* parts sent to the backup */
  size_t held;     /* parts that the backup confirmed */
  size_t required; /* parts to confirm before the work counts as protected */
  bool sent_complete;
  bool held_complete;
  br_ms_t pending_ms;     /* since when a part waits to be sent, or
                             BR_MS_NEVER */
  br_ms_t progress_ms;    /* last progress with the other VM */
  br_ms_t unprotected_ms; /* since when it is unprotected, or BR_MS_NEVER */
  br_ms_t release_ms;     /* when RELEASE was sent last */
  br_ms_t retry_ms;       /* next search for a backup */
  bool handing_over;
  br_ms_t hand_over_ms;     /* when HAND_OVER was sent last */
  br_name_t previous_owner; /* the owner before this VM */

  /* As backup. */
  br_contract_copy_t *copy;
  bool was_owner;      /* keeps the copy until the new owner has a backup */
  br_ms_t complete_ms; /* when the copy became complete, or BR_MS_NEVER */

  bool is_in_busy;    /* in the list of busy records */
  br_ms_t expires_ms; /* of BR_CONTRACT_RECORD_ENDED */
  UT_hash_handle hh;
} br_contract_record_t;

typedef struct
{
  br_name_t vm;
  br_name_t failure_domain;
  uint64_t incarnation;
  bool up;
  bool leaving;
  br_ms_t down_ms;      /* when the link went down */
  br_ms_t last_seen_ms; /* when its last message arrived */
} br_contract_peer_t;

BR_VEC (br_contract_peers, br_contract_peer_t);
BR_VEC (br_contract_records, br_contract_record_t *);

struct br_contracts
{
  br_contract_options_t options;
  br_contract_peers_t peers;
  br_contract_record_t *records;
  br_contract_outbox_t outbox;
  br_contract_records_t busy; /* checked at every tick */
  br_ms_t swept_ms;           /* when all records were checked last */
  bool leaving;
  bool handing_over;
};

br_contract_peer_t *br_contracts_peer (br_contracts_t *contracts,
                                       const br_name_t *vm);
br_contract_record_t *br_contracts_record (br_contracts_t *contracts,
                                           const br_contract_id_t *contract);

/* Returns the record of CONTRACT, which is created if there is none. */
br_contract_record_t *
br_contracts_record_new (br_contracts_t *contracts,
                         const br_contract_id_t *contract);
void br_contract_record_free (br_contracts_t *contracts,
                              br_contract_record_t *record);

/* Ends RECORD.  Its epoch is kept for the retention time, so that late messages
 * are recognised. */
void br_contract_record_end (br_contracts_t *contracts,
                             br_contract_record_t *record,
                             br_ms_t now);

/* Records that VM may have a copy of an older epoch, or no longer has one. */
void br_contract_record_add_stale (br_contract_record_t *record,
                                   const br_name_t *vm);
void br_contract_record_remove_stale (br_contract_record_t *record,
                                      const br_name_t *vm);

/* Adds a message about the contract and epoch of MESSAGE to the outbox. */
void br_contracts_reply (br_contracts_t *contracts,
                         const br_name_t *to,
                         br_contract_message_kind_t kind,
                         const br_contract_message_t *message);
void br_contract_copy_free (br_contract_copy_t *copy);

/* Adds a message about RECORD to the outbox.  The caller sets the fields of its
 * kind. */
br_contract_message_t *
br_contract_record_send (br_contracts_t *contracts,
                         const br_contract_record_t *record,
                         const br_name_t *to,
                         br_contract_message_kind_t kind);
br_contract_action_t *
br_contract_record_act (br_contracts_t *contracts,
                        const br_contract_record_t *record,
                        br_contract_action_kind_t kind,
                        const br_name_t *vm);

/* Adds RECORD to the records that are checked at every tick. */
void br_contracts_add_busy (br_contracts_t *contracts,
                            br_contract_record_t *record);

/* The owner's side (owner.c). */
void br_owner_start (br_contracts_t *contracts,
                     br_contract_record_t *record,
                     const br_contract_request_t *request,
                     const br_answer_t *answer,
                     br_ms_t now);
void br_owner_on_answer (br_contracts_t *contracts,
                         br_contract_record_t *record,
                         br_ms_t now);
void br_owner_on_message (br_contracts_t *contracts,
                          br_contract_record_t *record,
                          const br_name_t *from,
                          const br_contract_message_t *message,
                          br_ms_t now);

/* Releases the copies at all other VMs. */
void br_owner_release_all (br_contracts_t *contracts,
                           br_contract_record_t *record,
                           br_ms_t now);
void br_owner_on_tick (br_contracts_t *contracts,
                       br_contract_record_t *record,
                       br_ms_t now);

/* Handles a restart of the backup's process, which lost its copy. */
void br_owner_on_backup_restart (br_contracts_t *contracts,
                                 br_contract_record_t *record,
                                 br_ms_t now);

/* Makes this VM a backup of the owner of EPOCH, which is higher. */
void br_owner_on_superseded (br_contracts_t *contracts,
                             br_contract_record_t *record,
                             const br_contract_epoch_t *epoch,
                             br_ms_t now);

/* Handles that the owner of the copy was superseded by the owner of EPOCH.  The
 * new owner may be lost already, so the copy is kept until it is released. */
void br_backup_on_superseded (br_contracts_t *contracts,
                              br_contract_record_t *record,
                              const br_contract_epoch_t *epoch,
                              br_ms_t now);

/* The backup's side (backup.c). */
void br_backup_on_keep (br_contracts_t *contracts,
                        const br_name_t *from,
                        const br_contract_message_t *message,
                        br_ms_t now);
void br_backup_on_checkpoint (br_contracts_t *contracts,
                              const br_name_t *from,
                              const br_contract_message_t *message,
                              br_ms_t now);
void br_backup_on_release (br_contracts_t *contracts,
                           const br_name_t *from,
                           const br_contract_message_t *message,
                           br_ms_t now);
void br_backup_on_hand_over (br_contracts_t *contracts,
                             const br_contract_message_t *message,
                             br_ms_t now);
void br_backup_on_tick (br_contracts_t *contracts,
                        br_contract_record_t *record,
                        br_ms_t now);
void br_backup_take_over (br_contracts_t *contracts,
                          br_contract_record_t *record,
                          br_ms_t now);

BR_END_DECLS

#endif
