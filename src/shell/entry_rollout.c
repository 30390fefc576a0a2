/* The entry VM's part of rollouts: takes the version policies of control VMs,
 * and reports what the versions are compared by. */
#include <inttypes.h>

#include "shell/entry_private.h"

static void
rollout_log (const br_entry_task_t *task,
             const char *event,
             const br_version_share_t *share)
{
  const br_version_policy_t *policy = &share->policy;

  BR_LOG (&task->node->log, "rollout", event,
          br_field_z ("service", policy->service.data),
          br_field_int ("number", (int64_t)policy->number),
          br_field_int ("step", (int64_t)policy->step),
          br_field_z ("phase", br_policy_phase_name (policy->phase)),
          br_field_int ("allowed", (int64_t)policy->allowed.len),
          br_field_int ("sent", (int64_t)share->sent),
          br_field_int ("sent_new", (int64_t)share->sent_new));
}

void
br_entry_on_policies (br_entry_task_t *task,
                      Br__Site__VersionPolicy *const *policies,
                      size_t n,
                      bool from_leader)
{
  br_ms_t now = br_node_now (task->node);

  for (size_t i = 0; i < n; i++)
    {
      const Br__Site__VersionPolicy *wire = policies[i];
      br_version_policy_t policy = {
        .number = wire->number,
        .step = wire->step,
        .phase = (br_policy_phase_t)wire->phase,
        .target = wire->target,
        .share_ppm = wire->share_ppm,
        .upstreams = wire->upstreams,
        .share_age_ms
        = (br_ms_t)BR_MIN (wire->share_age_ms, BR_VERSION_SHARE_LIFE_MS),
      };

      if (!br_name_set (&policy.service, br_str_from (wire->service)))
        continue;
      for (size_t j = 0; j < wire->n_allowed; j++)
        br_versions_push (&policy.allowed, wire->allowed[j]);
      if (br_version_shares_receive (&task->versions, &policy, from_leader,
                                     now))
        rollout_log (task, "rollout step",
                     br_version_shares_find (&task->versions, &policy.service));
      br_versions_free (&policy.allowed);
    }
}

void
br_entry_rollouts_tick (br_entry_task_t *task)
{
  br_ms_t now = br_node_now (task->node);

  for (size_t i = 0; i < task->versions.list.len; i++)
    {
      br_version_share_t *share = &task->versions.list.items[i];

      if (!br_version_share_look (share, now))
        continue;
      rollout_log (task, "target found bad", share);
      BR_LOG (&task->node->log, "rollout", "evidence",
              br_field_z ("service", share->policy.service.data),
              br_field_z ("route", share->judge.bad_route.data),
              br_field_z ("measure",
                          br_judge_measure_name (share->judge.bad_measure)),
              br_field_int ("log_odds_1000",
                            (int64_t)(share->judge.bad_odds * 1000)));
    }
}

void
br_entry_report_rollouts (const br_entry_task_t *task,
                          br_rollout_report_t *report)
{
  size_t max = task->versions.list.len;

  *report = (br_rollout_report_t){ 0 };
  if (max == 0)
    return;
  report->wire = br_alloc (max * sizeof *report->wire);
  report->views = br_alloc (max * sizeof (Br__Site__RolloutCounts *));
  for (size_t i = 0; i < max; i++)
    {
      const br_version_share_t *share = &task->versions.list.items[i];
      const br_version_policy_t *policy = &share->policy;
      Br__Site__RolloutCounts *wire = &report->wire[report->n];

      if (!br_version_share_is_running (share))
        continue;
      *wire = (Br__Site__RolloutCounts)BR__SITE__ROLLOUT_COUNTS__INIT;
      wire->service = (char *)policy->service.data;
      wire->number = policy->number;
      wire->step = policy->step;
      wire->sent = share->sent;
      wire->sent_new = share->sent_new;
      wire->stopped = share->stopped;
      wire->running_old
          = br_exchanges_count_old (task, &policy->service, policy->target);
      br_answer_table_write (&share->answers, wire);
      report->views[report->n++] = wire;
    }
}

void
br_rollout_report_free (br_rollout_report_t *report)
{
  for (size_t i = 0; i < report->n; i++)
    br_answer_table_free_message (&report->wire[i]);
  free (report->wire);
  free (report->views);
}

/* --- metrics --- */

static void
print_gauge (const br_version_share_t *share,
             const char *name,
             uint64_t value,
             br_buf_t *out)
{
  br_buf_printf (out, "briarrack_rollout_%s{service=\"%s\"} %" PRIu64 "\n",
                 name, share->policy.service.data, value);
}

void
br_entry_print_rollouts (const br_entry_task_t *task, br_buf_t *out)
{
  br_ms_t now = br_node_now (task->node);

  for (size_t i = 0; i < task->versions.list.len; i++)
    {
      const br_version_share_t *share = &task->versions.list.items[i];

      print_gauge (share, "number", share->policy.number, out);
      print_gauge (share, "step", share->policy.step, out);
      print_gauge (share, "phase", (uint64_t)share->policy.phase, out);
      print_gauge (share, "share_ppm", br_version_share_ppm (share, now), out);
      print_gauge (share, "stopped", share->stopped ? 1 : 0, out);
      print_gauge (share, "sent", share->sent, out);
      print_gauge (share, "sent_new", share->sent_new, out);
    }
}
