/* Measures the time of a routing decision among 3,300 upstreams and the growth
 * of the heap over all decisions.  Prints one JSON object for each layout. */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "route/router.h"

#define UPSTREAMS 3300
#define DOMAINS 16
#define DECISIONS 200000
#define PROMPTS 512
#define PROMPT_BLOCKS 32
#define SHARED_BLOCKS 16
#define NS_PER_S 1000000000LL
#define US_PER_NS 0.001

static int64_t
now_ns (void)
{
  struct timespec at;

  clock_gettime (CLOCK_MONOTONIC, &at);
  return at.tv_sec * NS_PER_S + at.tv_nsec;
}

static int
compare_ns (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

static br_router_t *
router_new (int n_domains)
{
  br_router_options_t options = { .failure_domain = br_name_from ("d0") };
  br_router_t *router = br_router_new (&options);
  br_registry_t registry = { 0 };
  br_catalog_t catalog = { 0 };
  br_error_t err;

  br_catalog_add (&catalog,
                  br_str_from ("{\"kind\":\"service\",\"name\":\"lm\","
                               "\"selector\":\"model=lm\"}"),
                  &err);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      br_upstream_t upstream = { .incarnation = 1 };
      char name[32];

      snprintf (name, sizeof name, "u%d", i);
      upstream.name = br_name_from (name);
      snprintf (name, sizeof name, "d%d", i % n_domains);
      upstream.failure_domain = br_name_from (name);
      upstream.load = (br_load_t){
        .known = true,
        .running = (uint32_t)(i % 12),
        .slots = 16,
        .prefill_per_s = 4000,
      };
      br_labels_set (&upstream.labels, br_str_from ("model"),
                     br_str_from ("lm"));
      br_upstreams_push (&registry.upstreams, upstream);
    }
  br_router_build (router, &catalog, &registry);
  br_registry_release (&registry);
  br_catalog_release (&catalog);
  return router;
}

/* Returns prompts whose first half is shared with other prompts. */
static br_prefix_t *
prompts_new (void)
{
  br_prefix_t *prompts = br_alloc (PROMPTS * sizeof *prompts);
  size_t len = (size_t)PROMPT_BLOCKS * BR_PREFIX_BLOCK_BYTES;
  char *text = br_alloc_zero (len);

  for (int i = 0; i < PROMPTS; i++)
    {
      for (size_t j = 0; j < len; j++)
        text[j]
            = (char)(j < (size_t)SHARED_BLOCKS * BR_PREFIX_BLOCK_BYTES ? i % 16
                                                                       : i);
      br_prefix_set (&prompts[i], br_str_make (text, len), 0);
    }
  free (text);
  return prompts;
}

static void
bench_layout (const char *name, int n_domains)
{
  br_router_t *router = router_new (n_domains);
  br_prefix_t *prompts = prompts_new ();
  int64_t *ns = br_alloc (DECISIONS * sizeof *ns);
  size_t heap_before = mallinfo2 ().uordblks;
  size_t heap_after;
  int64_t sum = 0;

  for (int i = 0; i < DECISIONS; i++)
    {
      const br_prefix_t *prefix = &prompts[i * 7 % PROMPTS];
      br_route_query_t query
          = { .service = br_str_from ("lm"), .prefix = prefix };
      int64_t start = now_ns ();
      br_route_t route = br_router_choose (router, &query);

      br_router_sent (router, &route, prefix, i);
      ns[i] = now_ns () - start;
      sum += ns[i];
      br_router_first_token (router, route.upstream, route.uncached);
      br_router_ended (router, route.upstream, 100, true, i);
    }
  heap_after = mallinfo2 ().uordblks;
  qsort (ns, DECISIONS, sizeof *ns, compare_ns);
  printf ("{\"bench\":\"decision\",\"layout\":\"%s\",\"upstreams\":%d,"
          "\"decisions\":%d,\"median_us\":%.2f,\"p99_us\":%.2f,"
          "\"mean_us\":%.2f,\"allocated_bytes\":%zd}\n",
          name, UPSTREAMS, DECISIONS, (double)ns[DECISIONS / 2] * US_PER_NS,
          (double)ns[DECISIONS / 100 * 99] * US_PER_NS,
          (double)sum / DECISIONS * US_PER_NS,
          (ssize_t)(heap_after - heap_before));
  free (ns);
  free (prompts);
  br_router_free (router);
}

int
main (void)
{
  bench_layout ("16 failure domains", DOMAINS);
  bench_layout ("one failure domain", 1);
  return 0;
}
