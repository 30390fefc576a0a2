/* The shell of retries: the budget of this VM, and the timers of work that
 * waits for its next attempt. */
#ifndef BR_SHELL_RETRY_TASK_H
#define BR_SHELL_RETRY_TASK_H

#include "route/retry.h"
#include "shell/node.h"

BR_BEGIN_DECLS

br_retry_task_t *br_retry_task_new (br_node_t *node);
void br_retry_task_free (br_retry_task_t *task);

/* An attempt of WORK failed.  Returns false when the failure is final;
 * otherwise br_work_task_retry() is called when the next attempt is due. */
bool br_retry_task_failed (br_retry_task_t *task,
                           uint64_t work,
                           const br_retry_query_t *query);

/* WORK that ran before has no upstream now: calls br_work_task_retry() after a
 * while. */
void br_retry_task_wait (br_retry_task_t *task, uint64_t work);

/* An attempt succeeded. */
void br_retry_task_success (br_retry_task_t *task);

BR_END_DECLS

#endif
