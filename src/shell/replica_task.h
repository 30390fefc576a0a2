/* Runs the replicated log: writes its files, sends and receives its messages,
 * applies its entries and takes proposals of the other tasks. */
#ifndef BR_SHELL_REPLICA_TASK_H
#define BR_SHELL_REPLICA_TASK_H

#include "replica/replica.h"
#include "shell/node.h"

BR_BEGIN_DECLS

/* Longest command, in bytes: a configuration of 4 MiB fits. */
#define BR_COMMAND_MAX (4 * 1024 * 1024 + 64 * 1024)

/* Opens the data folder, when the settings name one, and loads its content.
 * Returns NULL and sets *ERR when that fails. */
br_replica_task_t *br_replica_task_new (br_node_t *node, br_error_t *err);
void br_replica_task_free (br_replica_task_t *task);

/* Proposes COMMAND for the log.  A VM that is not the leader forwards it to the
 * leader.  The outcome is posted as BR_NODE_PROPOSAL with the returned ticket,
 * also when the proposal is refused at once. */
uint64_t br_replica_task_propose (br_replica_task_t *task, br_str_t command);

/* Requests a point at which the state of this VM includes every entry whose
 * commit was reported to anyone before this call.  The outcome is posted like
 * that of a proposal. */
uint64_t br_replica_task_read (br_replica_task_t *task);

/* Handles the message PAYLOAD from the replica of VM. */
void br_replica_task_on_message (br_replica_task_t *task,
                                 const br_name_t *vm,
                                 br_str_t payload);

/* Handles the loss of the link to VM. */
void br_replica_task_on_peer_down (br_replica_task_t *task,
                                   const br_name_t *vm);

/* Starts to transfer the leadership to another voter when this VM is the
 * leader.  While the node drains, each tick tries this again. */
void br_replica_task_hand_over (br_replica_task_t *task);

/* Returns whether this VM is the leader and no other one can be: it may act as
 * leader outside the log. */
bool br_replica_task_has_lease (const br_replica_task_t *task);

/* Returns whether this VM is the leader.  br_replica_task_leader() returns an
 * empty name while no leader is known. */
bool br_replica_task_is_leader (const br_replica_task_t *task);
const br_name_t *br_replica_task_leader (const br_replica_task_t *task);

/* Returns the current term of this VM. */
uint64_t br_replica_task_term (const br_replica_task_t *task);

/* Maximum number of names that br_replica_task_members() returns. */
#define BR_REPLICA_MEMBERS_MAX 16

/* Fills VIEWS with the names of the members of the log and returns their
 * number.  The views are valid until the next message. */
size_t br_replica_task_members (const br_replica_task_t *task,
                                char *views[BR_REPLICA_MEMBERS_MAX]);

/* Adds VMs that another one named as members of the log. */
void br_replica_task_add_contacts (br_replica_task_t *task,
                                   char *const *names,
                                   size_t n_names);

/* Replaces the control VMs of the settings. */
void br_replica_task_set_seeds (br_replica_task_t *task, const br_names_t *vms);

/* Takes the disk losses of SETTINGS into use. */
void br_replica_task_set_disk_losses (br_replica_task_t *task,
                                      const br_settings_t *settings);

/* Returns what stands between this VM and a vote. */
br_replica_standing_t br_replica_task_standing (const br_replica_task_t *task);

/* Appends one JSON object: role, term, leader, commit and applied index,
 * members, and on the leader the last index that each follower has stored. */
void br_replica_task_status (const br_replica_task_t *task, br_buf_t *out);

void br_replica_task_print_metrics (const br_replica_task_t *task,
                                    br_buf_t *out);

BR_END_DECLS

#endif
