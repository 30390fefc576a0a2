/* The shell of claims: runs one claim for each piece of work that may run at
 * most once, keeps the state's time, and gives up the claims of VMs that are
 * gone. */
#ifndef BR_SHELL_CLAIM_TASK_H
#define BR_SHELL_CLAIM_TASK_H

#include "shell/work_task.h"

BR_BEGIN_DECLS

br_claim_task_t *br_claim_task_new (br_node_t *node);
void br_claim_task_free (br_claim_task_t *task);

/* Claims the key of WORK.  Later br_work_task_may_send(),
 * br_work_task_answered() or br_work_task_failed() is called for it. */
void br_claim_task_start (br_claim_task_t *task, br_work_t *work);

/* Returns whether the claim of WORK takes the failure over, to tell the
 * caller once it is proved. */
bool br_claim_task_take_failure (br_claim_task_t *task,
                                 const br_work_t *work,
                                 const br_error_t *err);

/* WORK has its answer, which goes into the log. */
void br_claim_task_on_answer (br_claim_task_t *task, const br_work_t *work);

/* Returns false when the proposal is not one of this task. */
bool br_claim_task_on_proposal (br_claim_task_t *task,
                                const br_proposal_message_t *message);
void br_claim_task_on_applied (br_claim_task_t *task);

/* An entry VM came or went; UP with its incarnation. */
void br_claim_task_on_vm (br_claim_task_t *task,
                          const br_name_t *vm,
                          uint64_t incarnation,
                          bool up);

/* Claims whose end the log has still to learn. */
size_t br_claim_task_in_progress (const br_claim_task_t *task);

BR_END_DECLS

#endif
