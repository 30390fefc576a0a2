/* The seeds that the settings name in a soak of the control VMs: some lag, in a
 * wide soak also until none of them is up. */
#include "soak_control.h"

#include <signal.h>
#include <string.h>

/* Time in which the settings of a VM may name none that is up: the platform's
 * bound SeedLagS and the time until it is read, in milliseconds. */
#define SEEDS_LATE_MAX_MS 4000

/* Time in which a VM without a vote says so in its log, in milliseconds. */
#define OUTSIDE_LOGGED_MS 1500

int
soak_control_take_one (soak_t *soak, int *numbers, int n, int *out)
{
  int at;

  if (n == 0)
    return 0;
  at = (int)soak_random_between (soak, 0, n - 1);
  *out = numbers[at];
  numbers[at] = numbers[n - 1];
  return n - 1;
}

void
soak_seeds_draw (soak_t *soak, soak_process_t *vm)
{
  int live[SOAK_CONTROLS_MAX];
  int gone[SOAK_CONTROLS_MAX];
  int kind = (int)soak_random_between (soak, 0, soak->wide ? 3 : 2);
  int n_live = soak_control_list_live (soak, vm, kind == 0, live);
  int n_gone = kind >= 2 ? soak_control_list_retired (soak, gone) : 0;
  int least = kind == 3 && n_gone > 0 ? 0 : soak_tolerance (soak);

  /* Nothing is up at the first steps after all were killed. */
  if (n_live == 0)
    return;
  memset (vm->seeds, 0, sizeof vm->seeds);
  for (int i = 0; i < SOAK_SEEDS; i++)
    if (i >= least && n_gone > 0)
      n_gone = soak_control_take_one (soak, gone, n_gone, &vm->seeds[i]);
    else if (least > 0)
      n_live = soak_control_take_one (soak, live, n_live, &vm->seeds[i]);
  for (int i = 0; i < SOAK_SEEDS; i++)
    if (vm->seeds[i] == 0)
      vm->seeds[i] = vm->role == SOAK_CONTROL ? vm->number : vm->seeds[0];
}

/* Returns whether all seeds of the VM but itself are gone for good.  With
 * ENDED, none of them is still leaving, and nothing else has their addresses.
 */
static bool
seeds_are_gone (soak_t *soak, const soak_process_t *vm, bool ended)
{
  for (int i = 0; i < SOAK_SEEDS; i++)
    {
      const soak_process_t *seed
          = soak_process (soak, SOAK_CONTROL, vm->seeds[i]);

      if (seed != vm
          && (!seed->retired || (ended && (seed->as_entry || seed->pid > 0))))
        return false;
    }
  return true;
}

void
soak_seeds_plan (soak_t *soak, soak_watch_t *watch, br_ms_t wait_ms)
{
  if (!soak->wide || !seeds_are_gone (soak, watch->vm, false))
    return;
  watch->seeds_ms = soak_now () + wait_ms
                    + soak_random_between (soak, 500, SEEDS_LATE_MAX_MS);
  watch->alone = watch->vm->pid == 0;
}

const char *
soak_seeds_text (const soak_process_t *vm)
{
  static char text[64];

  snprintf (text, sizeof text, "seeds %d, %d, %d", vm->seeds[0], vm->seeds[1],
            vm->seeds[2]);
  return text;
}

void
soak_seeds_step (soak_t *soak, soak_watch_t *target)
{
  int share = (int)soak_random_between (soak, 0, 2);

  (void)target;
  for (int i = 0; i < soak->n_processes; i++)
    {
      soak_process_t *vm = &soak->processes[i];
      bool signal = (int)soak_random_between (soak, 1, 2) <= share;
      soak_watch_t *watch = NULL;

      if (!soak_control_is_active (soak, vm)
          && (vm->role != SOAK_ENTRY || vm->number > SOAK_CONTROL_ENTRIES))
        continue;
      if (vm->role == SOAK_CONTROL)
        watch = &soak->control_state->watches[vm->number - 1];
      if (watch != NULL && watch->seeds_ms != BR_MS_NEVER)
        continue;
      soak_seeds_draw (soak, vm);
      if (watch != NULL && watch->empty)
        soak_seeds_plan (soak, watch,
                         vm->pid == 0 ? vm->start_ms - soak_now () : 0);
      soak_settings_write (soak, vm);
      soak_control_note (soak, "%s: %s%s", vm->name, soak_seeds_text (vm),
                         signal ? ", SIGHUP" : "");
      if (signal && !vm->exit_expected)
        soak_process_signal (soak, vm, SIGHUP);
    }
}

/* Returns whether the control VM wrote that it has no vote. */
static bool
logged_no_vote (soak_t *soak, const soak_process_t *vm)
{
  br_buf_t path = { 0 };
  char line[4096];
  FILE *file;
  bool found = false;

  soak_process_path (soak, vm, ".out", &path);
  file = fopen (path.data, "r");
  br_buf_free (&path);
  while (file != NULL && !found && fgets (line, sizeof line, file) != NULL)
    found = strstr (line, "\"event\":\"has no vote\"") != NULL;
  if (file != NULL)
    fclose (file);
  return found;
}

void
soak_seeds_tick (soak_t *soak, soak_watch_t *watch, br_ms_t now)
{
  soak_process_t *vm = watch->vm;
  bool outside = watch->seeds_ms != BR_MS_NEVER && watch->alone && vm->pid > 0
                 && vm->starts == 1 && seeds_are_gone (soak, vm, true);

  if (!outside)
    watch->outside_ms = 0;
  else if (watch->outside_ms == 0)
    watch->outside_ms = now;
  if (now < watch->seeds_ms || vm->pid == 0)
    return;
  if (watch->outside_ms > 0 && now >= watch->outside_ms + OUTSIDE_LOGGED_MS
      && !logged_no_vote (soak, vm))
    soak_fail (soak, "%s has had no vote for %d ms and has not logged it",
               vm->name, OUTSIDE_LOGGED_MS);
  soak_seeds_draw (soak, vm);
  if (seeds_are_gone (soak, vm, false))
    return;
  watch->seeds_ms = BR_MS_NEVER;
  watch->outside_ms = 0;
  vm->up_since_ms = now;
  soak_settings_write (soak, vm);
  soak_log (soak, "%s: %s", vm->name, soak_seeds_text (vm));
  if (soak_random_between (soak, 0, 1) == 0)
    soak_process_signal (soak, vm, SIGHUP);
}
