/* What custody of accepted work costs and saves: entry VMs on a chosen clock
 * stream answers, one VM is lost at a time, and its work goes on elsewhere.
 * One line for each checkpoint interval; the same losses for all of them.
 * Times of the machine are in the last two columns only. */
#include <malloc.h>
#include <time.h>

#include "../tests/support/contract_world.h"
#include "base/random.h"

#define ROUNDS 40
#define WORKS_PER_VM 20
#define TOKENS 400
#define PROMPT_BYTES 2000
#define IDLE_TICKS 200

/* Nothing, a backup without parts, or parts every so often. */
typedef struct
{
  const char *name;
  uint32_t backups;
  size_t parts;
  br_ms_t ms;
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
  uint64_t needed;
  uint64_t lost; /* pieces of work that their callers had to send again */
  uint64_t numbers;
  br_ms_t busy_ms;
} bench_t;

static double
bench_seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
bench_accept (world_t *world, bench_t *bench, int vm)
{
  world_accept (world, vm, ++bench->numbers);
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
  world->options.checkpoint_parts = arm->parts;
  world->options.checkpoint_ms = arm->ms;
  for (int i = 0; i < world->n_vms; i++)
    {
      world->vms[i].name = br_name_from (names[i]);
      world->vms[i].domain
          = br_name_from (i % 2 == 0 ? "castillos" : "lascano");
    }
  for (int i = 0; i < world->n_vms; i++)
    world_start (world, i);
}

/* Unfinished work on all VMs. */
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
bench_forget (world_t *world)
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

/* One VM is lost AFTER_STEPS into its streams, and all work is finished.
 * Work that nobody holds is sent again by its caller. */
static void
bench_round (world_t *world, bench_t *bench, int vm, int after_steps)
{
  int others;
  br_ms_t from = world->now;

  for (int i = 0; i < WORKS_PER_VM; i++)
    for (int each = 0; each < world->n_vms; each++)
      bench_accept (world, bench, each);
  bench->needed += (uint64_t)WORKS_PER_VM * (uint64_t)world->n_vms * TOKENS;
  for (int step = 0; step < after_steps; step++)
    world_step (world, step > 1);
  others = bench_running (world);
  world_crash (world, vm);
  for (int step = 0; step < 40; step++)
    world_step (world, true);
  others -= bench_running (world);
  for (int i = 0; i < others; i++)
    {
      bench->lost++;
      bench_accept (world, bench, (vm + 1) % world->n_vms);
    }
  while (bench_running (world) > 0)
    world_step (world, true);
  bench->busy_ms += world->now - from;
  bench_forget (world);
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
  double cpu = bench_seconds ();
  uint64_t again;

  memset (&world, 0, sizeof world);
  br_random_seed (&random, 1);
  bench_start (&world, arm);
  for (int round = 0; round < ROUNDS; round++)
    bench_round (&world, &bench, round % world.n_vms,
                 20 + (int)br_random_below (&random, TOKENS - 100));
  cpu = bench_seconds () - cpu;
  again = world.generated - bench.needed;
  printf ("%-20s %8" PRIu64 " %10" PRIu64 " %8.3f %12.0f %10.1f %8.2f\n",
          arm->name, bench.lost, again,
          100.0 * (double)again / (double)bench.needed,
          (double)world.bytes * 1000 / (double)bench.busy_ms / world.n_vms,
          (double)world.bytes / (double)world.generated,
          cpu * 1e6 / (double)world.generated);
  world_free (&world);
}

/* Owner and backup with N protected pieces of work that have nothing to do:
 * the cost of a tick and the memory of a piece. */
static void
bench_idle (int n)
{
  static world_t world;
  br_contract_request_t request = { .streamed = true };
  br_answer_t answer = { 0 };
  size_t before = mallinfo2 ().uordblks;
  size_t after;
  double cpu;

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
  after = mallinfo2 ().uordblks;
  cpu = bench_seconds ();
  for (int i = 0; i < IDLE_TICKS; i++)
    for (int vm = 0; vm < world.n_vms; vm++)
      br_contracts_on_tick (world.vms[vm].contracts,
                            world.now + i * WORLD_STEP_MS);
  cpu = bench_seconds () - cpu;
  printf ("%8d %14.1f %14.1f %16.0f\n", n, cpu * 1e6 / IDLE_TICKS,
          cpu * 1e9 / IDLE_TICKS / n, (double)(after - before) / n);
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
