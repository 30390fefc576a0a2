#include "contract/contract.h"

#include <assert.h>
#include <string.h>

#include "contract/record.h"

br_contract_options_t
br_contract_options (void)
{
  return (br_contract_options_t){
    .acknowledge_ms = 150,
    .backups_tried = 2,
    .checkpoint_parts = 8,
    .checkpoint_ms = 100,
    .resend_ms = 300,
    .take_over_ms = 500,
    .replace_ms = 200,
    .sweep_ms = 100,
    .retention_ms = 60000,
  };
}

br_contracts_t *
br_contracts_new (const br_contract_options_t *options)
{
  br_contracts_t *contracts = br_alloc_zero (sizeof *contracts);

  contracts->options = *options;
  return contracts;
}

static void
copy_free_fields (br_contract_copy_t *copy)
{
  br_contract_request_free (&copy->request);
  br_answer_free (&copy->answer);
}

void
br_contract_copy_free (br_contract_copy_t *copy)
{
  if (copy == NULL)
    return;
  copy_free_fields (copy);
  free (copy);
}

void
br_contract_record_free (br_contracts_t *contracts,
                         br_contract_record_t *record)
{
  HASH_DEL (contracts->records, record);
  br_names_free (&record->tried);
  br_names_free (&record->stale);
  br_contract_copy_free (record->copy);
  free (record);
}

void
br_contracts_free (br_contracts_t *contracts)
{
  br_contract_record_t *record;
  br_contract_record_t *next;

  if (contracts == NULL)
    return;
  HASH_ITER (hh, contracts->records, record, next)
  br_contract_record_free (contracts, record);
  for (size_t i = 0; i < contracts->outbox.len; i++)
    br_contract_copy_free (contracts->outbox.items[i].copy);
  br_contract_outbox_free (&contracts->outbox);
  br_contract_records_free (&contracts->busy);
  br_contract_peers_free (&contracts->peers);
  free (contracts);
}

br_contract_outbox_t *
br_contracts_outbox (br_contracts_t *contracts)
{
  return &contracts->outbox;
}

static void
record_key (const br_contract_id_t *contract, char *key)
{
  br_buf_t text = { 0 };

  br_contract_id_print (contract, &text);
  memcpy (key, text.data, text.len + 1);
  br_buf_free (&text);
}

br_contract_record_t *
br_contracts_record (br_contracts_t *contracts,
                     const br_contract_id_t *contract)
{
  char key[sizeof ((br_contract_record_t *)0)->key];
  br_contract_record_t *record;

  record_key (contract, key);
  HASH_FIND_STR (contracts->records, key, record);
  return record;
}

br_contract_record_t *
br_contracts_record_new (br_contracts_t *contracts,
                         const br_contract_id_t *contract)
{
  br_contract_record_t *record = br_contracts_record (contracts, contract);

  if (record != NULL)
    return record;
  record = br_alloc_zero (sizeof *record);
  record->contract = *contract;
  record->role = BR_CONTRACT_RECORD_ENDED;
  record_key (contract, record->key);
  HASH_ADD_STR (contracts->records, key, record);
  return record;
}

void
br_contract_record_end (br_contracts_t *contracts,
                        br_contract_record_t *record,
                        br_ms_t now)
{
  record->role = BR_CONTRACT_RECORD_ENDED;
  record->request = NULL;
  record->answer = NULL;
  record->was_owner = false;
  br_contract_copy_free (record->copy);
  record->copy = NULL;
  record->expires_ms = now + contracts->options.retention_ms;
}

br_contract_action_t *
br_contract_record_act (br_contracts_t *contracts,
                        const br_contract_record_t *record,
                        br_contract_action_kind_t kind,
                        const br_name_t *vm)
{
  br_contract_action_t action = { .kind = kind, .contract = record->contract };

  if (vm != NULL)
    action.vm = *vm;
  return br_contract_outbox_push (&contracts->outbox, action);
}

