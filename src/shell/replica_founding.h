/* The first voters of a new site, kept in the data folder: a first voter whose
 * settings change before the log is founded is still one. */
#ifndef BR_SHELL_REPLICA_FOUNDING_H
#define BR_SHELL_REPLICA_FOUNDING_H

#include "replica/replica.h"
#include "shell/node.h"

BR_BEGIN_DECLS

/* Completes the options of a VM whose log is empty: with the first voters that
 * the data folder names, or with those of the settings, which are then written
 * to the folder.  OPTIONS->disk must be set. */
void br_replica_founding_fill (br_node_t *node, br_replica_options_t *options);

BR_END_DECLS

#endif
