/* The parts of the model; only bench/model uses it. */
#ifndef BR_BENCH_WORLD_H
#define BR_BENCH_WORLD_H

#include <uthash.h>

#include "base/random.h"
#include "model.h"
#include "route/drain.h"
#include "upstream/quarantine.h"

#define RUN_MS 60000
#define CLIENT_MS 3
#define REPORT_EVERY_MS 250
#define REPORT_LAG_MS 300
#define REPORT_LATE_MS 2000
#define TICK_MS 100
#define CONNECT_MS 1000
#define TOKEN_GAP_MS 2000
#define FIRST_TOKEN_BOUND_MS 10000
#define DOWN_AFTER_MS 2500
#define NOTICE_HEARD_MS 300
#define NOTICE_MS 5000
#define PATIENCE_MS 30000
#define ENGINE_TOKEN_MS 28

/* Callers allow up to this many times the tokens that their answers have. */
#define MAX_TOKENS_FACTOR 1.5

/* Cache that an engine sends out, in tokens: about 128 KB each over 10 Gbit/s
 * that it shares with its answers. */
#define EXPORT_PER_S 7000
#define ASKS_MAX 6

typedef enum
{
  REQUEST_OUTSIDE, /* not accepted, or refused */
  REQUEST_QUEUED,
  REQUEST_RUNNING,
  REQUEST_WAITING, /* for its next attempt */
  REQUEST_ANSWERED,
  REQUEST_UNKNOWN,
  REQUEST_GONE, /* the caller gave up after refusals */
} request_state_t;

typedef struct
{
  int number;
  int organisation;
  bool plain; /* a call that may not be repeated */
  bool crash; /* ends every engine that runs it */
  br_prefix_t prefix;
  uint32_t answer_tokens;
  uint32_t max_tokens; /* what the caller says that the answer may have */
  uint64_t computed;   /* tokens that some engine has read or made */
  bool imported;       /* the next engine gets its cache */
  br_ms_t asked_ms;
  br_ms_t first_token_ms;
  request_state_t state;
  bool accepted;
  int vm;
  int asks;
  uint32_t attempts;
  uint64_t attempt; /* number of the one that runs */
  int upstream;
  br_route_t route;
  br_ms_t sent_ms;
  uint32_t generated;  /* tokens that were delivered before this attempt */
  br_ms_t token_at_ms; /* first token of this attempt, or MODEL_NEVER */
  bool prefilled;      /* the router was told of the first token */
  bool silent;         /* nothing of this attempt is heard any more */
  br_ms_t silent_ms;   /* since when */
  int runs;            /* times that a plain service did it */
  uint64_t ticket;
  br_names_t tried;
} request_t;

typedef struct
{
  uint64_t hash;
  UT_hash_handle hh;
} block_t;

typedef struct
{
  br_name_t name;
  int domain;
  bool plain;
  bool reclaimable;
  bool up;
  uint64_t incarnation;
  int slots;
  int prefill_per_s;
  int token_ms;
  double price; /* cost units for an hour */
  br_ms_t up_since_ms;
  double up_ms;
  br_ms_t prefill_free_ms;
  br_ms_t export_free_ms;
  br_ms_t leave_by_ms; /* MODEL_NEVER: stays */
  block_t *cache;      /* the least recently used first */
  request_t *running[64];
  uint64_t running_attempt[64];
  int n_running;
  request_t *waiting[4096];
  uint64_t waiting_attempt[4096];
  int n_waiting;
} upstream_t;

typedef struct
{
  br_name_t name;
  int domain;
  int in_flight[UPSTREAMS_MAX];
  bool eligible[UPSTREAMS_MAX];
  uint64_t incarnation[UPSTREAMS_MAX];
  uint64_t leaving[UPSTREAMS_MAX]; /* the incarnation that leaves */
  br_ms_t last_seen_ms[UPSTREAMS_MAX];
  int turn;
  br_router_t *router;
  uint32_t numbers[UPSTREAMS_MAX]; /* of the upstreams in ROUTER */
  br_registry_t registry;
  br_admission_t *admission;
  br_retry_budget_t budget;
  br_quarantine_t quarantine;
} vm_t;

