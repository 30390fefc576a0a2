/* HTTP server for operators: declarations, claims, status, drain and metrics.
 */
#ifndef BR_SHELL_OPERATOR_TASK_H
#define BR_SHELL_OPERATOR_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

/* Returns NULL, with *ERR set, when the address cannot be listened on. */
br_operator_task_t *br_operator_task_new (br_node_t *node, br_error_t *err);
void br_operator_task_free (br_operator_task_t *task);

/* Returns false when the proposal does not belong to this task. */
bool br_operator_task_on_proposal (br_operator_task_t *task,
                                   const br_proposal_message_t *message);
void br_operator_task_on_applied (br_operator_task_t *task);
void br_operator_task_on_peer_up (br_operator_task_t *task,
                                  const br_name_t *vm);

/* Called when a peer reported its revision (BR_PART_STATE). */
void br_operator_task_on_report (br_operator_task_t *task,
                                 const br_peer_message_t *message);

BR_END_DECLS

#endif
