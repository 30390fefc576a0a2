/* The links between the control VMs in a wide soak of them, and what else their
 * addresses are given to. */
#include "soak_control.h"

#include <string.h>

/* Time after which an address is given to another machine, in milliseconds: the
 * platform's bound ReuseAfterS. */
#define REUSE_AFTER_MS 2000

#define CUT_MAX_MS 5000

#define PORT_CLOUD 3
#define PORT_PEERS 2

/* Returns the number of the control VM at ADDRESS, or 0: another machine. */
static int
number_at (const soak_t *soak, const struct sockaddr_in *address)
{
  struct sockaddr_in first = soak_address (soak, SOAK_CONTROL, 1, PORT_PEERS);
  uint32_t net = ntohl (first.sin_addr.s_addr) & ~0xffu;
  uint32_t host = ntohl (address->sin_addr.s_addr);

  return (host & ~0xffu) == net && (host & 0xff) <= SOAK_CONTROLS_MAX
             ? (int)(host & 0xff)
             : 0;
}

static bool
covers (const soak_cut_t *cut, int other)
{
  return other == 0 ? cut->entries : cut->only == 0 || cut->only == other;
}

static bool
gate_is_held (void *context, const struct sockaddr_in *source, bool to_target)
{
  const soak_gate_t *gate = context;
  const soak_watch_t *watches = gate->soak->control_state->watches;
  int other = number_at (gate->soak, source);
  const soak_watch_t *near = &watches[gate->number - 1];
  const soak_watch_t *far = other > 0 ? &watches[other - 1] : NULL;

  if ((to_target ? near->cut.to : near->cut.from) && covers (&near->cut, other))
    return true;
  if (far == NULL)
    return false;
  return near->side != far->side
         || ((to_target ? far->cut.from : far->cut.to)
             && covers (&far->cut, gate->number));
}

bool
soak_link_start (soak_t *soak,
                 int number,
                 const struct sockaddr_in *from,
                 const struct sockaddr_in *to)
{
  soak_gate_t *gate = &soak->control_state->gates[number - 1];

  gate->soak = soak;
  gate->number = number;
  gate->link = br_relay_link_new (soak->base, from, to);
  if (gate->link != NULL)
    br_relay_link_set_held (gate->link, gate_is_held, gate);
  else
    soak_fail (soak, "the relay cannot listen for control VM %d", number);
  return gate->link != NULL;
}

/* Passes the bytes that are not held back any more. */
static void
release (soak_t *soak)
{
  for (int i = 0; i < SOAK_CONTROLS_MAX; i++)
    br_relay_link_command (soak->control_state->gates[i].link, "open");
}

void
soak_link_renew (soak_t *soak, const soak_process_t *vm)
{
  soak_control_t *control = soak->control_state;
  struct sockaddr_in address
      = soak_address (soak, SOAK_CONTROL, vm->number, PORT_PEERS);

  control->watches[vm->number - 1].cut = (soak_cut_t){ .heal_ms = BR_MS_NEVER };
  br_relay_link_command (control->gates[vm->number - 1].link, "reset");
  for (int i = 0; i < SOAK_CONTROLS_MAX; i++)
    br_relay_link_drop (control->gates[i].link, &address);
}

void
soak_link_power_off (soak_t *soak, soak_watch_t *watch)
{
  if (soak->wide && soak_random_between (soak, 0, 2) == 0)
    watch->cut = (soak_cut_t){
      .to = true, .from = true, .entries = true, .heal_ms = BR_MS_NEVER
    };
}

/* --- steps --- */

static soak_watch_t *
find_leader (soak_t *soak)
{
  soak_control_t *control = soak->control_state;

  for (int i = 0; i < control->n_controls; i++)
    if (control->watches[i].leads && !control->watches[i].vm->retired)
      return &control->watches[i];
  return NULL;
}

void
soak_link_step_cut (soak_t *soak, soak_watch_t *target)
{
  static const char *const kinds[]
      = { "in both directions", "towards it", "from it", "" };
  int kind = (int)soak_random_between (soak, 0, 3);
  br_ms_t for_ms = soak_random_between (soak, 300, CUT_MAX_MS);
  bool entries = soak_random_between (soak, 0, 1) == 0;
  soak_watch_t *leader = find_leader (soak);

  target->cut = (soak_cut_t){ .to = kind != 2,
                              .from = kind != 1,
                              .entries = entries,
                              .heal_ms = soak_now () + for_ms };
  /* A leader that one other VM does not reach is not lost. */
  if (kind == 3 && leader != NULL && leader != target)
    {
      target->cut.only = leader->vm->number;
      target->cut.entries = false;
      soak_control_note (soak, "%s and leader %s are cut off for %d ms",
                         target->vm->name, leader->vm->name, (int)for_ms);
      return;
    }
  soak_control_note (soak, "%s%s is cut off%s %s for %d ms",
                     target->leads ? "leader " : "", target->vm->name,
                     entries ? "" : " from control VMs", kinds[kind % 3],
                     (int)for_ms);
}

