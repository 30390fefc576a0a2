/* Detects requests that crash upstreams on an entry VM: checks whether a broken
 * connection was a crash, reports crashes, and receives the bans. */
#include <stdlib.h>

#include "shell/entry_private.h"
#include "shell/site_message.h"
#include "shell/upstream_pool.h"

/* A running upstream accepts a connection within this time, in milliseconds; a
 * refusal arrives within it too. */
#define CHECK_TIMEOUT_MS 250

/* Crashes, losses and answers are repeated in reports for this long, in
 * milliseconds, in which the leading control VM is in touch. */
#define REPORTED_FOR_MS 5000

/* Tries to connect to an upstream whose connections broke. */
struct br_crash_check
{
  br_entry_task_t *task;
  br_fleet_upstream_t *upstream;
  br_http_client_t *client; /* NULL once it was refused */
  struct event *timer;
  br_ms_t started_ms;
  br_crash_check_t *next;
};

/* --- crashes --- */

/* The evidence of crashes, and the upstream that was last logged. */
typedef struct
{
  br_entry_task_t *task;
  const char *evidence;
  const br_fleet_upstream_t *upstream;
} crash_source_t;

/* Reports the crash of one lost run.  Runs of one upstream come one after the
 * other, and only the first writes a log line. */
static void
entry_on_crash (void *context,
                const br_fleet_upstream_t *upstream,
                const br_lost_run_t *run)
{
  crash_source_t *source = context;
  br_node_t *node = source->task->node;

  if (!run->had_begun)
    br_quarantine_report (&node->quarantine, run->content,
                          &upstream->listing.id, run->started_ms, run->lost_ms);
  if (run->on_part_trial)
    br_quarantine_report (&node->quarantine, br_part_subject (run->trial_part),
                          &upstream->listing.id, run->started_ms, run->lost_ms);
  br_entry_record_part_crash (source->task, &upstream->listing.id, run);
  source->task->report_due = true;
  if (source->upstream == upstream)
    return;
  source->upstream = upstream;
  br_counters_add (&node->counters, BR_COUNTER_UPSTREAM_CRASHES, 1);
  BR_LOG (&node->log, "site", "upstream crashed",
          br_field_z ("upstream", upstream->listing.id.data),
          br_field_int ("born", (int64_t)run->started_ms),
          br_field_z ("evidence", source->evidence),
          br_field_int ("runs", (int64_t)upstream->lost.len),
          br_field_int ("lost_ms", br_node_now (node) - run->lost_ms));
}

static void
check_free (br_crash_check_t *check)
{
  br_crash_check_t **at = &check->task->checks;

  while (*at != check)
    at = &(*at)->next;
  *at = check->next;
  check->upstream->checking = false;
  br_http_client_free (check->client);
  event_free (check->timer);
  free (check);
}

static void
check_refused (br_crash_check_t *check)
{
  br_entry_task_t *task = check->task;
  br_fleet_upstream_t *upstream = check->upstream;
  br_ms_t now = br_node_now (task->node);
  crash_source_t source = { .task = task, .evidence = "connection refused" };

  br_fleet_record_result (&task->fleet, upstream, BR_RESULT_UNREACHABLE, now);
  br_fleet_refused (&task->fleet, upstream, entry_on_crash, &source, now);
}

static void check_begin (br_entry_task_t *task, br_fleet_upstream_t *upstream);

/* Clears the runs that were lost before the check began; starts another check
 * if more were lost since. */
static void
check_alive (br_crash_check_t *check)
{
  br_entry_task_t *task = check->task;
  br_fleet_upstream_t *upstream = check->upstream;

  br_fleet_on_alive (upstream, check->started_ms);
  check_free (check);
  if (upstream->lost.len > 0)
    check_begin (task, upstream);
}

static void
check_on_client (void *context,
                 br_http_client_t *client,
                 const br_client_event_t *event)
{
  br_crash_check_t *check = context;

  (void)client;
  if (event->kind == BR_CLIENT_CONNECTED)
    return;
  /* A connection that was accepted and then closed proves nothing: a proxy may
   * accept it for an upstream that no longer runs. */
  if (event->fault == BR_CLIENT_FAULT_CONNECT)
    check_refused (check);
  check_free (check);
}

static void
check_on_timer (evutil_socket_t fd, short what, void *context)
{
  br_crash_check_t *check = context;

  (void)fd;
  (void)what;
  if (!br_http_client_is_connected (check->client))
    {
      check_free (check);
      return;
    }
  br_upstream_pool_keep (check->upstream, check->client, 1);
  check->client = NULL;
  check_alive (check);
}