br_contract_message_t *
br_contract_record_send (br_contracts_t *contracts,
                         const br_contract_record_t *record,
                         const br_name_t *to,
                         br_contract_message_kind_t kind)
{
  br_contract_action_t *action
      = br_contract_record_act (contracts, record, BR_CONTRACT_SEND, to);

  action->message.kind = kind;
  action->message.contract = record->contract;
  action->message.epoch = record->epoch;
  return &action->message;
}

void
br_contract_record_add_stale (br_contract_record_t *record, const br_name_t *vm)
{
  br_contract_record_remove_stale (record, vm);
  br_names_push (&record->stale, *vm);
}

void
br_contract_record_remove_stale (br_contract_record_t *record,
                                 const br_name_t *vm)
{
  for (size_t i = record->stale.len; i > 0; i--)
    if (br_name_equal (&record->stale.items[i - 1], vm))
      record->stale.items[i - 1] = record->stale.items[--record->stale.len];
}

void
br_contracts_reply (br_contracts_t *contracts,
                    const br_name_t *to,
                    br_contract_message_kind_t kind,
                    const br_contract_message_t *message)
{
  br_contract_action_t action = { .kind = BR_CONTRACT_SEND, .vm = *to };

  action.contract = action.message.contract = message->contract;
  action.message.kind = kind;
  action.message.epoch = message->epoch;
  br_contract_outbox_push (&contracts->outbox, action);
}

/* If MESSAGE is of an older epoch than RECORD, sends SUPERSEDED to FROM and
 * returns true. */
static bool
record_reject_older_epoch (br_contracts_t *contracts,
                           br_contract_record_t *record,
                           const br_name_t *from,
                           const br_contract_message_t *message)
{
  if (br_contract_epoch_compare (&message->epoch, &record->epoch) >= 0)
    return false;
  br_contract_record_send (contracts, record, from, BR_CONTRACT_SUPERSEDED);
  return true;
}

static void
contracts_on_superseded (br_contracts_t *contracts,
                         const br_name_t *from,
                         const br_contract_message_t *message,
                         br_ms_t now)
{
  br_contract_record_t *record
      = br_contracts_record (contracts, &message->contract);

  if (record == NULL || record->role == BR_CONTRACT_RECORD_ENDED
      || record_reject_older_epoch (contracts, record, from, message)
      || br_contract_epoch_compare (&message->epoch, &record->epoch) == 0)
    return;
  if (record->role == BR_CONTRACT_RECORD_OWNER)
    br_owner_on_superseded (contracts, record, &message->epoch, now);
  /* Other VMs are ignored: the copy's owner may since have superseded the owner
   * that they name. */
  else if (br_name_equal (&record->epoch.owner, from))
    br_backup_on_superseded (contracts, record, &message->epoch, now);
}

/* Handles a HELD from a VM whose copy names this process as owner although the
 * process does not need it.  Releases the copy.  If another owner superseded
 * this process, directs FROM to the new owner instead: the copy may be the only
 * one left if the new owner is lost. */
static void
contracts_release_orphan (br_contracts_t *contracts,
                          const br_name_t *from,
                          const br_contract_message_t *message)
{
  br_contract_record_t *record
      = br_contracts_record (contracts, &message->contract);

  if (message->kind != BR_CONTRACT_HELD
      || !br_name_equal (&message->epoch.owner, &contracts->options.vm)
      || message->epoch.owner_incarnation != contracts->options.incarnation)
    return;
  if (record != NULL && record->role == BR_CONTRACT_RECORD_ENDED
      && !br_name_equal (&record->epoch.owner, &contracts->options.vm)
      && br_contract_epoch_compare (&record->epoch, &message->epoch) > 0)
    br_contract_record_send (contracts, record, from, BR_CONTRACT_SUPERSEDED);
  else
    br_contracts_reply (contracts, from, BR_CONTRACT_RELEASE, message);
}

