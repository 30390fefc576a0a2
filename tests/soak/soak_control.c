/* The steps of a soak of the control VMs.  No more of them are lost at once
 * than the site tolerates; only kills of all at once, splits and overlaps go
 * beyond it, and these lose no more disks. */
#include "soak_control.h"

#include <signal.h>
#include <string.h>

/* The next loss follows as soon as it is tolerated, or up to this time later,
 * in milliseconds. */
#define LATER_MAX_MS 1500

/* Time within which processes that were all killed are back, in milliseconds.
 */
#define KILLED_MAX_MS 900

/* The closing fault follows an acknowledgement within this time, in
 * milliseconds. */
#define CLOSE_AFTER_MS 5

/* X (name, weight, function, loses a disk, in a wide soak alone) */
#define STEP_TABLE(X)                                                          \
  X ("replace", 6, step_replace, true, false)                                  \
  X ("replace planned", 4, step_replace_planned, true, false)                  \
  X ("wipe", 2, step_wipe, true, false)                                        \
  X ("freeze", 3, step_freeze, false, false)                                   \
  X ("kill", 3, step_kill, false, false)                                       \
  X ("seeds", 3, soak_seeds_step, false, false)                                \
  X ("kill all", 1, step_kill_all, false, false)                               \
  X ("wipe, kill all", 1, step_wipe_kill_all, true, false)                     \
  X ("replace leader, seeds", 3, step_replace_leader_seeds, true, true)        \
  X ("reuse", 3, soak_link_step_reuse, true, true)                             \
  X ("stranger", 2, soak_link_step_stranger, false, true)                      \
  X ("cut", 5, soak_link_step_cut, false, true)                                \
  X ("split", 1, soak_link_step_split, false, true)

typedef struct
{
  const char *name;
  int weight;
  void (*run) (soak_t *soak, soak_watch_t *target);
  bool loses_disk;
  bool wide;
} step_t;

static soak_watch_t *
watch_at (soak_t *soak, int number)
{
  return &soak->control_state->watches[number - 1];
}

bool
soak_control_is_active (const soak_t *soak, const soak_process_t *vm)
{
  return vm->role == SOAK_CONTROL && !vm->retired
         && vm->number <= soak->control_state->n_controls;
}

bool
soak_control_is_lost (soak_t *soak, const soak_watch_t *watch)
{
  const soak_process_t *vm = watch->vm;

  return vm->pid == 0 || vm->paused || watch->cut.heal_ms != BR_MS_NEVER
         || watch->seeds_ms != BR_MS_NEVER
         || (watch->empty && soak->control_state->split_until_ms != BR_MS_NEVER)
         || soak_now () < vm->up_since_ms + SOAK_CATCH_UP_MS;
}

void
soak_control_note (soak_t *soak, const char *format, ...)
{
  br_buf_t line = { 0 };
  char text[256];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  br_buf_printf (&line, "step %d: %s", soak->control_state->n_steps, text);
  soak_log (soak, "%s", line.data);
  br_buf_printf (&soak->control_state->steps, "%8.3f %s\n",
                 (double)(soak_now () - soak->began_ms) / 1000, line.data);
  br_buf_free (&line);
}

int
soak_control_list_live (soak_t *soak,
                        const soak_process_t *vm,
                        bool leader,
                        int *numbers)
{
  int n = 0;

  for (int i = 1; i <= soak->control_state->n_controls; i++)
    {
      const soak_watch_t *watch = watch_at (soak, i);

      if (soak_control_is_active (soak, watch->vm) && watch->vm != vm
          && watch->term_ms == BR_MS_NEVER
          && !soak_control_is_lost (soak, watch) && (leader || !watch->leads))
        numbers[n++] = i;
    }
  return n;
}

int
soak_control_list_retired (soak_t *soak, int *numbers)
{
  int n = 0;

  for (int i = 1; i <= soak->control_state->n_controls; i++)
    if (watch_at (soak, i)->vm->retired)
      numbers[n++] = i;
  return n;
}

