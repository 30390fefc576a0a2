#include "vm/vm.h"

#include <assert.h>

static const char *const state_names[] = {
#define X(id, name) name,
  BR_VM_STATE_TABLE (X)
#undef X
};

const char *
br_vm_state_name (br_vm_state_t state)
{
  return (unsigned)state < BR_VM_STATE_COUNT ? state_names[state] : "unknown";
}

static bool
vm_is_newer (const br_vm_t *a, const br_vm_t *b)
{
  if (a->version != b->version)
    return a->version > b->version;
  return a->state > b->state;
}

bool
br_vm_merge (br_vm_t *vm, const br_vm_t *update)
{
  bool changed = false;

  assert (br_name_equal (&vm->name, &update->name));
  if (update->incarnation < vm->incarnation)
    return false;
  if (update->incarnation > vm->incarnation)
    {
      *vm = *update;
      return true;
    }
  if (vm_is_newer (update, vm))
    {
      vm->version = update->version;
      vm->state = update->state;
      changed = true;
    }
  if (update->leaving && !vm->leaving)
    {
      vm->leaving = true;
      changed = true;
    }
  return changed;
}
