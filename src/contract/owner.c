/* The owner's side of a contract: finds a backup, sends it checkpoints,
 * replaces it when it is lost, and hands over. */
#include <string.h>

#include "contract/record.h"

/* Interval at which unconfirmed releases of older copies are sent again. */
#define RELEASE_RESEND_MS 2000

static bool
owner_can_request (const br_contract_record_t *record,
                   const br_contract_peer_t *peer)
{
  if (!peer->up || peer->leaving)
    return false;
  for (size_t i = 0; i < record->tried.len; i++)
    if (br_name_equal (&record->tried.items[i], &peer->vm))
      return false;
  return true;
}

/* Returns a peer that may become the backup, or NULL; only of other failure
 * domains if OTHER_DOMAIN.  The contract's number decides where the search
 * starts, which spreads contracts over the peers. */
static const br_contract_peer_t *
owner_choose_backup (const br_contracts_t *contracts,
                     const br_contract_record_t *record,
                     bool other_domain)
{
  const br_contract_peers_t *peers = &contracts->peers;
  size_t start = peers->len > 0 ? record->contract.number % peers->len : 0;

  for (size_t i = 0; i < peers->len; i++)
    {
      const br_contract_peer_t *peer = &peers->items[(start + i) % peers->len];

      if (owner_can_request (record, peer)
          && (!other_domain
              || !br_name_equal (&peer->failure_domain,
                                 &contracts->options.failure_domain)))
        return peer;
    }
  return NULL;
}

static void
owner_announce (br_contracts_t *contracts, br_contract_record_t *record)
{
  const br_name_t *backup
      = record->backup_state == BR_BACKUP_CONFIRMED ? &record->backup : NULL;

  if (record->announced)
    return;
  record->announced = true;
  br_contract_record_act (contracts, record, BR_CONTRACT_ACCEPTED, backup);
}

static void
owner_request_backup (br_contracts_t *contracts,
                      br_contract_record_t *record,
                      const br_name_t *backup,
                      br_ms_t now)
{
  br_contract_message_t *message;

  record->backup = *backup;
  br_contract_record_remove_stale (record, backup);
  record->backup_state = BR_BACKUP_REQUESTED;
  record->requested_ms = now;
  record->sent = record->held = 0;
  record->sent_complete = record->held_complete = false;
  br_contracts_add_busy (contracts, record);
  message
      = br_contract_record_send (contracts, record, backup, BR_CONTRACT_KEEP);
  message->keep.request = *record->request;
  message->keep.stale = record->stale.items;
  message->keep.n_stale = record->stale.len;
}

/* Sends RELEASE to all VMs with stale copies, which confirm it.  RELEASE holds
 * the present epoch, so it does not end a copy that a VM gets later, in a
 * higher epoch. */
static void
owner_release_stale (br_contracts_t *contracts,
                     br_contract_record_t *record,
                     br_ms_t now)
{
  record->release_ms = now;
  for (size_t i = 0; i < record->stale.len; i++)
    {
      const br_contract_peer_t *peer
          = br_contracts_peer (contracts, &record->stale.items[i]);

      if (peer != NULL && peer->up)
        br_contract_record_send (contracts, record, &peer->vm,
                                 BR_CONTRACT_RELEASE);
    }
}

void
br_owner_release_all (br_contracts_t *contracts,
                      br_contract_record_t *record,
                      br_ms_t now)
{
  if (record->backup_state != BR_BACKUP_NONE)
    br_contract_record_add_stale (record, &record->backup);
  record->backup_state = BR_BACKUP_NONE;
  owner_release_stale (contracts, record, now);
}

/* Drops the present backup.  Its copy is of an older epoch from now on and is
 * released once another backup protects the work. */
static void
owner_drop_backup (br_contract_record_t *record)
{
  if (record->backup_state == BR_BACKUP_NONE)
    return;
  br_contract_record_add_stale (record, &record->backup);
  record->epoch.number++;
  record->backup_state = BR_BACKUP_NONE;
}

static void
owner_find_backup (br_contracts_t *contracts,
                   br_contract_record_t *record,
                   br_ms_t now)
{
  const br_contract_peer_t *peer = NULL;

  if (record->tried.len < contracts->options.backups_tried)
    peer = owner_choose_backup (contracts, record, true);
  if (peer == NULL && record->tried.len < contracts->options.backups_tried)
    peer = owner_choose_backup (contracts, record, false);
  if (peer != NULL)
    {
      owner_request_backup (contracts, record, &peer->vm, now);
      return;
    }
  record->tried.len = 0;
  record->retry_ms = now + contracts->options.replace_ms;
  owner_announce (contracts, record);
}

