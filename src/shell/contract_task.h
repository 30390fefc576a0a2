/* Runs the contract state machines: sends and receives their messages, drives
 * their timers, and takes over, stops or follows work as they decide. */
#ifndef BR_SHELL_CONTRACT_TASK_H
#define BR_SHELL_CONTRACT_TASK_H

#include "shell/node.h"
#include "shell/work_task.h"

BR_BEGIN_DECLS

br_contract_task_t *br_contract_task_new (br_node_t *node);
void br_contract_task_free (br_contract_task_t *task);

/* Handles a link to another VM that came up or went down. */
void br_contract_task_on_link (br_contract_task_t *task,
                               const br_peer_message_t *peer,
                               bool up);
/* Handles a message of BR_PART_CONTRACT. */
void br_contract_task_on_peer (br_contract_task_t *task,
                               const br_peer_message_t *message);

/* Starts the contract of WORK, which this VM has admitted.  Work that may be
 * repeated gets a backup VM, if there is one.  Sets work->accepted when the
 * acceptance may be sent to the caller.  For work that may be repeated, a
 * change of the work is posted then. */
void br_contract_task_accept (br_contract_task_t *task, br_work_t *work);

/* Handles new parts of the answer of WORK, or its end. */
void br_contract_task_on_answer (br_contract_task_t *task, br_work_t *work);

/* Ends the contract and the following of WORK, which is about to be freed. */
void br_contract_task_remove (br_contract_task_t *task, br_work_t *work);

/* Starts to find the owner of the contract of WORK and to follow the answer
 * there. */
void br_contract_task_follow (br_contract_task_t *task, br_work_t *work);

/* Announces that this VM stops, after which it gets no more copies. */
void br_contract_task_leave (br_contract_task_t *task);

/* Handles the announcement that the entry VM NAME leaves. */
void br_contract_task_on_leaving (br_contract_task_t *task,
                                  const br_name_t *name);

/* Hands unfinished work over to the backups. */
void br_contract_task_hand_over (br_contract_task_t *task);

/* Returns the number of copies of other VMs' work that would be lost if this VM
 * ended now. */
size_t br_contract_task_count_needed (const br_contract_task_t *task);

BR_END_DECLS

#endif
