/* Uses the sums of a control VM that does not lead while there is no leader. */
#include "shell/entry_private.h"

static void
deputy_log (br_entry_task_t *task, bool was_in_use, const br_name_t *before)
{
  const br_deputy_t *deputy = &task->deputy;

  if (was_in_use == deputy->in_use
      && (!was_in_use || br_name_equal (before, &deputy->vm)))
    return;
  if (deputy->in_use)
    BR_LOG (&task->node->log, "site", "sums without a leader",
            br_field_z ("peer", deputy->vm.data),
            br_field_int ("entries", (int64_t)task->entries));
  else
    BR_LOG (&task->node->log, "site", "sums without a leader end",
            br_field_z ("peer", before->data));
}

void
br_entry_deputy_on_leader (br_entry_task_t *task)
{
  bool was_in_use = task->deputy.in_use;

  br_deputy_on_leader (&task->deputy, br_node_now (task->node));
  task->no_leader_reported = false;
  deputy_log (task, was_in_use, &task->deputy.vm);
}

void
br_entry_deputy_tick (br_entry_task_t *task, br_ms_t now)
{
  bool was_in_use = task->deputy.in_use;
  br_name_t before = task->deputy.vm;

  br_deputy_tick (&task->deputy, task->entries, now);
  deputy_log (task, was_in_use, &before);
  if (task->no_leader_reported || !br_deputy_has_no_leader (&task->deputy, now))
    return;
  task->no_leader_reported = true;
  task->report_due = true;
}

void
br_entry_on_deputy_sums (br_entry_task_t *task,
                         const br_name_t *vm,
                         const Br__Site__DeputySums *sums)
{
  br_ms_t now = br_node_now (task->node);
  bool was_in_use = task->deputy.in_use;
  br_name_t before = task->deputy.vm;
  bool is_used = br_deputy_on_sums (&task->deputy, vm, sums->entries,
                                    task->entries, now);

  deputy_log (task, was_in_use, &before);
  if (!is_used)
    return;
  br_counters_add (&task->node->counters, BR_COUNTER_DEPUTY_SUMS_USED, 1);
  br_entry_on_loads (task, sums->loads, sums->n_loads, false);
  for (size_t i = 0; i < sums->n_left; i++)
    {
      br_deputy_quota_t figures = {
        .remaining = sums->left[i]->units,
        .demand_per_s = sums->left[i]->asked_per_s,
        .covered = sums->entries / (double)BR_MAX (task->entries, 1),
        .received_ms = now,
      };

      br_quotas_receive_deputy (
          &task->quotas, br_str_from (sums->left[i]->organisation), &figures);
    }
}

const br_name_t *
br_entry_loads_receiver (const br_entry_task_t *task)
{
  return task->deputy.in_use ? &task->deputy.vm : &task->leader;
}