static void
check_begin (br_entry_task_t *task, br_fleet_upstream_t *upstream)
{
  struct timeval wait = { 0, CHECK_TIMEOUT_MS * 1000 };
  br_http_client_t *client
      = br_upstream_pool_connect (task->node->base, upstream);
  br_crash_check_t *check;

  if (client == NULL)
    return;
  check = br_alloc_zero (sizeof *check);
  check->task = task;
  check->upstream = upstream;
  check->client = client;
  check->started_ms = br_node_now (task->node);
  check->timer = evtimer_new (task->node->base, check_on_timer, check);
  check->next = task->checks;
  task->checks = check;
  upstream->checking = true;
  br_http_client_set_owner (client, check_on_client, check);
  event_add (check->timer, &wait);
}

void
br_entry_record_loss (br_entry_task_t *task,
                      const br_fleet_upstream_t *upstream,
                      uint64_t content)
{
  br_node_t *node = task->node;
  br_ms_t now = br_node_now (node);
  br_loss_t loss = {
    .run = br_random_below (&node->random, UINT64_MAX) + 1,
    .content = content,
    .upstream = upstream->listing.id,
    .incarnation = upstream->listing.started_ms,
    .at_ms = now,
  };

  /* A loss together with the whole failure domain, or at an upstream that was
   * expected to end, is no evidence against the request. */
  if (upstream->listing.draining
      || br_domain_health_is_unreachable (
          &task->fleet.domains, &upstream->listing.failure_domain, now))
    return;
  if (!br_quarantine_report_loss (&node->quarantine, &loss))
    return;
  if (br_quarantine_losses (&node->quarantine, content) > 1
      || br_quarantine_has_ban (&node->quarantine, content))
    task->report_due = true;
}

void
br_entry_record_lost_run (br_entry_task_t *task,
                          br_fleet_upstream_t *upstream,
                          const br_lost_run_t *run,
                          br_ms_t sent_ms)
{
  br_fleet_run_lost (upstream, run, sent_ms);
  if (!upstream->checking && upstream->lost.len > 0)
    check_begin (task, upstream);
}

void
br_entry_free_checks (br_entry_task_t *task)
{
  while (task->checks != NULL)
    check_free (task->checks);
}

void
br_entry_resolve_lost_runs (br_entry_task_t *task)
{
  br_quarantine_t *quarantine = &task->node->quarantine;
  crash_source_t source = { .task = task, .evidence = "list of upstreams" };

  br_fleet_resolve_lost_runs (&task->fleet, entry_on_crash, &source,
                              br_node_now (task->node));
  if (quarantine->crashes.len + task->part_suspects.crashes.len == 0)
    return;
  for (size_t i = 0; i < task->fleet.all.len; i++)
    {
      const br_listing_t *listing = &task->fleet.all.items[i]->listing;

      if (!listing->draining)
        continue;
      br_quarantine_discard (quarantine, &listing->id, listing->started_ms);
      br_part_suspects_discard (&task->part_suspects, &listing->id,
                                &listing->started_ms);
    }
}

/* --- reports and bans --- */

size_t
br_entry_report_crashes (const br_entry_task_t *task,
                         Br__Site__Crash *wire,
                         Br__Site__Crash **views)
{
  const br_crashes_t *crashes = &task->node->quarantine.crashes;
  br_ms_t now = br_node_now (task->node);
  size_t n = 0;

  for (size_t i = crashes->len; i-- > 0 && n < BR_ENTRY_CRASHES_MAX;)
    {
      const br_crash_t *crash = &crashes->items[i];
      br_ms_t age_ms = now - (crash->expires_ms - BR_QUARANTINE_LIFE_MS);

      if (now - age_ms < task->evidence_since_ms)
        continue;
      wire[n] = (Br__Site__Crash)BR__SITE__CRASH__INIT;
      wire[n].content = crash->content;
      wire[n].upstream = (char *)crash->upstream.data;
      wire[n].incarnation = crash->incarnation;
      wire[n].age_ms = (uint64_t)age_ms;
      wire[n].answered_before = br_quarantine_is_recently_answered (
          &task->node->quarantine, crash->content);
      views[n] = &wire[n];
      n++;
    }
  return n;
}