/* Deletes what the VM's disk holds. */
static void
lose_disk (soak_t *soak, soak_watch_t *watch)
{
  br_buf_t path = { 0 };

  soak_process_path (soak, watch->vm, ".disk", &path);
  soak_delete_files (path.data);
  br_buf_free (&path);
  watch->vm->founding = false;
  watch->empty = true;
  watch->disk_lost = true;
}

soak_process_t *
soak_control_start_new (soak_t *soak,
                        const soak_process_t *old,
                        int number,
                        br_ms_t wait_ms)
{
  bool fresh = number == 0;
  soak_process_t *vm;
  soak_watch_t *watch;

  if (fresh)
    {
      number = ++soak->control_state->n_controls;
      soak_control_watch_vm (soak, number);
    }
  vm = soak_process (soak, SOAK_CONTROL, number);
  watch = watch_at (soak, number);
  lose_disk (soak, watch);
  watch->lost = true;
  watch->read_ms = 0;
  watch->version = 0;
  watch->gone_ms = 0;
  watch->side = soak->control_state->split_until_ms != BR_MS_NEVER
                    ? (int)soak_random_between (soak, 0, 1)
                    : 0;
  vm->retired = false;
  memcpy (vm->seeds, old->seeds, sizeof vm->seeds);
  soak_seeds_draw (soak, vm);
  soak_seeds_plan (soak, watch, wait_ms);
  vm->start_ms = soak_now () + wait_ms;
  return vm;
}

void
soak_control_retire (soak_t *soak, soak_watch_t *target)
{
  target->vm->retired = true;
  soak_link_power_off (soak, target);
  soak_process_kill (soak, target->vm, 0);
  target->vm->start_ms = BR_MS_NEVER;
}

static void
step_replace (soak_t *soak, soak_watch_t *target)
{
  br_ms_t wait_ms = soak_random_between (soak, 0, LATER_MAX_MS);
  soak_process_t *vm;

  soak_control_retire (soak, target);
  vm = soak_control_start_new (soak, target->vm, 0, wait_ms);
  soak_control_note (soak, "%s%s is killed for good, %s starts after %d ms, %s",
                     target->leads ? "leader " : "", target->vm->name, vm->name,
                     (int)wait_ms, soak_seeds_text (vm));
}

static void
step_replace_planned (soak_t *soak, soak_watch_t *target)
{
  br_ms_t wait_ms = soak_random_between (soak, 300, 2500);
  soak_process_t *vm;

  target->term_ms = soak_now () + wait_ms;
  vm = soak_control_start_new (soak, target->vm, 0, 0);
  soak_control_note (
      soak, "%s starts, %s; %s%s gets SIGTERM for good after %d ms", vm->name,
      soak_seeds_text (vm), target->leads ? "leader " : "", target->vm->name,
      (int)wait_ms);
}

/* Kills the VM and empties its disk. */
static void
wipe (soak_t *soak, soak_watch_t *target, br_ms_t wait_ms)
{
  soak_link_power_off (soak, target);
  soak_process_kill (soak, target->vm, wait_ms);
  lose_disk (soak, target);
  soak_seeds_draw (soak, target->vm);
  soak_seeds_plan (soak, target, wait_ms);
}

static void
step_wipe (soak_t *soak, soak_watch_t *target)
{
  br_ms_t wait_ms = soak_random_between (soak, 100, LATER_MAX_MS);

  wipe (soak, target, wait_ms);
  soak_control_note (soak, "%s%s loses its disk and is back after %d ms, %s",
                     target->leads ? "leader " : "", target->vm->name,
                     (int)wait_ms, soak_seeds_text (target->vm));
}

