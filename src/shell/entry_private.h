/* The inside of the entry task, which its files share. */
#ifndef BR_SHELL_ENTRY_PRIVATE_H
#define BR_SHELL_ENTRY_PRIVATE_H

#include "base/histogram.h"
#include "http/http_server.h"
#include "platform/cloud.h"
#include "platform/request_codec.h"
#include "shell/entry_task.h"
#include "site/choice.h"
#include "site/fleet.h"
#include "site/quota.h"
#include "site/repeat_budget.h"
#include "site/site.pb-c.h"
#include "site/site_clock.h"
#include "site/usage.h"

BR_BEGIN_DECLS

/* Crashes, and answers of suspects, that one report tells of at most. */
#define BR_ENTRY_CRASHES_MAX 256

typedef struct br_exchange br_exchange_t;
typedef struct br_crash_check br_crash_check_t;

/* What callers bring to one service, since the last report. */
typedef struct
{
  br_name_t service;
  br_repeat_budget_t repeats;
  double prefill_tokens;
  double output_tokens;
  double requests;
  uint32_t in_flight;
} br_entry_service_t;

BR_VEC (br_entry_services, br_entry_service_t);

struct br_entry_task
{
  br_node_t *node;
  br_http_server_t *server;
  br_configuration_t *configuration; /* NULL before the first one */
  br_fleet_t fleet;
  br_quotas_t quotas;
  br_usage_t usage;
  br_entry_services_t services;
  br_site_clock_t clock;
  br_cloud_t *cloud;
  bool reading_list;
  br_ms_t read_list_ms; /* when this VM last asked the platform itself */
  uint32_t entries;     /* entry VMs of the site, this one included */
  br_name_t leader;     /* control VM that leads, as last heard */
  uint64_t term;
  br_ms_t leader_ms; /* when it was last heard */
  uint64_t requested_version;
  br_ms_t requested_ms;
  br_ms_t reported_ms;
  bool report_due;
  bool refusing; /* about to stop: what comes now could not be finished */
  struct event *timer;
  br_crash_check_t *checks; /* owned */
  uint64_t bans_made;       /* that are known, see br_state_bans_made() */
  br_exchange_t *exchanges;
  size_t n_exchanges;
  size_t n_waiting; /* of them, until this VM knows what is in force */
  br_histogram_t first_event_ms;
  br_histogram_t answer_ms;
};

br_entry_service_t *br_entry_service (br_entry_task_t *task, br_str_t name);
br_repeat_limits_t br_entry_repeat_limits (const br_entry_task_t *task);

/* A request of the organisation began to run; returns the accounting window
 * in which it counts. */
uint64_t br_entry_count_usage (br_entry_task_t *task, br_str_t organisation);

/* It did not run, after all. */
void br_entry_uncount_usage (br_entry_task_t *task,
                             uint64_t window,
                             br_str_t organisation);

/* Number of the accounting window that it is now. */
uint64_t br_entry_window (const br_entry_task_t *task);

/* Tells all control VMs what this one does, or the leader the loads and quotas
 * alone. */
void br_entry_report (br_entry_task_t *task, br_ms_t now);
void br_entry_report_loads (br_entry_task_t *task);

/* --- entry_upstream_signals.c --- */

/* An answer to REQUEST told that the upstream leaves. */
void br_entry_upstream_leaving (br_entry_task_t *task,
                                br_fleet_upstream_t *upstream,
                                br_str_t request);

/* A 503 to REQUEST told when to come back. */
void br_entry_upstream_retry_after (br_entry_task_t *task,
                                    br_fleet_upstream_t *upstream,
                                    const br_outcome_head_t *outcome,
                                    br_str_t request);

/* Fills one entry for each upstream of the list at most. */
size_t br_entry_report_leaving (const br_entry_task_t *task,
                                Br__Site__Leaving *wire,
                                Br__Site__Leaving **views);

/* --- entry_quarantine.c --- */

/* A connection broke, or went silent, under a request: finds out whether the
 * upstream crashed. */
void br_entry_run_lost (br_entry_task_t *task,
                        br_fleet_upstream_t *upstream,
                        uint64_t content,
                        br_ms_t sent_ms);

/* Notes the lost run alone: it explains no crash, but a request that is never
 * answered is held for a while. */
void br_entry_note_loss (br_entry_task_t *task,
                         const br_fleet_upstream_t *upstream,
                         uint64_t content);

/* Finds the same out from a new list of upstreams. */
void br_entry_resolve_lost_runs (br_entry_task_t *task);
void br_entry_free_checks (br_entry_task_t *task);

/* Each fills up to BR_ENTRY_CRASHES_MAX entries of a report. */
size_t br_entry_report_crashes (const br_entry_task_t *task,
                                Br__Site__Crash *wire,
                                Br__Site__Crash **views);
size_t br_entry_report_losses (const br_entry_task_t *task,
                               Br__Site__Loss *wire,
                               Br__Site__Loss **views);
size_t br_entry_report_answered (const br_entry_task_t *task,
                                 Br__Site__Answered *wire,
                                 Br__Site__Answered **views);

/* A control VM tells which requests must not run. */
void br_entry_on_bans (br_entry_task_t *task, const Br__Site__Bans *bans);

/* --- exchange.c --- */

/* A caller's request has come, or its caller has gone. */
void br_exchange_begin (br_entry_task_t *task, br_http_conn_t *conn);
void br_exchange_on_disconnect (br_http_conn_t *conn);

/* The configuration or the list of upstreams has come: requests that waited for
 * both go on. */
void br_exchanges_admit_waiting (br_entry_task_t *task);

/* Ends an exchange at once, without an answer. */
void br_exchange_free (br_exchange_t *exchange);

BR_END_DECLS

#endif
