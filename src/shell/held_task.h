/* Owns the account of held bytes of a process: takes its limits from the
 * settings and the machine, and logs at most one line a second about what was
 * refused. */
#ifndef BR_SHELL_HELD_TASK_H
#define BR_SHELL_HELD_TASK_H

#include "http/held_bytes.h"
#include "shell/node.h"

BR_BEGIN_DECLS

br_held_task_t *br_held_task_new (br_node_t *node);
void br_held_task_free (br_held_task_t *task);
br_held_account_t *br_held_task_account (br_held_task_t *task);

BR_END_DECLS

#endif