static void
step_freeze (soak_t *soak, soak_watch_t *target)
{
  bool longer = soak_random_between (soak, 0, 3) == 0;
  br_ms_t for_ms = longer ? soak_random_between (soak, 5000, 10000)
                          : soak_random_between (soak, 300, 3000);

  soak_process_signal (soak, target->vm, SIGSTOP);
  target->vm->paused = true;
  target->vm->resume_ms = soak_now () + for_ms;
  soak_control_note (soak, "%s%s is frozen for %d ms",
                     target->leads ? "leader " : "", target->vm->name,
                     (int)for_ms);
}

static void
step_kill (soak_t *soak, soak_watch_t *target)
{
  br_ms_t wait_ms = soak_random_between (soak, 100, 3000);

  soak_link_power_off (soak, target);
  soak_process_kill (soak, target->vm, wait_ms);
  soak_control_note (soak, "%s%s is killed and is back after %d ms",
                     target->leads ? "leader " : "", target->vm->name,
                     (int)wait_ms);
}

/* Kills all control VMs that run; each is back within KILLED_MAX_MS. */
static void
kill_all (soak_t *soak)
{
  soak_control_t *control = soak->control_state;

  for (int i = 1; i <= control->n_controls; i++)
    {
      soak_process_t *vm = watch_at (soak, i)->vm;

      if (soak_control_is_active (soak, vm) && vm->pid > 0)
        {
          soak_link_power_off (soak, watch_at (soak, i));
          soak_process_kill (soak, vm,
                             soak_random_between (soak, 0, KILLED_MAX_MS));
        }
    }
  control->excess_until_ms = soak_now () + 2 * KILLED_MAX_MS + SOAK_RECOVERY_MS;
}

static void
step_kill_all (soak_t *soak, soak_watch_t *target)
{
  (void)target;
  soak_control_note (soak, "all are killed");
  kill_all (soak);
}

static int
count_lost (soak_t *soak)
{
  int n = 0;

  for (int i = 1; i <= soak->control_state->n_controls; i++)
    n += soak_control_is_active (soak, watch_at (soak, i)->vm)
         && soak_control_is_lost (soak, watch_at (soak, i));
  return n;
}

/* Returns how many VMs may lose their disks now. */
static int
count_spare_disks (soak_t *soak)
{
  int n = 0;

  if (soak->overlap == 0)
    return soak_tolerance (soak) - count_lost (soak);
  for (int i = 1; i <= soak->control_state->n_controls; i++)
    n += soak_control_is_active (soak, watch_at (soak, i)->vm)
         && watch_at (soak, i)->disk_lost;
  return soak_tolerance (soak) - n;
}

/* Kills all, in a wide soak not always; one of them loses its disk, in a wide
 * soak as many as may lose it. */
static void
step_wipe_kill_all (soak_t *soak, soak_watch_t *target)
{
  int spare = soak->wide ? count_spare_disks (soak) : 1;
  bool all = !soak->wide || soak_random_between (soak, 0, 2) > 0;
  int live[SOAK_CONTROLS_MAX];
  int n = soak_control_list_live (soak, target->vm, true, live);
  int number = target->vm->number;

  while (spare-- > 0 && number > 0)
    {
      target = watch_at (soak, number);
      wipe (soak, target, soak_random_between (soak, 0, KILLED_MAX_MS));
      soak_control_note (soak, "%s%s loses its disk, %s",
                         target->leads ? "leader " : "", target->vm->name,
                         soak_seeds_text (target->vm));
      number = 0;
      if (spare > 0)
        n = soak_control_take_one (soak, live, n, &number);
    }
  if (all)
    step_kill_all (soak, target);
}

/* Replaces the leader, if it is known, while the settings change. */
static void
step_replace_leader_seeds (soak_t *soak, soak_watch_t *target)
{
  int live[SOAK_CONTROLS_MAX];
  int n = soak_control_list_live (soak, NULL, true, live);
  bool before = soak_random_between (soak, 0, 1) == 0;

  for (int i = 0; i < n; i++)
    if (watch_at (soak, live[i])->leads)
      target = watch_at (soak, live[i]);
  if (before)
    soak_seeds_step (soak, target);
  step_replace (soak, target);
  if (!before)
    soak_seeds_step (soak, target);
}

