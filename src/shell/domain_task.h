/* The shell of the membership: gives it time, carries its messages, and tells
 * the other tasks what changed. */
#ifndef BR_SHELL_DOMAIN_TASK_H
#define BR_SHELL_DOMAIN_TASK_H

#include "domain/membership.h"
#include "shell/node.h"

BR_BEGIN_DECLS

br_domain_task_t *br_domain_task_new (br_node_t *node);
void br_domain_task_free (br_domain_task_t *task);

/* A link to a peer is ready. */
void br_domain_task_on_peer_up (br_domain_task_t *task,
                                const br_peer_message_t *peer);

/* A peer sent a message of BR_PART_DOMAIN. */
void br_domain_task_receive (br_domain_task_t *task,
                             const br_peer_message_t *message);

/* Makes it known everywhere that this incarnation of an upstream or entry VM
 * leaves, or that a request crashed an upstream.  CONTENT is as in
 * br_notice_t. */
void br_domain_task_announce (br_domain_task_t *task,
                              br_notice_kind_t kind,
                              const br_name_t *name,
                              uint64_t incarnation,
                              uint64_t content);

/* Tells the other entry VMs that this one leaves. */
void br_domain_task_leave (br_domain_task_t *task);

/* Whether the entry VM is up and not leaving, as far as this one knows. */
bool br_domain_task_is_live (const br_domain_task_t *task, const br_name_t *vm);
const br_members_t *br_domain_task_members (const br_domain_task_t *task);

/* Appends the members as a JSON array to OUT. */
void br_domain_task_status (const br_domain_task_t *task, br_buf_t *out);

BR_END_DECLS

#endif
