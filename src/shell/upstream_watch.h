/* Watches upstreams: asks those that this VM is to watch for their load, asks
 * those that are down whether they are back, and tells the other entry VMs. */
#ifndef BR_SHELL_UPSTREAM_WATCH_H
#define BR_SHELL_UPSTREAM_WATCH_H

#include "shell/node.h"

BR_BEGIN_DECLS

br_upstream_watch_t *br_upstream_watch_new (br_node_t *node);
void br_upstream_watch_free (br_upstream_watch_t *watch);

/* A peer sent a message of BR_PART_UPSTREAM. */
void br_upstream_watch_receive (br_upstream_watch_t *watch,
                                const br_peer_message_t *message);

/* Marks the upstream as down or back, and says so in the log and to the other
 * tasks when that is news. */
void br_upstream_watch_set_down (br_upstream_watch_t *watch,
                                 const br_name_t *upstream,
                                 bool down);

BR_END_DECLS

#endif