static const step_t step_list[] = {
#define X(name, weight, function, loses_disk, wide)                            \
  { name, weight, function, loses_disk, wide },
  STEP_TABLE (X)
#undef X
};

/* Returns whether the soak takes the step now. */
static bool
is_possible (soak_t *soak, const step_t *step)
{
  return (soak->wide || !step->wide)
         && (!step->loses_disk || count_spare_disks (soak) > 0);
}

static const step_t *
draw_step (soak_t *soak)
{
  int weights[BR_N_ELEMENTS (step_list)];
  int total = 0;
  int drawn;
  size_t i = 0;

  for (size_t j = 0; j < BR_N_ELEMENTS (step_list); j++)
    {
      weights[j] = is_possible (soak, &step_list[j]) ? step_list[j].weight : 0;
      total += weights[j];
    }
  drawn = (int)soak_random_between (soak, 0, total - 1);
  while (drawn >= weights[i])
    drawn -= weights[i++];
  return &step_list[i];
}

/* Returns the leader, if drawn and known, or any VM that is up. */
static soak_watch_t *
draw_target (soak_t *soak)
{
  int live[SOAK_CONTROLS_MAX];
  int n = soak_control_list_live (soak, NULL, true, live);
  bool leader = soak_random_between (soak, 0, 2) == 0;
  int at = (int)soak_random_between (soak, 0, BR_MAX (n, 1) - 1);

  for (int i = 0; leader && i < n; i++)
    if (watch_at (soak, live[i])->leads)
      at = i;
  return n > 0 ? watch_at (soak, live[at]) : NULL;
}

static void
take_step (soak_t *soak)
{
  soak_control_t *control = soak->control_state;
  const step_t *step = draw_step (soak);
  soak_watch_t *target = draw_target (soak);

  control->next_ms = BR_MS_NEVER;
  if (target == NULL || control->n_controls == SOAK_CONTROLS_MAX)
    return;
  control->n_steps++;
  step->run (soak, target);
  if (soak_random_between (soak, 0, 11) == 0)
    control->kill_all_ms = soak_now () + soak_random_between (soak, 200, 3500);
}

/* Returns how many VMs may be lost at once. */
static int
lost_max (const soak_t *soak)
{
  return soak->overlap > 0 ? soak->overlap : soak_tolerance (soak);
}

/* While more VMs are lost than the site tolerates, and until all had the time
 * to recover, service may be suspended. */
static void
overlap_tick (soak_t *soak, br_ms_t now)
{
  soak_control_t *control = soak->control_state;
  bool down = !soak_control_is_quiet (soak);

  if (soak->overlap == 0)
    return;
  if (count_lost (soak) > soak_tolerance (soak))
    control->beyond = true;
  if (control->beyond && down)
    control->excess_until_ms
        = BR_MAX (control->excess_until_ms, now + SOAK_RECOVERY_MS);
  control->beyond = control->beyond && down;
}

/* Sends the SIGTERM of planned replacements, and opens a window of checks when
 * a VM counts as lost no more. */
static void
vms_tick (soak_t *soak, br_ms_t now)
{
  soak_control_t *control = soak->control_state;

  for (int i = 1; i <= control->n_controls; i++)
    {
      soak_watch_t *watch = watch_at (soak, i);
      soak_process_t *vm = watch->vm;
      bool lost;

      soak_seeds_tick (soak, watch, now);
      lost = soak_control_is_lost (soak, watch);
      if (vm->retired && vm->pid == 0 && watch->gone_ms == 0)
        watch->gone_ms = now;
      if (watch->vote_ms > vm->up_since_ms && !lost)
        watch->disk_lost = false;
      if (now >= watch->term_ms)
        {
          watch->term_ms = BR_MS_NEVER;
          vm->retired = true;
          vm->exit_expected = true;
          vm->start_ms = BR_MS_NEVER;
          soak_process_signal (soak, vm, SIGTERM);
        }
      if (watch->lost && !lost && soak_control_is_active (soak, vm))
        {
          if (watch->empty && now >= control->excess_until_ms
              && watch->read_ms < vm->up_since_ms)
            soak_fail (soak,
                       "%s started empty and has answered no read with 200 "
                       "within %d ms",
                       vm->name, SOAK_CATCH_UP_MS);
          watch->empty = false;
          soak_windows_push (
              &control->windows,
              (soak_window_t){ .from_ms = now, .step = control->n_steps });
        }
      watch->lost = lost;
    }
}

