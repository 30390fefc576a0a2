/* The shell of the contract part: its messages to other VMs, its clock, and
 * the work that it takes over, stops or follows. */
#ifndef BR_SHELL_CONTRACT_TASK_H
#define BR_SHELL_CONTRACT_TASK_H

#include "shell/node.h"
#include "shell/work_task.h"

BR_BEGIN_DECLS

br_contract_task_t *br_contract_task_new (br_node_t *node);
void br_contract_task_free (br_contract_task_t *task);

void br_contract_task_on_link (br_contract_task_t *task,
                               const br_peer_message_t *peer,
                               bool up);
void br_contract_task_on_peer (br_contract_task_t *task,
                               const br_peer_message_t *message);

/* WORK was accepted here: finds it a backup VM when it may be repeated.
 * work->accepted is set, and a change posted, when the caller may know. */
void br_contract_task_accept (br_contract_task_t *task, br_work_t *work);

/* The answer of WORK grew or WORK ended. */
void br_contract_task_on_answer (br_contract_task_t *task, br_work_t *work);

/* WORK is about to be freed. */
void br_contract_task_forget (br_contract_task_t *task, br_work_t *work);

/* Starts to read the answer of a contract that another VM may own. */
void br_contract_task_follow (br_contract_task_t *task, br_work_t *work);

/* This VM stops: it gets no more copies. */
void br_contract_task_leave (br_contract_task_t *task);

/* The entry VM NAME leaves. */
void br_contract_task_on_leaving (br_contract_task_t *task,
                                  const br_name_t *name);

/* Hands unfinished work over to the backups. */
void br_contract_task_hand_over (br_contract_task_t *task);

/* Copies of others' work that would be lost if this VM ended now. */
size_t br_contract_task_needed_here (const br_contract_task_t *task);

BR_END_DECLS

#endif
