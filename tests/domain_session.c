/* Runs memberships on a simulated clock by a script and prints their events.
 * Script lines: vms N | run MS | cut A B (one way) | heal | kill A | freeze A |
 * thaw A | start A INCARNATION | notice A NAME INCARNATION | views OF */
#include <stdio.h>
#include <string.h>

#include "support/domain_bus.h"

static void
print_event (const bus_event_t *event)
{
  const br_membership_output_t *output = &event->output;

  printf ("%7lld vm-%03d: ", (long long)event->at_ms, event->from);
  switch (output->kind)
    {
    case BR_MEMBERSHIP_VM:
      printf ("%s %s%s\n", output->name.data,
              br_vm_state_name (output->vm.state),
              output->vm.leaving ? " leaving" : "");
      break;
    case BR_MEMBERSHIP_LINK:
      printf ("link to %s %s\n", output->name.data,
              br_link_kind_name (output->link));
      break;
    case BR_MEMBERSHIP_NOTICE:
      printf ("notice %s %s\n", br_notice_kind_name (output->notice.kind),
              output->name.data);
      break;
    case BR_MEMBERSHIP_SEND:
      break;
    }
}

static void
print_events (bus_t *bus)
{
  for (size_t i = 0; i < bus->events.len; i++)
    print_event (&bus->events.items[i]);
  bus_events_clear (&bus->events);
}

static void
print_views (const bus_t *bus, int of)
{
  for (int by = 0; by < bus->n; by++)
    if (by != of && !bus->dead[by])
      printf ("vm-%03d is %s for vm-%03d\n", of,
              br_vm_state_name (bus_view (bus, of, by)->vm.state), by);
}

static void
announce (bus_t *bus, int at, const char *name, uint64_t incarnation)
{
  br_notice_t notice = {
    .kind = BR_NOTICE_UPSTREAM_LEAVING,
    .name = br_name_from (name),
    .incarnation = incarnation,
    .expires_ms = bus->now + BR_NOTICE_LIFE_MS,
  };

  br_membership_announce (bus->vms[at], &notice, bus->now);
  bus_drain (bus, at);
}

static void
run_line (bus_t **bus, const char *line)
{
  char name[64];
  int a;
  int b;

  if (sscanf (line, "vms %d", &a) == 1)
    *bus = bus_new (a, 1);
  else if (sscanf (line, "run %d", &a) == 1)
    bus_run (*bus, a);
  else if (sscanf (line, "cut %d %d", &a, &b) == 2)
    (*bus)->cut[a][b] = true;
  else if (strncmp (line, "heal", 4) == 0)
    memset ((*bus)->cut, 0, sizeof (*bus)->cut);
  else if (sscanf (line, "kill %d", &a) == 1)
    (*bus)->dead[a] = true;
  else if (sscanf (line, "freeze %d", &a) == 1)
    (*bus)->frozen[a] = true;
  else if (sscanf (line, "thaw %d", &a) == 1)
    (*bus)->frozen[a] = false;
  else if (sscanf (line, "start %d %d", &a, &b) == 2)
    {
      bus_start (*bus, a, BUS_INCARNATION + (uint64_t)b);
      bus_link_up (*bus, a);
    }
  else if (sscanf (line, "notice %d %60s %d", &a, name, &b) == 3)
    announce (*bus, a, name, (uint64_t)b);
  else if (sscanf (line, "views %d", &a) == 1)
    print_views (*bus, a);
  print_events (*bus);
}

int
main (void)
{
  bus_t *bus = NULL;
  char line[200];

  while (fgets (line, sizeof line, stdin) != NULL)
    {
      printf ("> %s", line);
      run_line (&bus, line);
    }
  bus_free (bus);
  return 0;
}