void
soak_control_tick (soak_t *soak)
{
  soak_control_t *control = soak->control_state;
  br_ms_t now = soak_now ();

  soak_link_tick (soak, now);
  vms_tick (soak, now);
  overlap_tick (soak, now);
  soak_control_watch_tick (soak);
  if (control->steps_stopped)
    return;
  if (now >= control->kill_all_ms)
    {
      control->kill_all_ms = BR_MS_NEVER;
      step_kill_all (soak, NULL);
    }
  if (count_lost (soak) >= lost_max (soak))
    return;
  if (control->next_ms == BR_MS_NEVER)
    {
      control->aimed = soak_random_between (soak, 0, 2) == 0;
      control->next_ms = now
                         + soak_random_between (soak, 0, 1)
                               * soak_random_between (soak, 0, LATER_MAX_MS);
    }
  /* A step that waits for an acknowledgement waits no longer than for one that
   * is in time. */
  if (now >= control->next_ms + (control->aimed ? SOAK_ACK_MS : 0))
    take_step (soak);
}

void
soak_control_on_ack (soak_t *soak)
{
  soak_control_t *control = soak->control_state;

  if (!control->steps_stopped && control->aimed
      && soak_now () >= control->next_ms && count_lost (soak) < lost_max (soak))
    take_step (soak);
}

void
soak_control_close (soak_t *soak)
{
  soak_watch_t *target = draw_target (soak);

  soak->control_state->n_steps++;
  if (target != NULL && count_spare_disks (soak) > 0)
    step_wipe_kill_all (soak, target);
  else
    step_kill_all (soak, NULL);
}

bool
soak_control_may_close (const soak_t *soak)
{
  const soak_acks_t *acks = &soak->control_state->acks;

  return !soak->wide
         || (count_lost ((soak_t *)soak) == 0 && acks->len > 0
             && soak_now () <= acks->items[acks->len - 1].ms + CLOSE_AFTER_MS);
}

bool
soak_control_is_quiet (const soak_t *soak)
{
  const soak_control_t *control = soak->control_state;

  for (int i = 0; i < control->n_controls; i++)
    {
      const soak_process_t *vm = control->watches[i].vm;

      if (soak_control_is_active (soak, vm)
          && (vm->pid == 0 || vm->paused
              || control->watches[i].term_ms != BR_MS_NEVER
              || control->watches[i].seeds_ms != BR_MS_NEVER
              || control->watches[i].cut.heal_ms != BR_MS_NEVER))
        return false;
    }
  return control->split_until_ms == BR_MS_NEVER;
}

void
soak_control_start (soak_t *soak)
{
  soak_control_t *control = br_alloc_zero (sizeof *control);

  soak->control_state = control;
  control->n_controls = soak->control;
  control->steps_stopped = true;
  control->next_ms = BR_MS_NEVER;
  control->kill_all_ms = BR_MS_NEVER;
  control->split_until_ms = BR_MS_NEVER;
  control->version = 1;
  br_random_seed (&control->random, soak->seed + 1);
  soak_control_watch_start (soak);
}

void
soak_control_free (soak_t *soak)
{
  if (soak->control_state == NULL)
    return;
  if (soak->failures > 0 && soak->control_state->n_steps > 0)
    fprintf (stderr, "%slogs and disks are in %s\n",
             soak->control_state->steps.data, soak->folder);
  soak_control_watch_free (soak);
  br_buf_free (&soak->control_state->steps);
  free (soak->control_state);
}
