/* Replicates accepted work during crashes, freezes, disconnects, and lost,
 * duplicated, delayed and reordered messages, with many seeds. */
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "base/random.h"
#include "support/contract_world.h"

namespace
{

constexpr int kWorks = 6;
constexpr int kChaosSteps = 400;
constexpr int kQuietSteps = 1000;
constexpr size_t kTokens = 60;

struct Chaos
{
  br_random_t random;
  bool on;
};

int
disturb (void *context, br_ms_t *late_ms)
{
  auto *chaos = static_cast<Chaos *> (context);
  uint64_t dice = br_random_below (&chaos->random, 100);

  if (!chaos->on)
    return 1;
  if (dice < 5)
    return 0;
  late_ms[0] = dice < 30 ? (br_ms_t)br_random_below (&chaos->random, 200) : 0;
  late_ms[1] = (br_ms_t)br_random_below (&chaos->random, 3000);
  return dice < 40 ? 2 : 1;
}

class ChaosRun
{
public:
  explicit ChaosRun (uint64_t seed) : seed_ (seed)
  {
    static const char *const domains[]
        = { "castillos", "castillos", "lascano", "lascano", "chuy" };

    br_random_seed (&chaos_.random, seed);
    world_.n_vms = 3 + (int)pick (3);
    world_.tokens = kTokens;
    world_.delay_ms = 4;
    world_.options = br_contract_options ();
    world_.options.checkpoint_parts = 1 + pick (16);
    if (pick (2) == 0)
      world_.options.sweep_ms = WORLD_STEP_MS;
    world_.disturb = disturb;
    world_.context = &chaos_;
    world_.out = getenv ("BR_SHOW") != nullptr ? stdout : nullptr;
    for (int i = 0; i < world_.n_vms; i++)
      {
        world_.vms[i].name = br_name_from (std::string (1, 'a' + i).c_str ());
        world_.vms[i].domain = br_name_from (domains[i]);
      }
    for (int i = 0; i < world_.n_vms; i++)
      world_start (&world_, i);
  }
  ~ChaosRun () { world_free (&world_); }

  void
  play ()
  {
    chaos_.on = true;
    for (int step = 0; step < kChaosSteps; step++)
      {
        if (step % 60 == 10 && accepted_ < kWorks)
          accept ();
        if (pick (25) == 0)
          fault ();
        world_step (&world_, pick (2) == 0);
        check_prefixes ();
      }
    chaos_.on = false;
    heal ();
    for (int step = 0; step < kQuietSteps; step++)
      {
        world_step (&world_, true);
        check_prefixes ();
      }
    check_end ();
  }

  int crashes = 0;
  int
  take_overs () const
  {
    return (int)world_.attempts - accepted_;
  }

private:
  uint64_t
  pick (uint64_t n)
  {
    return br_random_below (&chaos_.random, n);
  }

  void
  accept ()
  {
    int vm = (int)pick (world_.n_vms);

    if (!world_is_up (&world_, vm))
      return;
    contracts_[accepted_].vm = world_.vms[vm].name;
    contracts_[accepted_].incarnation = world_.vms[vm].incarnation;
    contracts_[accepted_].number = accepted_ + 1;
    world_accept (&world_, vm, ++accepted_);
  }

  /* Returns whether a RELEASE of CONTRACT is in transit to VM. */
  bool
  is_released (int vm, const br_contract_id_t &contract)
  {
    for (size_t i = 0; i < world_.packets.len; i++)
      {
        const world_packet_t *packet = &world_.packets.items[i];
        br_contract_message_t message;
        br_error_t err;
        bool ok = br_contract_message_unpack (br_buf_str (&packet->packed), "",
                                              &message, &err);
        bool match = ok && packet->to == vm
                     && message.kind == BR_CONTRACT_RELEASE
                     && br_contract_id_equal (&message.contract, &contract);

        br_contract_message_release (&message);
        if (match)
          return true;
      }
    return false;
  }

  /* Returns whether VM holds the request of CONTRACT. */
  bool
  holds (int vm, const br_contract_id_t &contract)
  {
    br_contract_record_t *record;

    if (!world_.vms[vm].alive)
      return false;
    record = br_contracts_record (world_.vms[vm].contracts, &contract);
    return record != nullptr && record->role != BR_CONTRACT_RECORD_ENDED;
  }

  /* Returns whether each contract is still held by another VM if VM is lost.
   * Contracts survive the loss of one VM after another, but not of two VMs at
   * once. */
  bool
  may_lose (int vm)
  {
    for (int i = 0; i < accepted_; i++)
      {
        bool other = false;

        for (int each = 0; each < world_.n_vms; each++)
          other |= each != vm && holds (each, contracts_[i])
                   && !is_released (each, contracts_[i]);
        if (holds (vm, contracts_[i]) && !other)
          return false;
      }
    return true;
  }

