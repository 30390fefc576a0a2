/* The backup's side of a contract: holds the copy and takes over. */
#include "contract/record.h"

/* Time without a message about a copy after which its owner is asked whether it
 * still needs the copy. */
#define ORPHAN_CHECK_MS 10000

static void
backup_confirm (br_contracts_t *contracts,
                const br_contract_record_t *record,
                const br_name_t *to,
                br_contract_message_kind_t kind)
{
  br_contract_message_t *message
      = br_contract_record_send (contracts, record, to, kind);

  message->held.offset = record->copy->answer.parts.len;
  message->held.complete = record->copy->answer.complete;
}

static void
backup_keep (br_contract_record_t *record, const br_contract_message_t *message)
{
  br_contract_copy_t *copy = br_alloc_zero (sizeof *copy);

  br_contract_request_copy (&copy->request, &message->keep.request);
  br_contract_copy_free (record->copy);
  record->copy = copy;
  record->role = BR_CONTRACT_RECORD_BACKUP;
  record->epoch = message->epoch;
  record->was_owner = false;
  record->complete_ms = BR_MS_NEVER;
  record->stale.len = 0;
  for (size_t i = 0; i < message->keep.n_stale; i++)
    br_names_push (&record->stale, message->keep.stale[i]);
}

/* Answers a KEEP of the same epoch as RECORD's, or of an older one. */
static void
backup_on_repeated_keep (br_contracts_t *contracts,
                         br_contract_record_t *record,
                         const br_name_t *from,
                         int order)
{
  if (order > 0)
    br_contract_record_send (contracts, record, from, BR_CONTRACT_SUPERSEDED);
  else if (record->role == BR_CONTRACT_RECORD_BACKUP)
    backup_confirm (contracts, record, from, BR_CONTRACT_KEPT);
}

void
br_backup_on_keep (br_contracts_t *contracts,
                   const br_name_t *from,
                   const br_contract_message_t *message,
                   br_ms_t now)
{
  br_contract_record_t *record
      = br_contracts_record (contracts, &message->contract);

  if (record != NULL)
    {
      int order = br_contract_epoch_compare (&record->epoch, &message->epoch);

      if (order >= 0)
        {
          backup_on_repeated_keep (contracts, record, from, order);
          return;
        }
      if (record->role == BR_CONTRACT_RECORD_OWNER)
        br_owner_on_superseded (contracts, record, &message->epoch, now);
    }
  if (contracts->leaving)
    {
      br_contracts_reply (contracts, from, BR_CONTRACT_LEAVING, message);
      return;
    }
  record = br_contracts_record_new (contracts, &message->contract);
  backup_keep (record, message);
  record->progress_ms = now;
  backup_confirm (contracts, record, from, BR_CONTRACT_KEPT);
}

void
br_backup_on_checkpoint (br_contracts_t *contracts,
                         const br_name_t *from,
                         const br_contract_message_t *message,
                         br_ms_t now)
{
  br_contract_record_t *record
      = br_contracts_record (contracts, &message->contract);
  int order = record != NULL
                  ? br_contract_epoch_compare (&record->epoch, &message->epoch)
                  : -1;
  const br_contract_slice_t *slice = &message->checkpoint.slice;
  br_answer_t *answer;

  if (order > 0)
    br_contract_record_send (contracts, record, from, BR_CONTRACT_SUPERSEDED);
  if (order < 0)
    br_contracts_reply (contracts, from, BR_CONTRACT_UNKNOWN, message);
  if (order != 0 || record->role != BR_CONTRACT_RECORD_BACKUP)
    return;
  answer = &record->copy->answer;
  record->progress_ms = now;
  if (br_contract_slice_add (slice, answer) && message->checkpoint.complete
      && !answer->complete
      && answer->parts.len == slice->offset + slice->n_parts)
    {
      answer->complete = true;
      record->copy->status = message->checkpoint.status;
      record->complete_ms = now;
    }
  backup_confirm (contracts, record, from, BR_CONTRACT_HELD);
}