void
soak_link_step_split (soak_t *soak, soak_watch_t *target)
{
  soak_control_t *control = soak->control_state;
  br_ms_t for_ms = soak_random_between (soak, 500, CUT_MAX_MS);
  br_buf_t sides = { 0 };

  for (int i = 0; i < control->n_controls; i++)
    {
      soak_watch_t *watch = &control->watches[i];

      watch->side = watch != target ? (int)soak_random_between (soak, 0, 1) : 0;
      if (watch->side == 1 && !watch->vm->retired)
        br_buf_printf (&sides, " %d", watch->vm->number);
    }
  control->split_until_ms = soak_now () + for_ms;
  control->excess_until_ms = BR_MAX (
      control->excess_until_ms, control->split_until_ms + SOAK_RECOVERY_MS);
  soak_control_note (soak, "control VMs%s are split off for %d ms",
                     sides.len > 0 ? sides.data : " (none)", (int)for_ms);
  br_buf_free (&sides);
}

/* Returns the number of a control VM whose address is free, or 0. */
static int
draw_free_address (soak_t *soak)
{
  int numbers[SOAK_CONTROLS_MAX];
  int n = soak_control_list_retired (soak, numbers);
  int n_free = 0;

  for (int i = 0; i < n; i++)
    {
      const soak_watch_t *watch = &soak->control_state->watches[numbers[i] - 1];

      if (!watch->vm->as_entry && watch->gone_ms > 0
          && soak_now () >= watch->gone_ms + REUSE_AFTER_MS)
        numbers[n_free++] = numbers[i];
    }
  return n_free > 0 ? numbers[soak_random_between (soak, 0, n_free - 1)] : 0;
}

void
soak_link_step_reuse (soak_t *soak, soak_watch_t *target)
{
  br_ms_t wait_ms = soak_random_between (soak, 0, 1500);
  int number = draw_free_address (soak);
  soak_process_t *vm;

  soak_control_retire (soak, target);
  vm = soak_control_start_new (soak, target->vm, number, wait_ms);
  soak_control_note (soak,
                     "%s%s is killed for good, %s starts after %d ms%s, seeds "
                     "%d, %d, %d",
                     target->leads ? "leader " : "", target->vm->name, vm->name,
                     (int)wait_ms,
                     number > 0 ? " at an address used before" : "",
                     vm->seeds[0], vm->seeds[1], vm->seeds[2]);
}

/* Gives the address of a control VM that is gone to an entry VM or to a program
 * of another protocol. */
void
soak_link_step_stranger (soak_t *soak, soak_watch_t *target)
{
  bool entry = soak_random_between (soak, 0, 1) == 0;
  int number = draw_free_address (soak);
  struct sockaddr_in to = soak_address (soak, SOAK_CLOUD, 1, PORT_CLOUD);
  soak_watch_t *watch = &soak->control_state->watches[BR_MAX (number, 1) - 1];

  if (number == 0)
    {
      soak_control_note (soak, "no address is free");
      return;
    }
  watch->vm->as_entry = true;
  if (entry)
    {
      memcpy (watch->vm->seeds, target->vm->seeds, sizeof watch->vm->seeds);
      watch->vm->start_ms = soak_now ();
    }
  else
    {
      soak_link_renew (soak, watch->vm);
      br_relay_link_set_target (soak->control_state->gates[number - 1].link,
                                &to);
    }
  soak_control_note (soak, "the address of %s is given to %s", watch->vm->name,
                     entry ? "an entry VM" : "the platform's API");
}

/* --- end of faults --- */

static void
end_cut (soak_watch_t *watch, br_ms_t now)
{
  watch->cut = (soak_cut_t){ .heal_ms = BR_MS_NEVER };
  if (watch->vm->pid > 0)
    watch->vm->up_since_ms = now;
}

/* A VM without its disk could not catch up across the split. */
static void
end_split (soak_control_t *control, br_ms_t now)
{
  control->split_until_ms = BR_MS_NEVER;
  for (int i = 0; i < control->n_controls; i++)
    {
      soak_watch_t *watch = &control->watches[i];

      watch->side = 0;
      if (watch->empty && !watch->vm->retired && watch->vm->pid > 0)
        watch->vm->up_since_ms = now;
    }
}

void
soak_link_tick (soak_t *soak, br_ms_t now)
{
  soak_control_t *control = soak->control_state;
  bool healed = now >= control->split_until_ms;

  if (!soak->wide)
    return;
  if (healed)
    end_split (control, now);
  for (int i = 0; i < control->n_controls; i++)
    {
      soak_watch_t *watch = &control->watches[i];

      if (now < watch->cut.heal_ms)
        continue;
      end_cut (watch, now);
      healed = true;
    }
  if (healed)
    release (soak);
}

void
soak_link_heal (soak_t *soak)
{
  soak_control_t *control = soak->control_state;

  if (control->split_until_ms != BR_MS_NEVER)
    control->split_until_ms = soak_now ();
  for (int i = 0; i < control->n_controls; i++)
    if (control->watches[i].cut.heal_ms != BR_MS_NEVER)
      control->watches[i].cut.heal_ms = soak_now ();
  soak_link_tick (soak, soak_now ());
}
