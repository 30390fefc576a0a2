/* The shell of the replicated log: its files, its messages to peers, and the
 * proposals of the other tasks. */
#ifndef BR_SHELL_REPLICA_TASK_H
#define BR_SHELL_REPLICA_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

/* Longest command, in bytes: a configuration of 4 MiB fits. */
#define BR_COMMAND_MAX (4 * 1024 * 1024 + 64 * 1024)

/* Opens the data folder, when the settings name one, and loads what is
 * there. */
br_replica_task_t *br_replica_task_new (br_node_t *node, br_error_t *err);
void br_replica_task_free (br_replica_task_t *task);

/* Proposes COMMAND for the log, on whichever VM this is; it is passed on to
 * the leader.  The outcome arrives as BR_NODE_PROPOSAL with the ticket that
 * is returned, also when it is refused at once. */
uint64_t br_replica_task_propose (br_replica_task_t *task, br_str_t command);

/* Asks that the state here be at least as new as every commit that was
 * answered before this call.  Answered like a proposal. */
uint64_t br_replica_task_read (br_replica_task_t *task);

/* A peer sent PAYLOAD to the replica here. */
void br_replica_task_on_message (br_replica_task_t *task,
                                 const br_name_t *vm,
                                 br_str_t payload);

/* The link to VM was lost. */
void br_replica_task_on_peer_down (br_replica_task_t *task,
                                   const br_name_t *vm);

/* Hands leadership to another voter, when this VM has it, and goes on trying
 * while the node drains. */
void br_replica_task_hand_over (br_replica_task_t *task);

/* Whether this VM leads; with none known br_replica_task_leader() is
 * empty. */
bool br_replica_task_is_leader (const br_replica_task_t *task);
const br_name_t *br_replica_task_leader (const br_replica_task_t *task);

/* The term in which this VM leads or follows. */
uint64_t br_replica_task_term (const br_replica_task_t *task);

/* VMs of a site's log that are told at once. */
#define BR_REPLICA_MEMBERS_MAX 16

/* Fills VIEWS with the names of the members, valid until the next message, and
 * returns how many. */
size_t br_replica_task_members (const br_replica_task_t *task,
                                char *views[BR_REPLICA_MEMBERS_MAX]);

/* Another VM named the members that it knows. */
void br_replica_task_add_members (br_replica_task_t *task,
                                  char *const *names,
                                  size_t n_names);

/* Appends one JSON object: role, term, leader, commit and applied index,
 * members, and on the leader how far each follower is. */
void br_replica_task_status (const br_replica_task_t *task, br_buf_t *out);

BR_END_DECLS

#endif
