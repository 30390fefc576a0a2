/* Connects the router to the event loop: passes it the declarations, the
 * registry and the results of attempts, and sets the capacity of admission. */
#ifndef BR_SHELL_ROUTE_TASK_H
#define BR_SHELL_ROUTE_TASK_H

#include "shell/node.h"
#include "shell/work_task.h"

BR_BEGIN_DECLS

br_route_task_t *br_route_task_new (br_node_t *node);
void br_route_task_free (br_route_task_t *task);

/* Rebuilds the router after a change of declarations or upstreams. */
void br_route_task_update (br_route_task_t *task);

/* Chooses the upstream for the next attempt of WORK, none of TRIED, and records
 * the attempt as sent there.  Returns NULL when there is none.  The result is
 * valid until the registry changes. */
br_upstream_t *br_route_task_take (br_route_task_t *task,
                                   br_work_t *work,
                                   const br_names_t *tried);

/* Records another attempt of WORK as sent to its last upstream. */
void br_route_task_take_again (br_route_task_t *task, br_work_t *work);

/* Record that the attempt of WORK got its first token, or ended. */
void br_route_task_first_token (br_route_task_t *task, br_work_t *work);
void br_route_task_ended (br_route_task_t *task, br_work_t *work);

BR_END_DECLS

#endif
