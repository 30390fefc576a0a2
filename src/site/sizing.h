/* How many upstreams of a service to keep, of which kind and where.  A
 * function of the load, the prices and what is there: no input, no output. */
#ifndef BR_SITE_SIZING_H
#define BR_SITE_SIZING_H

#include "site/configuration.h"

BR_BEGIN_DECLS

/* Failure domains of one service that are considered. */
#define BR_SIZING_DOMAINS_MAX 16

/* What one failure domain has. */
typedef struct
{
  br_name_t failure_domain;
  double price;
  int spot;        /* ready, on reclaimable VMs */
  int on_demand;   /* ready, on other VMs */
  int spot_wanted; /* by the last order; -1: none was given */
  int on_demand_wanted;
  bool spot_refused; /* none are to be had there now */
} br_sizing_domain_t;

typedef struct
{
  const br_scaling_limits_t *limits;
  int needed;     /* upstreams that carry the load with nothing lost, with some
                   * foresight */
  int needed_now; /* that carry the load of this moment */
  br_sizing_domain_t domains[BR_SIZING_DOMAINS_MAX];
  size_t n_domains;
} br_sizing_query_t;

typedef struct
{
  int spot;
  int on_demand;
} br_sizing_target_t;

/* Whether DRAINING of ALL reclaimable VMs of one domain mean that the platform
 * takes them back: it takes all at once, while a release replaces a few at a
 * time. */
bool br_sizing_is_reclaim (size_t draining, size_t all);

/* Fills TARGETS, one for each domain of QUERY. */
void br_sizing_decide (const br_sizing_query_t *query,
                       br_sizing_target_t *targets);

/* What callers bring to a service, and what one upstream can take. */
typedef struct
{
  double prefill_per_s;  /* prompt tokens to be read */
  double in_flight;      /* requests at once, on average */
  double prefill_per_ms; /* that one upstream reads */
  int slots;             /* of one upstream */
} br_sizing_load_t;

/* Upstreams that carry LOAD with the reserve that latency needs; at least
 * 1. */
int br_sizing_needed (const br_sizing_load_t *load);

/* As many upstreams as all failure domains together may have. */
int br_sizing_max (const br_scaling_limits_t *limits);

/* What is taken to be needed before the load is known: as many as there may
 * be, but for the reserve for lost failure domains. */
int br_sizing_initial (const br_scaling_limits_t *limits);

BR_END_DECLS

#endif
