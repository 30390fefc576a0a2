/* Runs the membership protocol: drives its timer, sends and receives its
 * messages, and posts its changes to the other tasks. */
#ifndef BR_SHELL_DOMAIN_TASK_H
#define BR_SHELL_DOMAIN_TASK_H

#include "domain/membership.h"
#include "shell/node.h"

BR_BEGIN_DECLS

br_domain_task_t *br_domain_task_new (br_node_t *node);
void br_domain_task_free (br_domain_task_t *task);

/* Handles a link to a peer that has become ready. */
void br_domain_task_on_peer_up (br_domain_task_t *task,
                                const br_peer_message_t *peer);

/* Handles a message of BR_PART_DOMAIN from a peer. */
void br_domain_task_receive (br_domain_task_t *task,
                             const br_peer_message_t *message);

/* Announces to all entry VMs that this incarnation of an upstream or entry VM
 * leaves, or that a request crashed an upstream.  CONTENT is as in
 * br_notice_t. */
void br_domain_task_announce (br_domain_task_t *task,
                              br_notice_kind_t kind,
                              const br_name_t *name,
                              uint64_t incarnation,
                              uint64_t content);

/* Announces to the other entry VMs that this VM leaves. */
void br_domain_task_leave (br_domain_task_t *task);

/* Returns whether VM is up and not leaving, in the view of this VM. */
bool br_domain_task_is_live (const br_domain_task_t *task, const br_name_t *vm);
const br_members_t *br_domain_task_members (const br_domain_task_t *task);

/* Appends the members as a JSON array to OUT. */
void br_domain_task_status (const br_domain_task_t *task, br_buf_t *out);

BR_END_DECLS

#endif
