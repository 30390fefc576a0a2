/* Holds the retry budget of this VM and the timers of work that waits for its
 * next attempt. */
#ifndef BR_SHELL_RETRY_TASK_H
#define BR_SHELL_RETRY_TASK_H

#include "route/retry.h"
#include "shell/node.h"

BR_BEGIN_DECLS

br_retry_task_t *br_retry_task_new (br_node_t *node);
void br_retry_task_free (br_retry_task_t *task);

/* Decides whether WORK is retried after a failed attempt.  Returns false when
 * the failure is final.  Otherwise br_work_task_retry() is called when the next
 * attempt is due. */
bool br_retry_task_failed (br_retry_task_t *task,
                           uint64_t work,
                           const br_retry_query_t *query);

/* Calls br_work_task_retry() later for WORK that has no live upstream now. */
void br_retry_task_wait (br_retry_task_t *task, uint64_t work);

/* Records a successful attempt in the budget. */
void br_retry_task_success (br_retry_task_t *task);

BR_END_DECLS

#endif
