/* Makes the leading control VM's calls to the platform: usage reports here,
 * orders for upstreams in control_sizing.c.  Each call carries the leader's
 * term as its fencing number and is made only after a log round has confirmed
 * the term. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "shell/control_duties_private.h"
#include "shell/replica_task.h"
#include "state/command.h"

/* Time between two checks for due work. */
#define CHECK_PERIOD_MS 200

/* Wait for the entry VMs' last counts after the end of a window: at least the
 * minimum, in milliseconds, and at most this share of the time in which the
 * report is due, which leaves a second holder time to send it. */
#define COUNTS_WAIT_MIN_MS 900
#define COUNTS_WAIT_SHARE 0.65

/* Number of past windows that a new leader reports. */
#define WINDOWS_BACK_MAX 3

/* An entry VM that was cut off may still send missing counts for this long, in
 * milliseconds. */
#define ENTRY_OUTAGE_MAX_MS 30000

/* A new leader makes no call for this long, in milliseconds.  By then calls of
 * the previous leader have arrived and most entry VMs have reported. */
#define NEW_LEADER_DELAY_MS 700

br_control_duties_t *
br_control_duties_new (br_control_task_t *task)
{
  br_control_duties_t *duties = br_alloc_zero (sizeof *duties);

  duties->task = task;
  return duties;
}

void
br_control_duties_free (br_control_duties_t *duties)
{
  if (duties == NULL)
    return;
  upstream_groups_free (&duties->groups);
  service_loads_free (&duties->loads);
  free (duties);
}

static bool
duties_has (const br_control_duties_t *duties, const char *name)
{
  const br_buf_t *list = &duties->task->node->settings.site.duties;

  return list->len > 0 && strstr (list->data, name) != NULL;
}

br_duty_holder_t
br_duties_holder (const br_control_duties_t *duties)
{
  br_duty_holder_t holder = {
    .vm = duties->task->node->settings.vm.data,
    .fencing = duties->task->leads_term,
  };

  return holder;
}

bool
br_duties_is_current (const br_control_duties_t *duties)
{
  return br_replica_task_has_lease (duties->task->node->replica)
         && br_replica_task_term (duties->task->node->replica) == duties->term;
}

/* --- usage --- */

static br_ms_t
duties_window_ms (const br_control_duties_t *duties)
{
  return (br_ms_t)(duties->task->node->settings.site.usage_window_s * 1000);
}

static void
usage_failed (br_control_duties_t *duties)
{
  duties->usage_state = BR_CALL_NONE;
  duties->usage_retry_ms = br_node_now (duties->task->node) + CALL_RETRY_MS;
}

static void
usage_on_posted (void *context, int status)
{
  br_control_duties_t *duties = context;

  BR_LOG (&duties->task->node->log, "duty", "usage reported",
          br_field_int ("window", (int64_t)duties->usage_window),
          br_field_int ("term", (int64_t)duties->term),
          br_field_int ("status", status));
  if (status != 200)
    {
      usage_failed (duties);
      return;
    }
  duties->usage_state = BR_CALL_NONE;
  duties->reported = duties->usage_window;
}

static void
usage_post (br_control_duties_t *duties)
{
  const Br__State__UsageDecision *decision
      = br_state_usage (duties->task->node->state, duties->usage_window);
  br_duty_holder_t holder = br_duties_holder (duties);
  br_usage_count_t *counts;

  if (decision == NULL || !br_duties_is_current (duties))
    {
      usage_failed (duties);
      return;
    }
  counts = br_alloc ((decision->n_counts + 1) * sizeof *counts);
  for (size_t i = 0; i < decision->n_counts; i++)
    counts[i] = (br_usage_count_t){ decision->counts[i]->organisation,
                                    decision->counts[i]->requests };
  duties->usage_state = BR_CALL_POSTING;
  duties->last_call_term = duties->term;
  br_cloud_report_usage (duties->task->cloud, &holder, duties->usage_window,
                         counts, decision->n_counts, usage_on_posted, duties);
  free (counts);
}

static void
usage_confirm (br_control_duties_t *duties)
{
  duties->usage_state = BR_CALL_CONFIRMING;
  duties->usage_ticket = br_replica_task_read (duties->task->node->replica);
}

/* Commits the counts to the log before they are reported for the first time.
 * A later leader then repeats the same counts. */
