/* The platform's list of VMs and its reclaim notices, as read from JSON, and
 * what they change in the registry. */
#ifndef BR_UPSTREAM_VM_LIST_H
#define BR_UPSTREAM_VM_LIST_H

#include "base/error.h"
#include "upstream/registry.h"

BR_BEGIN_DECLS

/* Longest list and most notices taken in one reading. */
#define BR_VM_LIST_MAX 10000

/* One VM of the list; an entry VM uses the name and incarnation only. */
typedef struct
{
  bool is_entry;
  bool leaving;
  br_upstream_t upstream; /* labels owned until applied */
} br_listed_vm_t;

BR_VEC (br_listed_vms, br_listed_vm_t);

typedef struct
{
  uint64_t revision;
  bool unchanged; /* since the revision asked for; VMS is empty */
  br_listed_vms_t vms;
} br_vm_list_t;

/* The platform takes a VM back. */
typedef struct
{
  uint64_t number; /* rises by one with each notice */
  br_name_t vm;
  uint64_t incarnation;
  br_ms_t leave_in_ms;
} br_reclaim_t;

BR_VEC (br_reclaims, br_reclaim_t);

/* Reads {"revision":N,"vms":[...]} or {"revision":N,"unchanged":true}.  One
 * entry that is not valid makes the whole list invalid.  The caller releases
 * LIST in either case. */
bool br_vm_list_read (br_str_t json, br_vm_list_t *list, br_error_t *err);
void br_vm_list_release (br_vm_list_t *list);

/* Reads {"notices":[...]}; the caller frees RECLAIMS in either case. */
bool br_reclaims_read (br_str_t json, br_reclaims_t *reclaims, br_error_t *err);

/* Puts the upstreams of LIST into REGISTRY, marks those as removed that came
 * from a list and are no longer there, and sweeps.  Names of upstreams that
 * changed go to CHANGED.  Takes the labels out of LIST. */
void br_vm_list_apply (br_vm_list_t *list,
                       br_registry_t *registry,
                       br_ms_t now,
                       br_names_t *changed);

BR_END_DECLS

#endif
