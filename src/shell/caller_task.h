/* Serves callers: accepts their HTTP requests and sends streamed or whole
 * answers. */
#ifndef BR_SHELL_CALLER_TASK_H
#define BR_SHELL_CALLER_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

/* Starts to listen on callers.address.  Returns NULL and sets *ERR when that
 * fails. */
br_caller_task_t *br_caller_task_new (br_node_t *node, br_error_t *err);
void br_caller_task_free (br_caller_task_t *task);

/* Writes the new parts of the answer of WORK to every caller that reads it. */
void br_caller_task_on_work (br_caller_task_t *task, uint64_t work);

/* Closes the listening socket and keeps open connections. */
void br_caller_task_stop_accepting (br_caller_task_t *task);

/* Returns the number of callers whose answer is not complete. */
size_t br_caller_task_in_progress (const br_caller_task_t *task);

BR_END_DECLS

#endif
