#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

extern "C"
{
#include "base/random.h"
#include "organisation/digest_codec.h"
#include "organisation/fair_queue.h"
#include "organisation/limits.h"
}

namespace
{

constexpr int kVms = 3;
constexpr int kRps = 30;
constexpr int kSlots = 12;
constexpr br_ms_t kStep = 50;

struct Packet
{
  br_ms_t at;
  int to;
  br_buf_t bytes;
  br_name_t from;
};

/* Simulates the entry VMs of one failure domain.  The network delays, drops,
 * duplicates and blocks messages.  Each VM's clock has its own offset. */
struct Domain
{
  br_random_t random;
  br_names_t names = {};
  br_limits_t vms[kVms] = {};
  br_ms_t offset[kVms] = {};
  uint64_t incarnation[kVms] = {};
  bool disconnected[kVms] = {};
  br_ms_t now = 100000;
  std::multimap<br_ms_t, Packet> network;
  std::vector<br_ms_t> admitted;
  int running[kVms] = {};
  int restarts = 0;
  int in_flight_peak = 0;
  uint64_t rate_peak = 0;
  uint64_t slots_peak = 0;
  br_ms_t delay_max = 20;

  explicit Domain (uint64_t seed)
  {
    br_random_seed (&random, seed);
    for (int i = 0; i < kVms; i++)
      br_names_push (
          &names, br_name_from (("castillos-" + std::to_string (i)).c_str ()));
    for (int i = 0; i < kVms; i++)
      {
        offset[i] = (br_ms_t)br_random_below (&random, 50000);
        Start (i);
      }
  }
  ~Domain ()
  {
    for (auto &each : network)
      br_buf_free (&each.second.bytes);
    for (auto &vm : vms)
      br_limits_release (&vm);
    br_names_free (&names);
  }
  void
  Start (int i)
  {
    br_admission_options_t options = {};
    br_admission_limits_t declared
        = { br_name_from ("large"), 1, kRps, kSlots };
    options.vm = names.items[i];
    options.incarnation = ++incarnation[i];
    options.vms = &names;
    options.now = now + offset[i];
    br_limits_init (&vms[i], &options);
    br_limits_declare (&vms[i], &declared, options.now);
  }
  br_organisation_usage_t *
  Large (int i)
  {
    br_name_t name = br_name_from ("large");
    return br_limits_find (&vms[i], &name);
  }
  void
  Restart (int i)
  {
    br_limits_release (&vms[i]);
    running[i] = 0;
    restarts++;
    Start (i);
  }
  void
  Send (int from, const br_admission_digest_t *digest)
  {
    if (disconnected[from] || br_random_below (&random, 10) == 0)
      return;
    int copies = br_random_below (&random, 10) == 0 ? 2 : 1;
    for (int c = 0; c < copies; c++)
      for (int to = 0; to < kVms; to++)
        if (br_name_equal (&names.items[to], &digest->vm))
          {
            Packet packet = {
              now + (br_ms_t)br_random_below (&random, (uint64_t)delay_max),
              to,
              {},
              names.items[from]
            };
            br_digest_pack (digest, &packet.bytes);
            network.emplace (packet.at, packet);
          }
  }
  void
  Request (int i)
  {
    if (br_limits_request (Large (i), now + offset[i]) > 0)
      return;
    br_limits_take (Large (i), now + offset[i]);
    admitted.push_back (now);
    running[i]++;
  }
  void
  End (int i)
  {
    if (running[i] == 0)
      return;
    running[i]--;
    br_limits_end (Large (i), kStep);
  }
  void
  Deliver ()
  {
    while (!network.empty () && network.begin ()->first <= now)
      {
        Packet packet = network.begin ()->second;
        network.erase (network.begin ());
        br_admission_digest_t digest;
        br_error_t err;
        ASSERT_TRUE (br_digest_unpack (br_buf_str (&packet.bytes), &packet.from,
                                       &digest, &err))
            << err.text;
        br_buf_free (&packet.bytes);
        if (!disconnected[packet.to])
          br_limits_on_digest (&vms[packet.to], &digest);
        br_admission_demands_free (&digest.demands);
      }
  }
  void
  Measure ()
  {
    uint64_t rate = 0;
    uint64_t slots = 0;
    int in_flight = 0;
    for (int i = 0; i < kVms; i++)
      {
        rate += br_lease_share_usable (&Large (i)->rate, now + offset[i]);
        slots += br_lease_share_usable (&Large (i)->slots, now + offset[i]);
        in_flight += running[i];
      }
    rate_peak = std::max (rate_peak, rate);
    slots_peak = std::max (slots_peak, slots);
    in_flight_peak = std::max (in_flight_peak, in_flight);
  }
  void
  Step ()
  {
    br_admission_outbox_t outbox = {};
    now += kStep;
    Deliver ();
    Measure ();
    for (int i = 0; i < kVms; i++)
      {
        br_limits_tick (&vms[i], now + offset[i], &outbox);
        for (size_t k = 0; k < outbox.len; k++)
          Send (i, &outbox.items[k].digest);
        br_admission_outbox_reset (&outbox);
        Measure ();
      }
    br_admission_outbox_free (&outbox);
  }
  /* Returns the largest number of requests admitted in any period beyond what
   * the rate allows. */
  double
  Excess () const
  {
    double worst = -1e9;
    double low = 1e18;
    for (size_t i = 0; i < admitted.size (); i++)
      {
        double allowed = (double)admitted[i] * kRps / 1000;
        low = std::min (low, (double)i - allowed);
        worst = std::max (worst, (double)(i + 1) - allowed - low);
      }
    return worst;
  }
};

/* Returns the allowed excess: the burst of one second of the limit, one request
 * for each VM, whose bucket holds at least one, and one for each restart. */
double
RateBound (const Domain &domain)
{
  return kRps * 1.0 + kVms + domain.restarts;
}

TEST (Limits, HoldDuringDisconnectsRestartsLossAndDelay)
{
  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      Domain domain (seed);
      domain.delay_max = seed % 4 == 0 ? 6000 : 20;
      int hot = 0;
      for (int step = 0; step < 400; step++)
        {
          if (br_random_below (&domain.random, 60) == 0)
            hot = (int)br_random_below (&domain.random, kVms);
          if (br_random_below (&domain.random, 50) == 0)
            {
              bool *disconnected
                  = &domain
                         .disconnected[br_random_below (&domain.random, kVms)];
              *disconnected = !*disconnected;
            }
          if (seed % 2 == 0 && br_random_below (&domain.random, 100) == 0)
            domain.Restart ((int)br_random_below (&domain.random, kVms));
          for (int k = 0; k < 4; k++)
            domain.Request (
                k < 3 ? hot : (int)br_random_below (&domain.random, kVms));
          for (int i = 0; i < kVms; i++)
            if (br_random_below (&domain.random, 3) > 0)
              domain.End (i);
          domain.Step ();
        }
      EXPECT_LE (domain.Excess (), RateBound (domain)) << "seed " << seed;
      EXPECT_LE (domain.rate_peak, (uint64_t)kRps * 1000) << "seed " << seed;
      EXPECT_LE (domain.slots_peak, (uint64_t)kSlots) << "seed " << seed;
      /* Requests that run on borrowed slots go on when the VM is
       * disconnected. */
      EXPECT_LE (domain.in_flight_peak, kSlots + kSlots / 2) << "seed " << seed;
    }
}