static void
usage_decide (br_control_duties_t *duties)
{
  br_usage_entries_t sum = { 0 };
  Br__State__UsageDecision decision = BR__STATE__USAGE_DECISION__INIT;
  Br__State__UsageCount *wire;
  Br__State__UsageCount **views;
  br_buf_t command = { 0 };

  br_usage_ledger_sum (&duties->task->ledger, duties->usage_window, &sum);
  wire = br_alloc ((sum.len + 1) * sizeof *wire);
  views = br_alloc ((sum.len + 1) * sizeof *views);
  for (size_t i = 0; i < sum.len; i++)
    {
      wire[i] = (Br__State__UsageCount)BR__STATE__USAGE_COUNT__INIT;
      wire[i].organisation = sum.items[i].organisation.data;
      wire[i].requests = sum.items[i].requests;
      views[i] = &wire[i];
    }
  decision.window = duties->usage_window;
  decision.n_counts = sum.len;
  decision.counts = views;
  br_state_command_usage (&decision, &command);
  duties->usage_state = BR_CALL_DECIDING;
  duties->usage_ticket = br_replica_task_propose (duties->task->node->replica,
                                                  br_buf_str (&command));
  br_buf_free (&command);
  br_usage_entries_free (&sum);
  free (wire);
  free (views);
}

static bool
usage_is_final (const br_control_duties_t *duties,
                uint64_t window,
                br_ms_t wall,
                br_ms_t now)
{
  br_ms_t end = (br_ms_t)(window + 1) * duties_window_ms (duties);
  br_ms_t late_ms
      = (br_ms_t)(duties->task->node->settings.site.usage_late_s * 1000);

  if (wall < end + COUNTS_WAIT_MIN_MS)
    return false;
  return wall >= end + (br_ms_t)((double)late_ms * COUNTS_WAIT_SHARE)
         || br_usage_ledger_is_complete (&duties->task->ledger, now,
                                         ENTRY_OUTAGE_MAX_MS, end);
}

static void
usage_tick (br_control_duties_t *duties, br_ms_t now)
{
  br_control_task_t *task = duties->task;
  br_ms_t wall = br_site_clock_wall (&task->clock, now);
  uint64_t current = br_usage_window_of (wall, duties_window_ms (duties));
  uint64_t next = BR_MAX (duties->reported + 1, current - WINDOWS_BACK_MAX);

  if (duties->usage_state != BR_CALL_NONE || now < duties->usage_retry_ms
      || next >= current || !usage_is_final (duties, next, wall, now))
    return;
  duties->usage_window = next;
  if (br_state_usage (task->node->state, next) != NULL)
    usage_confirm (duties);
  else
    usage_decide (duties);
}

static void
usage_on_proposal (br_control_duties_t *duties,
                   const br_proposal_message_t *proposal)
{
  if (proposal->outcome != BR_PROPOSAL_COMMITTED)
    usage_failed (duties);
  else
    usage_post (duties);
}

/* --- terms and proposals --- */

static void
duties_begin_term (br_control_duties_t *duties)
{
  duties->has_called_before = duties->last_call_term > 0;
  duties->term = duties->task->leads_term;
  duties->usage_state = BR_CALL_NONE;
  duties->order_state = BR_CALL_NONE;
  duties->reported = 0;
  upstream_groups_clear (&duties->groups);
  service_loads_clear (&duties->loads);
}

bool
br_control_duties_on_proposal (br_control_duties_t *duties,
                               const br_proposal_message_t *proposal)
{
  if (duties->usage_ticket == proposal->ticket
      && (duties->usage_state == BR_CALL_DECIDING
          || duties->usage_state == BR_CALL_CONFIRMING))
    {
      duties->usage_ticket = 0;
      usage_on_proposal (duties, proposal);
      return true;
    }
  if (duties->order_ticket == proposal->ticket
      && duties->order_state == BR_CALL_CONFIRMING)
    {
      duties->order_ticket = 0;
      duties->order_state = BR_CALL_NONE;
      if (proposal->outcome == BR_PROPOSAL_COMMITTED)
        br_duties_order_post (duties);
      return true;
    }
  return false;
}

/* Returns how long a new leader waits before its first call.  Calls of the
 * previous leader have arrived by the end of its term.  A VM that made calls in
 * an earlier term, or may have done so before a restart, waits for a whole
 * lease, because it must not act soon after another holder. */
static br_ms_t
duties_wait_ms (const br_control_duties_t *duties)
{
  const br_node_t *node = duties->task->node;
  br_ms_t lease_ms = (br_ms_t)ceil (node->settings.site.lease_ms);
  bool started_recently
      = duties->task->leading_since_ms - node->started_ms < lease_ms;

  if (started_recently && node->settings.site.founding)
    return NEW_LEADER_DELAY_MS;
  return started_recently || duties->has_called_before ? lease_ms
                                                       : NEW_LEADER_DELAY_MS;
}

void
br_control_duties_tick (br_control_duties_t *duties, br_ms_t now)
{
  br_control_task_t *task = duties->task;

  if (duties->term != task->leads_term)
    duties_begin_term (duties);
  if (now - task->leading_since_ms < duties_wait_ms (duties)
      || br_state_site_version (task->node->state) == 0
      || now - duties->last_check_ms < CHECK_PERIOD_MS)
    return;
  duties->last_check_ms = now;
  if (duties_has (duties, "usage"))
    usage_tick (duties, now);
  if (duties_has (duties, "scaling"))
    br_duties_size_tick (duties, now);
}