/* X (id): what happens at a time. */
#define EVENT_TABLE(X)                                                         \
  X (ARRIVE)                                                                   \
  X (REACH)                                                                    \
  X (PREFILLED)                                                                \
  X (FIRST)                                                                    \
  X (FINISH)                                                                   \
  X (ANSWER)                                                                   \
  X (FAILED)                                                                   \
  X (RETRY)                                                                    \
  X (REPORT)                                                                   \
  X (REPORT_IN)                                                                \
  X (TICK)                                                                     \
  X (NOTICE)                                                                   \
  X (NOTICE_IN)                                                                \
  X (KILL)                                                                     \
  X (START)                                                                    \
  X (EXPORT)                                                                   \
  X (EXPORTED)                                                                 \
  X (FAULT)

typedef enum
{
#define X(id) EVENT_##id,
  EVENT_TABLE (X)
#undef X
} event_kind_t;

typedef struct
{
  br_ms_t at_ms;
  uint64_t order;
  event_kind_t kind;
  request_t *request;
  uint64_t attempt;
  int upstream;
  int vm;
  bool ran; /* of FAILED: may have run */
  uint64_t incarnation;
  br_load_t load;
} event_t;

typedef struct
{
  run_options_t options;
  br_random_t random;
  br_ms_t now;
  event_t *heap;
  size_t n_heap;
  size_t heap_cap;
  uint64_t order;
  uint64_t last_attempt;
  uint64_t last_ticket;
  upstream_t *upstreams;
  int n_upstreams;
  vm_t vms[VMS_MAX];
  request_t *requests;
  int n_requests;
  int cut_domain;      /* or MODEL_NEVER */
  request_t **tickets; /* by ticket number */
  size_t tickets_cap;
  br_catalog_t catalog;
  run_result_t result;
} world_t;

/* events.c */
event_t *world_at (world_t *world, br_ms_t delay_ms, event_kind_t kind);
bool world_next (world_t *world, event_t *event);

/* workload.c */
void world_make_requests (world_t *world);

/* upstream.c */
void upstream_reach (world_t *world,
                     upstream_t *upstream,
                     request_t *request,
                     uint64_t attempt);
void upstream_prefilled (world_t *world,
                         upstream_t *upstream,
                         request_t *request,
                         uint64_t attempt);
void upstream_finish (world_t *world,
                      upstream_t *upstream,
                      request_t *request,
                      uint64_t attempt);
void upstream_cancel (world_t *world,
                      upstream_t *upstream,
                      const request_t *request,
                      uint64_t attempt);
void upstream_kill (world_t *world, upstream_t *upstream);
br_load_t upstream_load (const upstream_t *upstream, br_ms_t now);
uint32_t request_generated (const world_t *world, const request_t *request);
void upstream_forget_cache (upstream_t *upstream);

/* entry.c */
void vm_start (world_t *world, vm_t *vm);
void vm_release (vm_t *vm);
void vm_arrive (world_t *world, vm_t *vm, request_t *request);
void vm_first (world_t *world, request_t *request, uint64_t attempt);
void vm_answer (world_t *world, request_t *request, uint64_t attempt);
void vm_failed (world_t *world, request_t *request, uint64_t attempt, bool ran);
void vm_retry (world_t *world, request_t *request);
void vm_report (world_t *world, vm_t *vm, const event_t *report);
void vm_tick (world_t *world, vm_t *vm);
void vm_notice (world_t *world, vm_t *vm, int upstream);
/* Ends the attempt to go on elsewhere. */
void vm_move (world_t *world, vm_t *vm, request_t *request);

/* drain.c */
void vm_plan_drain (world_t *world, vm_t *vm, int upstream, br_ms_t left_ms);
void vm_export (world_t *world, request_t *request, uint64_t attempt);
void vm_exported (world_t *world, request_t *request, uint64_t attempt);

/* quarantine.c */
void vm_note_crash (world_t *world, const vm_t *vm, const request_t *request);
bool vm_quarantines (world_t *world, vm_t *vm, const request_t *request);
void
vm_note_start (vm_t *vm, const request_t *request, const br_name_t *upstream);
void vm_note_end (vm_t *vm, const request_t *request, bool answered);
void vm_avoid (const world_t *world,
               const vm_t *vm,
               const request_t *request,
               br_names_t *names);

/* arms.c */
int arm_choose (world_t *world, vm_t *vm, request_t *request);
bool
request_tried (const world_t *world, const request_t *request, int upstream);

/* faults.c */
void world_plan_faults (world_t *world);
void world_fault (world_t *world, const event_t *event);
void attempt_silence (world_t *world, request_t *request);
bool world_reaches (const world_t *world, int domain_a, int domain_b);
br_ms_t world_link_ms (const world_t *world, int domain_a, int domain_b);

#endif
