/* Tracks which entry VMs are up, to decide when the owner of a claim is
 * lost. */
#ifndef BR_SHELL_CLAIM_VMS_H
#define BR_SHELL_CLAIM_VMS_H

#include "base/clock.h"
#include "state/message.h"

BR_BEGIN_DECLS

typedef struct br_claim_vms br_claim_vms_t;

/* VM is the name of this VM.  A VM that was never seen counts as down since
 * STARTED_MS. */
br_claim_vms_t *br_claim_vms_new (const br_name_t *vm, br_ms_t started_ms);
void br_claim_vms_free (br_claim_vms_t *vms);

/* Records the state of VM at NOW. */
void br_claim_vms_update (br_claim_vms_t *vms,
                          br_ms_t now,
                          const br_name_t *vm,
                          uint64_t incarnation,
                          bool up);

/* Returns whether OWNER's VM has restarted since, or has been down long enough
 * for its claims to be abandoned. */
bool br_claim_vms_is_lost (const br_claim_vms_t *vms,
                           br_ms_t now,
                           const br_claim_owner_t *owner);

BR_END_DECLS

#endif
