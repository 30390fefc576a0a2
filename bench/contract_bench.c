/* Measures the cost and benefit of contracts at several checkpoint intervals.
 * Entry VMs on a simulated clock stream answers; one VM at a time is lost, and
 * the others continue its work.  Prints one line for each interval, with the
 * same losses for all.  In the first table only us/token is time of the real
 * machine; in the second both times are. */
#include <malloc.h>
#include <time.h>

#include "../tests/support/contract_world.h"
#include "base/random.h"

#define ROUNDS 40
#define WORKS_PER_VM 20
#define TOKENS 400
#define PROMPT_BYTES 2000
#define IDLE_TICKS 200

/* A checkpoint interval: no backup, a backup that holds only the request, or
 * one that also receives the answer after this many parts or this time. */
typedef struct
{
  const char *name;
  uint32_t backups;
  size_t checkpoint_parts;
  br_ms_t checkpoint_ms;
} arm_t;

static const arm_t arms[] = {
  { "no partner", 0, 0, 0 },
  { "request only", 2, 0, 0 },
  { "1 token", 2, 1, 20 },
  { "4 tokens, 100 ms", 2, 4, 100 },
  { "8 tokens, 200 ms", 2, 8, 200 },
  { "16 tokens, 400 ms", 2, 16, 400 },
  { "32 tokens, 800 ms", 2, 32, 800 },
  { "64 tokens, 1600 ms", 2, 64, 1600 },
};

typedef struct
{
  uint64_t tokens_needed; /* if no token were generated twice */
  uint64_t lost;          /* contracts that their callers had to send again */
  uint64_t last_number;   /* of the contracts */
  br_ms_t busy_ms;
} bench_t;

static double
cpu_seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
bench_accept (world_t *world, bench_t *bench, int vm)
{
  world_accept (world, vm, ++bench->last_number);
}

static void
bench_start (world_t *world, const arm_t *arm)
{
  static const char *const names[] = { "a", "b", "c", "d", "e" };

  world->n_vms = 5;
  world->tokens = TOKENS;
  world->prompt_bytes = PROMPT_BYTES;
  world->delay_ms = 4;
  world->options = br_contract_options ();
  world->options.backups_tried = arm->backups;
  world->options.checkpoint_parts = arm->checkpoint_parts;
  world->options.checkpoint_ms = arm->checkpoint_ms;
  for (int i = 0; i < world->n_vms; i++)
    {
      world->vms[i].name = br_name_from (names[i]);
      world->vms[i].domain
          = br_name_from (i % 2 == 0 ? "castillos" : "lascano");
    }
  for (int i = 0; i < world->n_vms; i++)
    world_start (world, i);
}

/* Returns the number of unfinished contracts on all VMs. */
static int
bench_running (const world_t *world)
{
  int n = 0;

  for (int vm = 0; vm < world->n_vms; vm++)
    for (int i = 0; i < WORLD_WORKS; i++)
      n += world->vms[vm].works[i].used
           && !world->vms[vm].works[i].answer.complete;
  return n;
}

static void
bench_release_works (world_t *world)
{
  for (int vm = 0; vm < world->n_vms; vm++)
    for (int i = 0; i < WORLD_WORKS; i++)
      {
        world_work_t *work = &world->vms[vm].works[i];

        if (!work->used)
          continue;
        br_contracts_remove (world->vms[vm].contracts, &work->contract,
                             world->now);
        world_flush (world, vm);
        world_remove_work (work);
      }
}

/* Loses one VM AFTER_STEPS into its streams, then runs until all work is done.
 * Callers send again the work that no VM holds any more. */
