/* Types and functions shared by the files of the control task. */
#ifndef BR_SHELL_CONTROL_PRIVATE_H
#define BR_SHELL_CONTROL_PRIVATE_H

#include "base/name_index.h"
#include "deputy/deputy_demand.h"
#include "platform/cloud.h"
#include "platform/rollout_codec.h"
#include "shell/control_task.h"
#include "shell/site_message.h"
#include "site/limit_pool.h"
#include "site/list_report.h"
#include "site/quota_pool.h"
#include "site/site_clock.h"
#include "site/site_sums.h"
#include "site/stream_version.h"
#include "site/usage_ledger.h"
#include "speed/speed_pool.h"
#include "upstream/part_suspects.h"

BR_BEGIN_DECLS

/* An entry VM that sends reports. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  br_ms_t last_seen_ms;
  br_ms_t since_ms;               /* when this incarnation first reported */
  br_site_message_t *last_report; /* owned */
  br_site_message_t *loads;       /* owned; last loads message, or NULL */
  uint64_t limits_requested_ms; /* its clock at its request for permits that is
                                 * not answered yet; 0: none */
  bool wants_sums;              /* reported no leader, and got no sums since */
} br_control_entry_t;

BR_VEC (br_control_entries, br_control_entry_t);

/* An operator's request that waits for a proposal or read of the log. */
typedef struct
{
  uint64_t ticket;
  bool is_read;
  uint64_t version;               /* proposed, for a put */
  struct evhttp_request *request; /* NULL after a disconnect */
} br_control_wait_t;

BR_VEC (br_control_waits, br_control_wait_t);

/* An incarnation of an upstream that announced leaving to an entry VM. */
typedef struct
{
  br_name_t id;
  uint64_t incarnation;
} br_control_leaving_t;

BR_VEC (br_control_leavings, br_control_leaving_t);

/* The leader's question when answers last began on suspected prompt parts. */
typedef struct
{
  bool is_due;     /* new crashes were reported since the last one */
  bool is_open;    /* entry VMs may still answer */
  uint64_t number; /* of the last one */
  br_ms_t begun_ms;
  size_t asked;    /* entry VMs */
  size_t answered; /* of them */
  br_part_candidates_t candidates;
} br_control_inquiry_t;

typedef struct br_control_duties br_control_duties_t;
typedef struct br_control_rollouts br_control_rollouts_t;

struct br_control_task
{
  br_node_t *node;
  struct event *timer;
  br_control_entries_t entries;
  br_name_index_t entry_index; /* index into ENTRIES by VM */
  bool entries_changed;        /* since the last heartbeat */
  size_t helpers_from;         /* entry VM that the last heartbeat began with */
  br_control_waits_t waits;
  br_site_clock_t clock;
  br_cloud_t *cloud;
  br_listings_t listings; /* the platform's list, as last read */
  uint64_t list_term;
  uint64_t list_sequence;
  br_buf_t packed_list; /* LISTINGS packed at the two below */
  uint64_t packed_list_term;
  uint64_t packed_list_sequence;
  br_ms_t list_as_of_ms; /* when the last list that came was requested */
  br_ms_t list_requested_ms;
  bool reading_list;
  br_list_reports_t list_reports;
  br_control_leavings_t leaving; /* owned */
  uint64_t leads_term;           /* term that this VM leads; 0: none */
  br_ms_t leading_since_ms;      /* start of LEADS_TERM */
  uint64_t last_sent_version;
  uint64_t last_sent_bans;
  bool bans_due; /* a reported crash may require a ban */
  br_ms_t bans_last_check_ms;
  uint64_t trial_content; /* whose trial was proposed last; 0: none */
  br_ms_t trial_proposed_ms;
  br_part_suspects_t part_suspects; /* crashes that entry VMs reported */
  br_control_inquiry_t part_inquiry;
  br_stream_table_t streams;       /* that began at all entry VMs */
  br_stream_records_t new_streams; /* that the leader has not proposed yet */
  br_ms_t streams_proposed_ms;
  uint64_t streams_read;        /* batches of the log that STREAMS has */
  br_version_history_t history; /* of the lists read while leading */
  br_limit_pools_t limits;      /* kept while leading */
  br_speed_pool_t speeds;
  br_ms_t last_heartbeat_ms;
  br_usage_ledger_t ledger;
  br_deputy_demands_t demands;       /* averaged over seconds */
  br_quota_pool_t pool;              /* remaining quotas, kept while leading */
  br_configuration_t *configuration; /* parsed from the state, or NULL */
  br_buf_t packed;                   /* compressed text of PACKED_VERSION */
  uint64_t packed_version;
  size_t unpacked_len; /* length of that text, uncompressed */
  br_control_duties_t *duties;
  br_control_rollouts_t *rollouts;
};

