/* Types and functions shared by the files of the entry task. */
#ifndef BR_SHELL_ENTRY_PRIVATE_H
#define BR_SHELL_ENTRY_PRIVATE_H

#include "base/histogram.h"
#include "deputy/deputy.h"
#include "hedge/hedge.h"
#include "hedge/route_times.h"
#include "http/http_server.h"
#include "platform/cloud.h"
#include "platform/request_codec.h"
#include "replica/contacts.h"
#include "rollout/version_share.h"
#include "shell/entry_task.h"
#include "site/choice.h"
#include "site/fleet.h"
#include "site/helper.h"
#include "site/list_report.h"
#include "site/quota.h"
#include "site/repeat_budget.h"
#include "site/site.pb-c.h"
#include "site/site_clock.h"
#include "site/usage.h"
#include "upstream/part_suspects.h"
#include "upstream/trial.h"

BR_BEGIN_DECLS

/* Time between two checks for due work and between two load reports, in
 * milliseconds.  With stale loads, VMs send their long prompts to the same
 * engine. */
#define BR_ENTRY_TICK_MS 100

/* Crashes, losses and answered suspects in one report: at most this many of
 * each. */
#define BR_ENTRY_CRASHES_MAX 256

typedef struct br_exchange br_exchange_t;
typedef struct br_crash_check br_crash_check_t;
typedef struct br_link_probe br_link_probe_t;
typedef struct br_move_calls br_move_calls_t;

/* The demand for one service since the last report. */
typedef struct
{
  br_name_t service;
  br_repeat_budget_t repeats;
  br_hedge_budget_t hedges;
  double prefill_tokens;
  double output_tokens;
  double requests;
  uint32_t in_flight;
  uint32_t tick_requests; /* since the last tick */
  double requests_per_s;  /* moving average */
  br_ms_t probed_ms; /* when upstreams were last connected to, while lost */
} br_entry_service_t;

BR_VEC (br_entry_services, br_entry_service_t);

struct br_entry_task
{
  br_node_t *node;
  br_http_server_t *server;
  br_http_server_t *relay_server; /* for other entry VMs; NULL: none */
  br_helpers_t helpers;    /* entry VMs that may serve requests of this one */
  br_link_probe_t *probes; /* owned */
  br_configuration_t *configuration; /* NULL before the first one */
  br_version_shares_t versions;      /* of services that had a rollout */
  br_version_bounds_t version_bounds;
  bool versions_known; /* a control VM sent the policies */
  br_fleet_t fleet;
  br_quotas_t quotas;
  br_usage_t usage;
  br_entry_services_t services;
  br_site_clock_t clock;
  br_contacts_t contacts; /* control VMs */
  br_cloud_t *cloud;
  bool reading_list;
  br_list_reports_t list_reports;
  br_ms_t list_requested_ms; /* when this VM last requested the list itself */
  uint32_t entries;          /* entry VMs of the site, this one included */
  br_name_t leader;          /* leading control VM, by its last heartbeat */
  uint64_t term;
  br_ms_t leader_seen_ms;  /* time of that heartbeat */
  br_deputy_t deputy;      /* whose sums replace the leader's */
  bool no_leader_reported; /* in a report, since the last leader's message */
  uint64_t requested_version;
  br_ms_t requested_ms;
  br_ms_t last_report_ms;
  bool report_due;
  bool refusing; /* about to stop: new requests could not be finished */
  struct event *timer;
  br_crash_check_t *checks;         /* owned */
  uint64_t bans_made;               /* bans ever made, as of the last update */
  br_trials_t trials;               /* requested by this VM */
  br_part_suspects_t part_suspects; /* crashes that this VM saw */
  br_begun_parts_t begun_parts;
  br_stream_table_t streams;       /* that began at this VM */
  br_stream_records_t new_streams; /* not reported to all control VMs yet */
  size_t loads_streams;            /* of NEW_STREAMS, sent to the leader */
  bool counts_unspread;      /* changed since all control VMs got the counts */
  br_ms_t counts_spread_ms;  /* when they last did */
  br_ms_t limits_sent_ms;    /* when the leader last got the limits */
  bool limits_changed;       /* since then */
  br_ms_t leader_since_ms;   /* when the leader was first seen again */
  br_ms_t evidence_since_ms; /* reports contain crashes and losses since then */
  br_move_calls_t *move_calls; /* owned */
  br_exchange_t *exchanges;
  size_t n_exchanges;
  size_t answer_bytes; /* of plain answers that are being read */
  size_t n_waiting;    /* of them, for the first configuration or list */
  br_histogram_t first_event_ms;
  br_histogram_t answer_ms;
  br_route_times_t route_times; /* empty unless requests are copied */
};