TEST (Limits, AreLentToTheVmThatNeedsThem)
{
  Domain domain (7);
  for (int step = 0; step < 400; step++)
    {
      domain.Request (0);
      domain.Request (0);
      domain.Request (0);
      domain.End (0);
      domain.End (0);
      domain.End (0);
      domain.Step ();
    }
  double per_second = (double)std::count_if (
                          domain.admitted.begin (), domain.admitted.end (),
                          [&] (br_ms_t at) { return at > domain.now - 10000; })
                      / 10;
  /* Its fixed share of a third, and the half that each other VM may lend. */
  EXPECT_GE (per_second, kRps * 0.6);
}

TEST (Limits, DisconnectedVmUsesItsFixedShare)
{
  Domain domain (3);
  domain.disconnected[0] = domain.disconnected[1] = domain.disconnected[2]
      = true;
  for (int step = 0; step < 400; step++)
    {
      domain.Request (0);
      domain.End (0);
      domain.Step ();
    }
  EXPECT_GE ((double)domain.admitted.size () / 20, kRps / 3.0 * 0.9);
}

TEST (Limits, LimitDeclaredLaterStartsWithOneRequest)
{
  Domain domain (5);
  br_name_t name = br_name_from ("late");
  br_admission_limits_t declared = { name, 1, 0, 0 };
  br_limits_declare (&domain.vms[0], &declared, 1000);
  declared.requests_per_second = 3;
  br_limits_declare (&domain.vms[0], &declared, 1100);
  EXPECT_EQ (br_limits_request (br_limits_find (&domain.vms[0], &name), 1100),
             0);
}

