/* Runs one claim for each request that may run at most once, updates the
 * clock of the replicated state, and abandons the claims of lost VMs. */
#ifndef BR_SHELL_CLAIM_TASK_H
#define BR_SHELL_CLAIM_TASK_H

#include "shell/work_task.h"

BR_BEGIN_DECLS

br_claim_task_t *br_claim_task_new (br_node_t *node);
void br_claim_task_free (br_claim_task_t *task);

/* Starts to claim the key of WORK.  The result is a call of
 * br_work_task_may_send(), br_work_task_answered() or
 * br_work_task_failed(). */
void br_claim_task_start (br_claim_task_t *task, br_work_t *work);

/* Records the failure ERR as the end of the claim of WORK.  Returns false when
 * the claim is not in step RUNNING.  After true, br_work_task_failed() is
 * called once the outcome is proved. */
bool br_claim_task_on_failure (br_claim_task_t *task,
                               const br_work_t *work,
                               const br_error_t *err);

/* Records the whole answer of WORK in the replicated log. */
void br_claim_task_on_answer (br_claim_task_t *task, const br_work_t *work);

/* Handles the outcome of a proposal.  Returns false when this task did not
 * make the proposal. */
bool br_claim_task_on_proposal (br_claim_task_t *task,
                                const br_proposal_message_t *message);

/* Handles newly applied log entries. */
void br_claim_task_on_applied (br_claim_task_t *task);

/* Records that an entry VM is up with this incarnation, or is not up. */
void br_claim_task_on_vm (br_claim_task_t *task,
                          const br_name_t *vm,
                          uint64_t incarnation,
                          bool up);

/* Returns the number of claims whose end is not committed yet.  Claims that a
 * planned stop no longer waits for are left out. */
size_t br_claim_task_in_progress (const br_claim_task_t *task);

BR_END_DECLS

#endif
