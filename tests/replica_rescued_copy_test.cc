/* Checks what a copy of the log that was rescued by mistake does to the VMs
 * that hold the log. */
#include "replica_sim.h"

/* A copy that is older than the log, rescued by mistake, leads the VMs of the
 * log for a moment and is gone.  The VMs of the log must go on. */
TEST (ReplicaRescue, VotersGoOnAfterARescuedCopyHasLed)
{
  replica_sim sim (sim_options{});
  size_t leader = (size_t)sim.run_to_leader ();

  for (int i = 0; i < 5; i++)
    sim.propose (leader);
  sim.run (300);
  for (size_t i = 0; i < 3; i++)
    {
      br_replica_message_t message = {};

      message.kind = BR_REPLICA_APPEND;
      message.vm = br_name_from ("vm-9");
      message.disk = 9;
      message.term = 50;
      message.append.prev_index = 3;
      message.append.prev_term = 49;
      message.append.round = 1;
      message.append.sent_ms = sim.now ();
      br_replica_step (sim.vm (i).replica, sim.now (), message);
    }
  sim.run (10000);
  EXPECT_GE (sim.find_leader (), 0) << sim.describe ();
}
