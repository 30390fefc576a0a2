/* An entry VM of a site that the platform runs: the callers' port, what it
 * believes of the upstreams, and its talk with the control VMs. */
#ifndef BR_SHELL_ENTRY_TASK_H
#define BR_SHELL_ENTRY_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

/* Returns NULL, with *ERR set, when the callers' address cannot be listened
 * on. */
br_entry_task_t *br_entry_task_new (br_node_t *node, br_error_t *err);
void br_entry_task_free (br_entry_task_t *task);

/* A control VM sent PAYLOAD. */
void br_entry_task_on_message (br_entry_task_t *task,
                               const br_name_t *vm,
                               br_str_t payload);
void
br_entry_task_on_link (br_entry_task_t *task, const br_name_t *vm, bool up);

/* Whether callers may be sent here. */
bool br_entry_task_is_ready (const br_entry_task_t *task);

/* The balancer was told; answers close their connections from now on. */
void br_entry_task_stop_keep_alive (br_entry_task_t *task);
void br_entry_task_stop_accepting (br_entry_task_t *task);

/* Refuses what comes from now on: it would not be done before the end. */
void br_entry_task_refuse (br_entry_task_t *task);

/* Connections with a request, or with an answer that is not out yet; before
 * br_entry_task_stop_accepting() idle ones count too. */
size_t br_entry_task_in_progress (const br_entry_task_t *task);

/* Appends gauges and histograms in the text exposition form. */
void br_entry_task_print_metrics (const br_entry_task_t *task, br_buf_t *out);

BR_END_DECLS

#endif
