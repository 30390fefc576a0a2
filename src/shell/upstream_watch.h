/* Polls the load of the upstreams that this VM is responsible for, probes
 * upstreams that are down, and sends the load to the other entry VMs. */
#ifndef BR_SHELL_UPSTREAM_WATCH_H
#define BR_SHELL_UPSTREAM_WATCH_H

#include "shell/node.h"

BR_BEGIN_DECLS

br_upstream_watch_t *br_upstream_watch_new (br_node_t *node);
void br_upstream_watch_free (br_upstream_watch_t *watch);

/* Handles a message of BR_PART_UPSTREAM from a peer. */
void br_upstream_watch_receive (br_upstream_watch_t *watch,
                                const br_peer_message_t *message);

/* Marks the upstream as down or as live again.  When that is a change, logs it
 * and posts BR_NODE_UPSTREAM_CHANGED. */
void br_upstream_watch_set_down (br_upstream_watch_t *watch,
                                 const br_name_t *upstream,
                                 bool down);

BR_END_DECLS

#endif
