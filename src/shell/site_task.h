/* Runs an entry VM or a control VM of a site that the platform runs.  Replaces
 * the tasks of a site whose settings name every VM. */
#ifndef BR_SHELL_SITE_TASK_H
#define BR_SHELL_SITE_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

/* Returns NULL, with *ERR set, when a component cannot start. */
br_site_task_t *br_site_task_new (br_node_t *node, br_error_t *err);
void br_site_task_free (br_site_task_t *task);

/* Handles MESSAGE and frees the buffers that it owns. */
void br_site_task_on_message (br_site_task_t *task, br_node_message_t *message);

/* Stops accepting callers step by step and ends the event loop once nothing is
 * in progress, or shortly before the grace period ends. */
void br_site_task_drain (br_site_task_t *task);

BR_END_DECLS

#endif
