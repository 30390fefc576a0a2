/* Compiles the replicated declarations into this VM's catalog and reports the
 * revision in force to the peers. */
#ifndef BR_SHELL_OPERATOR_CATALOG_H
#define BR_SHELL_OPERATOR_CATALOG_H

#include "shell/node.h"

BR_BEGIN_DECLS

typedef struct br_operator_catalog br_operator_catalog_t;

br_operator_catalog_t *br_operator_catalog_new (br_node_t *node);
void br_operator_catalog_free (br_operator_catalog_t *catalog);

/* Called when the replicated state of this VM changed.  Compiles the
 * declarations when their revision is new, and posts BR_NODE_CATALOG_CHANGED.
 */
void br_operator_catalog_on_applied (br_operator_catalog_t *catalog);

/* Reports the revision in force to the peer VM, whose link is ready. */
void br_operator_catalog_on_peer_up (br_operator_catalog_t *catalog,
                                     const br_name_t *vm);

/* Stores the revision that a peer reported. */
void br_operator_catalog_on_report (br_operator_catalog_t *catalog,
                                    const br_peer_message_t *message);

/* Appends {"vm", "revision", "lags", "heard_ms_ago"} for this VM and every
 * other VM of the settings, separated by commas. */
void br_operator_catalog_print (const br_operator_catalog_t *catalog,
                                br_buf_t *out);

BR_END_DECLS

#endif