br_entry_service_t *br_entry_service (br_entry_task_t *task, br_str_t name);
br_repeat_limits_t br_entry_repeat_limits (const br_entry_task_t *task);

/* Counts a request of the organisation that began to run; returns the
 * accounting window in which it counts. */
uint64_t br_entry_count_usage (br_entry_task_t *task, br_str_t organisation);

/* Takes back the count of a request that turned out not to have run. */
void br_entry_uncount_usage (br_entry_task_t *task,
                             uint64_t window,
                             br_str_t organisation);

/* Returns the number of the current accounting window. */
uint64_t br_entry_window (const br_entry_task_t *task);

/* Sends the whole report to all control VMs. */
void br_entry_report (br_entry_task_t *task, br_ms_t now);

/* Sends the loads, the quotas and the changed counts to the leader, or to all
 * control VMs when that is due.  A VM that dies then loses few of its counts.
 * While no leader is known, they wait for the next whole report. */
void br_entry_report_loads (br_entry_task_t *task);
bool br_entry_loads_are_due (const br_entry_task_t *task);

/* --- entry_deputy.c --- */

/* Records a message from a leader: its sums are used again. */
void br_entry_deputy_on_leader (br_entry_task_t *task);

/* Takes the sums of a control VM that does not lead, if they are to be used. */
void br_entry_on_deputy_sums (br_entry_task_t *task,
                              const br_name_t *vm,
                              const Br__Site__DeputySums *sums);

/* Reports at once that there is no leader; called on each tick. */
void br_entry_deputy_tick (br_entry_task_t *task, br_ms_t now);

/* Returns the control VM that gets this VM's loads: the deputy while one is
 * used, else the leader. */
const br_name_t *br_entry_loads_receiver (const br_entry_task_t *task);

/* --- entry_task.c --- */

/* Takes the loads of all entry VMs together. */
void br_entry_on_loads (br_entry_task_t *task,
                        Br__Site__UpstreamLoad *const *loads,
                        size_t n_loads,
                        bool has_speeds);

/* --- entry_upstream_signals.c --- */

/* Marks the upstream as leaving, as its answer to REQUEST announced. */
void br_entry_upstream_leaving (br_entry_task_t *task,
                                br_fleet_upstream_t *upstream,
                                br_str_t request);

/* Takes the limit that the head of the upstream's answer to REQUEST names, or
 * notes that it names none any more. */
void br_entry_upstream_limit (br_entry_task_t *task,
                              br_fleet_upstream_t *upstream,
                              const br_outcome_head_t *outcome,
                              br_str_t request);

/* Takes the pace that the load in the upstream's answer to REQUEST names. */
void br_entry_upstream_pace (br_entry_task_t *task,
                             br_fleet_upstream_t *upstream,
                             const br_outcome_head_t *outcome,
                             br_str_t request);

/* Backs off from the upstream after a 503 to REQUEST with Retry-After. */
void br_entry_upstream_retry_after (br_entry_task_t *task,
                                    br_fleet_upstream_t *upstream,
                                    const br_outcome_head_t *outcome,
                                    br_str_t request);

/* Fills WIRE and VIEWS with the upstreams that announced leaving; returns their
 * number, at most that of the listed upstreams. */
size_t br_entry_report_leaving (const br_entry_task_t *task,
                                Br__Site__Leaving *wire,
                                Br__Site__Leaving **views);

/* --- entry_limits.c --- */

/* Requests permits for limited upstreams, or issues them while there is no
 * leader; called on each tick. */
void br_entry_limits_tick (br_entry_task_t *task, bool has_leader);

/* Takes the limits that the leader knows, and the permits that it issued. */
void br_entry_on_limits (br_entry_task_t *task, const Br__Site__Limits *limits);

