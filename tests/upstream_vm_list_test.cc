#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "upstream/vm_list.h"

static const char both[]
    = "{\"revision\":4,\"vms\":["
      "{\"name\":\"e1\",\"role\":\"upstream\",\"failure_domain\":\"chuy\","
      "\"address\":\"127.0.0.1\",\"port\":4001,\"incarnation\":7,"
      "\"state\":\"live\",\"class\":\"a10\",\"price\":12,"
      "\"reclaimable\":true,\"labels\":{\"model\":\"m\"}},"
      "{\"name\":\"chuy-1\",\"role\":\"entry\",\"failure_domain\":\"chuy\","
      "\"incarnation\":3,\"state\":\"leaving\"}]}";

static void
apply (const char *json, br_registry_t *registry, br_names_t *changed)
{
  br_vm_list_t list;
  br_error_t err;

  ASSERT_TRUE (br_vm_list_read (br_str_from (json), &list, &err));
  br_vm_list_apply (&list, registry, 10, changed);
  br_vm_list_release (&list);
}

TEST (VmList, UpstreamsAreAddedAndRemoved)
{
  br_registry_t registry = {};
  br_names_t changed = {};
  br_upstream_t *e1;

  apply (both, &registry, &changed);
  ASSERT_EQ (registry.upstreams.len, 1u);
  e1 = br_registry_find (&registry, br_str_from ("e1"));
  EXPECT_EQ (e1->incarnation, 7u);
  EXPECT_EQ (e1->price, 12u);
  EXPECT_TRUE (e1->reclaimable);
  EXPECT_STREQ (br_labels_get (&e1->labels, br_str_from ("model"))->data, "m");
  EXPECT_EQ (changed.len, 1u);
  apply (both, &registry, &changed);
  EXPECT_EQ (changed.len, 1u);
  apply ("{\"revision\":5,\"vms\":[]}", &registry, &changed);
  EXPECT_EQ (changed.len, 2u);
  EXPECT_EQ (registry.upstreams.len, 0u);
  br_names_free (&changed);
  br_registry_release (&registry);
}

TEST (VmList, OlderListKeepsANewerIncarnationAndItsNotice)
{
  br_registry_t registry = {};
  br_names_t changed = {};
  br_upstream_t newer = {};

  newer.name = br_name_from ("e1");
  newer.incarnation = 8;
  br_registry_put (&registry, newer);
  br_registry_leave (&registry, br_str_from ("e1"), 8, 5);
  apply (both, &registry, &changed);
  EXPECT_EQ (registry.upstreams.items[0].incarnation, 8u);
  EXPECT_EQ (registry.upstreams.items[0].state, BR_UPSTREAM_LEAVING);
  br_names_free (&changed);
  br_registry_release (&registry);
}

TEST (VmList, InvalidAnswersGiveStepAndPeer)
{
  static const char *const bad[]
      = { "",
          "[]",
          "{}",
          "null",
          "\xff",
          "{\"vms\":3}",
          "{\"vms\":{}}",
          "{\"vms\":[]",
          "{\"vms\":[],{\"name\":\"e1\",\"role\":\"entry\"}]}",
          "{\"vms\":[],\"vms\":[]}",
          "{\"vms\":[{\"name\":\"e1\",\"x\":{]}",
          "{\"vms\":[{\"name\":\"e1\",\"x\":\"]}",
          "{\"vms\":[{\"name\":\"e1\",\"x\":[]}" };

  for (const char *each : bad)
    {
      br_vm_list_t list;
      br_error_t err = {};

      EXPECT_FALSE (br_vm_list_read (br_str_from (each), &list, &err)) << each;
      EXPECT_STREQ (err.step, "read VM list");
      EXPECT_STREQ (err.peer, "platform");
      br_vm_list_release (&list);
    }
}

static std::string
nested (size_t depth)
{
  return std::string (depth, '[') + std::string (depth, ']');
}