void
br_owner_start (br_contracts_t *contracts,
                br_contract_record_t *record,
                const br_contract_request_t *request,
                const br_answer_t *answer,
                br_ms_t now)
{
  record->role = BR_CONTRACT_RECORD_OWNER;
  record->request = request;
  record->answer = answer;
  record->backup_state = BR_BACKUP_NONE;
  record->tried.len = 0;
  br_contract_record_remove_stale (record, &contracts->options.vm);
  if (record->previous_owner.len > 0)
    br_contract_record_add_stale (record, &record->previous_owner);
  record->pending_ms = BR_MS_NEVER;
  record->unprotected_ms = now;
  record->handing_over = false;
  record->hand_over_ms = now - contracts->options.resend_ms;
  owner_find_backup (contracts, record, now);
}

static bool
owner_sends_parts (const br_contracts_t *contracts,
                   const br_contract_record_t *record)
{
  if (!record->request->streamed && !record->answer->complete)
    return false;
  return record->handing_over || contracts->options.checkpoint_parts > 0;
}

static bool
owner_has_unsent (const br_contract_record_t *record)
{
  return record->sent < record->answer->parts.len
         || (record->answer->complete && !record->sent_complete);
}

/* Sends all unsent parts to the backup. */
static void
owner_flush (br_contracts_t *contracts,
             br_contract_record_t *record,
             br_ms_t now)
{
  const br_answer_t *answer = record->answer;

  record->pending_ms = BR_MS_NEVER;
  if (record->backup_state != BR_BACKUP_CONFIRMED
      || !owner_sends_parts (contracts, record))
    return;
  if (record->sent == record->held)
    record->progress_ms = now;
  while (owner_has_unsent (record))
    {
      br_contract_message_t *message = br_contract_record_send (
          contracts, record, &record->backup, BR_CONTRACT_CHECKPOINT);

      message->checkpoint.slice = br_contract_slice (answer, record->sent);
      record->sent += message->checkpoint.slice.n_parts;
      message->checkpoint.complete
          = answer->complete && record->sent == answer->parts.len;
      message->checkpoint.status = record->status;
      record->sent_complete = message->checkpoint.complete;
    }
}

void
br_owner_on_answer (br_contracts_t *contracts,
                    br_contract_record_t *record,
                    br_ms_t now)
{
  const br_contract_options_t *options = &contracts->options;
  size_t waiting = record->answer->parts.len - record->sent;

  if (record->pending_ms == BR_MS_NEVER)
    record->pending_ms = now;
  br_contracts_add_busy (contracts, record);
  if (record->answer->complete || waiting >= options->checkpoint_parts
      || record->handing_over)
    owner_flush (contracts, record, now);
}

static bool
owner_all_confirmed (const br_contracts_t *contracts,
                     const br_contract_record_t *record)
{
  if (record->backup_state != BR_BACKUP_CONFIRMED)
    return false;
  if (!owner_sends_parts (contracts, record))
    return true;
  return record->held >= record->sent
         && record->held_complete >= record->sent_complete;
}

/* Returns whether the backup holds the parts that existed when it confirmed
 * KEEP. */
static bool
owner_is_protected (const br_contracts_t *contracts,
                    const br_contract_record_t *record)
{
  return record->backup_state == BR_BACKUP_CONFIRMED
         && (!owner_sends_parts (contracts, record)
             || record->held >= record->required);
}

/* Reports when the work becomes protected again, and releases stale copies. */
static void
owner_check_protection (br_contracts_t *contracts,
                        br_contract_record_t *record,
                        br_ms_t now)
{
  if (record->unprotected_ms == BR_MS_NEVER
      || !owner_is_protected (contracts, record))
    return;
  br_contract_record_act (contracts, record, BR_CONTRACT_PROTECTED,
                          &record->backup)
      ->after_ms
      = now - record->unprotected_ms;
  record->unprotected_ms = BR_MS_NEVER;
  owner_release_stale (contracts, record, now);
}

static void
owner_on_held (br_contracts_t *contracts,
               br_contract_record_t *record,
               const br_contract_message_t *message,
               br_ms_t now)
{
  size_t offset = message->held.offset;

  if (offset > record->answer->parts.len)
    return;
  if (offset > record->held || message->held.complete)
    record->progress_ms = now;
  record->held = BR_MAX (record->held, offset);
  record->sent = BR_MAX (record->sent, record->held);
  if (message->held.complete && record->answer->complete)
    record->held_complete = record->sent_complete = true;
  owner_check_protection (contracts, record, now);
}