/* --- control_speed.c --- */

/* Takes the paces and the samples of speed that an entry VM reports. */
void br_control_receive_speeds (br_control_task_t *task,
                                Br__Site__UpstreamLoad *const *loads,
                                size_t n_loads,
                                br_ms_t now);

/* Decides, as the leader, for which services the speeds are in force. */
void br_control_decide_speeds (br_control_task_t *task, br_ms_t now);

/* Adds fresh paces to SUMS, and the speeds in force if WITH_SPEEDS. */
void br_control_add_speeds (const br_control_task_t *task,
                            bool with_speeds,
                            br_ms_t now,
                            br_load_sums_t *sums);

/* Returns whether this VM may act as leader outside the log now. */
bool br_control_may_act (const br_control_task_t *task);

/* Sends the heartbeat to all live entry VMs.  The leader's also carries the
 * loads of the upstreams and the demands, summed over all entry VMs. */
void br_control_send_heartbeat (br_control_task_t *task, br_ms_t now);

/* Sends the summed loads and the remaining quotas to all live entry VMs. */
void br_control_send_loads (br_control_task_t *task, br_ms_t now);

/* Adds up the loads of all live entry VMs for each upstream. */
void br_control_sum_loads (const br_control_task_t *task,
                           br_ms_t now,
                           br_load_sums_t *sums);

/* Converts SUMS to wire form.  The caller frees the result and *WIRE, whose
 * names point into SUMS. */
Br__Site__UpstreamLoad **
br_control_pack_load_sums (const br_load_sums_t *sums,
                           Br__Site__UpstreamLoad **wire);

/* Adds up the demands that the live entry VMs reported. */
void br_control_sum_demands (const br_control_task_t *task,
                             br_ms_t now,
                             br_demand_sums_t *sums);

/* Sends the heartbeat without the sums to a new entry VM. */
void br_control_send_heartbeat_to_entry (br_control_task_t *task,
                                         const br_control_entry_t *entry,
                                         br_ms_t now);

/* Sends this VM's wall clock and the members to another control VM.  A
 * br_peer_visit_fn whose CONTEXT is the task. */
void br_control_send_heartbeat_to_peer (void *context, const br_name_t *vm);

/* --- control_deputy.c --- */

/* Keeps the demands, and sends sums to the entry VMs that reported no leader
 * while this VM does not lead; called on each tick. */
void br_control_deputy_tick (br_control_task_t *task, br_ms_t now);

/* --- control_configuration.c --- */

/* Sends an entry VM the configuration in force, if it is at least VERSION. */
void br_control_send_text (br_control_task_t *task,
                           const br_name_t *vm,
                           uint64_t version);

/* --- control_list.c --- */

/* Handles the platform's list; LISTINGS is NULL and ERR is set when the read
 * failed.  A br_cloud_list_fn whose CONTEXT is the task. */
void
br_control_on_list (void *context, br_site_list_t *list, const br_error_t *err);

/* --- control_leaving.c --- */

/* Records upstreams that announced leaving to the reporting entry VM. */
void br_control_receive_leaving (br_control_task_t *task,
                                 const Br__Site__EntryReport *report,
                                 br_ms_t now);

/* Marks these upstreams as draining in LISTINGS; returns whether any was
 * not. */
bool br_control_mark_leaving (const br_control_task_t *task,
                              br_listings_t *listings);

/* Drops the upstreams that LISTINGS no longer contains. */
void br_control_drop_removed (br_control_task_t *task,
                              const br_listings_t *listings);

/* --- control_quarantine.c --- */

/* Handles the crashes, losses and answered suspects of an entry VM's report. */
void br_control_receive_crashes (br_control_task_t *task,
                                 const Br__Site__EntryReport *report,
                                 br_ms_t now);

/* Discards crashes on upstreams that are listed as draining: their end was
 * expected, so the requests there did not cause it. */
void br_control_discard_leaving (br_control_task_t *task);

/* Rebuilds the quarantine's bans from the state after they changed. */
void br_control_read_bans (br_control_task_t *task, br_ms_t now);

/* On the leader: proposes the bans that are due. */
void br_control_quarantine_tick (br_control_task_t *task, br_ms_t now);

/* On the leader: grants an entry VM's request for a trial, if one is due. */
void br_control_receive_trial_ask (br_control_task_t *task,
                                   const br_name_t *vm,
                                   const Br__Site__TrialAsk *ask);

