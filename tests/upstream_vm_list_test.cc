#include <gtest/gtest.h>

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
          "{\"vms\":3}",
          "{\"vms\":[1]}",
          "{\"vms\":[{\"name\":\"e1\"}]}",
          "{\"vms\":[{\"name\":\"e1\",\"address\":\"a\",\"port\":70000}]}",
          "{\"vms\":[{\"name\":\"e1\",\"address\":\"a\",\"port\":1,"
          "\"labels\":{\"a\":1}}]}" };

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
