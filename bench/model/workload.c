/* Generates the requests of a run: Poisson arrivals, shared prompt templates,
 * exponential lengths. */
#include <math.h>

#include "world.h"

#define MS_PER_S 1000.0
#define TEMPLATES 6
#define TEMPLATE_BLOCKS_MIN 8
#define PLAIN_SHARE 0.15
#define SURGE_FROM_MS 15000
#define SURGE_TO_MS 40000
#define SURGE_FACTOR 6.0
#define CRASH_AT_MS 15000
#define CRASH_EVERY_MS 4000
#define CRASH_RESENDS 6

/* Shares of the requests: two organisations are large. */
static const double organisation_share[ORGANISATIONS]
    = { 0.45, 0.30, 0.12, 0.08, 0.05 };

/* Returns the extra rate in a surge, relative to the normal rate.  All of it
 * comes from organisation 0. */
static double
surge_rate (const world_t *world)
{
  if (world->options.scenario != SCENARIO_SURGE || world->now < SURGE_FROM_MS
      || world->now >= SURGE_TO_MS)
    return 0;
  return organisation_share[0] * (SURGE_FACTOR - 1);
}

static int
pick_organisation (world_t *world)
{
  double unit = br_random_unit (&world->random) * (1 + surge_rate (world));

  for (int i = 0; i < ORGANISATIONS; i++)
    {
      if (unit < organisation_share[i])
        return i;
      unit -= organisation_share[i];
    }
  return 0;
}

static double
pick_exponential (world_t *world, double mean)
{
  return -mean * log (1 - br_random_unit (&world->random));
}

static uint64_t
hash_combine (uint64_t hash, uint64_t value)
{
  return br_str_hash (br_str_make ((const char *)&value, sizeof value), hash);
}

/* Sets a prompt of a template, which its organisation shares, and own text. */
static void
request_set_prompt (world_t *world, request_t *request)
{
  int mean = world->options.site->prompt_tokens;
  double unit = br_random_unit (&world->random);
  uint64_t template = (uint64_t)(unit * unit * TEMPLATES);
  uint64_t hash = hash_combine ((uint64_t)request->organisation, template);
  size_t shared = TEMPLATE_BLOCKS_MIN
                  + (size_t)(hash % (uint64_t)(mean / BR_PREFIX_BLOCK_TOKENS));
  size_t unshared = 1
                    + (size_t)(pick_exponential (world, mean / 4.0)
                               / BR_PREFIX_BLOCK_TOKENS);
  br_prefix_t *prefix = &request->prefix;

  prefix->n_blocks = BR_MIN (shared + unshared, BR_PREFIX_BLOCKS_MAX);
  prefix->tokens = prefix->n_blocks * BR_PREFIX_BLOCK_TOKENS + 1;
  for (size_t i = 0; i < prefix->n_blocks; i++)
    {
      hash = hash_combine (
          hash, i < shared ? i : ((uint64_t)request->number << 16) + i);
      prefix->hashes[i] = hash;
    }
}

static void
request_make (world_t *world, request_t *request, int number)
{
  *request = (request_t){ .number = number,
                          .submitted_ms = world->now,
                          .first_token_ms = MODEL_NONE,
                          .engine_first_token_ms = MODEL_NONE };
  request->organisation = pick_organisation (world);
  request->plain = br_random_unit (&world->random) < PLAIN_SHARE;
  request->answer_tokens = 1
                           + (uint32_t)pick_exponential (
                               world, world->options.site->answer_tokens);
  request->max_tokens = (uint32_t)(request->answer_tokens
                                   * (1
                                      + (MAX_TOKENS_FACTOR - 1)
                                            * br_random_unit (&world->random)));
  request_set_prompt (world, request);
  request->vm = (int)br_random_below (&world->random,
                                      (uint64_t)world->options.site->n_vms);
}

static void
world_add_request (world_t *world)
{
  if (world->n_requests % 1024 == 0)
    world->requests
        = br_realloc (world->requests, (size_t)(world->n_requests + 1024)
                                           * sizeof *world->requests);
  request_make (world, &world->requests[world->n_requests], world->n_requests);
  world->n_requests++;
}

static void
world_make_crashing (world_t *world)
{
  for (int i = 0; i < CRASH_RESENDS; i++)
    {
      request_t *request;

      world->now = CRASH_AT_MS + (br_ms_t)i * CRASH_EVERY_MS;
      world_add_request (world);
      request = &world->requests[world->n_requests - 1];
      request->crashes_engine = true;
      request->plain = false;
      request->organisation = ORGANISATIONS - 1;
    }
}

void
world_make_requests (world_t *world)
{
  double per_ms = world->options.site->requests_per_s / MS_PER_S;
  double at = 0;

  for (;;)
    {
      at += pick_exponential (world, 1 / (per_ms * (1 + surge_rate (world))));
      if (at >= RUN_MS)
        break;
      world->now = (br_ms_t)at;
      world_add_request (world);
    }
  if (world->options.scenario == SCENARIO_CRASH)
    world_make_crashing (world);
  world->now = 0;
  for (int i = 0; i < world->n_requests; i++)
    world_schedule (world, world->requests[i].submitted_ms + CALLER_LINK_MS,
                    EVENT_ARRIVE)
        ->request
        = &world->requests[i];
}