/* --- entry_speed.c --- */

/* Fills in the pace that an answer to this VM stated since it was last sent,
 * and, if WITH_SAMPLES, the samples of the upstream's speed; clears both.
 * Returns whether there is any. */
bool br_entry_report_speed (br_fleet_upstream_t *upstream,
                            bool with_samples,
                            br_ms_t now,
                            Br__Site__UpstreamLoad *wire);

/* Takes pace and speed as the leader sent them.  HAS_SPEEDS: it is a heartbeat,
 * which has those in force. */
void br_entry_receive_speed (br_fleet_upstream_t *upstream,
                             const Br__Site__UpstreamLoad *load,
                             bool has_speeds,
                             br_ms_t now);

/* Returns whether an upstream's pace is to be sent. */
bool br_entry_paces_are_due (const br_entry_task_t *task);

/* Record what the answer of the current attempt shows about its upstream's
 * speed: when its first event came, and when it is whole. */
void br_exchange_observe_first (br_exchange_t *exchange);
void br_exchange_observe_answer (br_exchange_t *exchange);

/* --- entry_ports.c --- */

/* Listens for callers, and for other entry VMs if the settings have a port.
 * Returns false with *ERR set when it cannot. */
bool br_entry_open_ports (br_entry_task_t *task, br_error_t *err);
void br_entry_close_ports (br_entry_task_t *task);
void br_entry_set_limits (br_entry_task_t *task,
                          const br_http_limits_t *limits);

/* --- entry_links.c --- */

/* Logs the services that were lost or reached again, and connects to upstreams
 * of those that are lost; called on each tick. */
void br_entry_links_tick (br_entry_task_t *task);
void br_entry_free_probes (br_entry_task_t *task);

/* Takes the entry VMs that the leader named. */
void br_entry_set_helpers (br_entry_task_t *task,
                           Br__Site__Helper *const *helpers,
                           size_t n);

/* --- entry_quarantine.c --- */

/* Records a run whose connection broke or timed out, and checks whether the
 * upstream crashed. */
void br_entry_record_lost_run (br_entry_task_t *task,
                               br_fleet_upstream_t *upstream,
                               const br_lost_run_t *run,
                               br_ms_t sent_ms);

/* Records the loss alone.  It proves no crash, but a request that is never
 * answered is blocked for a while. */
void br_entry_record_loss (br_entry_task_t *task,
                           const br_fleet_upstream_t *upstream,
                           uint64_t content);

/* Decides from a new list of upstreams which lost runs were crashes. */
void br_entry_resolve_lost_runs (br_entry_task_t *task);
void br_entry_free_checks (br_entry_task_t *task);

/* Each fills up to BR_ENTRY_CRASHES_MAX entries of a report; returns their
 * number. */
size_t br_entry_report_crashes (const br_entry_task_t *task,
                                Br__Site__Crash *wire,
                                Br__Site__Crash **views);
size_t br_entry_report_losses (const br_entry_task_t *task,
                               Br__Site__Loss *wire,
                               Br__Site__Loss **views);
size_t br_entry_report_answered (const br_entry_task_t *task,
                                 Br__Site__Answered *wire,
                                 Br__Site__Answered **views);

/* Replaces the bans by those of a control VM if they are newer, and begins the
 * trials of this VM that were granted. */
void br_entry_on_bans (br_entry_task_t *task, const Br__Site__Bans *bans);

/* Requests a trial of CONTENT from the leading control VM.  Returns false if
 * there is no leader or the trial was requested already. */
bool br_entry_ask_trial (br_entry_task_t *task, uint64_t content);

/* Updates what depends on whether the leading control VM is in touch:
 * HAS_LEADER says whether it is now. */
void br_entry_quarantine_tick (br_entry_task_t *task, bool has_leader);

/* --- entry_parts.c --- */

/* Records the prompt parts of a run that was lost in the crash of an upstream
 * before it began to answer. */
void br_entry_record_part_crash (br_entry_task_t *task,
                                 const br_name_t *upstream,
                                 const br_lost_run_t *run);

/* Fills up to BR_PART_CRASHES_MAX entries of a report with recent crashes;
 * returns their number. */
