/* Checks that a log is founded although a first voter is lost before. */
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
