/* Runs random faults over many seeds: dropped, duplicated, reordered and
 * delayed messages, one-way cuts, crashes during a write, freezes and wiped
 * disks. BR_REPLICA_SEEDS and BR_REPLICA_FIRST_SEED select the seeds. */
#include <cstdlib>

#include "replica_sim.h"

#define FAULT_MS 6000

static uint64_t
random_below (replica_sim &sim, uint64_t bound)
{
  return br_random_below (sim.random (), bound);
}

/* Returns how many of the first VOTERS VMs are down, frozen or without a vote
 * after the loss of their disk. */
static size_t
impaired (replica_sim &sim, size_t voters)
{
  size_t n = 0;

  for (size_t i = 0; i < voters; i++)
    n += !sim.vm (i).up || sim.vm (i).frozen
         || br_replica_role (sim.vm (i).replica) == BR_ROLE_LEARNER;
  return n;
}

/* Injects one fault.  A disk is wiped only while no voter is impaired, because
 * a majority of disks must survive. */
static void
disturb (replica_sim &sim, const sim_options &options)
{
  size_t i = random_below (sim, options.vms);
  size_t j = random_below (sim, options.vms);
  sim_vm &vm = sim.vm (i);

  switch (random_below (sim, 8))
    {
    case 0:
      if (vm.up)
        sim.crash (i);
      break;
    case 1:
    case 2:
      if (!vm.up)
        sim.start (i);
      break;
    case 3:
      if (vm.up)
        sim.freeze (i, !vm.frozen);
      break;
    case 4:
      sim.cut (i, j, true);
      break;
    case 5:
      sim.cut (i, j, false);
      break;
    case 6:
      sim.isolate (i, random_below (sim, 2) == 0);
      break;
    case 7:
      if (i < options.voters && impaired (sim, options.voters) == 0
          && sim.find_leader () >= 0 && sim.find_leader () != (int)i)
        {
          sim.crash (i);
          sim.wipe (i);
          sim.start (i);
        }
      break;
    }
}

static void
heal (replica_sim &sim, const sim_options &options)
{
  for (size_t i = 0; i < options.vms; i++)
    {
      sim.isolate (i, false);
      if (!sim.vm (i).up)
        sim.start (i);
      sim.freeze (i, false);
      sim.set_disk_refuses (i, false);
    }
}

/* Stops I as planned, without waiting for the outcome. */
static void
stop (replica_sim &sim, size_t i)
{
  br_replica_leave (sim.vm (i).replica);
  br_replica_transfer (sim.vm (i).replica, sim.now ());
  sim.run ((br_ms_t)random_below (sim, 300));
  sim.crash (i);
}

/* Stops one or more VMs as planned, or reports lost connections. */
static void
disturb_more (replica_sim &sim, const sim_options &options)
{
  size_t i = random_below (sim, options.vms);

  if (random_below (sim, 2) == 0)
    for (size_t j = 0; j < options.vms; j++)
      {
        if (j != i && sim.vm (j).up && random_below (sim, 2) == 0)
          sim.suspect (j, i);
      }
  else
    for (size_t n = random_below (sim, 3); n-- > 0; i = (i + 1) % options.vms)
      if (sim.vm (i).up && !sim.vm (i).frozen)
        stop (sim, i);
}

/* The disk of one VM refuses, or none does. */
static void
refuse_one (replica_sim &sim, const sim_options &options)
{
  size_t full = random_below (sim, 2 * options.vms);

  for (size_t i = 0; i < options.vms; i++)
    sim.set_disk_refuses (i, i == full);
}

/* With REMOVALS, voters that are silent lose their vote as on a site. */
static void
run_seed (uint64_t seed,
          bool removals = false,
          bool stops = false,
          bool disks = false)
{
  SCOPED_TRACE ("seed " + std::to_string (seed));
  sim_options options;

  options.seed = seed;
  options.voters = seed % 3 == 0 ? 5 : 3;
  if (removals)
    {
      options.voters = 4 + seed % 6;
      options.remove_unreachable_ms = 600;
      options.replace_silent_ms = 300;
    }
  options.vms = options.voters + seed % 2;
  options.drop = 0.05 * (double)(seed % 3);
  options.duplicate = 0.05 * (double)(seed % 4);
  options.delay_max = 1 + (br_ms_t)(seed % 5) * 8;
  options.write_max = 1 + (br_ms_t)(seed % 4) * 5;
  options.compact_after = seed % 2 ? 10 : 0;
  replica_sim sim (options);
  if (sim.run_to_leader () < 0)
    {
      ADD_FAILURE () << "no first leader";
      return;
    }
  if (stops)
    sim.fail_message = [&sim] (const br_replica_message_t &message) {
      return (message.kind == BR_REPLICA_PROPOSE
              || message.kind == BR_REPLICA_READ)
             && random_below (sim, 3) == 0;
    };
  for (br_ms_t until = sim.now () + FAULT_MS;
       sim.now () < until && !::testing::Test::HasFailure ();)
    {
      size_t i = random_below (sim, options.vms);

      sim.run (1 + (br_ms_t)random_below (sim, 30));
      if (sim.vm (i).up && !sim.vm (i).frozen)
        sim.propose (i);
      if (sim.vm (i).up && !sim.vm (i).frozen && random_below (sim, 3) == 0)
        sim.read (i);
      if (random_below (sim, 6) == 0)
        disturb (sim, options);
      if (stops && random_below (sim, 12) == 0)
        disturb_more (sim, options);
      if (disks && random_below (sim, 10) == 0)
        refuse_one (sim, options);
    }
  heal (sim, options);
  sim.run (4000);
  EXPECT_GE (sim.find_leader (), 0) << "no leader after healing";
  sim.check_outcomes ();
  sim.check_equal ();
}

static void
run_seeds (bool removals, bool stops = false, bool disks = false)
{
  const char *count = getenv ("BR_REPLICA_SEEDS");
  const char *first = getenv ("BR_REPLICA_FIRST_SEED");
  uint64_t from = first != nullptr ? strtoull (first, nullptr, 10) : 1;
  uint64_t n = count != nullptr ? strtoull (count, nullptr, 10) : 60;
  uint64_t seed = from;

  while (seed < from + n && !::testing::Test::HasFailure ())
    run_seed (seed++, removals, stops, disks);
  printf ("seeds %llu to %llu\n", (unsigned long long)from,
          (unsigned long long)(seed - 1));
}

TEST (ReplicaRandom, InvariantsHoldOverManySeeds) { run_seeds (false); }

/* The same while silent voters lose their votes. */
TEST (ReplicaRandom, InvariantsHoldWhileSilentVotersAreRemoved)
{
  run_seeds (true);
}

/* The same while VMs stop as planned, connections are reset, and the sender
 * knows that a proposal or read could not be sent. */
TEST (ReplicaRandom, InvariantsHoldWhileVmsStop) { run_seeds (true, true); }

/* The same while the disk of one VM after another refuses. */
TEST (ReplicaRandom, InvariantsHoldWhileADiskRefuses)
{
  run_seeds (false, false, true);
}

TEST (ReplicaRandom, InvariantsHoldWhileADiskRefusesAndVmsStop)
{
  run_seeds (true, true, true);
}