TEST (Digest, RejectsInvalidBytes)
{
  br_name_t vm = br_name_from ("castillos-1");
  br_admission_digest_t digest;
  br_error_t err;
  EXPECT_FALSE (
      br_digest_unpack (br_str_from ("\xff\xff"), &vm, &digest, &err));
  EXPECT_STREQ (err.peer, "castillos-1");
  br_buf_t bytes = {};
  br_admission_digest_t bad = {};
  br_admission_demands_push (&bad.demands,
                             { br_name_from ("large"), UINT64_MAX, 0, 0, 0 });
  br_digest_pack (&bad, &bytes);
  EXPECT_FALSE (br_digest_unpack (br_buf_str (&bytes), &vm, &digest, &err));
  br_admission_demands_free (&bad.demands);
  br_buf_free (&bytes);
}

/* While both organisations have requests in the queue, their served tokens stay
 * in proportion to the weights, within one request of each. */
TEST (FairQueue, ServesByWeightForAnySizes)
{
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      br_random_t random;
      br_random_seed (&random, seed);
      br_fair_queue_t queue = {};
      br_name_t names[2] = { br_name_from ("large"), br_name_from ("small") };
      int64_t weights[2] = { 1, 1 + (int64_t)br_random_below (&random, 4) };
      std::map<uint64_t, int> owner;
      uint64_t ticket = 0;
      double served[2] = { 0, 0 };
      for (int i = 0; i < 2; i++)
        br_fair_queue_set_weight (&queue, &names[i], weights[i]);
      for (int k = 0; k < 4000; k++)
        {
          int i = k % 8 == 0 ? 1 : 0;
          owner[++ticket] = i;
          br_fair_queue_push (
              &queue, &names[i],
              { ticket, 1 + br_random_below (&random, i == 1 ? 4000 : 200),
                BR_MS_NEVER });
        }
      uint64_t ahead_before = br_fair_queue_ahead (&queue, &names[1]);
      EXPECT_LE (ahead_before, queue.tokens);
      br_fair_item_t item;
      while (queue.flows.items[0].tokens > 0 && queue.flows.items[1].tokens > 0
             && br_fair_queue_pop (&queue, &item))
        {
          int i = owner[item.ticket];
          served[i] += (double)item.tokens / (double)weights[i];
          ASSERT_LE (std::abs (served[0] - served[1]), 4000 + 200)
              << "seed " << seed;
        }
      while (br_fair_queue_pop (&queue, &item))
        continue;
      EXPECT_EQ (queue.len, 0u);
      EXPECT_EQ (queue.tokens, 0u);
      br_fair_queue_release (&queue);
    }
}

} // namespace
