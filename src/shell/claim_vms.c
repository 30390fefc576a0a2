#include "shell/claim_vms.h"

#include <stdlib.h>
#include <uthash.h>

/* The claims of a VM are abandoned when it has been down for this long plus a
 * part of the spread, which depends on the name of the VM that abandons
 * them. */
#define ABANDON_AFTER_MS 5000
#define ABANDON_SPREAD_MS 3000

typedef struct
{
  br_name_t name;
  uint64_t incarnation;
  bool up;
  br_ms_t since_ms;  /* when UP changed last */
  UT_hash_handle hh; /* by name.data */
} vm_t;

struct br_claim_vms
{
  vm_t *vms;
  br_ms_t started_ms;
  br_ms_t abandon_after_ms; /* down time of another VM */
};

br_claim_vms_t *
br_claim_vms_new (const br_name_t *vm, br_ms_t started_ms)
{
  br_claim_vms_t *vms = br_alloc_zero (sizeof *vms);

  vms->started_ms = started_ms;
  vms->abandon_after_ms
      = ABANDON_AFTER_MS
        + (br_ms_t)(br_str_hash (br_name_str (vm), 0) % ABANDON_SPREAD_MS);
  return vms;
}

void
br_claim_vms_free (br_claim_vms_t *vms)
{
  vm_t *vm;
  vm_t *next;

  HASH_ITER (hh, vms->vms, vm, next)
  {
    HASH_DEL (vms->vms, vm);
    free (vm);
  }
  free (vms);
}

void
br_claim_vms_update (br_claim_vms_t *vms,
                     br_ms_t now,
                     const br_name_t *name,
                     uint64_t incarnation,
                     bool up)
{
  vm_t *vm;

  HASH_FIND_STR (vms->vms, name->data, vm);
  if (vm == NULL)
    {
      vm = br_alloc_zero (sizeof *vm);
      vm->name = *name;
      HASH_ADD_KEYPTR (hh, vms->vms, vm->name.data, vm->name.len, vm);
    }
  vm->incarnation = BR_MAX (vm->incarnation, incarnation);
  if (vm->up != up || vm->since_ms == 0)
    vm->since_ms = now;
  vm->up = up;
}

bool
br_claim_vms_is_lost (const br_claim_vms_t *vms,
                      br_ms_t now,
                      const br_claim_owner_t *owner)
{
  br_ms_t since_ms = vms->started_ms;
  vm_t *vm;

  HASH_FIND_STR (vms->vms, owner->vm, vm);
  if (vm != NULL && owner->incarnation < vm->incarnation)
    return true;
  if (vm != NULL && vm->up)
    return false;
  if (vm != NULL)
    since_ms = vm->since_ms;
  return now - since_ms >= vms->abandon_after_ms;
}