size_t
br_entry_report_losses (const br_entry_task_t *task,
                        Br__Site__Loss *wire,
                        Br__Site__Loss **views)
{
  const br_losses_t *losses = &task->node->quarantine.losses;
  br_ms_t now = br_node_now (task->node);
  size_t n = 0;

  for (size_t i = losses->len; i-- > 0 && n < BR_ENTRY_CRASHES_MAX;)
    {
      const br_loss_t *loss = &losses->items[i];

      if (loss->at_ms < task->evidence_since_ms)
        break;
      wire[n] = (Br__Site__Loss)BR__SITE__LOSS__INIT;
      wire[n].run = loss->run;
      wire[n].content = loss->content;
      wire[n].upstream = (char *)loss->upstream.data;
      wire[n].incarnation = loss->incarnation;
      wire[n].age_ms = (uint64_t)(now - loss->at_ms);
      wire[n].answered_before = br_quarantine_is_recently_answered (
          &task->node->quarantine, loss->content);
      views[n] = &wire[n];
      n++;
    }
  return n;
}

size_t
br_entry_report_answered (const br_entry_task_t *task,
                          Br__Site__Answered *wire,
                          Br__Site__Answered **views)
{
  const br_answereds_t *answered = &task->node->quarantine.answered;
  br_ms_t now = br_node_now (task->node);
  size_t n = 0;

  for (size_t i = answered->len; i-- > 0 && n < BR_ENTRY_CRASHES_MAX;)
    {
      br_ms_t age_ms = now - answered->items[i].at_ms;

      if (now - age_ms < task->evidence_since_ms)
        break;
      wire[n] = (Br__Site__Answered)BR__SITE__ANSWERED__INIT;
      wire[n].content = answered->items[i].content;
      wire[n].age_ms = (uint64_t)age_ms;
      views[n] = &wire[n];
      n++;
    }
  return n;
}

static void
entry_add_ban (br_entry_task_t *task, const Br__Site__Ban *ban, br_ms_t now)
{
  br_quarantine_t *quarantine = &task->node->quarantine;

  br_quarantine_ban (quarantine, ban->content, now + (br_ms_t)ban->left_ms);
  if (ban->trials > 0)
    br_quarantine_set_trial (quarantine, ban->content,
                             now - (br_ms_t)ban->granted_age_ms);
}

void
br_entry_on_bans (br_entry_task_t *task, const Br__Site__Bans *bans)
{
  br_ms_t now = br_node_now (task->node);

  if (bans->made <= task->bans_made)
    return;
  task->bans_made = bans->made;
  br_quarantine_clear_bans (&task->node->quarantine);
  for (size_t i = 0; i < bans->n_bans; i++)
    entry_add_ban (task, bans->bans[i], now);
  BR_LOG (&task->node->log, "site", "bans received",
          br_field_int ("made", (int64_t)bans->made),
          br_field_int ("bans", (int64_t)bans->n_bans));
  for (size_t i = 0; i < bans->n_bans; i++)
    br_trials_grant (&task->trials, bans->bans[i]->content,
                     bans->bans[i]->ticket, now);
  br_exchanges_resume_trials (task);
  br_exchanges_end_blocked (task);
}

bool
br_entry_ask_trial (br_entry_task_t *task, uint64_t content)
{
  br_node_t *node = task->node;
  Br__Site__TrialAsk ask = BR__SITE__TRIAL_ASK__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;

  ask.content = content;
  ask.ticket = br_random_below (&node->random, UINT64_MAX) + 1;
  if (!node->quarantine.has_leader
      || !br_trials_ask (&task->trials, content, ask.ticket,
                         br_node_now (node)))
    return false;
  message.body_case = BR__SITE__MESSAGE__BODY_TRIAL_ASK;
  message.trial_ask = &ask;
  return br_site_send (node, &task->leader, &message);
}

void
br_entry_quarantine_tick (br_entry_task_t *task, bool has_leader)
{
  br_ms_t now = br_node_now (task->node);

  if (!has_leader)
    task->leader_since_ms = BR_MS_NEVER;
  else if (task->leader_since_ms == BR_MS_NEVER)
    task->leader_since_ms = now;
  /* A leader that is back needs some time to decide on this VM's reports. */
  task->node->quarantine.has_leader
      = has_leader && now - task->leader_since_ms >= BR_QUARANTINE_DECISION_MS;
  if (has_leader && now - task->leader_since_ms >= REPORTED_FOR_MS)
    task->evidence_since_ms = now - REPORTED_FOR_MS;
}
