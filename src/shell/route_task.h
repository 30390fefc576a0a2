/* The shell of routing: feeds the router the declarations, the registry and
 * what becomes of attempts, and tells admission how much may run. */
#ifndef BR_SHELL_ROUTE_TASK_H
#define BR_SHELL_ROUTE_TASK_H

#include "shell/node.h"
#include "shell/work_task.h"

BR_BEGIN_DECLS

br_route_task_t *br_route_task_new (br_node_t *node);
void br_route_task_free (br_route_task_t *task);

/* The declarations or the upstreams changed. */
void br_route_task_update (br_route_task_t *task);

/* Chooses the upstream for the next attempt of WORK, none of TRIED, and counts
 * it as sent there.  NULL when there is none; valid until the registry
 * changes. */
br_upstream_t *br_route_task_take (br_route_task_t *task,
                                   br_work_t *work,
                                   const br_names_t *tried);

/* WORK goes to its last upstream once more. */
void br_route_task_take_again (br_route_task_t *task, br_work_t *work);

/* The attempt of WORK got its first token; it ended. */
void br_route_task_first_token (br_route_task_t *task, br_work_t *work);
void br_route_task_ended (br_route_task_t *task, br_work_t *work);

BR_END_DECLS

#endif
