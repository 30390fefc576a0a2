/* The shell of the replicated log: its files, its messages to peers, and the
 * proposals of the other tasks. */
#ifndef BR_SHELL_REPLICA_TASK_H
#define BR_SHELL_REPLICA_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

/* Opens the data folder, when the settings name one, and loads what is
 * there. */
br_replica_task_t *br_replica_task_new (br_node_t *node, br_error_t *err);
void br_replica_task_free (br_replica_task_t *task);

/* Proposes COMMAND for the log, on whichever VM this is; it is passed on to
 * the leader.  The outcome arrives as BR_NODE_PROPOSAL with the ticket that
 * is returned. */
uint64_t br_replica_task_propose (br_replica_task_t *task, br_str_t command);

/* Asks that the state here be at least as new as every commit that was
 * answered before this call.  Answered like a proposal. */
uint64_t br_replica_task_read (br_replica_task_t *task);

BR_END_DECLS

#endif
