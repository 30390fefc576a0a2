/* What the replica is told by the settings, and what it tells the tasks that
 * proposed. */
#ifndef BR_SHELL_REPLICA_OUTCOME_H
#define BR_SHELL_REPLICA_OUTCOME_H

#include "replica/replica.h"
#include "shell/node.h"

BR_BEGIN_DECLS

/* Fills OPTIONS from the settings; the caller frees its peers. */
void br_replica_options_of (br_node_t *node,
                            uint64_t disk,
                            br_replica_options_t *options);

/* Posts that the proposal of TICKET was refused. */
void br_replica_post_refusal (br_node_t *node,
                              const br_name_t *leader,
                              uint64_t ticket,
                              br_error_code_t code,
                              const char *why);

/* Posts the outcome that EVENT says.  Takes over *RESULT, which may be NULL,
 * when it was committed. */
void br_replica_post_outcome (br_node_t *node,
                              const br_name_t *leader,
                              const br_replica_event_t *event,
                              br_buf_t *result);

/* Writes role, term and leader into the log of events. */
void br_replica_log_role (br_log_t *log, const br_replica_t *replica);

BR_END_DECLS

#endif
