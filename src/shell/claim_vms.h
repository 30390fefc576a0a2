/* Which entry VMs are there to end their claims. */
#ifndef BR_SHELL_CLAIM_VMS_H
#define BR_SHELL_CLAIM_VMS_H

#include "base/clock.h"
#include "state/message.h"

BR_BEGIN_DECLS

typedef struct br_claim_vms br_claim_vms_t;

/* VM is this one; a VM that was never seen counts as away since STARTED_MS. */
br_claim_vms_t *br_claim_vms_new (const br_name_t *vm, br_ms_t started_ms);
void br_claim_vms_free (br_claim_vms_t *vms);
void br_claim_vms_update (br_claim_vms_t *vms,
                          br_ms_t now,
                          const br_name_t *vm,
                          uint64_t incarnation,
                          bool up);

/* Whether OWNER's VM has started anew, or has been away for long. */
bool br_claim_vms_is_lost (const br_claim_vms_t *vms,
                           br_ms_t now,
                           const br_claim_owner_t *owner);

BR_END_DECLS

#endif