static void
contracts_on_reply (br_contracts_t *contracts,
                    const br_name_t *from,
                    const br_contract_message_t *message,
                    br_ms_t now)
{
  br_contract_record_t *record
      = br_contracts_record (contracts, &message->contract);
  bool owned = record != NULL && record->role == BR_CONTRACT_RECORD_OWNER;
  bool is_backup = owned && record->backup_state != BR_BACKUP_NONE
                   && br_name_equal (&record->backup, from);

  if (is_backup)
    {
      if (br_contract_epoch_compare (&record->epoch, &message->epoch) == 0)
        br_owner_on_message (contracts, record, from, message, now);
      return;
    }
  if (owned && message->kind == BR_CONTRACT_UNKNOWN)
    br_contract_record_remove_stale (record, from);
  /* While the work is unprotected, any copy may be the only one. */
  if (!owned || record->unprotected_ms == BR_MS_NEVER)
    contracts_release_orphan (contracts, from, message);
}

void
br_contracts_on_message (br_contracts_t *contracts,
                         const br_name_t *from,
                         const br_contract_message_t *message,
                         br_ms_t now)
{
  br_contract_peer_t *peer = br_contracts_peer (contracts, from);

  if (peer == NULL)
    return;
  peer->last_seen_ms = now;
  switch (message->kind)
    {
    case BR_CONTRACT_KEEP:
      br_backup_on_keep (contracts, from, message, now);
      break;
    case BR_CONTRACT_CHECKPOINT:
      br_backup_on_checkpoint (contracts, from, message, now);
      break;
    case BR_CONTRACT_RELEASE:
      br_backup_on_release (contracts, from, message, now);
      break;
    case BR_CONTRACT_HAND_OVER:
      br_backup_on_hand_over (contracts, message, now);
      break;
    case BR_CONTRACT_SUPERSEDED:
      contracts_on_superseded (contracts, from, message, now);
      break;
    case BR_CONTRACT_LEAVING:
      peer->leaving = true;
      break;
    case BR_CONTRACT_KEPT:
    case BR_CONTRACT_HELD:
    case BR_CONTRACT_UNKNOWN:
      contracts_on_reply (contracts, from, message, now);
      break;
    case BR_CONTRACT_LOCATE:
    case BR_CONTRACT_LOCATED:
    case BR_CONTRACT_FOLLOW:
    case BR_CONTRACT_FEED:
    case BR_CONTRACT_MESSAGE_COUNT:
      break;
    }
}

/* Returns whether RECORD has parts to send, hands over or waits for a backup to
 * confirm. */
static bool
record_is_busy (const br_contract_record_t *record)
{
  return record->role == BR_CONTRACT_RECORD_OWNER
         && (record->pending_ms != BR_MS_NEVER || record->handing_over
             || record->backup_state == BR_BACKUP_REQUESTED);
}

void
br_contracts_add_busy (br_contracts_t *contracts, br_contract_record_t *record)
{
  if (record->is_in_busy)
    return;
  record->is_in_busy = true;
  br_contract_records_push (&contracts->busy, record);
}

static void
contracts_tick_busy (br_contracts_t *contracts, br_ms_t now)
{
  for (size_t i = contracts->busy.len; i > 0; i--)
    {
      br_contract_record_t *record = contracts->busy.items[i - 1];

      if (record->role == BR_CONTRACT_RECORD_OWNER)
        br_owner_on_tick (contracts, record, now);
      if (record_is_busy (record))
        continue;
      record->is_in_busy = false;
      contracts->busy.items[i - 1]
          = contracts->busy.items[--contracts->busy.len];
    }
}

static void
contracts_clear_busy (br_contracts_t *contracts)
{
  for (size_t i = 0; i < contracts->busy.len; i++)
    contracts->busy.items[i]->is_in_busy = false;
  contracts->busy.len = 0;
}

void
br_contracts_on_tick (br_contracts_t *contracts, br_ms_t now)
{
  br_contract_record_t *record;
  br_contract_record_t *next;

  if (now - contracts->swept_ms < contracts->options.sweep_ms)
    {
      contracts_tick_busy (contracts, now);
      return;
    }
  contracts->swept_ms = now;
  /* The list must hold no records that are freed below. */
  contracts_clear_busy (contracts);
  HASH_ITER (hh, contracts->records, record, next)
  switch (record->role)
    {
    case BR_CONTRACT_RECORD_OWNER:
      br_owner_on_tick (contracts, record, now);
      if (record_is_busy (record))
        br_contracts_add_busy (contracts, record);
      break;
    case BR_CONTRACT_RECORD_BACKUP:
      br_backup_on_tick (contracts, record, now);
      break;
    case BR_CONTRACT_RECORD_ENDED:
      if (now >= record->expires_ms)
        br_contract_record_free (contracts, record);
      break;
    }
}

