/* The inside of the control task, which its files share. */
#ifndef BR_SHELL_CONTROL_PRIVATE_H
#define BR_SHELL_CONTROL_PRIVATE_H

#include "base/name_index.h"
#include "platform/cloud.h"
#include "shell/control_task.h"
#include "shell/site_message.h"
#include "site/quota_pool.h"
#include "site/site_clock.h"
#include "site/site_sums.h"
#include "site/usage_ledger.h"

BR_BEGIN_DECLS

/* An entry VM that tells what it does. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  br_ms_t last_seen_ms;
  br_site_message_t *last_report; /* owned; its last report */
  br_site_message_t *loads;       /* owned; its last word on loads; or NULL */
} br_control_entry_t;

BR_VEC (br_control_entries, br_control_entry_t);

/* An operator's request that waits for the log. */
typedef struct
{
  uint64_t ticket;
  bool is_read;
  uint64_t version; /* that was put */
  struct evhttp_request *request;
} br_control_wait_t;

BR_VEC (br_control_waits, br_control_wait_t);

/* An incarnation of an upstream that told an entry VM that it leaves. */
typedef struct
{
  br_name_t id;
  uint64_t incarnation;
} br_control_leaving_t;

BR_VEC (br_control_leavings, br_control_leaving_t);

typedef struct br_control_duties br_control_duties_t;

struct br_control_task
{
  br_node_t *node;
  struct event *timer;
  br_control_entries_t entries;
  br_name_index_t entry_index; /* of ENTRIES, by VM */
  bool entries_changed;        /* since the last beat */
  br_control_waits_t waits;
  br_site_clock_t clock;
  br_cloud_t *cloud;
  br_listings_t listings; /* as last read or told by the leader */
  uint64_t list_term;
  uint64_t list_sequence;
  br_buf_t packed_list; /* for entry VMs, of the term and sequence below */
  uint64_t packed_list_term;
  uint64_t packed_list_sequence;
  br_ms_t list_ms;
  br_ms_t list_requested_ms;
  bool reading_list;
  br_control_leavings_t leaving; /* owned */
  uint64_t leads_term;           /* in which this VM leads; 0: it does not */
  br_ms_t leads_ms;              /* since when */
  uint64_t pushed_version;
  uint64_t pushed_bans;
  bool bans_due; /* crashes were told that may ask for a ban */
  br_ms_t bans_last_check_ms;
  br_ms_t heartbeat_ms;
  br_usage_ledger_t ledger;
  br_quota_pool_t pool;              /* of the term in which this VM leads */
  br_configuration_t *configuration; /* as read from the state; or NULL */
  br_buf_t packed; /* the text of PACKED_VERSION, compressed */
  uint64_t packed_version;
  size_t packed_len; /* of the text */
  br_control_duties_t *duties;
};

/* Tells the entry VMs that were heard of lately what is in force and, on the
 * leader, all that it knows of the upstreams and quotas; or these alone. */
void br_control_send_heartbeat (br_control_task_t *task, br_ms_t now);
void br_control_send_loads (br_control_task_t *task, br_ms_t now);

/* Adds up what all entry VMs that were heard of lately are asked for. */
void br_control_sum_demands (const br_control_task_t *task,
                             br_ms_t now,
                             br_demand_sums_t *sums);

/* Tells one entry VM, which was heard of first, all but the sums. */
void br_control_send_heartbeat_to_entry (br_control_task_t *task,
                                         const br_control_entry_t *entry,
                                         br_ms_t now);

/* Tells another control VM the time and the members; a br_peer_visit_fn, whose
 * CONTEXT is the task. */
void br_control_send_heartbeat_to_peer (void *context, const br_name_t *vm);

/* --- control_list.c --- */

/* The platform has answered with its list, or ERR tells why not; a
 * br_cloud_list_fn whose CONTEXT is the task. */
void br_control_on_list (void *context,
                         const br_listings_t *listings,
                         size_t skipped,
                         const br_error_t *err);

/* --- control_leaving.c --- */

/* An entry VM tells which upstreams told it that they leave. */
void br_control_receive_leaving (br_control_task_t *task,
                                 const Br__Site__EntryReport *report,
                                 br_ms_t now);

/* Shows them as draining in LISTINGS; whether that changed any. */
bool br_control_mark_leaving (const br_control_task_t *task,
                              br_listings_t *listings);

/* Forgets those that a new list does not show any more. */
void br_control_forget_removed (br_control_task_t *task,
                                const br_listings_t *listings);

/* --- control_quarantine.c --- */

/* An entry VM tells of crashes, and of suspects that were answered. */
void br_control_receive_crashes (br_control_task_t *task,
                                 const Br__Site__EntryReport *report,
                                 br_ms_t now);

/* What ran on upstreams that the list shows leaving crashed nothing there. */
void br_control_discard_leaving (br_control_task_t *task);

/* The state has other bans than before. */
void br_control_read_bans (br_control_task_t *task, br_ms_t now);

/* On the leader: bans what is to be banned. */
void br_control_quarantine_tick (br_control_task_t *task, br_ms_t now);

/* Tells an entry VM all bans that are kept, also those that have ended. */
void br_control_send_bans (br_control_task_t *task,
                           const br_name_t *vm,
                           br_ms_t now);

/* --- others --- */

/* Entry VMs that were heard of lately. */
size_t br_control_live_entries (const br_control_task_t *task, br_ms_t now);

/* Reads the configuration in force from the state, when it has changed. */
void br_control_read_configuration (br_control_task_t *task);

/* The duties that the leading control VM has towards the platform. */
br_control_duties_t *br_control_duties_new (br_control_task_t *task);
void br_control_duties_free (br_control_duties_t *duties);
void br_control_duties_tick (br_control_duties_t *duties, br_ms_t now);

/* True when TICKET was one of the duties'. */
bool br_control_duties_on_proposal (br_control_duties_t *duties,
                                    const br_proposal_message_t *proposal);

BR_END_DECLS

#endif
