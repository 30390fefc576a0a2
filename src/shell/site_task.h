/* What one process does at a site that the platform runs, in place of the
 * tasks of a site whose settings name every VM. */
#ifndef BR_SHELL_SITE_TASK_H
#define BR_SHELL_SITE_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

/* Returns NULL, with *ERR set, when a part could not start. */
br_site_task_t *br_site_task_new (br_node_t *node, br_error_t *err);
void br_site_task_free (br_site_task_t *task);

/* Handles MESSAGE and frees what it owns. */
void br_site_task_on_message (br_site_task_t *task, br_node_message_t *message);

/* Takes no new callers and ends the loop once nothing is in progress. */
void br_site_task_drain (br_site_task_t *task);

BR_END_DECLS

#endif