void
br_backup_on_release (br_contracts_t *contracts,
                      const br_name_t *from,
                      const br_contract_message_t *message,
                      br_ms_t now)
{
  br_contract_record_t *record
      = br_contracts_record (contracts, &message->contract);

  if (record != NULL
      && br_contract_epoch_compare (&record->epoch, &message->epoch) > 0)
    {
      /* The sender may have missed the message that it was superseded. */
      br_contract_record_send (contracts, record, from, BR_CONTRACT_SUPERSEDED);
      return;
    }
  if (record != NULL && record->role == BR_CONTRACT_RECORD_OWNER
      && br_contract_epoch_compare (&record->epoch, &message->epoch) < 0)
    br_owner_on_superseded (contracts, record, &message->epoch, now);
  if (record != NULL && record->role == BR_CONTRACT_RECORD_BACKUP)
    {
      record->epoch = message->epoch;
      br_contract_record_end (contracts, record, now);
    }
  if (record == NULL || record->role == BR_CONTRACT_RECORD_ENDED)
    br_contracts_reply (contracts, from, BR_CONTRACT_UNKNOWN, message);
}

void
br_backup_take_over (br_contracts_t *contracts,
                     br_contract_record_t *record,
                     br_ms_t now)
{
  br_contract_action_t *action;

  (void)now;
  record->previous_owner = record->epoch.owner;
  record->epoch.number++;
  record->epoch.owner = contracts->options.vm;
  record->epoch.owner_incarnation = contracts->options.incarnation;
  record->role = BR_CONTRACT_RECORD_OWNER;
  record->was_owner = false;
  action
      = br_contract_record_act (contracts, record, BR_CONTRACT_TAKE_OVER, NULL);
  action->copy = record->copy;
  record->copy = NULL;
  br_contract_record_send (contracts, record, &record->previous_owner,
                           BR_CONTRACT_SUPERSEDED);
}

void
br_backup_on_superseded (br_contracts_t *contracts,
                         br_contract_record_t *record,
                         const br_contract_epoch_t *epoch,
                         br_ms_t now)
{
  /* The new owner may generate a different answer. */
  br_answer_free (&record->copy->answer);
  record->copy->answer = (br_answer_t){ 0 };
  record->epoch = *epoch;
  record->was_owner = false;
  record->complete_ms = BR_MS_NEVER;
  record->progress_ms = now;
  backup_confirm (contracts, record, &record->epoch.owner, BR_CONTRACT_HELD);
}

void
br_backup_on_hand_over (br_contracts_t *contracts,
                        const br_contract_message_t *message,
                        br_ms_t now)
{
  br_contract_record_t *record
      = br_contracts_record (contracts, &message->contract);

  if (record == NULL)
    return;
  if (br_contract_epoch_compare (&record->epoch, &message->epoch) > 0)
    br_contract_record_send (contracts, record, &message->epoch.owner,
                             BR_CONTRACT_SUPERSEDED);
  else if (record->role == BR_CONTRACT_RECORD_BACKUP
           && br_contract_epoch_compare (&record->epoch, &message->epoch) == 0)
    br_backup_take_over (contracts, record, now);
}

static bool
backup_lost_owner (br_contracts_t *contracts,
                   const br_contract_record_t *record,
                   br_ms_t now)
{
  const br_contract_peer_t *peer
      = br_contracts_peer (contracts, &record->epoch.owner);

  /* The owner's process may have restarted before the copy arrived. */
  if (peer == NULL || record->epoch.owner_incarnation < peer->incarnation)
    return true;
  return !peer->up
         && now - BR_MAX (peer->down_ms, peer->last_seen_ms)
                >= contracts->options.take_over_ms;
}

void
br_backup_on_tick (br_contracts_t *contracts,
                   br_contract_record_t *record,
                   br_ms_t now)
{
  if (record->complete_ms != BR_MS_NEVER
      && now - record->complete_ms >= contracts->options.retention_ms)
    {
      br_contract_record_end (contracts, record, now);
      return;
    }
  if (backup_lost_owner (contracts, record, now))
    br_backup_take_over (contracts, record, now);
  else if (now - record->progress_ms >= ORPHAN_CHECK_MS)
    {
      record->progress_ms = now;
      backup_confirm (contracts, record, &record->epoch.owner,
                      BR_CONTRACT_HELD);
    }
}
