/* A small model of a site for the policy bench: engines, plain services, entry
 * VMs and callers on a chosen clock.  The decisions are those of src/route and
 * src/organisation; everything else is as simple as it can be. */
#ifndef BR_BENCH_MODEL_H
#define BR_BENCH_MODEL_H

#include "organisation/admission.h"
#include "route/retry.h"
#include "route/router.h"

#define DOMAINS_MAX 4
#define VMS_MAX 8
#define UPSTREAMS_MAX 24
#define ORGANISATIONS 5
#define MODEL_NEVER (-1)

/* Latency target of the services, as the users state it. */
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

/* A user's site. */
typedef struct
{
  const char *name;
  const char *domains[DOMAINS_MAX];
  int n_vms;
  int n_engines;
  int n_services;
  br_ms_t link_ms; /* one way between failure domains */
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

/* What came of a run. */
typedef struct
{
  int asked; /* requests, each counted once */
  int answered;
  int within;  /* first token within the target of the first ask */
  int refused; /* refusals; one request may have several */
  int lost;    /* accepted and without a whole answer at the end */
  int unknown; /* calls that may not be repeated, cut off while they ran */
  int doubled; /* such calls that ran twice */
  uint64_t recomputed_tokens;
  uint64_t prefilled_tokens;
  double cost; /* units for all VMs of the upstreams */
  int org_asked[ORGANISATIONS];
  int org_within[ORGANISATIONS];
  br_ms_t *first_token_ms; /* of each answered request, sorted; owned */
  int n_first_tokens;
} run_result_t;

run_result_t model_run (const run_options_t *options);
void run_result_release (run_result_t *result);

/* Returns the value below which PERCENT of the first tokens came. */
br_ms_t run_result_percentile (const run_result_t *result, int percent);
const char *arm_name (arm_t arm);
const char *scenario_name (scenario_t scenario);

#endif
