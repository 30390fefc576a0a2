#include "replica/contacts.h"

/* A VM that no list has named for this long is forgotten.  Lists of VMs that
 * have missed a change of the members may still name it for a few seconds. */
#define FORGET_MS 10000

/* Maximum number of named VMs. */
#define NAMED_MAX 64

void
br_contacts_release (br_contacts_t *contacts)
{
  br_names_free (&contacts->seeds);
  br_contact_list_free (&contacts->named);
}

bool
br_contacts_have (const br_names_t *vms, const br_name_t *vm)
{
  for (size_t i = 0; i < vms->len; i++)
    if (br_name_equal (&vms->items[i], vm))
      return true;
  return false;
}

void
br_contacts_put (br_names_t *vms, const br_name_t *vm)
{
  if (!br_contacts_have (vms, vm))
    br_names_push (vms, *vm);
}

void
br_contacts_set_seeds (br_contacts_t *contacts, const br_names_t *seeds)
{
  br_names_clear (&contacts->seeds);
  for (size_t i = 0; i < seeds->len; i++)
    br_contacts_put (&contacts->seeds, &seeds->items[i]);
}

void
br_contacts_add (br_contacts_t *contacts, const br_name_t *vm, br_ms_t now)
{
  br_contact_list_t *named = &contacts->named;

  contacts->list_ms = BR_MAX (contacts->list_ms, now);
  for (size_t i = 0; i < named->len; i++)
    if (br_name_equal (&named->items[i].vm, vm))
      {
        named->items[i].named_ms = now;
        return;
      }
  if (named->len < NAMED_MAX)
    br_contact_list_push (named, (br_contact_t){ *vm, now });
}

void
br_contacts_expire (br_contacts_t *contacts)
{
  br_contact_list_t *named = &contacts->named;

  for (size_t i = 0; i < named->len;)
    if (contacts->list_ms - named->items[i].named_ms > FORGET_MS)
      named->items[i] = named->items[--named->len];
    else
      i++;
}

void
br_contacts_list (const br_contacts_t *contacts,
                  const br_name_t *self,
                  br_names_t *vms)
{
  for (size_t i = 0; i < contacts->seeds.len; i++)
    if (!br_name_equal (&contacts->seeds.items[i], self))
      br_contacts_put (vms, &contacts->seeds.items[i]);
  for (size_t i = 0; i < contacts->named.len; i++)
    if (!br_name_equal (&contacts->named.items[i].vm, self))
      br_contacts_put (vms, &contacts->named.items[i].vm);
}
