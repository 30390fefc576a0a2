#include "site/sizing.h"

#include <math.h>

/* Maximum utilisation of an upstream's prefill speed.  Above it, prompts wait
 * for each other for longer than the latency objectives allow. */
#define PREFILL_UTILISATION_MAX 0.45

/* Maximum utilisation of an upstream's slots, on average. */
#define SLOTS_UTILISATION_MAX 0.5

/* Failure domains that may lose their reclaimable VMs at about the same time.
 */
#define DOMAINS_LOST 2

double
br_sizing_missing (double limit_per_s, double usual_per_s)
{
  return usual_per_s > limit_per_s ? 1 - limit_per_s / usual_per_s : 0;
}

int
br_sizing_needed (const br_sizing_load_t *load)
{
  double by_prefill = 0;
  double by_slots = 0;

  if (load->prefill_per_ms > 0)
    by_prefill = load->prefill_per_s
                 / (load->prefill_per_ms * 1000 * PREFILL_UTILISATION_MAX);
  if (load->slots > 0)
    by_slots = load->in_flight / (load->slots * SLOTS_UTILISATION_MAX);
  return BR_MAX ((int)ceil (BR_MAX (by_prefill, by_slots) + load->missing), 1);
}

bool
br_sizing_is_reclaim (size_t draining, size_t all)
{
  return draining > 0 && draining * 2 > all;
}

int
br_sizing_max (const br_scaling_limits_t *limits)
{
  return BR_MAX ((int)limits->domains.len * limits->max, 1);
}

int
br_sizing_initial (const br_scaling_limits_t *limits)
{
  int domains = (int)limits->domains.len;
  int kept = domains > DOMAINS_LOST ? domains - DOMAINS_LOST : domains;

  return BR_MAX (kept * limits->max, 1);
}

static int
clamp (int value, int low, int high)
{
  return BR_MIN (BR_MAX (value, low), high);
}

/* Sets the reclaimable VMs of each domain.  When DOMAINS_LOST domains lose
 * theirs, the remaining ones still carry the load. */
static void
decide_spot (const br_sizing_query_t *query, br_sizing_target_t *targets)
{
  int max = query->limits->max;
  int available = 0;
  int per_domain;

  for (size_t i = 0; i < query->n_domains; i++)
    available += query->domains[i].spot_refused ? 0 : 1;
  per_domain = available > DOMAINS_LOST
                   ? (query->needed + available - DOMAINS_LOST - 1)
                         / (available - DOMAINS_LOST)
               : available > 0 ? (query->needed + available - 1) / available
                               : 0;
  for (size_t i = 0; i < query->n_domains; i++)
    targets[i].spot = query->domains[i].spot_refused
                          ? BR_MAX (query->domains[i].spot_desired_count, 0)
                          : clamp (per_domain, query->limits->min, max);
}

/* Returns the reclaimable VMs that count towards the load: all ready ones, or,
 * while a domain has lost its own, those that remain if the two largest other
 * domains lose theirs too, because reclaims come in waves. */
static int
reliable_spot (const br_sizing_query_t *query,
               const br_sizing_target_t *targets)
{
  int largest[DOMAINS_LOST] = { 0 };
  bool reclaiming = false;
  int total = 0;

  for (size_t i = 0; i < query->n_domains; i++)
    {
      int spot = BR_MIN (query->domains[i].spot, targets[i].spot);

      reclaiming = reclaiming || query->domains[i].spot_refused;
      total += spot;
      for (size_t j = 0; j < DOMAINS_LOST; j++)
        if (spot > largest[j])
          {
            int smaller = largest[j];

            largest[j] = spot;
            spot = smaller;
          }
    }
  for (size_t j = 0; reclaiming && j < DOMAINS_LOST; j++)
    total -= largest[j];
  return total;
}

/* Sets the on-demand VMs that carry the load which the reclaimable VMs do not,
 * in the cheapest domains first. */
