/* Builds the options of the replica from the settings, and posts the outcomes
 * of proposals to the other tasks. */
#ifndef BR_SHELL_REPLICA_OUTCOME_H
#define BR_SHELL_REPLICA_OUTCOME_H

#include "replica/replica.h"
#include "shell/node.h"

BR_BEGIN_DECLS

/* Returns the fewest voters of which each majority has more disks than may be
 * lost at once. */
size_t br_replica_voters_min (const br_settings_t *settings);

/* Fills OPTIONS from the settings; the caller frees its peers. */
void br_replica_options_fill (br_node_t *node,
                              uint64_t disk,
                              br_replica_options_t *options);

/* Posts that the proposal of TICKET was refused with CODE and the text WHY. */
void br_replica_post_refusal (br_node_t *node,
                              const br_name_t *leader,
                              uint64_t ticket,
                              br_error_code_t code,
                              const char *why);

/* Posts the outcome of EVENT.  Takes ownership of the bytes of *RESULT when the
 * proposal was committed.  RESULT may be NULL. */
void br_replica_post_outcome (br_node_t *node,
                              const br_name_t *leader,
                              const br_replica_event_t *event,
                              br_buf_t *result);

/* Logs role, term and leader. */
void br_replica_log_role (br_log_t *log, const br_replica_t *replica);

/* Logs what a leader that stepped down knew of its quorum. */
void br_replica_log_quorum_lost (br_log_t *log,
                                 const br_replica_event_t *event);

/* Logs a write that took long enough to delay answers to the leader. */
void br_replica_log_write (br_log_t *log, br_ms_t took_ms);

BR_END_DECLS

#endif