void
br_owner_on_message (br_contracts_t *contracts,
                     br_contract_record_t *record,
                     const br_name_t *from,
                     const br_contract_message_t *message,
                     br_ms_t now)
{
  if (message->kind == BR_CONTRACT_UNKNOWN)
    {
      if (record->backup_state == BR_BACKUP_CONFIRMED)
        owner_request_backup (contracts, record, from, now);
      return;
    }
  if (record->backup_state == BR_BACKUP_REQUESTED)
    {
      record->backup_state = BR_BACKUP_CONFIRMED;
      record->tried.len = 0;
      owner_announce (contracts, record);
      record->required = record->answer->parts.len;
      owner_flush (contracts, record, now);
      owner_on_held (contracts, record, message, now);
      return;
    }
  owner_on_held (contracts, record, message, now);
}

void
br_owner_on_superseded (br_contracts_t *contracts,
                        br_contract_record_t *record,
                        const br_contract_epoch_t *epoch,
                        br_ms_t now)
{
  br_contract_copy_t *copy = br_alloc_zero (sizeof *copy);

  owner_announce (contracts, record);
  br_contract_request_copy (&copy->request, record->request);
  br_answer_copy (&copy->answer, record->answer);
  copy->status = record->status;
  br_contract_record_end (contracts, record, now);
  record->epoch = *epoch;
  br_contract_record_act (contracts, record, BR_CONTRACT_STOP, &epoch->owner);
  /* The new owner may be lost before it has a backup.  This VM stays its backup
   * until it releases the copy. */
  record->role = BR_CONTRACT_RECORD_BACKUP;
  record->copy = copy;
  record->was_owner = true;
  record->progress_ms = now;
  record->complete_ms = copy->answer.complete ? now : BR_MS_NEVER;
}

void
br_owner_on_backup_restart (br_contracts_t *contracts,
                            br_contract_record_t *record,
                            br_ms_t now)
{
  if (record->backup_state == BR_BACKUP_NONE)
    return;
  if (record->unprotected_ms == BR_MS_NEVER)
    record->unprotected_ms = now;
  owner_drop_backup (record);
  owner_find_backup (contracts, record, now);
}

static bool
owner_lost_backup (br_contracts_t *contracts,
                   br_contract_record_t *record,
                   br_ms_t now)
{
  const br_contract_peer_t *peer
      = br_contracts_peer (contracts, &record->backup);

  if (peer == NULL)
    return true;
  if (peer->leaving)
    return owner_choose_backup (contracts, record, false) != NULL;
  return !peer->up && now - peer->down_ms >= contracts->options.replace_ms;
}

static void
owner_check_backup (br_contracts_t *contracts,
                    br_contract_record_t *record,
                    br_ms_t now)
{
  const br_contract_options_t *options = &contracts->options;

  switch (record->backup_state)
    {
    case BR_BACKUP_NONE:
      if (now >= record->retry_ms)
        owner_find_backup (contracts, record, now);
      break;
    case BR_BACKUP_REQUESTED:
      if (now - record->requested_ms < options->acknowledge_ms)
        break;
      br_names_push (&record->tried, record->backup);
      owner_drop_backup (record);
      owner_find_backup (contracts, record, now);
      break;
    case BR_BACKUP_CONFIRMED:
      if (!owner_lost_backup (contracts, record, now))
        break;
      if (record->unprotected_ms == BR_MS_NEVER)
        record->unprotected_ms = now;
      owner_drop_backup (record);
      owner_find_backup (contracts, record, now);
      break;
    }
}

static void
owner_send_hand_over (br_contracts_t *contracts,
                      br_contract_record_t *record,
                      br_ms_t now)
{
  const br_contract_peer_t *peer
      = br_contracts_peer (contracts, &record->backup);

  if (record->answer->complete || record->backup_state != BR_BACKUP_CONFIRMED
      || peer == NULL || peer->leaving
      || now - record->hand_over_ms < contracts->options.resend_ms)
    return;
  record->handing_over = true;
  record->hand_over_ms = now;
  owner_flush (contracts, record, now);
  br_contract_record_send (contracts, record, &record->backup,
                           BR_CONTRACT_HAND_OVER);
}

void
br_owner_on_tick (br_contracts_t *contracts,
                  br_contract_record_t *record,
                  br_ms_t now)
{
  const br_contract_options_t *options = &contracts->options;

  owner_check_backup (contracts, record, now);
  if (record->backup_state != BR_BACKUP_CONFIRMED)
    return;
  if (record->unprotected_ms == BR_MS_NEVER && record->stale.len > 0
      && now - record->release_ms >= RELEASE_RESEND_MS)
    owner_release_stale (contracts, record, now);
  if (!owner_all_confirmed (contracts, record)
      && now - record->progress_ms >= options->resend_ms)
    {
      record->sent = record->held;
      record->sent_complete = record->held_complete;
      record->progress_ms = now;
      owner_flush (contracts, record, now);
    }
  if (record->pending_ms != BR_MS_NEVER
      && now - record->pending_ms >= options->checkpoint_ms)
    owner_flush (contracts, record, now);
  if (contracts->handing_over)
    owner_send_hand_over (contracts, record, now);
}
