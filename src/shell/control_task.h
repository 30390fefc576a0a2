/* Runs a control VM of a site that the platform runs: replicates the
 * configuration, reads the list of upstreams, and updates the entry VMs. */
#ifndef BR_SHELL_CONTROL_TASK_H
#define BR_SHELL_CONTROL_TASK_H

#include <event2/http.h>

#include "shell/node.h"

BR_BEGIN_DECLS

br_control_task_t *br_control_task_new (br_node_t *node);
void br_control_task_free (br_control_task_t *task);

/* Handles a message from an entry VM or another control VM. */
void br_control_task_on_message (br_control_task_t *task,
                                 const br_peer_message_t *message);

/* Handles a new link to another control VM. */
void br_control_task_on_link (br_control_task_t *task, const br_name_t *vm);

/* Pushes a changed configuration or changed bans of the replicated state to
 * the entry VMs. */
void br_control_task_on_applied (br_control_task_t *task);
void br_control_task_on_proposal (br_control_task_t *task,
                                  const br_proposal_message_t *proposal);

/* Returns why this VM can serve neither reads nor changes, or NULL. */
const char *br_control_task_why_not_ready (const br_control_task_t *task);

/* Handle an operator's write or read of the site's configuration.  The reply
 * may come after the call returns. */
void br_control_task_put (br_control_task_t *task,
                          struct evhttp_request *request);
void br_control_task_get (br_control_task_t *task,
                          struct evhttp_request *request);

/* Handle an operator's rollout order and the read of SERVICE's newest one.  The
 * same holds for the replies.  Return false if the settings allow no rollouts.
 */
bool br_control_task_post_rollout (br_control_task_t *task,
                                   struct evhttp_request *request);
bool br_control_task_get_rollout (br_control_task_t *task,
                                  struct evhttp_request *request,
                                  br_str_t service);
void br_control_task_print_metrics (const br_control_task_t *task,
                                    br_buf_t *out);

BR_END_DECLS

#endif