  void
  fault ()
  {
    int vm = (int)pick (world_.n_vms);
    int peer = (int)pick (world_.n_vms);
    world_vm_t *each = &world_.vms[vm];

    if (!each->alive)
      world_start (&world_, vm);
    else if (each->frozen)
      thaw (vm);
    else
      switch (pick (6))
        {
        case 0:
          if (!may_lose (vm))
            break;
          crashes++;
          world_crash (&world_, vm);
          break;
        case 1:
          each->frozen = true;
          for (int i = 0; i < world_.n_vms; i++)
            if (i != vm)
              world_link (&world_, i, vm, false);
          break;
        case 2:
          if (!world_is_up (&world_, vm) || pick (3) != 0)
            break;
          br_contracts_hand_over (each->contracts, world_.now);
          world_flush (&world_, vm);
          break;
        default:
          if (peer != vm)
            world_link (&world_, vm, peer, pick (2) == 0);
          break;
        }
  }

  void
  thaw (int vm)
  {
    world_.vms[vm].frozen = false;
    for (int i = 0; i < world_.n_vms; i++)
      if (i != vm && world_.vms[i].alive)
        world_link (&world_, i, vm, true);
  }

  /* Starts and thaws all VMs and reconnects all links. */
  void
  heal ()
  {
    for (int vm = 0; vm < world_.n_vms; vm++)
      {
        if (!world_.vms[vm].alive)
          world_start (&world_, vm);
        world_.vms[vm].frozen = false;
      }
    for (int vm = 0; vm < world_.n_vms; vm++)
      for (int peer = 0; peer < world_.n_vms; peer++)
        if (vm != peer)
          world_link (&world_, vm, peer, true);
  }

  /* Checks that the parts of every backup are a prefix of its owner's answer.
   */
  void
  check_prefixes ()
  {
    for (int i = 0; i < accepted_; i++)
      for (int vm = 0; vm < world_.n_vms; vm++)
        for (int peer = 0; peer < world_.n_vms; peer++)
          check_prefix (contracts_[i], vm, peer);
  }

  void
  check_prefix (const br_contract_id_t &contract, int vm, int peer)
  {
    const br_contract_record_t *owner;
    const br_contract_record_t *copy;

    if (vm == peer || !holds (vm, contract) || !holds (peer, contract))
      return;
    owner = br_contracts_record (world_.vms[vm].contracts, &contract);
    copy = br_contracts_record (world_.vms[peer].contracts, &contract);
    if (owner->role != BR_CONTRACT_RECORD_OWNER
        || copy->role != BR_CONTRACT_RECORD_BACKUP || copy->was_owner
        || br_contract_epoch_compare (&owner->epoch, &copy->epoch) != 0)
      return;
    ASSERT_LE (copy->copy->answer.bytes.len, owner->answer->bytes.len)
        << "seed " << seed_;
    ASSERT_EQ (
        std::string (
            copy->copy->answer.bytes.data ? copy->copy->answer.bytes.data : "",
            copy->copy->answer.bytes.len),
        std::string (owner->answer->bytes.data ? owner->answer->bytes.data : "",
                     copy->copy->answer.bytes.len))
        << "seed " << seed_;
  }

  /* Checks that every contract has one owner with the complete answer and a
   * backup with a complete copy. */
  void
  check_end ()
  {
    for (int i = 0; i < accepted_; i++)
      {
        int owners = 0;
        int complete_copies = 0;

        for (int vm = 0; vm < world_.n_vms; vm++)
          {
            const br_contract_record_t *record = br_contracts_record (
                world_.vms[vm].contracts, &contracts_[i]);

            if (record == nullptr || record->role == BR_CONTRACT_RECORD_ENDED)
              continue;
            if (record->role == BR_CONTRACT_RECORD_OWNER)
              {
                owners++;
                check_complete (record->answer);
              }
            else
              complete_copies += record->copy->answer.complete;
          }
        EXPECT_EQ (owners, 1) << "seed " << seed_ << " contract " << i + 1;
        EXPECT_GE (complete_copies, 1)
            << "seed " << seed_ << " contract " << i + 1;
      }
  }

  void
  check_complete (const br_answer_t *answer)
  {
    ASSERT_EQ (answer->parts.len, kTokens) << "seed " << seed_;
    for (size_t i = 0; i < kTokens; i++)
      {
        br_str_t part = br_answer_part (answer, i);

        EXPECT_EQ (
            std::string (part.data, part.len).find (std::to_string (i) + ":"),
            0U)
            << "seed " << seed_;
      }
  }

  uint64_t seed_;
  world_t world_ = {};
  Chaos chaos_ = {};
  int accepted_ = 0;
  br_contract_id_t contracts_[kWorks] = {};
};

} // namespace

/* BR_SEED sets a single seed, BR_SEEDS the number of seeds. */
TEST (ContractRandom, AcceptedWorkIsAnsweredCompletely)
{
  const char *one = getenv ("BR_SEED");
  const char *many = getenv ("BR_SEEDS");
  uint64_t first = one != nullptr ? strtoull (one, nullptr, 10) : 1;
  uint64_t n = one != nullptr    ? 1
               : many != nullptr ? strtoull (many, nullptr, 10)
                                 : 60;
  int crashes = 0;
  int take_overs = 0;

  for (uint64_t seed = first; seed < first + n; seed++)
    {
      ChaosRun run (seed);

      run.play ();
      crashes += run.crashes;
      take_overs += run.take_overs ();
      if (HasFailure ())
        {
          printf ("first failing seed: %llu\n", (unsigned long long)seed);
          return;
        }
    }
  printf ("%llu seeds, %d crashes, %d take-overs\n", (unsigned long long)n,
          crashes, take_overs);
}
