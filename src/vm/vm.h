/* The view that one entry VM has of another: incarnation, liveness, and the
 * rule that merges two views. */
#ifndef BR_VM_VM_H
#define BR_VM_VM_H

#include <stdint.h>

#include "base/str.h"

BR_BEGIN_DECLS

/* X (id, name).  At equal incarnation and version a later state takes
 * precedence. */
#define BR_VM_STATE_TABLE(X)                                                   \
  X (UP, "up")                                                                 \
  X (SUSPECT, "suspect")                                                       \
  X (DOWN, "down")

typedef enum
{
#define X(id, name) BR_VM_##id,
  BR_VM_STATE_TABLE (X)
#undef X
      BR_VM_STATE_COUNT
} br_vm_state_t;

/* INCARNATION rises with each process that uses the name; 0 means that none has
 * been seen yet.  VERSION rises each time the VM refutes a suspicion. */
typedef struct
{
  br_name_t name;
  uint64_t incarnation;
  uint32_t version;
  br_vm_state_t state;
  bool leaving; /* permanent in this incarnation */
} br_vm_t;

const char *br_vm_state_name (br_vm_state_t state);

/* Merges UPDATE, a view of the same VM, into *VM.  The merge is commutative,
 * associative and idempotent, so the order and number of messages do not
 * matter.  Returns whether *VM changed. */
bool br_vm_merge (br_vm_t *vm, const br_vm_t *update);

BR_END_DECLS

#endif
