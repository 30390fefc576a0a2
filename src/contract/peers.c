/* Tracks the links, restarts and announced leaving of the other entry VMs. */
#include "contract/record.h"

br_contract_peer_t *
br_contracts_peer (br_contracts_t *contracts, const br_name_t *vm)
{
  for (size_t i = 0; i < contracts->peers.len; i++)
    if (br_name_equal (&contracts->peers.items[i].vm, vm))
      return &contracts->peers.items[i];
  return NULL;
}

void
br_contracts_add_peer (br_contracts_t *contracts,
                       const br_name_t *vm,
                       const br_name_t *failure_domain)
{
  br_contract_peer_t peer = { .vm = *vm, .failure_domain = *failure_domain };

  br_contract_peers_push (&contracts->peers, peer);
}

/* Handles a restart of PEER's process. */
static void
contracts_on_restart (br_contracts_t *contracts,
                      const br_contract_peer_t *peer,
                      br_ms_t now)
{
  br_contract_record_t *record;
  br_contract_record_t *next;

  HASH_ITER (hh, contracts->records, record, next)
  {
    if (record->role == BR_CONTRACT_RECORD_OWNER
        && br_name_equal (&record->backup, &peer->vm))
      br_owner_on_backup_restart (contracts, record, now);
    else if (record->role == BR_CONTRACT_RECORD_BACKUP
             && br_name_equal (&record->epoch.owner, &peer->vm)
             && record->epoch.owner_incarnation != peer->incarnation)
      br_backup_take_over (contracts, record, now);
  }
}

/* Sends SUPERSEDED to VM, whose link is up again, for each contract that this
 * VM took over from it.  VM may not have received it before. */
static void
contracts_notify_previous_owner (br_contracts_t *contracts, const br_name_t *vm)
{
  br_contract_record_t *record;
  br_contract_record_t *next;

  HASH_ITER (hh, contracts->records, record, next)
  if (record->role == BR_CONTRACT_RECORD_OWNER
      && br_name_equal (&record->previous_owner, vm))
    br_contract_record_send (contracts, record, vm, BR_CONTRACT_SUPERSEDED);
}

void
br_contracts_on_link (br_contracts_t *contracts,
                      const br_name_t *vm,
                      uint64_t incarnation,
                      bool up,
                      br_ms_t now)
{
  br_contract_peer_t *peer = br_contracts_peer (contracts, vm);
  bool replaced;

  if (peer == NULL)
    return;
  if (!up)
    {
      peer->down_ms = now;
      peer->up = false;
      return;
    }
  replaced = peer->incarnation != 0 && peer->incarnation != incarnation;
  peer->incarnation = incarnation;
  peer->up = true;
  if (replaced)
    {
      peer->leaving = false;
      contracts_on_restart (contracts, peer, now);
    }
  contracts_notify_previous_owner (contracts, vm);
}

void
br_contracts_leave (br_contracts_t *contracts, br_ms_t now)
{
  (void)now;
  contracts->leaving = true;
  for (size_t i = 0; i < contracts->peers.len; i++)
    {
      br_contract_action_t action = { .kind = BR_CONTRACT_SEND };

      action.vm = contracts->peers.items[i].vm;
      action.message.kind = BR_CONTRACT_LEAVING;
      br_contract_outbox_push (&contracts->outbox, action);
    }
}
