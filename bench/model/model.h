/* Discrete-event simulation of a site for the policy bench: engines, plain
 * services, entry VMs and callers on a simulated clock.  The code of src/route,
 * src/organisation and src/upstream makes the decisions; everything else is a
 * simplified model. */
#ifndef BR_BENCH_MODEL_H
#define BR_BENCH_MODEL_H

#include "organisation/admission.h"
#include "route/retry.h"
#include "route/router.h"

#define DOMAINS_MAX 4
#define VMS_MAX 8
#define UPSTREAMS_MAX 24
#define ORGANISATIONS 5

/* No upstream, no failure domain or no time. */
#define MODEL_NONE (-1)

/* Latency target of the services, as the users stated it. */
#define TARGET_FIRST_TOKEN_MS 1100

/* X (id, name) */
#define ARM_TABLE(X)                                                           \
  X (ROUND_ROBIN, "round robin")                                               \
  X (LEAST_IN_FLIGHT, "least in flight")                                       \
  X (PREVIOUS, "near, least in flight")                                        \
  X (TODAY, "today")                                                           \
  X (EXPORT, "today, caches exported")

typedef enum
{
#define X(id, name) ARM_##id,
  ARM_TABLE (X)
#undef X
      ARM_COUNT
} arm_t;

/* X (id, name) */
#define SCENARIO_TABLE(X)                                                      \
  X (STEADY, "steady")                                                         \
  X (SURGE, "surge")                                                           \
  X (RECLAIM, "reclaim wave")                                                  \
  X (CUT, "domain cut off")                                                    \
  X (SILENT, "silent connections")                                             \
  X (CRASH, "crashing request")                                                \
  X (LAG, "reports 2 s late")

typedef enum
{
#define X(id, name) SCENARIO_##id,
  SCENARIO_TABLE (X)
#undef X
      SCENARIO_COUNT
} scenario_t;

/* Size and load of a user's site. */
typedef struct
{
  const char *name;
  const char *domains[DOMAINS_MAX];
  int n_vms;
  int n_engines;
  int n_services;
  br_ms_t link_ms; /* one-way delay between failure domains */
  double requests_per_s;
  int prompt_tokens; /* mean */
  int answer_tokens; /* mean */
} site_options_t;

extern const site_options_t site_options[];
extern const size_t n_site_options;

typedef struct
{
  const site_options_t *site;
  arm_t arm;
  scenario_t scenario;
  uint64_t seed;
} run_options_t;

/* Counts and times of one run. */
typedef struct
{
  int requests; /* resubmissions and retries not counted */
  int answered;
  int within_target; /* first token in time, counted from first submission */
  int refused;       /* refusals; one request may be refused several times */
  int lost;          /* accepted, but without a complete answer at the end */
  int unknown;    /* calls that must not be repeated, cut off while they ran */
  int duplicated; /* such calls that ran more than once */
  uint64_t recomputed_tokens;
  uint64_t prefilled_tokens;
  double cost; /* cost units of all VMs of the upstreams */
  int org_requests[ORGANISATIONS];
  int org_within_target[ORGANISATIONS];
  br_ms_t *first_token_ms; /* of each answered request, sorted; owned */
  int n_first_tokens;
} run_result_t;

run_result_t model_run (const run_options_t *options);
void run_result_release (run_result_t *result);

/* Returns the PERCENT-th percentile of the times to the first token, or
 * MODEL_NONE if no request was answered. */
br_ms_t run_result_percentile (const run_result_t *result, int percent);
const char *arm_name (arm_t arm);
const char *scenario_name (scenario_t scenario);

#endif