size_t br_entry_report_part_crashes (const br_entry_task_t *task,
                                     Br__Site__PartCrash *wire,
                                     Br__Site__PartCrash **views);

/* Answers the leading control VM's inquiry. */
void br_entry_on_part_inquiry (br_entry_task_t *task,
                               const br_name_t *vm,
                               const Br__Site__PartInquiry *inquiry);

/* --- entry_streams.c --- */

/* Records which version began a stream. */
void br_entry_record_stream (br_entry_task_t *task,
                             br_stream_t stream,
                             br_version_t version);

/* Fills WIRE and VIEWS, which have room for all new records, with those from
 * index FROM on; returns their number. */
size_t br_entry_report_streams (const br_entry_task_t *task,
                                size_t from,
                                Br__Site__StreamRecord *wire,
                                Br__Site__StreamRecord **views);

/* Asks all control VMs which version began a stream; returns how many were
 * asked. */
size_t br_entry_ask_stream (br_entry_task_t *task,
                            br_stream_t stream,
                            const br_name_t *service);

/* --- entry_rollout.c --- */

/* Takes the version policies of a control VM. */
void br_entry_on_policies (br_entry_task_t *task,
                           Br__Site__VersionPolicy *const *policies,
                           size_t n,
                           bool from_leader);

/* Judges the running targets by this VM's own answers; called on each tick. */
void br_entry_rollouts_tick (br_entry_task_t *task);

/* The counts of running rollouts in a report. */
typedef struct
{
  Br__Site__RolloutCounts *wire;
  Br__Site__RolloutCounts **views;
  size_t n;
} br_rollout_report_t;

void br_entry_report_rollouts (const br_entry_task_t *task,
                               br_rollout_report_t *report);
void br_rollout_report_free (br_rollout_report_t *report);
void br_entry_print_rollouts (const br_entry_task_t *task, br_buf_t *out);

/* --- exchange_version.c --- */

/* Handles a control VM's answer about a stream. */
void br_exchanges_on_stream_answer (br_entry_task_t *task,
                                    const Br__Site__StreamAnswer *answer);

/* --- exchange.c --- */

/* Handle a new request, and the disconnect of its caller. */
void br_exchange_begin (br_entry_task_t *task, br_http_conn_t *conn);

/* Returns false if the head of the request alone shows that it is refused. */
bool br_exchange_may_serve (br_entry_task_t *task,
                            br_http_conn_t *conn,
                            bool is_relayed);

/* Handles a request that another entry VM relays. */
void br_exchange_begin_relayed (br_entry_task_t *task, br_http_conn_t *conn);
void br_exchange_on_disconnect (void *context, br_http_conn_t *conn);

/* Goes on reading the answer for a caller that has received all of it so far.
 */
void br_exchange_on_drained (void *context, br_http_conn_t *conn);

/* Admits the requests that waited for the first configuration and list of
 * upstreams, oldest first, once both have come. */
void br_exchanges_admit_waiting (br_entry_task_t *task);

/* Sends the requests that wait for a permit as far as they have one now, and
 * refuses those that will get none soon. */
void br_exchanges_resume_limited (br_entry_task_t *task);

/* Sends the requests whose trials were granted or that need none any more, and
 * refuses those that waited for a trial that another VM has now. */
void br_exchanges_resume_trials (br_entry_task_t *task);

/* Ends the attempts that have not begun to be answered and whose prompts have a
 * part that is blocked now. */
void br_exchanges_end_blocked (br_entry_task_t *task);

/* Returns how many requests run at upstreams of SERVICE of other versions than
 * TARGET. */
uint32_t br_exchanges_count_old (const br_entry_task_t *task,
                                 const br_name_t *service,
                                 br_version_t target);

/* --- exchange_move_plan.c --- */

/* Moves the runs that would be lost at engines that leave. */
void br_exchanges_move (br_entry_task_t *task);

/* --- exchange_move.c --- */

br_move_calls_t *br_move_calls_new (br_entry_task_t *task);

/* Cancels all calls; no exchange may be left. */
void br_move_calls_free (br_move_calls_t *calls);

/* --- exchange_end.c --- */

/* Ends an exchange without an answer and frees it. */
void br_exchange_free (br_exchange_t *exchange);

BR_END_DECLS

#endif
