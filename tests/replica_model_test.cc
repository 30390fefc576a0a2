/* Exhaustive searches with the model checker in replica_model.h.  The
 * environment variable BR_MODEL_DEEPER is added to the depth of each search. */
#include <gtest/gtest.h>

#include <cstdlib>

#include "replica_model.h"

static void
search (const char *name, const model_state &from, model_limits limits)
{
  const char *deeper = getenv ("BR_MODEL_DEEPER");
  model_state start (from);
  model_search search;

  limits.depth += deeper != nullptr ? strtoull (deeper, nullptr, 10) : 0;
  start.remaining = limits;
  search.visit (start);
  printf ("%s: %zu VMs, depth %zu, %d timeouts, %d crashes, %d duplicates, "
          "%d proposals: %zu states, up to %zu leaders, %zu committed\n",
          name, start.vms.size (), limits.depth, limits.timeouts,
          limits.crashes, limits.duplicates, limits.proposals, search.states,
          search.leaders_max, search.committed_max);
  EXPECT_EQ (search.violation, "");
  for (const std::string &step : search.trace)
    printf ("  %s\n", step.c_str ());
}

TEST (ReplicaModel, TwoVmsFromTheStart)
{
  model_state::vm_count = 2;
  search ("start", model_state ({ { 1 }, { 1 } }),
          { .depth = 11,
            .timeouts = 3,
            .crashes = 1,
            .duplicates = 1,
            .proposals = 1,
            .network = 6 });
}

TEST (ReplicaModel, ThreeVmsFromTheStart)
{
  model_state::vm_count = 3;
  search ("start", model_state ({ { 1 }, { 1 }, { 1 } }),
          { .depth = 8,
            .timeouts = 2,
            .crashes = 1,
            .duplicates = 1,
            .proposals = 1,
            .network = 8 });
}

/* Two candidates request the vote of the third VM, which may crash between its
 * vote and the write of it. */
TEST (ReplicaModel, ThreeVmsTwoCandidates)
{
  model_state::vm_count = 3;
  model_state start ({ { 1 }, { 1 }, { 1 } });

  start.nominate (0, 2);
  start.nominate (1, 2);
  search ("two candidates", start,
          { .depth = 8,
            .timeouts = 0,
            .crashes = 2,
            .duplicates = 1,
            .proposals = 0,
            .network = 8 });
}

/* A new leader has appended an entry of its own; all further orders of events
 * are searched. */
TEST (ReplicaModel, ThreeVmsAfterAnElection)
{
  model_state::vm_count = 3;
  model_state start ({ { 1 }, { 1 }, { 1 } });

  start.elect (0, 1);
  start.drain (0, 1);
  start.propose (0);
  search ("after an election", start,
          { .depth = 6,
            .timeouts = 2,
            .crashes = 1,
            .duplicates = 0,
            .proposals = 0,
            .network = 6 });
}

/* An entry of an earlier term reaches a majority only after its leader is
 * elected again, while the third VM holds a later entry at the same index.  It
 * must not be committed by counting its copies. */
TEST (ReplicaModel, ThreeVmsWithAnOldEntry)
{
  model_state::vm_count = 3;
  model_state start ({ { 2, 4 }, { 4 }, { 3, 5 } });

  start.elect (0, 1);
  start.replicate (0, 1, 2);
  start.drop_messages ();
  search ("entry of an earlier term", start,
          { .depth = 9,
            .timeouts = 2,
            .crashes = 0,
            .duplicates = 0,
            .proposals = 0,
            .network = 6 });
}

/* The log is founded by the first election, while each VM knows the disks of
 * other first voters; any two majorities may elect a leader. */
TEST (ReplicaModel, ThreeFirstVotersFoundTheLog)
{
  model_state::vm_count = 3;
  search ("first voters",
          model_state::first_voters ({ { 0, 1 }, { 0, 1, 2 }, { 1, 2 } }),
          { .depth = 8,
            .timeouts = 3,
            .crashes = 1,
            .duplicates = 0,
            .proposals = 0,
            .network = 8 });
}

/* Two first voters have each been elected once and hold different first
 * configurations that no other VM has. */
TEST (ReplicaModel, TwoFirstConfigurations)
{
  model_state::vm_count = 3;
  model_state start (
      model_state::first_voters ({ { 0, 1 }, { 0, 1, 2 }, { 1, 2 } }));

  start.elect (0, 1);
  start.drop_messages ();
  start.nominate (2, 1); /* learns the term */
  start.elect (2, 1);
  start.drop_messages ();
  search ("two first configurations", start,
          { .depth = 9,
            .timeouts = 3,
            .crashes = 1,
            .duplicates = 0,
            .proposals = 0,
            .network = 6 });
}
