/* Checks that a log is founded although a first voter is lost before. */
#include <cstdlib>

#include "replica_sim.h"

static sim_options
four_voters ()
{
  sim_options options;

  options.vms = options.voters = 4;
  return options;
}

/* A first voter that was killed before the log was founded is restarted with
 * the settings of that moment, in which Bootstrap is false. */
TEST (ReplicaFounding, FirstVoterRestartedWithoutBootstrap)
{
  replica_sim sim (four_voters ());

  sim.crash (3);
  sim.run (500);
  sim.vm (3).joins = true;
  sim.set_seeds (3, { 0, 1, 2 });
  sim.start (3);
  EXPECT_GE (sim.run_to_leader (20000), 0) << sim.describe ();
}

/* The same if it is replaced by a VM at another address. */
TEST (ReplicaFounding, FirstVoterReplacedBeforeTheLogIsFounded)
{
  replica_sim sim (four_voters ());

  sim.crash (3);
  sim.run (500);
  size_t next = sim.add ({ 0, 1, 2 });
  for (size_t i = 0; i < 3; i++)
    sim.set_seeds (i, { (i + 1) % 3, (i + 2) % 3, next });
  EXPECT_GE (sim.run_to_leader (20000), 0) << sim.describe ();
}

/* All processes are killed before the log is founded; no two of them ran at the
 * same time. */
TEST (ReplicaFounding, AllRestartedBeforeTheLogIsFounded)
{
  replica_sim sim (four_voters ());

  for (size_t i = 0; i < 4; i++)
    sim.crash (i);
  for (size_t i = 0; i < 4; i++)
    {
      sim.start (i);
      sim.run (3000);
      EXPECT_EQ (sim.find_leader (), -1) << sim.describe ();
      sim.crash (i);
    }
  for (size_t i = 0; i < 4; i++)
    sim.start (i);
  EXPECT_GE (sim.run_to_leader (20000), 0) << sim.describe ();
}

/* The first voter by name is lost for good. */
TEST (ReplicaFounding, FirstByNameIsLost)
{
  sim_options options;

  options.vms = options.voters = 3;
  replica_sim sim (options);
  sim.crash (0);
  ASSERT_GE (sim.run_to_leader (20000), 0) << sim.describe ();
  size_t next = sim.add ({ 1, 2 });
  sim.run (2000);
  EXPECT_TRUE (sim.is_voter (next)) << sim.describe ();
}

/* Neither half has a majority. */
TEST (ReplicaFounding, HalvesFoundNoLog)
{
  replica_sim sim (four_voters ());

  for (size_t i : { 0, 1 })
    for (size_t j : { 2, 3 })
      {
        sim.cut (i, j, true);
        sim.cut (j, i, true);
      }
  EXPECT_EQ (sim.run_to_leader (20000), -1) << sim.describe ();
  for (size_t i : { 0, 1 })
    for (size_t j : { 2, 3 })
      {
        sim.cut (i, j, false);
        sim.cut (j, i, false);
      }
  EXPECT_GE (sim.run_to_leader (20000), 0) << sim.describe ();
}

/* Runs until a VM that is not cut off leads, and returns it. */
static size_t
run_to_role (replica_sim &sim, size_t except)
{
  for (br_ms_t end = sim.now () + 20000; sim.now () < end;)
    {
      sim.run (1);
      for (size_t i = 0; i < sim.vms (); i++)
        if (i != except && sim.vm (i).up
            && br_replica_role (sim.vm (i).replica) == BR_ROLE_LEADER)
          return i;
    }
  ADD_FAILURE () << "no leader\n" << sim.describe ();
  return except;
}

/* Two first voters were elected one after the other, and each holds a first
 * configuration that nobody else has and that lacks another disk.  Neither may
 * go on with just one more VM. */
