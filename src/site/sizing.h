/* Decides how many upstreams of a service to run, of which kind and in which
 * failure domain, from the load, the prices and the upstreams that run.  Does
 * no input or output and keeps no state. */
#ifndef BR_SITE_SIZING_H
#define BR_SITE_SIZING_H

#include "site/configuration.h"

BR_BEGIN_DECLS

/* Failure domains of one service that are considered. */
#define BR_SIZING_DOMAINS_MAX 16

/* The upstreams of the service in one failure domain. */
typedef struct
{
  br_name_t failure_domain;
  double price;
  int spot;               /* ready, on reclaimable VMs */
  int on_demand;          /* ready, on other VMs */
  int spot_desired_count; /* by the last order; -1: no order yet */
  int on_demand_desired_count;
  bool spot_refused; /* no reclaimable VMs are available there now */
} br_sizing_domain_t;

typedef struct
{
  const br_scaling_limits_t *limits;
  int needed;     /* upstreams for the load expected soon, without losses */
  int needed_now; /* upstreams for the current load */
  br_sizing_domain_t domains[BR_SIZING_DOMAINS_MAX];
  size_t n_domains;
} br_sizing_query_t;

typedef struct
{
  int spot;
  int on_demand;
} br_sizing_target_t;

/* Returns whether DRAINING of ALL reclaimable VMs of one failure domain mean
 * that the platform reclaims them.  A reclaim takes all of them at once; a
 * rolling release replaces only a few at a time. */
bool br_sizing_is_reclaim (size_t draining, size_t all);

/* Sets TARGETS, one for each domain of QUERY. */
void br_sizing_decide (const br_sizing_query_t *query,
                       br_sizing_target_t *targets);

/* The load on a service and the capacity of one upstream. */
typedef struct
{
  double prefill_per_s;  /* prompt tokens to read */
  double in_flight;      /* requests at once, on average */
  double prefill_per_ms; /* prompt tokens that one upstream reads */
  int slots;             /* of one upstream */
  double missing;        /* upstreams whose capacity limits take away */
} br_sizing_load_t;

/* Returns which part of an upstream's capacity its limit takes away, from 0 to
 * 1, if an upstream of the service usually gets USUAL_PER_S requests a
 * second. */
double br_sizing_missing (double limit_per_s, double usual_per_s);

/* Returns the number of upstreams that carry LOAD within the latency
 * objectives; at least 1. */
int br_sizing_needed (const br_sizing_load_t *load);

/* Returns the largest number of upstreams over all failure domains. */
int br_sizing_max (const br_scaling_limits_t *limits);

/* Returns the number of upstreams needed while the load is not known: the
 * largest number, without those of the failure domains that may be lost. */
int br_sizing_initial (const br_scaling_limits_t *limits);

BR_END_DECLS

#endif
