/* Keeps the links to other entry VMs.  Each VM dials every peer and sends on
 * the link that it dialled.  Messages from a peer arrive on the link that the
 * peer dialled.  A cut in one direction therefore stops only that direction. */
#ifndef BR_SHELL_PEER_TASK_H
#define BR_SHELL_PEER_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

/* Starts to listen on peers.address and dials the peers of the settings.
 * Returns NULL and sets *ERR when it cannot listen. */
br_peer_task_t *br_peer_task_new (br_node_t *node, br_error_t *err);
void br_peer_task_free (br_peer_task_t *task);

/* Adds a peer that the settings do not name and dials it.  Does nothing when
 * the peer is dialled already. */
void br_peer_task_add (br_peer_task_t *task, const br_peer_settings_t *peer);

/* Returns whether VM is a peer that this VM dials. */
bool br_peer_task_dials (const br_peer_task_t *task, const br_name_t *vm);

/* Stops dialling a peer and closes the link. */
void br_peer_task_remove (br_peer_task_t *task, const br_name_t *vm);

/* See br_node_send().  When the link that this VM dialled is not ready, the
 * link that the peer dialled is used. */
bool br_peer_task_send (br_peer_task_t *task,
                        const br_name_t *vm,
                        br_part_t part,
                        br_str_t payload);

/* Removes the links to all VMs that are not in VMS. */
void br_peer_task_keep (br_peer_task_t *task, const br_names_t *vms);

/* Calls VISIT for each VM to which a dialled link is ready. */
typedef void (*br_peer_visit_fn) (void *context, const br_name_t *vm);
void br_peer_task_each (const br_peer_task_t *task,
                        br_peer_visit_fn visit,
                        void *context);

/* Returns whether the dialled link to VM is ready. */
bool br_peer_task_is_up (const br_peer_task_t *task, const br_name_t *vm);

/* Appends one JSON object for each peer, separated by commas. */
void br_peer_task_status (const br_peer_task_t *task, br_buf_t *out);

BR_END_DECLS

#endif
