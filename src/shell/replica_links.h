/* Keeps the links of a control VM, at a site whose settings do not name all
 * VMs: to the VMs that its replica sends to, and to no others. */
#ifndef BR_SHELL_REPLICA_LINKS_H
#define BR_SHELL_REPLICA_LINKS_H

#include "replica/replica.h"
#include "shell/node.h"

BR_BEGIN_DECLS

typedef struct
{
  br_ms_t set_ms; /* when the links were last set */
} br_replica_links_t;

/* Dials the VMs that REPLICA sends to and removes the links to all others. */
void br_replica_links_set (br_replica_links_t *links,
                           br_node_t *node,
                           const br_replica_t *replica);

/* The same if it is due. */
void br_replica_links_tick (br_replica_links_t *links,
                            br_node_t *node,
                            const br_replica_t *replica);

/* Adds VMs that another one named as members of the log. */
void br_replica_links_add (br_node_t *node,
                           br_replica_t *replica,
                           char *const *names,
                           size_t n_names);

BR_END_DECLS

#endif