/* Entries that name no VM. */
static std::vector<std::string>
odd_vms ()
{
  static const char *const fields[]
      = { "\"address\":\"127.0.0.1\",\"port\":0",
          "\"address\":\"127.0.0.1\",\"port\":65536",
          "\"address\":\"127.0.0.1\",\"port\":70000",
          "\"address\":\"127.0.0.1\",\"port\":-1",
          "\"address\":\"127.0.0.1\",\"port\":4001.5",
          "\"address\":\"127.0.0.1\",\"port\":1e400",
          "\"address\":\"127.0.0.1\",\"port\":\"4001\"",
          "\"address\":\"127.0.0.1\"",
          "\"port\":1",
          "\"address\":\"\",\"port\":1",
          "\"address\":7,\"port\":1",
          "\"address\":\"nowhere.example\",\"port\":1",
          "\"address\":\"127.0.0.1\\u0000\",\"port\":1",
          "\"address\":\"127.0.0.1\",\"port\":1,\"incarnation\":1e400",
          "\"address\":\"127.0.0.1\",\"port\":1,\"incarnation\":NaN",
          "\"address\":\"127.0.0.1\",\"port\":1,\"incarnation\":-1",
          "\"address\":\"127.0.0.1\",\"port\":1,"
          "\"incarnation\":99999999999999999999",
          "\"address\":\"127.0.0.1\",\"port\":1,\"incarnation\":\"7\"",
          "\"address\":\"127.0.0.1\",\"port\":1,\"price\":99999999999",
          "\"address\":\"127.0.0.1\",\"port\":1,\"price\":Infinity",
          "\"address\":\"127.0.0.1\",\"port\":1,\"labels\":{\"a\":1}",
          "\"address\":\"127.0.0.1\",\"port\":1,\"reclaimable\":1",
          "\"address\":\"127.0.0.1\",\"port\":1,\"state\":7",
          "\"address\":\"127.0.0.1\",\"port\":1,\"x\":\"\xff\"",
          "\"address\":\"127.0.0.1\",\"port\":1,\"x\":tru",
          "\"address\":\"127.0.0.1\",\"port\":1,\"x\":[}" };
  std::vector<std::string> odd
      = { "",
          "1",
          "null",
          "tru",
          "\xff\xfe",
          "[]",
          "{}",
          "'x'",
          "{\"name\":\"\",\"role\":\"entry\"}",
          "\"x\"",
          "{\"name\":7}",
          "{\"name\":\"a\\u0000\",\"role\":\"entry\"}",
          "{\"name\":\"a\\nb\",\"role\":\"entry\"}",
          "{\"name\":\"" + std::string (63, 'a') + "\",\"role\":\"entry\"}",
          nested (5),
          nested (200000),
          "{\"name\":\"a\",\"role\":\"entry\",\"x\":" + nested (9) + "}",
          "{\"name\":\"a\",\"role\":\"entry\",\"x\":" + nested (5000) + "}",
          "{\"name\":\"a\",\"role\":\"entry\",\"x\":\""
              + std::string (100000, 'y') + "\"}" };

  for (const char *each : fields)
    odd.push_back (std::string ("{\"name\":\"odd\",") + each + "}");
  return odd;
}

TEST (VmList, AnOddEntryIsSkippedAlone)
{
  for (const std::string &odd : odd_vms ())
    {
      std::string json
          = "{\"revision\":4,\"vms\":[{\"name\":\"e1\",\"address\":"
            "\"127.0.0.1\",\"port\":4001},"
            + odd
            + ",{\"name\":\"e2\",\"address\":\"127.0.0.1\","
              "\"port\":4002}]}";
      br_vm_list_t list;
      br_error_t err = {};

      EXPECT_TRUE (br_vm_list_read (br_str_make (json.data (), json.size ()),
                                    &list, &err))
          << odd.substr (0, 100) << ": " << err.text;
      EXPECT_EQ (list.revision, 4u);
      EXPECT_EQ (list.odd.n, 1u) << odd.substr (0, 100);
      EXPECT_STREQ (list.odd.first.step, "read VM list");
      EXPECT_EQ (std::string (list.odd.first.text).substr (0, 8), "entry 1 ");
      EXPECT_EQ (list.vms.len, 2u) << odd.substr (0, 100);
      if (list.vms.len == 2)
        {
          EXPECT_STREQ (list.vms.items[0].upstream.name.data, "e1");
          EXPECT_STREQ (list.vms.items[1].upstream.name.data, "e2");
        }
      br_vm_list_release (&list);
    }
}