static void
decide_on_demand (const br_sizing_query_t *query, br_sizing_target_t *targets)
{
  bool done[BR_SIZING_DOMAINS_MAX] = { false };
  int missing = BR_MAX (query->needed - reliable_spot (query, targets), 0);

  for (size_t round = 0; round < query->n_domains; round++)
    {
      size_t best = query->n_domains;
      int free_vms;

      for (size_t i = 0; i < query->n_domains; i++)
        if (!done[i]
            && (best == query->n_domains
                || query->domains[i].price < query->domains[best].price))
          best = i;
      done[best] = true;
      free_vms = query->limits->max - targets[best].spot;
      targets[best].on_demand = clamp (missing, 0, BR_MAX (free_vms, 0));
      missing -= targets[best].on_demand;
    }
}

/* Keeps on-demand VMs that run as long as on-demand VMs are needed, instead of
 * booting replacements in other domains. */
static void
keep_running (const br_sizing_query_t *query, br_sizing_target_t *targets)
{
  int running = 0;
  int missing = 0;

  for (size_t i = 0; i < query->n_domains; i++)
    {
      running += query->domains[i].on_demand;
      missing += targets[i].on_demand;
    }
  if (running == 0 || missing == 0)
    return;
  for (size_t i = 0; i < query->n_domains; i++)
    {
      int kept = BR_MIN (query->domains[i].on_demand, missing);

      targets[i].on_demand = kept;
      missing -= kept;
    }
  for (size_t i = 0; i < query->n_domains && missing > 0; i++)
    {
      int free_vms = BR_MAX (
          query->limits->max - targets[i].spot - targets[i].on_demand, 0);
      int more = BR_MIN (free_vms, missing);

      targets[i].on_demand += more;
      missing -= more;
    }
}

static void
keep_minimum (const br_sizing_query_t *query, br_sizing_target_t *targets)
{
  for (size_t i = 0; i < query->n_domains; i++)
    {
      int spot = BR_MIN (query->domains[i].spot, targets[i].spot);
      int lacking = query->limits->min - spot;

      targets[i].on_demand
          = clamp (BR_MAX (targets[i].on_demand, lacking), 0,
                   BR_MAX (query->limits->max - targets[i].spot, 0));
    }
}

static int
ready_after (const br_sizing_query_t *query, const br_sizing_target_t *targets)
{
  int ready = 0;

  for (size_t i = 0; i < query->n_domains; i++)
    ready += BR_MIN (query->domains[i].spot, targets[i].spot)
             + BR_MIN (query->domains[i].on_demand, targets[i].on_demand);
  return ready;
}

/* Returns the cheapest domain in which on-demand VMs that run would be
 * released, or the number of domains when there is none. */
static size_t
cheapest_released (const br_sizing_query_t *query,
                   const br_sizing_target_t *targets)
{
  size_t found = query->n_domains;

  for (size_t i = 0; i < query->n_domains; i++)
    if (query->domains[i].on_demand > targets[i].on_demand
        && (found == query->n_domains
            || query->domains[i].price < query->domains[found].price))
      found = i;
  return found;
}

/* Keeps on-demand VMs that run until their replacements are ready: ordered VMs
 * take time to boot.  Both kinds share a domain's limit, so this may lower the
 * number of reclaimable VMs ordered there. */
static void
keep_until_replaced (const br_sizing_query_t *query,
                     br_sizing_target_t *targets)
{
  int missing = BR_MIN (query->needed, query->needed_now)
                - ready_after (query, targets);

  while (missing > 0)
    {
      size_t i = cheapest_released (query, targets);
      int kept;

      if (i == query->n_domains)
        return;
      kept = BR_MIN (query->domains[i].on_demand - targets[i].on_demand,
                     missing);
      targets[i].on_demand += kept;
      missing -= kept;
      targets[i].spot = BR_MAX (
          BR_MIN (targets[i].spot, query->limits->max - targets[i].on_demand),
          query->domains[i].spot);
    }
}

void
br_sizing_decide (const br_sizing_query_t *query, br_sizing_target_t *targets)
{
  for (size_t i = 0; i < query->n_domains; i++)
    targets[i] = (br_sizing_target_t){ 0 };
  if (query->limits->spot_price > 0 && query->limits->spot_price < 1)
    decide_spot (query, targets);
  decide_on_demand (query, targets);
  keep_running (query, targets);
  keep_minimum (query, targets);
  keep_until_replaced (query, targets);
}