static void
bench_round (world_t *world, bench_t *bench, int vm, int after_steps)
{
  int lost_works;
  br_ms_t from = world->now;

  for (int i = 0; i < WORKS_PER_VM; i++)
    for (int each = 0; each < world->n_vms; each++)
      bench_accept (world, bench, each);
  bench->tokens_needed
      += (uint64_t)WORKS_PER_VM * (uint64_t)world->n_vms * TOKENS;
  for (int step = 0; step < after_steps; step++)
    world_step (world, step > 1);
  lost_works = bench_running (world);
  world_crash (world, vm);
  for (int step = 0; step < 40; step++)
    world_step (world, true);
  lost_works -= bench_running (world);
  for (int i = 0; i < lost_works; i++)
    {
      bench->lost++;
      bench_accept (world, bench, (vm + 1) % world->n_vms);
    }
  while (bench_running (world) > 0)
    world_step (world, true);
  bench->busy_ms += world->now - from;
  bench_release_works (world);
  world_start (world, vm);
  for (int step = 0; step < 20; step++)
    world_step (world, false);
}

static void
bench_arm (const arm_t *arm)
{
  static world_t world;
  bench_t bench = { 0 };
  br_random_t random;
  double cpu_s = cpu_seconds ();
  uint64_t recomputed;

  memset (&world, 0, sizeof world);
  br_random_seed (&random, 1);
  bench_start (&world, arm);
  for (int round = 0; round < ROUNDS; round++)
    bench_round (&world, &bench, round % world.n_vms,
                 20 + (int)br_random_below (&random, TOKENS - 100));
  cpu_s = cpu_seconds () - cpu_s;
  recomputed = world.generated - bench.tokens_needed;
  printf ("%-20s %8" PRIu64 " %10" PRIu64 " %8.3f %12.0f %10.1f %8.2f\n",
          arm->name, bench.lost, recomputed,
          100.0 * (double)recomputed / (double)bench.tokens_needed,
          (double)world.bytes * 1000 / (double)bench.busy_ms / world.n_vms,
          (double)world.bytes / (double)world.generated,
          cpu_s * 1e6 / (double)world.generated);
  world_free (&world);
}

/* Measures the cost of a tick and the memory of each contract, with N idle
 * contracts held by an owner and its backup. */
static void
bench_idle (int n)
{
  static world_t world;
  br_contract_request_t request = { .streamed = true };
  br_answer_t answer = { 0 };
  size_t heap_before = mallinfo2 ().uordblks;
  size_t heap_after;
  double cpu_s;

  memset (&world, 0, sizeof world);
  bench_start (&world, &arms[BR_N_ELEMENTS (arms) / 2]);
  for (int i = 1; i <= n; i++)
    {
      br_contract_id_t contract = { .vm = world.vms[0].name,
                                    .incarnation = 1,
                                    .number = (uint64_t)i };

      br_contracts_accept (world.vms[0].contracts, &contract, &request, &answer,
                           world.now);
      world_flush (&world, 0);
      if (i % 100 == 0)
        world_step (&world, false);
    }
  for (int i = 0; i < 20; i++)
    world_step (&world, false);
  heap_after = mallinfo2 ().uordblks;
  cpu_s = cpu_seconds ();
  for (int i = 0; i < IDLE_TICKS; i++)
    for (int vm = 0; vm < world.n_vms; vm++)
      br_contracts_on_tick (world.vms[vm].contracts,
                            world.now + i * WORLD_STEP_MS);
  cpu_s = cpu_seconds () - cpu_s;
  printf ("%8d %14.1f %14.1f %16.0f\n", n, cpu_s * 1e6 / IDLE_TICKS,
          cpu_s * 1e9 / IDLE_TICKS / n, (double)(heap_after - heap_before) / n);
  world_free (&world);
}

int
main (void)
{
  printf ("%d rounds; in each, 5 VMs stream %d answers of %d tokens, 50 a "
          "second each, and one VM is lost\n",
          ROUNDS, WORKS_PER_VM * 5, TOKENS);
  printf ("%-20s %8s %10s %8s %12s %10s %8s\n", "checkpoint", "lost",
          "recomputed", "% of all", "bytes/s a VM", "bytes/token", "us/token");
  for (size_t i = 0; i < BR_N_ELEMENTS (arms); i++)
    bench_arm (&arms[i]);
  printf ("\nwork that is protected and has nothing to do, on its owner and "
          "its partner together\n%8s %14s %14s %16s\n",
          "pieces", "us/tick", "ns/piece/tick", "bytes/piece");
  for (int n = 1000; n <= 16000; n *= 4)
    bench_idle (n);
  return 0;
}
