/* Reports a control VM's part in the replicated log: lines while it is not a
 * voter and about voters that are silent, and metrics. */
#ifndef BR_SHELL_REPLICA_WATCH_H
#define BR_SHELL_REPLICA_WATCH_H

#include "replica/replica.h"
#include "shell/node.h"

BR_BEGIN_DECLS

typedef struct
{
  br_ms_t outside_since_ms; /* since when this VM has no vote or no leader; 0:
                             * it has both */
  br_ms_t logged_ms;        /* time of the last line about that */
  br_replica_standing_t standing; /* in that line */
  br_replica_followers_t silent; /* voters that are reported as silent; owned */
  br_ms_t turn_ms;               /* time of the last call */
  br_ms_t turn_cpu_ms;           /* processor time used until then */
  br_ms_t turn_max_ms;           /* longest time between two calls */
} br_replica_watch_t;

void br_replica_watch_release (br_replica_watch_t *watch);

/* Called at each tick of the log.  Logs ticks that came late, changes since the
 * last call, and repeats every 5 s why this VM has no
 * vote or no leader, if its settings say that it wants one. */
void br_replica_watch_tick (br_replica_watch_t *watch,
                            br_node_t *node,
                            const br_replica_t *replica);

/* Logs the voters of the configuration at INDEX. */
void br_replica_watch_config (const br_replica_t *replica,
                              uint64_t index,
                              br_log_t *log);

void br_replica_watch_print_metrics (const br_replica_watch_t *watch,
                                     const br_node_t *node,
                                     const br_replica_t *replica,
                                     br_buf_t *out);

BR_END_DECLS

#endif