/* Sends all stored bans to an entry VM, including those that have ended. */
void br_control_send_bans (br_control_task_t *task,
                           const br_name_t *vm,
                           br_ms_t now);

/* On the leader: bans a request or prompt part for a short time, after which it
 * is tried. */
void br_control_ban_for_trial (br_control_task_t *task, uint64_t subject);

/* --- control_parts.c --- */

/* Handles the crashes by prompt parts in an entry VM's report. */
void br_control_receive_part_crashes (br_control_task_t *task,
                                      const Br__Site__EntryReport *report,
                                      br_ms_t now);

/* On the leader: handles an answer to the inquiry. */
void br_control_receive_begun_parts (br_control_task_t *task,
                                     const Br__Site__BegunParts *begun);

/* On the leader: begins an inquiry that is due, and ends one that is open for
 * too long. */
void br_control_parts_tick (br_control_task_t *task, br_ms_t now);

/* --- control_streams.c --- */

/* Records which versions began streams. */
void br_control_receive_streams (br_control_task_t *task,
                                 Br__Site__StreamRecord *const *records,
                                 size_t n_records);

/* Takes the streams that were committed to the log since the last call. */
void br_control_read_streams (br_control_task_t *task, br_ms_t now);

/* On the leader: proposes the streams that were reported. */
void br_control_streams_tick (br_control_task_t *task, br_ms_t now);

/* Answers an entry VM that asks which version began a stream. */
void br_control_receive_stream_ask (br_control_task_t *task,
                                    const br_name_t *vm,
                                    const Br__Site__StreamAsk *ask);

/* --- control_limits.c --- */

/* Takes an entry VM's limits and its requests for permits. */
void br_control_receive_limits (br_control_task_t *task,
                                br_control_entry_t *entry,
                                const Br__Site__Limits *limits);

/* On the leader: issues permits and answers the requests for them. */
void br_control_limits_tick (br_control_task_t *task, br_ms_t now);

/* On the leader: sends the limits to all live entry VMs. */
void br_control_send_limits (br_control_task_t *task, br_ms_t now);

/* --- control_rollout.c, control_rollout_plan.c --- */

br_control_rollouts_t *br_control_rollouts_new (br_control_task_t *task);
void br_control_rollouts_free (br_control_rollouts_t *rollouts);

/* Takes the counts of an entry VM for orders that run. */
void br_control_receive_rollouts (br_control_task_t *task,
                                  const br_peer_message_t *from,
                                  Br__Site__RolloutCounts *const *counts,
                                  size_t n_counts);

/* Follows the orders of the state; on the leader also decides.  MAY_ACT: this
 * VM may act as leader now. */
void
br_control_rollouts_tick (br_control_task_t *task, br_ms_t now, bool may_act);

/* Returns true if the proposal's ticket belongs to an operator's call. */
bool br_control_rollouts_on_proposal (br_control_task_t *task,
                                      const br_proposal_message_t *proposal);

/* Sets *POLICIES to the policies of all services that ever had an order;
 * returns their number.  The caller frees them with br_control_free_policies().
 */
size_t br_control_pack_policies (const br_control_task_t *task,
                                 br_ms_t now,
                                 bool may_act,
                                 Br__Site__VersionPolicy ***policies);
void br_control_free_policies (Br__Site__VersionPolicy **policies, size_t n);

/* Returns whether the upstream may be used by the policies, so that it counts
 * as capacity. */
bool br_control_version_is_allowed (const br_control_task_t *task,
                                    const br_listing_t *listing);

/* Returns whether the platform starts and stops upstreams of SERVICE itself,
 * for a rollout. */
bool br_control_is_rolling_out (const br_control_task_t *task,
                                const br_name_t *service,
                                br_ms_t now);

void br_control_print_rollouts (const br_control_task_t *task, br_buf_t *out);

/* --- others --- */

/* Returns whether the entry VM has reported lately. */
bool br_control_entry_is_live (const br_control_entry_t *entry, br_ms_t now);

/* Returns the number of live entry VMs. */
size_t br_control_live_entries (const br_control_task_t *task, br_ms_t now);

/* Parses the configuration in force again if its version has changed. */
void br_control_read_configuration (br_control_task_t *task);

/* The calls to the platform that the leading control VM makes. */
br_control_duties_t *br_control_duties_new (br_control_task_t *task);
void br_control_duties_free (br_control_duties_t *duties);
void br_control_duties_tick (br_control_duties_t *duties, br_ms_t now);

/* Returns true if the proposal's ticket belongs to the duties. */
bool br_control_duties_on_proposal (br_control_duties_t *duties,
                                    const br_proposal_message_t *proposal);

BR_END_DECLS

#endif
