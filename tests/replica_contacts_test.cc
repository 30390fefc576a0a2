#include <gtest/gtest.h>

#include "replica/contacts.h"

static br_names_t
names (std::initializer_list<const char *> list)
{
  br_names_t out = {};

  for (const char *name : list)
    br_names_push (&out, br_name_from (name));
  return out;
}

static std::string
listed (const br_contacts_t &contacts)
{
  br_name_t self = br_name_from ("self");
  br_names_t vms = {};
  std::string out;

  br_contacts_list (&contacts, &self, &vms);
  for (size_t i = 0; i < vms.len; i++)
    out += std::string (i > 0 ? " " : "") + vms.items[i].data;
  br_names_free (&vms);
  return out;
}

static void
add (br_contacts_t *contacts, const char *vm, br_ms_t now)
{
  br_name_t name = br_name_from (vm);

  br_contacts_add (contacts, &name, now);
}

TEST (ReplicaContacts, NewSeedsReplaceTheOldOnes)
{
  br_contacts_t contacts = {};
  br_names_t first = names ({ "a", "b", "self" });
  br_names_t second = names ({ "c", "c" });

  br_contacts_set_seeds (&contacts, &first);
  add (&contacts, "b", 1);
  EXPECT_EQ (listed (contacts), "a b");
  br_contacts_set_seeds (&contacts, &second);
  EXPECT_EQ (listed (contacts), "c b");
  br_names_free (&first);
  br_names_free (&second);
  br_contacts_release (&contacts);
}

TEST (ReplicaContacts, ForgetsWhatOthersNoLongerName)
{
  br_contacts_t contacts = {};

  add (&contacts, "gone", 1000);
  for (br_ms_t now = 1000; now <= 11000; now += 500)
    add (&contacts, "member", now);
  br_contacts_expire (&contacts);
  EXPECT_EQ (listed (contacts), "gone member");
  add (&contacts, "member", 11001);
  br_contacts_expire (&contacts);
  EXPECT_EQ (listed (contacts), "member");
  br_contacts_release (&contacts);
}

/* A VM that is cut off for long must find the others again afterwards. */
TEST (ReplicaContacts, KeepsAllWhileNobodyNamesAny)
{
  br_contacts_t contacts = {};

  add (&contacts, "a", 1000);
  add (&contacts, "b", 1000);
  br_contacts_expire (&contacts);
  EXPECT_EQ (listed (contacts), "a b");
  br_contacts_release (&contacts);
}

TEST (ReplicaContacts, IsBounded)
{
  br_contacts_t contacts = {};

  for (int i = 0; i < 1000; i++)
    add (&contacts, ("vm-" + std::to_string (i)).c_str (), 1);
  EXPECT_LE (contacts.named.len, 64u);
  br_contacts_release (&contacts);
}
