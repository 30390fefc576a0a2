/* The steps of a soak of the control VMs.  No more of them are lost at once
 * than the site tolerates; only kills of all at once go beyond it, and these
 * lose no more disks. */
#include "soak_control.h"

#include <signal.h>
#include <string.h>

/* The next loss follows as soon as it is tolerated, or up to this time later,
 * in milliseconds. */
#define LATER_MAX_MS 1500

/* Time within which processes that were all killed are back, in milliseconds.
 */
#define KILLED_MAX_MS 900

/* X (name, weight, function) */
#define STEP_TABLE(X)                                                          \
  X ("replace", 6, step_replace)                                               \
  X ("replace planned", 4, step_replace_planned)                               \
  X ("wipe", 2, step_wipe)                                                     \
  X ("freeze", 3, step_freeze)                                                 \
  X ("kill", 3, step_kill)                                                     \
  X ("seeds", 3, step_seeds)                                                   \
  X ("kill all", 1, step_kill_all)                                             \
  X ("wipe one, kill all", 1, step_wipe_one_kill_all)

typedef struct
{
  const char *name;
  int weight;
  void (*run) (soak_t *soak, soak_watch_t *target);
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

static bool
is_lost (const soak_process_t *vm, br_ms_t now)
{
  return vm->pid == 0 || vm->paused || now < vm->up_since_ms + SOAK_CATCH_UP_MS;
}

/* Adds to the list of steps and to the log. */
static void
note (soak_t *soak, const char *format, ...)
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

/* Sets NUMBERS to the control VMs that are up and stay, without VM and, if
 * LEADER is false, without the leader.  Returns how many. */
static int
list_live (soak_t *soak, const soak_process_t *vm, bool leader, int *numbers)
{
  int n = 0;

  for (int i = 1; i <= soak->control_state->n_controls; i++)
    {
      const soak_watch_t *watch = watch_at (soak, i);

      if (soak_control_is_active (soak, watch->vm) && watch->vm != vm
          && watch->term_ms == BR_MS_NEVER && !is_lost (watch->vm, soak_now ())
          && (leader || !watch->leads))
        numbers[n++] = i;
    }
  return n;
}

static int
list_retired (soak_t *soak, int *numbers)
{
  int n = 0;

  for (int i = 1; i <= soak->control_state->n_controls; i++)
    if (watch_at (soak, i)->vm->retired)
      numbers[n++] = i;
  return n;
}

/* Moves a random one of the N numbers to OUT.  Returns how many are left. */
static int
take_one (soak_t *soak, int *numbers, int n, int *out)
{
  int at;

  if (n == 0)
    return 0;
  at = (int)soak_random_between (soak, 0, n - 1);
  *out = numbers[at];
  numbers[at] = numbers[n - 1];
  return n - 1;
}

/* Draws the seeds of a VM: any three that are up, three that do not lead, or a
 * list that lags, in which as many are up as may be lost at once, and the rest
 * are gone.  Its own address fills the list up. */
static void
draw_seeds (soak_t *soak, soak_process_t *vm)
{
  int live[SOAK_CONTROLS_MAX];
  int gone[SOAK_CONTROLS_MAX];
  int kind = (int)soak_random_between (soak, 0, 2);
  int n_live = list_live (soak, vm, kind == 0, live);
  int n_gone = kind == 2 ? list_retired (soak, gone) : 0;
  int least = soak_tolerance (soak);

  /* Nothing is up at the first steps after all were killed. */
  if (n_live == 0)
    return;
  memset (vm->seeds, 0, sizeof vm->seeds);
  for (int i = 0; i < SOAK_SEEDS; i++)
    if (i >= least && n_gone > 0)
      n_gone = take_one (soak, gone, n_gone, &vm->seeds[i]);
    else
      n_live = take_one (soak, live, n_live, &vm->seeds[i]);
  for (int i = 0; i < SOAK_SEEDS; i++)
    if (vm->seeds[i] == 0)
      vm->seeds[i] = vm->role == SOAK_CONTROL ? vm->number : vm->seeds[0];
}

static const char *
seeds_text (const soak_process_t *vm)
{
  static char text[64];

  snprintf (text, sizeof text, "seeds %d, %d, %d", vm->seeds[0], vm->seeds[1],
            vm->seeds[2]);
  return text;
}

/* Starts an empty control VM at an address of its own after WAIT_MS. */
static soak_process_t *
start_new (soak_t *soak, const soak_process_t *old, br_ms_t wait_ms)
{
  int number = ++soak->control_state->n_controls;
  soak_process_t *vm = soak_process (soak, SOAK_CONTROL, number);

  soak_control_watch_vm (soak, number);
  watch_at (soak, number)->empty = true;
  watch_at (soak, number)->lost = true;
  vm->founding = false;
  memcpy (vm->seeds, old->seeds, sizeof vm->seeds);
  draw_seeds (soak, vm);
  vm->start_ms = soak_now () + wait_ms;
  return vm;
}

static void
step_replace (soak_t *soak, soak_watch_t *target)
{
  br_ms_t wait_ms = soak_random_between (soak, 0, LATER_MAX_MS);
  soak_process_t *vm;

  target->vm->retired = true;
  soak_process_kill (soak, target->vm, 0);
  target->vm->start_ms = BR_MS_NEVER;
  vm = start_new (soak, target->vm, wait_ms);
  note (soak, "%s%s is killed for good, %s starts after %d ms, %s",
        target->leads ? "leader " : "", target->vm->name, vm->name,
        (int)wait_ms, seeds_text (vm));
}

static void
step_replace_planned (soak_t *soak, soak_watch_t *target)
{
  br_ms_t wait_ms = soak_random_between (soak, 300, 2500);
  soak_process_t *vm;

  target->term_ms = soak_now () + wait_ms;
  vm = start_new (soak, target->vm, 0);
  note (soak, "%s starts, %s; %s%s gets SIGTERM for good after %d ms", vm->name,
        seeds_text (vm), target->leads ? "leader " : "", target->vm->name,
        (int)wait_ms);
}

/* Kills the VM and empties its disk. */
static void
wipe (soak_t *soak, soak_watch_t *target, br_ms_t wait_ms)
{
  br_buf_t path = { 0 };

  soak_process_kill (soak, target->vm, wait_ms);
  soak_process_path (soak, target->vm, ".disk", &path);
  soak_delete_files (path.data);
  br_buf_free (&path);
  target->vm->founding = false;
  target->empty = true;
  draw_seeds (soak, target->vm);
}

static void
step_wipe (soak_t *soak, soak_watch_t *target)
{
  br_ms_t wait_ms = soak_random_between (soak, 100, LATER_MAX_MS);

  wipe (soak, target, wait_ms);
  note (soak, "%s%s loses its disk and is back after %d ms, %s",
        target->leads ? "leader " : "", target->vm->name, (int)wait_ms,
        seeds_text (target->vm));
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
  note (soak, "%s%s is frozen for %d ms", target->leads ? "leader " : "",
        target->vm->name, (int)for_ms);
}

static void
step_kill (soak_t *soak, soak_watch_t *target)
{
  br_ms_t wait_ms = soak_random_between (soak, 100, 3000);

  soak_process_kill (soak, target->vm, wait_ms);
  note (soak, "%s%s is killed and is back after %d ms",
        target->leads ? "leader " : "", target->vm->name, (int)wait_ms);
}

/* Writes other seeds into the settings of all VMs; some of them get SIGHUP. */
static void
step_seeds (soak_t *soak, soak_watch_t *target)
{
  int share = (int)soak_random_between (soak, 0, 2);

  (void)target;
  for (int i = 0; i < soak->n_processes; i++)
    {
      soak_process_t *vm = &soak->processes[i];
      bool signal = (int)soak_random_between (soak, 1, 2) <= share;

      if (!soak_control_is_active (soak, vm)
          && (vm->role != SOAK_ENTRY || vm->number > SOAK_CONTROL_ENTRIES))
        continue;
      draw_seeds (soak, vm);
      soak_settings_write (soak, vm);
      note (soak, "%s: %s%s", vm->name, seeds_text (vm),
            signal ? ", SIGHUP" : "");
      if (signal && !vm->exit_expected)
        soak_process_signal (soak, vm, SIGHUP);
    }
}

/* Kills all control VMs but SPARED; each is back within KILLED_MAX_MS. */
static void
kill_all (soak_t *soak, const soak_process_t *spared)
{
  soak_control_t *control = soak->control_state;

  for (int i = 1; i <= control->n_controls; i++)
    {
      soak_process_t *vm = watch_at (soak, i)->vm;

      if (soak_control_is_active (soak, vm) && vm != spared && vm->pid > 0)
        soak_process_kill (soak, vm,
                           soak_random_between (soak, 0, KILLED_MAX_MS));
    }
  control->excess_until_ms = soak_now () + 2 * KILLED_MAX_MS + SOAK_RECOVERY_MS;
}

static void
step_kill_all (soak_t *soak, soak_watch_t *target)
{
  (void)target;
  note (soak, "all are killed");
  kill_all (soak, NULL);
}

static void
step_wipe_one_kill_all (soak_t *soak, soak_watch_t *target)
{
  wipe (soak, target, soak_random_between (soak, 0, KILLED_MAX_MS));
  note (soak, "all are killed, %s%s loses its disk, %s",
        target->leads ? "leader " : "", target->vm->name,
        seeds_text (target->vm));
  kill_all (soak, target->vm);
}

static const step_t step_list[] = {
#define X(name, weight, function) { name, weight, function },
  STEP_TABLE (X)
#undef X
};

static const step_t *
draw_step (soak_t *soak)
{
  int total = 0;
  int drawn;
  size_t i = 0;

  for (size_t j = 0; j < BR_N_ELEMENTS (step_list); j++)
    total += step_list[j].weight;
  drawn = (int)soak_random_between (soak, 0, total - 1);
  while (drawn >= step_list[i].weight)
    drawn -= step_list[i++].weight;
  return &step_list[i];
}

/* Returns the leader, if drawn and known, or any VM that is up. */
static soak_watch_t *
draw_target (soak_t *soak)
{
  int live[SOAK_CONTROLS_MAX];
  int n = list_live (soak, NULL, true, live);
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

static int
count_lost (soak_t *soak)
{
  int n = 0;

  for (int i = 1; i <= soak->control_state->n_controls; i++)
    n += soak_control_is_active (soak, watch_at (soak, i)->vm)
         && is_lost (watch_at (soak, i)->vm, soak_now ());
  return n;
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
      bool lost = is_lost (vm, now);

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

  vms_tick (soak, now);
  soak_control_watch_tick (soak);
  if (control->steps_stopped)
    return;
  if (now >= control->kill_all_ms)
    {
      control->kill_all_ms = BR_MS_NEVER;
      step_kill_all (soak, NULL);
    }
  if (count_lost (soak) >= soak_tolerance (soak))
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
      && soak_now () >= control->next_ms
      && count_lost (soak) < soak_tolerance (soak))
    take_step (soak);
}

void
soak_control_close (soak_t *soak)
{
  soak_watch_t *target = draw_target (soak);

  soak->control_state->n_steps++;
  if (target != NULL && count_lost (soak) < soak_tolerance (soak))
    step_wipe_one_kill_all (soak, target);
  else
    step_kill_all (soak, NULL);
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
              || control->watches[i].term_ms != BR_MS_NEVER))
        return false;
    }
  return true;
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