void
br_contracts_accept (br_contracts_t *contracts,
                     const br_contract_id_t *contract,
                     const br_contract_request_t *request,
                     const br_answer_t *answer,
                     br_ms_t now)
{
  br_contract_record_t *record = br_contracts_record_new (contracts, contract);

  assert (record->role == BR_CONTRACT_RECORD_ENDED
          && record->epoch.number == 0);
  record->epoch = (br_contract_epoch_t){
    .number = 1,
    .owner = contracts->options.vm,
    .owner_incarnation = contracts->options.incarnation,
  };
  br_owner_start (contracts, record, request, answer, now);
}

void
br_contracts_adopt (br_contracts_t *contracts,
                    const br_contract_id_t *contract,
                    const br_contract_request_t *request,
                    const br_answer_t *answer,
                    uint32_t status,
                    br_ms_t now)
{
  br_contract_record_t *record = br_contracts_record (contracts, contract);

  assert (record != NULL && record->role == BR_CONTRACT_RECORD_OWNER);
  record->announced = true;
  record->status = status;
  br_owner_start (contracts, record, request, answer, now);
}

static br_contract_record_t *
contracts_owned (br_contracts_t *contracts, const br_contract_id_t *contract)
{
  br_contract_record_t *record = br_contracts_record (contracts, contract);

  return record != NULL && record->role == BR_CONTRACT_RECORD_OWNER ? record
                                                                    : NULL;
}

void
br_contracts_on_answer (br_contracts_t *contracts,
                        const br_contract_id_t *contract,
                        uint32_t status,
                        br_ms_t now)
{
  br_contract_record_t *record = contracts_owned (contracts, contract);

  if (record == NULL)
    return;
  record->status = status;
  br_owner_on_answer (contracts, record, now);
}

void
br_contracts_remove (br_contracts_t *contracts,
                     const br_contract_id_t *contract,
                     br_ms_t now)
{
  br_contract_record_t *record = contracts_owned (contracts, contract);

  if (record == NULL)
    return;
  br_owner_release_all (contracts, record, now);
  br_contract_record_end (contracts, record, now);
}

void
br_contracts_hand_over (br_contracts_t *contracts, br_ms_t now)
{
  br_contract_record_t *record;
  br_contract_record_t *next;

  contracts->handing_over = true;
  HASH_ITER (hh, contracts->records, record, next)
  if (record->role == BR_CONTRACT_RECORD_OWNER)
    br_owner_on_tick (contracts, record, now);
}

size_t
br_contracts_count_needed (const br_contracts_t *contracts)
{
  size_t n = 0;

  for (const br_contract_record_t *record = contracts->records; record != NULL;
       record = record->hh.next)
    if (record->role == BR_CONTRACT_RECORD_BACKUP
        && (record->was_owner || !record->copy->answer.complete))
      n++;
  return n;
}

br_contract_role_t
br_contracts_look_up (br_contracts_t *contracts,
                      const br_contract_id_t *contract,
                      br_contract_epoch_t *epoch)
{
  const br_contract_record_t *record
      = br_contracts_record (contracts, contract);

  if (record == NULL)
    return BR_CONTRACT_ROLE_NONE;
  *epoch = record->epoch;
  switch (record->role)
    {
    case BR_CONTRACT_RECORD_OWNER:
      return BR_CONTRACT_ROLE_OWNER;
    case BR_CONTRACT_RECORD_BACKUP:
      return BR_CONTRACT_ROLE_BACKUP;
    case BR_CONTRACT_RECORD_ENDED:
      break;
    }
  return BR_CONTRACT_ROLE_NONE;
}

const br_contract_request_t *
br_contracts_request (br_contracts_t *contracts,
                      const br_contract_id_t *contract)
{
  const br_contract_record_t *record
      = br_contracts_record (contracts, contract);

  return record != NULL && record->copy != NULL ? &record->copy->request : NULL;
}
