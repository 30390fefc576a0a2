/* Measures the bytes a second that each entry VM sends for membership, and the
 * time until every VM has a notice, for several numbers of VMs on a simulated
 * clock.  All VMs run in this process; the processor time of a VM is that of
 * the process divided by their number. */
#include <stdio.h>
#include <time.h>

#include "../tests/support/domain_bus.h"
#include "domain/membership_private.h"

#define WARM_UP_MS 10000
#define MEASURED_MS 30000
#define NOTICE_RUNS 10
#define NOTICE_TIMEOUT_MS 10000

/* Returns the number of VMs that have received the notice. */
static int
vms_with_notice (const bus_t *bus)
{
  int n = 0;

  for (size_t i = 0; i < bus->events.len; i++)
    n += bus->events.items[i].output.kind == BR_MEMBERSHIP_NOTICE;
  return n;
}

/* Returns the time until all VMs have a notice, at most about
 * NOTICE_TIMEOUT_MS. */
static br_ms_t
notice_run (bus_t *bus, int run)
{
  br_ms_t from = bus->now;
  br_notice_t notice = {
    .kind = BR_NOTICE_UPSTREAM_LEAVING,
    .name = br_name_from ("upstream-1"),
    .incarnation = (uint64_t)run + 1,
    .expires_ms = bus->now + BR_NOTICE_LIFE_MS,
  };
  int at = (int)br_random_below (&bus->random, (uint64_t)bus->n);

  bus_events_clear (&bus->events);
  br_membership_announce (bus->vms[at], &notice, bus->now);
  bus_drain (bus, at);
  while (vms_with_notice (bus) < bus->n && bus->now - from < NOTICE_TIMEOUT_MS)
    bus_step (bus);
  return bus->now - from;
}

/* Drops the updates about the start that the VMs have yet to send, which skips
 * the starting phase. */
static void
clear_start_updates (bus_t *bus)
{
  for (int i = 0; i < bus->n; i++)
    for (size_t j = 0; j < bus->vms[i]->members.len; j++)
      bus->vms[i]->members.items[j].sends_remaining = 0;
}

static void
bench_size (int n, bool settled)
{
  bus_t *bus = bus_new (n, 1);
  struct timespec begin;
  struct timespec end;
  double cpu_s;
  br_ms_t worst = 0;

  bus->measured = true;
  bus_run (bus, WARM_UP_MS);
  if (settled)
    clear_start_updates (bus);
  bus->bytes_sent = 0;
  bus->longest = 0;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &begin);
  bus_run (bus, MEASURED_MS);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &end);
  cpu_s = (double)(end.tv_sec - begin.tv_sec)
          + (double)(end.tv_nsec - begin.tv_nsec) / 1e9;
  printf ("%5d %10s %14.0f %14.4f", n, settled ? "settled" : "starting",
          (double)bus->bytes_sent / n / (MEASURED_MS / 1000.0),
          cpu_s / n / (MEASURED_MS / 1000.0) * 100);
  bus->loss = 0.05;
  for (int run = 0; run < NOTICE_RUNS; run++)
    {
      br_ms_t span_ms = notice_run (bus, run);

      worst = BR_MAX (worst, span_ms);
    }
  printf (" %14lld %14llu\n", (long long)worst,
          (unsigned long long)bus->longest);
  bus_free (bus);
}

int
main (void)
{
  static const int sizes[] = { 7, 25, 100, 390 };

  printf ("%5s %10s %14s %14s %14s %14s\n", "VMs", "state", "bytes/s a VM",
          "% of a core", "notice ms max", "longest frame");
  for (size_t i = 0; i < BR_N_ELEMENTS (sizes); i++)
    {
      bench_size (sizes[i], false);
      bench_size (sizes[i], true);
    }
  return 0;
}
