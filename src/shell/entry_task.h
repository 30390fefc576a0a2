/* Runs an entry VM of a site that the platform runs: the callers' port, the
 * state of the upstreams, and the messages to and from the control VMs. */
#ifndef BR_SHELL_ENTRY_TASK_H
#define BR_SHELL_ENTRY_TASK_H

#include "base/label.h"
#include "shell/node.h"

BR_BEGIN_DECLS

/* Returns NULL and sets *ERR if it cannot listen on the callers' address. */
br_entry_task_t *br_entry_task_new (br_node_t *node, br_error_t *err);
void br_entry_task_free (br_entry_task_t *task);

/* Handles a message from a control VM. */
void br_entry_task_on_message (br_entry_task_t *task,
                               const br_name_t *vm,
                               br_str_t payload);

/* Handles a link to a control VM that came up or went down. */
void
br_entry_task_on_link (br_entry_task_t *task, const br_name_t *vm, bool up);

/* Replaces the control VMs of the settings. */
void br_entry_task_set_seeds (br_entry_task_t *task, const br_names_t *vms);

/* Returns why the balancer must not send callers here, or NULL. */
const char *br_entry_task_why_not_ready (const br_entry_task_t *task);

/* Makes every further answer close its connection.  Called once the balancer
 * has had time to see that this VM drains. */
void br_entry_task_stop_keep_alive (br_entry_task_t *task);
void br_entry_task_stop_accepting (br_entry_task_t *task);

/* Refuses all further requests, because they could not be finished before the
 * process ends. */
void br_entry_task_refuse (br_entry_task_t *task);

/* Returns the number of connections with a request or an unsent answer.  Before
 * br_entry_task_stop_accepting() idle connections count too. */
size_t br_entry_task_in_progress (const br_entry_task_t *task);

/* Appends gauges and histograms in the text exposition format. */
void br_entry_task_print_metrics (const br_entry_task_t *task, br_buf_t *out);

BR_END_DECLS

#endif
