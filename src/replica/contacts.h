/* The control VMs that a VM asks and dials: those of its settings and those
 * that other VMs named as members of the log. */
#ifndef BR_REPLICA_CONTACTS_H
#define BR_REPLICA_CONTACTS_H

#include "base/clock.h"
#include "base/label.h"

BR_BEGIN_DECLS

/* A VM that was named, and when last. */
typedef struct
{
  br_name_t vm;
  br_ms_t named_ms;
} br_contact_t;

BR_VEC (br_contact_list, br_contact_t);

typedef struct
{
  br_names_t seeds;        /* from the settings; owned */
  br_contact_list_t named; /* owned */
  br_ms_t list_ms;         /* when VMs were last named; 0: never */
} br_contacts_t;

void br_contacts_release (br_contacts_t *contacts);

/* Replaces the VMs of the settings. */
void br_contacts_set_seeds (br_contacts_t *contacts, const br_names_t *seeds);

/* Adds a VM that another one named at NOW. */
void
br_contacts_add (br_contacts_t *contacts, const br_name_t *vm, br_ms_t now);

/* Forgets the VMs that have not been named for a while although others were.
 * While nobody names any, none is forgotten. */
void br_contacts_expire (br_contacts_t *contacts);

/* Fills VMS with the seeds and the named VMs, each once, without SELF. */
void br_contacts_list (const br_contacts_t *contacts,
                       const br_name_t *self,
                       br_names_t *vms);

/* Adds VM to VMS unless it is there. */
void br_contacts_put (br_names_t *vms, const br_name_t *vm);
bool br_contacts_have (const br_names_t *vms, const br_name_t *vm);

BR_END_DECLS

#endif
