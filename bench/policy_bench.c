/* Runs every scenario of both users' sites with every arm on the same seeds,
 * prints a table, and writes the figures as JSON.  See docs/BENCH.md. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model/model.h"

typedef struct
{
  int seeds;
  const char *json;
} bench_options_t;

/* Result of a site, scenario and arm over all seeds: counts and cost are sums,
 * percentiles are means. */
typedef struct
{
  run_result_t sum;
  double p50;
  double p95;
  double p99;
  double small_min_percent; /* least share within the target of a small
                               organisation */
} cell_t;

static double
percent_of (int part, int whole)
{
  return whole > 0 ? 100.0 * part / whole : 100;
}

static void
cell_add (cell_t *cell, const run_result_t *run)
{
  run_result_t *sum = &cell->sum;

  sum->requests += run->requests;
  sum->answered += run->answered;
  sum->within_target += run->within_target;
  sum->refused += run->refused;
  sum->lost += run->lost;
  sum->unknown += run->unknown;
  sum->duplicated += run->duplicated;
  sum->recomputed_tokens += run->recomputed_tokens;
  sum->prefilled_tokens += run->prefilled_tokens;
  sum->cost += run->cost;
  for (int i = 0; i < ORGANISATIONS; i++)
    {
      sum->org_requests[i] += run->org_requests[i];
      sum->org_within_target[i] += run->org_within_target[i];
    }
  cell->p50 += (double)run_result_percentile (run, 50);
  cell->p95 += (double)run_result_percentile (run, 95);
  cell->p99 += (double)run_result_percentile (run, 99);
}

static cell_t
cell_run (const site_options_t *site, scenario_t scenario, arm_t arm, int seeds)
{
  cell_t cell = { 0 };

  for (int seed = 1; seed <= seeds; seed++)
    {
      run_options_t options = { site, arm, scenario, (uint64_t)seed };
      run_result_t run = model_run (&options);

      cell_add (&cell, &run);
      run_result_release (&run);
    }
  cell.p50 /= seeds;
  cell.p95 /= seeds;
  cell.p99 /= seeds;
  cell.small_min_percent = 100;
  for (int i = 2; i < ORGANISATIONS; i++)
    cell.small_min_percent = BR_MIN (
        cell.small_min_percent,
        percent_of (cell.sum.org_within_target[i], cell.sum.org_requests[i]));
  return cell;
}

static void
cell_print (const cell_t *cell, arm_t arm)
{
  const run_result_t *sum = &cell->sum;

  printf ("  %-22s %9.4f %7.2f %7.2f %8.0f %8.0f %8.0f %10llu %9llu %7d %5d "
          "%5d %5d\n",
          arm_name (arm), 1000 * sum->cost / BR_MAX (sum->within_target, 1),
          percent_of (sum->within_target, sum->requests),
          cell->small_min_percent, cell->p50, cell->p95, cell->p99,
          (unsigned long long)sum->recomputed_tokens,
          (unsigned long long)sum->prefilled_tokens / 1000, sum->refused,
          sum->lost, sum->unknown, sum->duplicated);
}

static void
cell_write (FILE *out,
            const cell_t *cell,
            const site_options_t *site,
            scenario_t scenario,
            arm_t arm)
{
  const run_result_t *sum = &cell->sum;

  fprintf (out,
           "{\"site\":\"%s\",\"scenario\":\"%s\",\"arm\":\"%s\","
           "\"cost_per_1000_within\":%.4f,\"within_percent\":%.2f,"
           "\"small_within_percent\":%.2f,\"first_token_ms\":{\"p50\":%.0f,"
           "\"p95\":%.0f,\"p99\":%.0f},\"recomputed_tokens\":%llu,"
           "\"prefilled_tokens\":%llu,\"asked\":%d,\"answered\":%d,"
           "\"refused\":%d,\"lost\":%d,\"unknown\":%d,\"doubled\":%d}",
           site->name, scenario_name (scenario), arm_name (arm),
           1000 * sum->cost / BR_MAX (sum->within_target, 1),
           percent_of (sum->within_target, sum->requests),
           cell->small_min_percent, cell->p50, cell->p95, cell->p99,
           (unsigned long long)sum->recomputed_tokens,
           (unsigned long long)sum->prefilled_tokens, sum->requests,
           sum->answered, sum->refused, sum->lost, sum->unknown,
           sum->duplicated);
}

static void
bench_site (const site_options_t *site,
            const bench_options_t *options,
            FILE *json,
            bool *first)
{
  for (int scenario = 0; scenario < SCENARIO_COUNT; scenario++)
    {
      printf ("%s, %s\n  %-22s %9s %7s %7s %8s %8s %8s %10s %9s %7s %5s %5s "
              "%5s\n",
              site->name, scenario_name ((scenario_t)scenario), "arm",
              "cost/1000", "within%", "small%", "p50 ms", "p95 ms", "p99 ms",
              "recomputed", "kprefill", "refused", "lost", "unkn", "twice");
      for (int arm = 0; arm < ARM_COUNT; arm++)
        {
          cell_t cell = cell_run (site, (scenario_t)scenario, (arm_t)arm,
                                  options->seeds);

          cell_print (&cell, (arm_t)arm);
          if (json == NULL)
            continue;
          fputs (*first ? "[\n" : ",\n", json);
          cell_write (json, &cell, site, (scenario_t)scenario, (arm_t)arm);
          *first = false;
        }
    }
}

static const struct argp_option bench_argp_options[] = {
  { "seeds", 's', "N", 0, "Runs for each cell, seeds 1 to N (5)", 0 },
  { "json", 'j', "FILE", 0, "File to write the figures to", 0 },
  { 0 },
};

static error_t
bench_parse (int key, char *arg, struct argp_state *state)
{
  bench_options_t *options = state->input;

  switch (key)
    {
    case 's':
      options->seeds = atoi (arg);
      return options->seeds > 0 ? 0 : EINVAL;
    case 'j':
      options->json = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = bench_argp_options, .parser = bench_parse };
  bench_options_t options = { .seeds = 5 };
  FILE *json = NULL;
  bool first = true;

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  if (options.json != NULL)
    {
      json = fopen (options.json, "w");
      if (json == NULL)
        {
          perror (options.json);
          return 1;
        }
    }
  for (size_t i = 0; i < n_site_options; i++)
    bench_site (&site_options[i], &options, json, &first);
  if (json != NULL)
    {
      fputs ("\n]\n", json);
      fclose (json);
    }
  return 0;
}