TEST (ReplicaFounding, PairsFoundNoLog)
{
  for (uint64_t seed = 1; seed <= 20 && !HasFailure (); seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      sim_options options = four_voters ();

      options.seed = seed;
      replica_sim sim (options);
      sim.crash (3);
      size_t first = run_to_role (sim, sim.vms ());
      sim.isolate (first, true);
      for (size_t i = 0; i < 3; i++)
        if (i != first)
          {
            sim.crash (i);
            sim.start (i);
          }
      sim.start (3);
      size_t second = run_to_role (sim, first);
      std::vector<size_t> others;
      for (size_t i = 0; i < 4; i++)
        {
          sim.isolate (i, true);
          if (i != first && i != second)
            others.push_back (i);
        }
      ASSERT_EQ (others.size (), 2u);
      const size_t pairs[][2] = { { first, others[0] }, { second, others[1] } };
      for (const auto &pair : pairs)
        {
          sim.cut (pair[0], pair[1], false);
          sim.cut (pair[1], pair[0], false);
        }
      sim.run (5000);
      EXPECT_EQ (sim.committed (), 0u) << sim.describe ();
      for (size_t i = 0; i < 4; i++)
        sim.isolate (i, false);
      EXPECT_GE (sim.run_to_leader (20000), 0) << sim.describe ();
    }
}

/* Two VMs that held the log lost their disks.  With the third first voter,
 * which was cut off all the time, they must not found a second log while a VM
 * that holds the first one is unreachable. */
TEST (ReplicaFounding, WipedVmsFoundNoSecondLog)
{
  for (bool joins : { false, true })
    for (uint64_t seed = 1; seed <= 50 && !HasFailure (); seed++)
      {
        SCOPED_TRACE ("seed " + std::to_string (seed));
        sim_options options;

        options.vms = options.voters = 3;
        options.seed = seed;
        replica_sim sim (options);
        sim.isolate (2, true);
        ASSERT_GE (sim.run_to_leader (20000), 0) << sim.describe ();
        size_t last = sim.add ({ 0, 1 });
        sim.isolate (2, true);
        sim.propose (0);
        sim.run (2000);
        EXPECT_TRUE (sim.is_voter (last)) << sim.describe ();
        size_t committed = sim.committed ();
        sim.isolate (last, true);
        for (size_t i : { 0, 1 })
          {
            sim.crash (i);
            sim.wipe (i);
            sim.vm (i).joins = joins;
            sim.set_seeds (i, { 1 - i, 2 });
          }
        sim.cut (0, 2, false);
        sim.cut (2, 0, false);
        sim.cut (1, 2, false);
        sim.cut (2, 1, false);
        sim.start (0);
        sim.start (1);
        EXPECT_EQ (sim.run_to_leader (10000), -1) << sim.describe ();
        EXPECT_EQ (sim.committed (), committed);
      }
}

/* Settings that name other first voters: no majority of one list decides while
 * a VM that answers has another one. */
TEST (ReplicaFounding, FirstVotersThatDisagreeFoundNoLog)
{
  sim_options options;

  options.vms = options.voters = 4;
  replica_sim sim (options);
  sim.crash (3);
  sim.vm (3).first_voters = { 1, 2, 3 };
  sim.start (3);
  EXPECT_EQ (sim.run_to_leader (10000), -1) << sim.describe ();
}

/* Where wiped VMs can't be told from new ones, all first voters are needed. */
TEST (ReplicaFounding, AllFirstVotersAreNeededWithoutTheOption)
{
  sim_options options = four_voters ();

  options.founding = false;
  replica_sim sim (options);
  sim.crash (3);
  EXPECT_EQ (sim.run_to_leader (20000), -1) << sim.describe ();
  sim.start (3);
  EXPECT_GE (sim.run_to_leader (20000), 0) << sim.describe ();
}

static uint64_t
random_below (replica_sim &sim, uint64_t bound)
{
  return br_random_below (sim.random (), bound);
}

/* The random faults of one run. */
struct founding_run
{
  replica_sim &sim;
  size_t losses; /* disks of first voters that may still be lost */
  std::set<size_t> lost = {};

  /* The VM returns empty under its name, or another one comes in its place. */
  void
  lose (size_t i)
  {
    std::vector<size_t> others;

    for (size_t j = 0; j < sim.vms (); j++)
      if (j != i && lost.count (j) == 0)
        others.push_back (j);
    if (sim.vm (i).up)
      sim.crash (i);
    if (losses == 0)
      return;
    losses--;
    sim.wipe (i);
    if (random_below (sim, 2) == 0)
      {
        sim.vm (i).joins = true;
        sim.set_seeds (i, others);
        return;
      }
    lost.insert (i);
    size_t next = sim.add (others);
    for (size_t j : others)
      sim.set_seeds (j, { others[0], next });
  }

