/* Links to other entry VMs.  Each VM dials every peer and sends on the link
 * it dialled; what a peer sends comes in on the link the peer dialled, so a
 * cut in one direction stops one direction only. */
#ifndef BR_SHELL_PEER_TASK_H
#define BR_SHELL_PEER_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

/* Returns NULL, with *ERR set, when the address cannot be listened on. */
br_peer_task_t *br_peer_task_new (br_node_t *node, br_error_t *err);
void br_peer_task_free (br_peer_task_t *task);

/* Dials a peer that the settings do not name; nothing happens when it is
 * known. */
void br_peer_task_add (br_peer_task_t *task, const br_peer_settings_t *peer);

/* Whether this VM dials VM. */
bool br_peer_task_dials (const br_peer_task_t *task, const br_name_t *vm);

/* Stops dialling a peer and closes the link. */
void br_peer_task_remove (br_peer_task_t *task, const br_name_t *vm);

/* See br_node_send().  Without a link that this VM dialled, the one that the
 * peer dialled is used. */
bool br_peer_task_send (br_peer_task_t *task,
                        const br_name_t *vm,
                        br_part_t part,
                        br_str_t payload);

/* Calls VISIT for each VM that this one dials and has a link to. */
typedef void (*br_peer_visit_fn) (void *context, const br_name_t *vm);
void br_peer_task_each (const br_peer_task_t *task,
                        br_peer_visit_fn visit,
                        void *context);

/* Whether the link to VM is ready to send. */
bool br_peer_task_is_up (const br_peer_task_t *task, const br_name_t *vm);

/* Appends one JSON object for each peer, separated by commas. */
void br_peer_task_status (const br_peer_task_t *task, br_buf_t *out);

BR_END_DECLS

#endif
