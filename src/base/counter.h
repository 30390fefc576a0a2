/* Counters of one process, shown at /metrics. */
#ifndef BR_BASE_COUNTER_H
#define BR_BASE_COUNTER_H

#include <stdint.h>

#include "base/str.h"

BR_BEGIN_DECLS

/* X (id, metric name, help text) */
#define BR_COUNTER_TABLE(X)                                                    \
  X (REQUESTS, "requests_total", "Requests received from callers")             \
  X (REQUESTS_REFUSED, "requests_refused_total", "Requests refused")           \
  X (REQUESTS_RELAYED, "requests_relayed_total",                               \
     "Requests that another entry VM served")                                  \
  X (RELAYS_UNCLEAR, "relays_unclear_total",                                   \
     "Relayed requests whose answer did not say whether they ran")             \
  X (REQUESTS_FAILED, "requests_failed_total", "Requests that failed")         \
  X (ATTEMPTS, "attempts_total", "Attempts sent to upstreams")                 \
  X (ATTEMPTS_FAILED, "attempts_failed_total", "Attempts that failed")         \
  X (ANSWERS_RESET, "answers_reset_total",                                     \
     "Answers whose connection was reset")                                     \
  X (ANSWERS_CUT, "answers_cut_total",                                         \
     "Answers whose connection was closed before their end")                   \
  X (ANSWERS_UNPROVED, "answers_unproved_total",                               \
     "Answers without a length whose connection was closed, whether in order " \
     "is not known")                                                           \
  X (ANSWERS_INVALID, "answers_invalid_total",                                 \
     "Answers that are not valid HTTP")                                        \
  X (HEDGES, "hedges_total", "Copies of slow requests sent")                   \
  X (HEDGES_WON, "hedges_won_total", "Copies that were answered first")        \
  X (HEDGES_LOST, "hedges_lost_total",                                         \
     "Copies that were ended as the first attempt was answered")               \
  X (HEDGES_OVER_BUDGET, "hedges_over_budget_total",                           \
     "Slow requests that the budgets let not be copied")                       \
  X (MOVES, "moves_total", "Runs that a leaving engine was asked to move")     \
  X (MOVES_DONE, "moves_done_total", "Runs that went on at another engine")    \
  X (MOVES_BACK, "moves_back_total",                                           \
     "Stopped runs that went on at the engine they were to leave")             \
  X (MOVES_LOST, "moves_lost_total",                                           \
     "Runs that were stopped to be moved and did not go on")                   \
  X (MOVES_NO_TARGET, "moves_no_target_total",                                 \
     "Runs that no engine had room for when they were to move first")          \
  X (BYTES_STREAMED, "streamed_bytes_total", "Answer bytes sent to callers")   \
  X (TOKENS_RECOMPUTED, "recomputed_tokens_total",                             \
     "Tokens generated a second time")                                         \
  X (AUTH_FAILED, "authentication_failed_total", "Wrong or missing keys")      \
  X (CLAIMS_SENT, "claims_sent_total", "Claims that allowed a first byte")     \
  X (CLAIMS_NOT_RUN, "claims_not_run_total", "Claims that proved not run")     \
  X (CLAIMS_UNKNOWN, "claims_unknown_total", "Claims of unknown outcome")      \
  X (PEER_ERRORS, "peer_errors_total", "Broken or refused peer links")         \
  X (PEER_BYTES_SENT, "peer_sent_bytes_total", "Bytes sent to peers")          \
  X (PEER_BYTES_RECEIVED, "peer_received_bytes_total",                         \
     "Bytes received from peers")                                              \
  X (STALLED_CONNECTIONS, "silent_connections_total",                          \
     "Upstream connections that went silent while new ones work")              \
  X (QUARANTINED, "requests_quarantined_total",                                \
     "Requests refused because their content crashed upstreams")               \
  X (UPSTREAM_CRASHES, "upstream_crashes_total",                               \
     "Upstreams that crashed while requests of this VM ran there")             \
  X (UPSTREAMS_LEAVING, "upstreams_leaving_total",                             \
     "Upstreams whose answers told that they leave")                           \
  X (UPSTREAMS_RETRY_AFTER, "upstreams_held_off_total",                        \
     "Answers of 503 that told when to come back")                             \
  X (DEPUTY_SUMS_SENT, "deputy_sums_sent_total",                               \
     "Sums sent to entry VMs that have no leader")                             \
  X (DEPUTY_SUMS_USED, "deputy_sums_used_total",                               \
     "Sums of a control VM that does not lead, used in place of a leader's")   \
  X (PACES_UNREADABLE, "paces_unreadable_total",                               \
     "Answers whose load has a fourth figure that is no pace")                 \
  X (ATTEMPTS_SLOW, "attempts_slow_total",                                     \
     "Attempts given up at upstreams that stated that they were slow")         \
  X (LOG_SYNCS, "log_syncs_total", "Writes to the log, each with one sync")    \
  X (LOG_RECORDS, "log_records_total", "Records written to the log")           \
  X (LOG_BYTES_SENT, "log_sent_bytes_total",                                   \
     "Bytes sent to peers for the replicated log")                             \
  X (LIST_ENTRIES_SKIPPED, "list_entries_skipped_total",                       \
     "Entries of the platform's list that name no upstream, at each read")     \
  X (LISTS_UNREADABLE, "lists_unreadable_total",                               \
     "Reads of the platform's list that failed")                               \
  X (PROTOCOL_ERRORS, "protocol_errors_total", "Messages that did not parse")

typedef enum
{
#define X(id, name, help) BR_COUNTER_##id,
  BR_COUNTER_TABLE (X)
#undef X
      BR_COUNTER_COUNT
} br_counter_id_t;

typedef struct
{
  uint64_t values[BR_COUNTER_COUNT];
} br_counters_t;

void br_counters_add (br_counters_t *counters, br_counter_id_t id, uint64_t n);
uint64_t br_counters_get (const br_counters_t *counters, br_counter_id_t id);

/* Appends all counters in the text exposition format to OUT. */
void br_counters_print (const br_counters_t *counters, br_buf_t *out);

BR_END_DECLS

#endif