TEST (VmList, AnOddNoticeIsSkippedAlone)
{
  std::vector<std::string> odd
      = { "7",
          "{}",
          "{\"vm\":7}",
          "{\"vm\":\"\"}",
          "{\"vm\":\"a\\n\"}",
          "{\"vm\":\"\xff\"}",
          "{\"vm\":\"e1\",\"number\":\"3\"}",
          "{\"vm\":\"e1\",\"number\":99999999999999999999}",
          "{\"vm\":\"e1\",\"number\":-1}",
          "{\"vm\":\"e1\",\"number\":NaN}",
          "{\"vm\":\"e1\",\"incarnation\":1e400}",
          "{\"vm\":\"e1\",\"leave_in_ms\":99999999999999}",
          "{\"vm\":\"" + std::string (63, 'a') + "\"}",
          "{\"vm\":\"e1\",\"x\":" + nested (5000) + "}",
          "{\"vm\":\"e1\",\"x\":tru}",
          nested (200000) };

  for (const std::string &each : odd)
    {
      std::string json = "{\"notices\":[{\"vm\":\"e1\",\"number\":1},{\"vm\":"
                         "\"e2\",\"number\":3},"
                         + each + "]}";
      br_reclaims_t reclaims;
      br_odd_entries_t odd_notices;
      br_error_t err = {};

      EXPECT_TRUE (br_reclaims_read (br_str_make (json.data (), json.size ()),
                                     &reclaims, &odd_notices, &err))
          << each.substr (0, 100) << ": " << err.text;
      EXPECT_EQ (reclaims.len, 2u) << each.substr (0, 100);
      EXPECT_EQ (odd_notices.n, 1u) << each.substr (0, 100);
      EXPECT_STREQ (odd_notices.first.step, "read reclaim notices");
      br_reclaims_free (&reclaims);
    }
}

TEST (VmList, AnOddOfferIsSkippedAlone)
{
  std::vector<std::string> odd = {
    "7",
    "{}",
    "{\"class\":{},\"failure_domain\":\"f\"}",
    "{\"class\":\"c\"}",
    "{\"class\":\"c\",\"failure_domain\":\"\"}",
    "{\"class\":\"\xff\",\"failure_domain\":\"f\"}",
    "{\"class\":\"c\",\"failure_domain\":\"f\",\"price\":NaN}",
    "{\"class\":\"c\",\"failure_domain\":\"f\",\"price\":1e400}",
    "{\"class\":\"c\",\"failure_domain\":\"f\",\"price\":-1}",
    "{\"class\":\"c\",\"failure_domain\":\"f\",\"price\":99999999999}",
    "{\"class\":\"c\",\"failure_domain\":\"f\",\"reclaimable\":7}",
    "{\"class\":\"c\",\"failure_domain\":\"f\",\"x\":" + nested (5000) + "}",
    "{\"class\":\"c\",\"failure_domain\":\"f\",\"x\":tru}",
    "{\"class\":\"" + std::string (63, 'c') + "\",\"failure_domain\":\"f\"}",
    nested (200000)
  };

  for (const std::string &each : odd)
    {
      std::string json = "{\"offers\":[{\"class\":\"b\",\"failure_domain\":"
                         "\"f\",\"price\":7},"
                         + each
                         + ",{\"class\":\"a\",\"failure_domain\":\"f\","
                           "\"price\":3,\"reclaimable\":true}]}";
      br_offers_t offers;
      br_odd_entries_t odd_offers;
      br_error_t err = {};

      EXPECT_TRUE (br_offers_read (br_str_make (json.data (), json.size ()),
                                   &offers, &odd_offers, &err))
          << each.substr (0, 100) << ": " << err.text;
      EXPECT_EQ (odd_offers.n, 1u) << each.substr (0, 100);
      ASSERT_EQ (offers.len, 2u) << each.substr (0, 100);
      EXPECT_STREQ (offers.items[0].machine_class.data, "a");
      EXPECT_TRUE (offers.items[0].reclaimable);
      EXPECT_EQ (offers.items[1].price, 7u);
      br_offers_free (&offers);
    }
}

TEST (VmList, AnOddEntryIsNamedWithItsFieldAndLimit)
{
  br_vm_list_t list;
  br_error_t err = {};

  ASSERT_TRUE (br_vm_list_read (
      br_str_from ("{\"vms\":[{\"name\":\"e1\",\"address\":\"127.0.0.1\","
                   "\"port\":70000}]}"),
      &list, &err));
  EXPECT_STREQ (list.odd.first.text,
                "entry 0 'e1': port is 70000: expected 0 to 65535");
  br_vm_list_release (&list);
}
