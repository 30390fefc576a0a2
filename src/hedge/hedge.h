/* Decides whether a second copy of a slow request is sent to another upstream,
 * and counts the copies.  Does no input or output.  The load that it answers:
 * most requests are fast, and a few in a hundred are slow because of their
 * upstream, not because of the service. */
#ifndef BR_HEDGE_HEDGE_H
#define BR_HEDGE_HEDGE_H

#include "site/configuration.h"
#include "site/fleet.h"

BR_BEGIN_DECLS

/* Share of a service's upstreams that may be full while copies are sent.
 * Usually up to 15 in 100 are slow at once, and those fill first; more means
 * that the service itself has too little room. */
#define BR_HEDGE_FULL_SHARE_MAX 0.15

typedef struct
{
  br_route_kind_t kind;
  bool resumable;       /* the route lets a stream go on elsewhere */
  bool begun;           /* an event came, or the request takes up a stream */
  bool rollout_running; /* of the service */
  bool relayed;         /* between entry VMs, in either direction */
  bool suspect; /* the quarantine tracks the request, or it is a trial */
  bool moving;  /* the run moves, or goes on, between engines */
  int ran;      /* earlier attempts that may have run */
  int max_attempts;
} br_hedge_query_t;

/* X (id, name) */
#define BR_HEDGE_VERDICT_TABLE(X)                                              \
  X (ALLOWED, "allowed")                                                       \
  X (RUNS_ONCE, "the route runs a request once")                               \
  X (BEGUN, "the stream has begun")                                            \
  X (ROLLOUT, "a rollout of the service runs")                                 \
  X (RELAYED, "relayed")                                                       \
  X (SUSPECT, "suspect")                                                       \
  X (MOVING, "the run moves")                                                  \
  X (ATTEMPTS, "no attempt is left")

typedef enum
{
#define X(id, name) BR_HEDGE_##id,
  BR_HEDGE_VERDICT_TABLE (X)
#undef X
} br_hedge_verdict_t;

/* Returns whether the request may be copied, as far as it decides that. */
br_hedge_verdict_t br_hedge_decide (const br_hedge_query_t *query);
const char *br_hedge_verdict_name (br_hedge_verdict_t verdict);

/* Returns whether more of the service's upstreams are full than usual.
 * ENGINE_SLOTS is 0 for a plain service.  An upstream of unknown slots counts
 * as not full. */
bool br_hedge_is_crowded (const br_fleet_t *fleet,
                          const br_name_t *service,
                          int engine_slots,
                          br_ms_t now);

/* Returns whether the upstream has less room than a copy needs: three quarters
 * of its slots are taken. */
bool br_hedge_upstream_is_busy (const br_fleet_upstream_t *upstream,
                                int engine_slots,
                                br_ms_t now);

/* Credit of one service for copies; an all-zero value has none. */
typedef struct
{
  double credit;
} br_hedge_budget_t;

/* Adds the share of a copy that a request earns.  The sum over all entry VMs is
 * at most that share of the service's requests. */
void br_hedge_budget_request (br_hedge_budget_t *budget, double share);

/* Returns whether there is credit for a copy; takes it. */
bool br_hedge_budget_take (br_hedge_budget_t *budget);

/* Gives a copy's credit back that was not sent. */
void br_hedge_budget_give_back (br_hedge_budget_t *budget);

BR_END_DECLS

#endif
