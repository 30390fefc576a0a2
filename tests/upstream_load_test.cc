#include <gtest/gtest.h>

#include <string>

#include "base/random.h"
#include "domain/watcher.h"
#include "upstream/load_digest.h"

TEST (Load, ParsesTheLoadReportOfAnEngine)
{
  br_load_t load;
  br_error_t err = {};

  ASSERT_TRUE (br_load_read (
      br_str_from ("{\"running\":3,\"waiting\":2,\"slots\":8,\"token_ms\":25,"
                   "\"prefill_per_s\":4000,\"age_ms\":1500}"),
      "e1", 10000, &load, &err));
  EXPECT_TRUE (load.known);
  EXPECT_EQ (load.taken_ms, 8500);
  EXPECT_EQ (load.running, 3u);
  EXPECT_EQ (load.prefill_per_s, 4000u);
  EXPECT_TRUE (
      br_load_read (br_str_from ("{\"running\":-4}"), "e1", 0, &load, &err));
  EXPECT_EQ (load.running, 0u);
  EXPECT_FALSE (br_load_read (br_str_from ("[1]"), "e1", 0, &load, &err));
  EXPECT_STREQ (err.step, "read load");
  EXPECT_STREQ (err.peer, "e1");
}

TEST (Load, AnOddLoadReportIsRefusedOrBounded)
{
  std::string deep = "{\"running\":3,\"x\":" + std::string (200000, '[')
                     + std::string (200000, ']') + "}";
  const std::string refused[]
      = { "", "7", "null", "\xff", "{\"running\":", "{\"running\":tru}", deep };
  const std::string idle[]
      = { "{}", "{\"running\":\"3\"}", "{\"running\":NaN}",
          "{\"running\":-Infinity}", "{\"running\":1e400}" };
  br_load_t load;
  br_error_t err = {};

  for (const std::string &each : refused)
    EXPECT_FALSE (br_load_read (br_str_make (each.data (), each.size ()), "e1",
                                0, &load, &err))
        << each.substr (0, 40);
  for (const std::string &each : idle)
    {
      EXPECT_TRUE (br_load_read (br_str_make (each.data (), each.size ()), "e1",
                                 0, &load, &err));
      EXPECT_EQ (load.running, 0u) << each;
    }
  EXPECT_TRUE (br_load_read (br_str_from ("{\"running\":99999999999999999999,"
                                          "\"slots\":99999999999}"),
                             "e1", 0, &load, &err));
  EXPECT_EQ (load.running, (uint32_t)INT32_MAX);
  EXPECT_EQ (load.slots, (uint32_t)INT32_MAX);
}

static br_load_report_t
report_make (void)
{
  br_load_report_t report = {};

  report.name = br_name_from ("e1");
  report.incarnation = 9;
  report.load.known = true;
  report.load.taken_ms = 700;
  report.load.running = 5;
  return report;
}

TEST (LoadDigest, KeepsTheAgeOfAReport)
{
  br_load_report_t report = report_make ();
  br_load_reports_t got;
  br_buf_t bytes = {};
  br_error_t err = {};

  br_load_digest_pack (&report, 1, 1000, &bytes);
  ASSERT_TRUE (
      br_load_digest_unpack (br_buf_str (&bytes), "vm", 50000, &got, &err));
  ASSERT_EQ (got.len, 1u);
  EXPECT_EQ (got.items[0].load.taken_ms, 49700);
  EXPECT_EQ (got.items[0].load.running, 5u);
  br_load_reports_free (&got);
  br_buf_free (&bytes);
}

TEST (LoadDigest, CorruptedBytesAreRejectedOrDecoded)
{
  br_random_t random;

  br_random_seed (&random, 3);
  for (int round = 0; round < 20000; round++)
    {
      br_load_report_t report = report_make ();
      br_load_reports_t got;
      br_buf_t bytes = {};
      br_error_t err = {};

      br_load_digest_pack (&report, 1, 1000, &bytes);
      for (int i = 0; i < 2; i++)
        bytes.data[br_random_below (&random, bytes.len)]
            = (char)br_random_below (&random, 256);
      if (!br_load_digest_unpack (br_buf_str (&bytes), "vm", 0, &got, &err))
        {
          EXPECT_STREQ (err.peer, "vm");
        }
      br_load_reports_free (&got);
      br_buf_free (&bytes);
    }
}

#define WATCHERS 6

/* The members in the view of VM number SELF: two failure domains of three
 * VMs. */
static br_members_t
members_seen_by (int self, int down)
{
  br_members_t members = {};

  for (int i = 0; i < WATCHERS; i++)
    {
      br_member_t member = {};

      if (i == self)
        continue;
      member.vm.name = br_name_from (("vm-" + std::to_string (i)).c_str ());
      member.vm.state = i == down ? BR_VM_DOWN : BR_VM_UP;
      member.failure_domain = br_name_from (i < 3 ? "a" : "b");
      br_members_push (&members, member);
    }
  return members;
}

static size_t
rank_of (int self, int down, const char *upstream, const char *domain)
{
  br_watcher_self_t own = {};
  br_members_t members = members_seen_by (self, down);
  br_name_t name = br_name_from (upstream);
  br_name_t of = br_name_from (domain);
  size_t rank;

  own.vm = br_name_from (("vm-" + std::to_string (self)).c_str ());
  own.failure_domain = br_name_from (self < 3 ? "a" : "b");
  rank = br_watcher_rank (&own, &members, &name, &of);
  br_members_free (&members);
  return rank;
}

TEST (Watcher, OneVmWatchesAndTheNextTakesOverWhenItIsDown)
{
  for (int upstream = 0; upstream < 200; upstream++)
    {
      std::string name = "e" + std::to_string (upstream);
      int watcher = -1;
      int standby = -1;

      for (int vm = 0; vm < WATCHERS; vm++)
        {
          size_t rank = rank_of (vm, -1, name.c_str (), "a");

          if (rank == 0)
            {
              EXPECT_EQ (watcher, -1);
              EXPECT_LT (vm, 3);
              watcher = vm;
            }
          else if (rank == 1)
            standby = vm;
        }
      ASSERT_NE (watcher, -1);
      EXPECT_EQ (rank_of (standby, watcher, name.c_str (), "a"), 0u);
    }
}

TEST (Watcher, DomainWithoutEntryVmsIsWatchedFromAnotherDomain)
{
  int watchers = 0;

  for (int vm = 0; vm < WATCHERS; vm++)
    watchers += rank_of (vm, -1, "e1", "elsewhere") == 0;
  EXPECT_EQ (watchers, 1);
}
