/* Parses the platform's VM list, reclaim notices and offers from JSON, and
 * applies the list to the registry. */
#ifndef BR_UPSTREAM_VM_LIST_H
#define BR_UPSTREAM_VM_LIST_H

#include "base/error.h"
#include "upstream/registry.h"

BR_BEGIN_DECLS

/* Maximum number of VMs, notices or offers in one answer. */
#define BR_VM_LIST_MAX 10000

/* One VM of the list.  Of an entry VM only the name and incarnation are used.
 */
typedef struct
{
  bool is_entry;
  bool leaving;
  br_upstream_t upstream; /* labels owned until applied */
} br_listed_vm_t;

BR_VEC (br_listed_vms, br_listed_vm_t);

/* One kind of VM that the platform offers. */
typedef struct
{
  br_name_t machine_class;
  br_name_t failure_domain;
  bool reclaimable;
  uint32_t price; /* cost units per hour */
} br_offer_t;

BR_VEC (br_offers, br_offer_t);

/* The entries of an answer that are not used. */
typedef struct
{
  size_t n;
  br_error_t first; /* what the first one is; set if N > 0 */
} br_odd_entries_t;

typedef struct
{
  uint64_t revision;
  bool unchanged; /* since the requested revision; VMS is empty */
  br_listed_vms_t vms;
  br_odd_entries_t odd;
} br_vm_list_t;

/* A notice that the platform will reclaim a VM. */
typedef struct
{
  uint64_t number; /* increases by one with each notice */
  br_name_t vm;
  uint64_t incarnation;
  br_ms_t leave_in_ms;
} br_reclaim_t;

BR_VEC (br_reclaims, br_reclaim_t);

/* Parses {"revision":N,"vms":[...]} or {"revision":N,"unchanged":true}.  An
 * invalid entry is left out.  The caller releases LIST in either case. */
bool br_vm_list_read (br_str_t json, br_vm_list_t *list, br_error_t *err);
void br_vm_list_release (br_vm_list_t *list);

/* Parses {"notices":[...]}.  An invalid notice is left out.  The caller frees
 * RECLAIMS in either case. */
bool br_reclaims_read (br_str_t json,
                       br_reclaims_t *reclaims,
                       br_odd_entries_t *odd,
                       br_error_t *err);

/* Parses {"offers":[...]} and sorts them by price.  An invalid offer is left
 * out.  The caller frees OFFERS in either case. */
bool br_offers_read (br_str_t json,
                     br_offers_t *offers,
                     br_odd_entries_t *odd,
                     br_error_t *err);

/* Puts the upstreams of LIST into REGISTRY, marks upstreams of earlier lists
 * that are not in LIST as removed, and sweeps the registry.  Appends the names
 * of upstreams that were added, replaced or removed to CHANGED.  Moves the
 * labels out of LIST. */
void br_vm_list_apply (br_vm_list_t *list,
                       br_registry_t *registry,
                       br_ms_t now,
                       br_names_t *changed);

BR_END_DECLS

#endif
