/* A control VM of a site that the platform runs: the replicated configuration,
 * the list of upstreams, and what entry VMs are told. */
#ifndef BR_SHELL_CONTROL_TASK_H
#define BR_SHELL_CONTROL_TASK_H

#include <event2/http.h>

#include "shell/node.h"

BR_BEGIN_DECLS

br_control_task_t *br_control_task_new (br_node_t *node);
void br_control_task_free (br_control_task_t *task);

/* An entry VM or another control VM sent PAYLOAD. */
void br_control_task_on_message (br_control_task_t *task,
                                 const br_peer_message_t *message);
void br_control_task_on_link (br_control_task_t *task, const br_name_t *vm);

/* The replicated state has changed. */
void br_control_task_on_applied (br_control_task_t *task);
void br_control_task_on_proposal (br_control_task_t *task,
                                  const br_proposal_message_t *proposal);

/* An operator puts or reads the site's configuration; the request is answered
 * now or later. */
void br_control_task_put (br_control_task_t *task,
                          struct evhttp_request *request);
void br_control_task_get (br_control_task_t *task,
                          struct evhttp_request *request);
void br_control_task_print_metrics (const br_control_task_t *task,
                                    br_buf_t *out);

BR_END_DECLS

#endif
