/* Proposes commands to the replicated log from an additional VM and prints
 * their outcomes.  Usage: replica_bench SETTINGS COUNT IN_FLIGHT [BYTES]
 *
 * Prints a line "NAME OUTCOME MICROSECONDS" for each proposal and a summary as
 * the last line.  NAME is "p" and a number. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "shell/node.h"
#include "shell/replica_task.h"

#define TIMEOUT_MS 100000
#define START_CHECK_MS 50

typedef struct
{
  br_node_t *node;
  struct event *start;
  uint64_t count;
  uint64_t in_flight;
  size_t bytes;
  uint64_t sent;
  uint64_t ended;
  uint64_t outcomes[3];
  uint64_t *started_us; /* by ticket */
  uint64_t *latency_us; /* of the committed proposals */
  uint64_t first_us;
} bench_t;

static uint64_t
now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

static void
bench_send (bench_t *bench)
{
  br_buf_t command = { 0 };
  uint64_t ticket;

  br_buf_printf (&command, "p%" PRIu64 " ", bench->sent);
  while (command.len < bench->bytes)
    br_buf_append_char (&command, 'x');
  ticket
      = br_replica_task_propose (bench->node->replica, br_buf_str (&command));
  bench->started_us[ticket] = now_us ();
  bench->sent++;
  br_buf_free (&command);
}

static void
bench_on_proposal (void *context, const br_proposal_message_t *proposal)
{
  static const char *const names[] = { "committed", "refused", "unknown" };
  bench_t *bench = context;
  uint64_t latency = now_us () - bench->started_us[proposal->ticket];

  printf ("p%" PRIu64 " %s %" PRIu64 "\n", proposal->ticket - 1,
          names[proposal->outcome], latency);
  if (proposal->outcome == BR_PROPOSAL_COMMITTED)
    bench->latency_us[bench->outcomes[BR_PROPOSAL_COMMITTED]] = latency;
  bench->outcomes[proposal->outcome]++;
  bench->ended++;
  if (bench->sent < bench->count)
    bench_send (bench);
  else if (bench->ended == bench->count)
    event_base_loopbreak (bench->node->base);
}

/* Starts the proposals once there is a leader, which keeps the first election
 * out of the figures. */
static void
bench_on_start (evutil_socket_t fd, short what, void *context)
{
  bench_t *bench = context;
  struct timeval retry_delay = { 0, START_CHECK_MS * 1000 };

  (void)fd;
  (void)what;
  if (br_replica_task_leader (bench->node->replica)->len == 0)
    {
      event_add (bench->start, &retry_delay);
      return;
    }
  bench->first_us = now_us ();
  while (bench->sent < BR_MIN (bench->count, bench->in_flight))
    bench_send (bench);
}

static int
compare_u64 (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left > right) - (left < right);
}

static void
bench_report (bench_t *bench)
{
  uint64_t n = bench->outcomes[BR_PROPOSAL_COMMITTED];
  double seconds = (double)(now_us () - bench->first_us) / 1e6;

  qsort (bench->latency_us, n, sizeof bench->latency_us[0], compare_u64);
  printf ("committed=%" PRIu64 " refused=%" PRIu64 " unknown=%" PRIu64, n,
          bench->outcomes[BR_PROPOSAL_REFUSED],
          bench->outcomes[BR_PROPOSAL_UNKNOWN]);
  if (n > 0)
    printf (" p50_us=%" PRIu64 " p99_us=%" PRIu64 " per_second=%.0f",
            bench->latency_us[n / 2], bench->latency_us[n * 99 / 100],
            (double)n / seconds);
  printf ("\n");
}

int
main (int argc, char **argv)
{
  br_settings_t settings;
  br_buf_t faults = { 0 };
  br_error_t err;
  bench_t bench = { 0 };
  struct timeval start_delay = { 0, START_CHECK_MS * 1000 };
  struct timeval limit = { TIMEOUT_MS / 1000, 0 };

  if (argc < 4 || !br_settings_load (argv[1], &settings, &faults))
    {
      fprintf (stderr,
               "usage: replica_bench SETTINGS COUNT IN_FLIGHT [BYTES]"
               "\n%s",
               faults.data != NULL ? faults.data : "");
      return 2;
    }
  setvbuf (stdout, NULL, _IOLBF, 0);
  bench.count = strtoull (argv[2], NULL, 10);
  bench.in_flight = strtoull (argv[3], NULL, 10);
  bench.bytes = argc > 4 ? strtoull (argv[4], NULL, 10) : 0;
  bench.started_us = br_alloc_zero ((bench.count + 2) * sizeof (uint64_t));
  bench.latency_us = br_alloc_zero ((bench.count + 1) * sizeof (uint64_t));
  bench.node = br_node_new (&settings, stderr, &err);
  if (bench.node == NULL)
    {
      fprintf (stderr, "%s: %s\n", err.step, err.text);
      return br_error_exit_code (err.code);
    }
  bench.node->on_proposal = bench_on_proposal;
  bench.node->on_proposal_context = &bench;
  bench.start = evtimer_new (bench.node->base, bench_on_start, &bench);
  event_add (bench.start, &start_delay);
  event_base_loopexit (bench.node->base, &limit);
  br_node_run (bench.node);
  bench_report (&bench);
  event_free (bench.start);
  br_node_free (bench.node);
  free (bench.started_us);
  free (bench.latency_us);
  return 0;
}