  void
  disturb ()
  {
    size_t i = random_below (sim, sim.vms ());
    size_t j = random_below (sim, sim.vms ());

    switch (random_below (sim, 7))
      {
      case 0:
        if (sim.vm (i).up)
          sim.crash (i);
        break;
      case 1:
      case 2:
        if (!sim.vm (i).up && lost.count (i) == 0)
          sim.start (i);
        break;
      case 3:
        if (sim.vm (i).up)
          sim.freeze (i, !sim.vm (i).frozen);
        break;
      case 4:
        sim.isolate (i, random_below (sim, 2) == 0);
        break;
      case 5:
        sim.cut (i, j, random_below (sim, 2) == 0);
        break;
      case 6:
        if (random_below (sim, 3) == 0 && lost.count (i) == 0)
          lose (i);
        break;
      }
  }

  void
  run (br_ms_t ms)
  {
    for (br_ms_t until = sim.now () + ms;
         sim.now () < until && !::testing::Test::HasFailure ();)
      {
        size_t i = random_below (sim, sim.vms ());

        sim.run (1 + (br_ms_t)random_below (sim, 80));
        if (sim.vm (i).up && !sim.vm (i).frozen)
          sim.propose (i);
        disturb ();
      }
  }

  void
  heal ()
  {
    for (size_t i = 0; i < sim.vms (); i++)
      {
        sim.isolate (i, false);
        if (lost.count (i) > 0)
          continue;
        if (!sim.vm (i).up)
          sim.start (i);
        sim.freeze (i, false);
      }
  }
};

static sim_options
random_options (uint64_t seed)
{
  sim_options options;

  options.seed = seed;
  options.vms = options.voters = 3 + seed % 3;
  options.drop = 0.05 * (double)(seed % 4);
  options.duplicate = 0.05 * (double)(seed % 3);
  options.delay_max = 1 + (br_ms_t)(seed % 5) * 8;
  options.write_max = 1 + (br_ms_t)(seed % 4) * 10;
  options.remove_unreachable_ms = seed % 2 ? 3000 : 0;
  options.replace_silent_ms = seed % 2 ? 1000 : 0;
  return options;
}

/* Calls RUN with the seeds that BR_FOUNDING_SEEDS and BR_FOUNDING_FIRST_SEED
 * select. */
template <typename run_t>
static void
for_seeds (run_t run)
{
  const char *count = getenv ("BR_FOUNDING_SEEDS");
  const char *first = getenv ("BR_FOUNDING_FIRST_SEED");
  uint64_t from = first != nullptr ? strtoull (first, nullptr, 10) : 1;
  uint64_t n = count != nullptr ? strtoull (count, nullptr, 10) : 60;
  uint64_t seed = from;

  for (; seed < from + n && !::testing::Test::HasFailure (); seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      run (seed);
    }
  printf ("seeds %llu to %llu\n", (unsigned long long)from,
          (unsigned long long)(seed - 1));
}

/* A minority of the first voters is lost while the log is founded. */
TEST (ReplicaFounding, LogIsFoundedOnceUnderRandomFaults)
{
  size_t founded = 0;

  for_seeds ([&founded] (uint64_t seed) {
    sim_options options = random_options (seed);
    replica_sim sim (options);
    founding_run run{ sim, 1 };

    run.run (3000 + (br_ms_t)random_below (sim, 6000));
    founded += sim.committed () > 0;
    run.heal ();
    EXPECT_GE (sim.run_to_leader (20000), 0) << sim.describe ();
    sim.run (4000);
    EXPECT_GE (sim.run_to_leader (2000), 0) << sim.describe ();
    sim.check_outcomes ();
  });
  printf ("founded under faults in %zu runs\n", founded);
}

/* Any number of disks is lost: there may be no leader any more, but never a
 * second log. */
TEST (ReplicaFounding, NoSecondLogWhateverIsLost)
{
  size_t founded = 0;
  size_t over = 0;

  for_seeds ([&founded, &over] (uint64_t seed) {
    replica_sim sim (random_options (seed));
    founding_run run{ sim, seed % 5 };

    run.run (20000);
    run.heal ();
    founded += sim.committed () > 0;
    over += sim.run_to_leader (4000) < 0;
    sim.check_outcomes_once ();
  });
  printf ("founded in %zu runs, without a leader at the end in %zu\n", founded,
          over);
}
