/* The upstreams of a site as one entry VM sees them: what the platform lists,
 * what was sent there and not answered, and how the answers went. */
#ifndef BR_SITE_FLEET_H
#define BR_SITE_FLEET_H

#include "site/cache_memory.h"
#include "site/domain_health.h"
#include "site/listing.h"

BR_BEGIN_DECLS

/* A request whose connection broke, or went silent, while it ran. */
typedef struct
{
  uint64_t content;
  uint64_t started_ms; /* of the incarnation where it ran */
  br_ms_t lost_ms;
} br_lost_run_t;

BR_VEC (br_lost_runs, br_lost_run_t);

typedef struct br_fleet_upstream
{
  br_listing_t listing;
  bool removed;             /* no longer listed */
  bool announced_leaving;   /* an answer told that it leaves */
  br_ms_t leaving_since_ms; /* when it was first seen draining or removed */
  uint32_t in_flight;       /* requests of this VM there */
  uint64_t prefill_tokens;  /* sent from here, no first event yet */
  uint32_t reported;        /* running and waiting, by its own last word */
  int32_t since_reported;   /* change of IN_FLIGHT since that */
  br_ms_t reported_ms;
  uint32_t last_sent_in_flight; /* of this VM, as it last told the leader */
  uint64_t last_sent_prefill_tokens;
  uint32_t others_in_flight; /* of the other entry VMs, as last heard */
  uint64_t others_prefill_tokens;
  br_ms_t others_ms;
  double prefill_per_ms; /* tokens; 0 until one was measured, see
                          * br_fleet_prefill_per_ms() */
  double failing;        /* share of failed answers, weighted to the newest */
  uint32_t consecutive_failures;
  br_ms_t avoid_until_ms; /* sits out after failures */
  br_ms_t good_ms;        /* when this VM last had something good from it */
  br_ms_t unreachable_until_ms; /* sits out since this VM got no connection */
  br_ms_t others_unreachable_until_ms; /* since other VMs got none */
  br_ms_t full_until_ms;               /* it said that it is full */
  br_ms_t backoff_until_ms; /* it asked for no requests of this VM until then */
  br_cache_memory_t *cache; /* owned; NULL before the first prompt */
  br_lost_runs_t lost;      /* owned; nobody knows yet whether it crashed */
  bool checking;            /* a connection is tried, to find out */
  void *pool;               /* connections; the shell's */
  struct br_fleet_upstream *next_removed;
} br_fleet_upstream_t;

BR_VEC (br_fleet_upstreams, br_fleet_upstream_t *);

/* How fast the engines of one service read prompts. */
typedef struct
{
  br_name_t service;
  double prefill_per_ms; /* tokens */
} br_fleet_speed_t;

BR_VEC (br_fleet_speeds, br_fleet_speed_t);

typedef struct
{
  br_domain_healths_t domains;  /* owned */
  br_fleet_speeds_t speeds;     /* owned; of services with a measurement */
  br_fleet_upstreams_t all;     /* owned; listed ones */
  br_fleet_upstream_t *removed; /* owned; until their last request has ended */
  uint64_t term;
  uint64_t sequence;
  br_ms_t read_ms; /* when the list was last known to be current */
  bool known;      /* a list was read */
} br_fleet_t;

/* Told when an upstream is about to be freed. */
typedef void (*br_fleet_free_fn) (void *context, br_fleet_upstream_t *upstream);

/* Puts a whole list in force.  An upstream that was seen draining stays so;
 * one that is missing is removed. */
void
br_fleet_update (br_fleet_t *fleet, const br_listings_t *listings, br_ms_t now);

/* Frees removed upstreams without requests. */
void
br_fleet_sweep (br_fleet_t *fleet, br_fleet_free_fn on_free, void *context);
void
br_fleet_release (br_fleet_t *fleet, br_fleet_free_fn on_free, void *context);

br_fleet_upstream_t *br_fleet_find (const br_fleet_t *fleet, br_str_t id);

/* --- what happened --- */

/* A request with so many uncached prompt tokens was sent. */
void br_fleet_sent (br_fleet_upstream_t *upstream,
                    const br_inbound_t *inbound,
                    uint32_t uncached,
                    br_ms_t now);

/* Its first event came after WAITED_MS. */
void br_fleet_first_event (br_fleet_t *fleet,
                           br_fleet_upstream_t *upstream,
                           uint32_t uncached,
                           br_ms_t waited_ms);

/* Tokens that the upstream reads in a millisecond: its own figure, or before
 * there is one that of its service. */
double br_fleet_prefill_per_ms (const br_fleet_t *fleet,
                                const br_fleet_upstream_t *upstream);

/* The same for a service as a whole. */
double br_fleet_service_speed (const br_fleet_t *fleet,
                               const br_name_t *service);

/* It is no longer under way.  HAD_FIRST says whether br_fleet_first_event()
 * was called for it. */
void br_fleet_ended (br_fleet_upstream_t *upstream,
                     uint32_t uncached,
                     bool had_first);

/* The upstream told its load. */
void br_fleet_receive_report (br_fleet_upstream_t *upstream,
                              uint32_t running,
                              uint32_t waiting,
                              br_ms_t now);

/* This VM tells the leader of the upstream's load. */
void br_fleet_load_sent (br_fleet_upstream_t *upstream);

/* The leader tells of the loads of all VMs together: first that there are
 * none, then each upstream that has some. */
void br_fleet_receive_idle (br_fleet_t *fleet, br_ms_t now);
void br_fleet_receive_load (br_fleet_upstream_t *upstream,
                            uint32_t in_flight,
                            uint64_t prefill_tokens,
                            br_ms_t now);

/* Whether this VM leaves the upstream alone since it got no connection. */
bool br_fleet_is_unreachable (const br_fleet_upstream_t *upstream, br_ms_t now);

/* The leader tells how many VMs, this one included, do so. */
void br_fleet_receive_unreachable (br_fleet_upstream_t *upstream,
                                   uint32_t vms,
                                   br_ms_t now);

/* Whether the upstream is left alone for now: it failed, is full, or others do
 * not reach it. */
bool br_fleet_is_excluded (const br_fleet_t *fleet,
                           const br_fleet_upstream_t *upstream,
                           br_ms_t now);

typedef enum
{
  BR_RESULT_GOOD,
  BR_RESULT_FAILED,      /* unreadable, or an error of its own */
  BR_RESULT_BROKEN,      /* the connection broke under the request */
  BR_RESULT_UNREACHABLE, /* no connection: refused */
  BR_RESULT_TIMED_OUT,   /* no connection in the time that one takes */
  BR_RESULT_LATE,        /* no first event in the time that others need */
  BR_RESULT_STALLED,     /* an answer that had begun stopped */
  BR_RESULT_FULL,        /* refused for want of room */
  BR_RESULT_MOVED,       /* another upstream has the address */
  BR_RESULT_RETRY_AFTER, /* it told when to come back */
} br_result_kind_t;

/* Judges the upstream by an answer.  Returns true when its failure domain is
 * taken to be cut off from now on. */
bool br_fleet_record_result (br_fleet_t *fleet,
                             br_fleet_upstream_t *upstream,
                             br_result_kind_t result,
                             br_ms_t now);

/* An answer of the upstream told that it leaves: it counts as draining in this
 * incarnation, whatever the list shows.  Returns whether that is new. */
bool br_fleet_mark_leaving (br_fleet_upstream_t *upstream, br_ms_t now);

/* The upstream wants no request of this VM for so long.  DRAW, from 0 to 1,
 * spreads the return of many VMs. */
void br_fleet_back_off (br_fleet_upstream_t *upstream,
                        br_ms_t for_ms,
                        double draw,
                        br_ms_t now);
bool br_fleet_is_backing_off (const br_fleet_upstream_t *upstream, br_ms_t now);

/* --- crashes --- */

/* An attempt that was sent at SENT_MS broke off, or went silent.  One that was
 * sent after another was lost tells nothing: the upstream may have been gone.
 */
void br_fleet_run_lost (br_fleet_upstream_t *upstream,
                        uint64_t content,
                        br_ms_t sent_ms,
                        br_ms_t now);

/* The upstream took a connection that was begun at BEGUN_MS, or answers what
 * was sent then: what was lost before was not lost by a crash. */
void br_fleet_is_alive (br_fleet_upstream_t *upstream, br_ms_t begun_ms);

/* Told of each run that was lost in a crash. */
typedef void (*br_fleet_crash_fn) (void *context,
                                   const br_fleet_upstream_t *upstream,
                                   const br_lost_run_t *run);

/* The upstream refuses connections.  Unless it is leaving, or cut off, it has
 * crashed.  Returns the number of runs that were lost. */
size_t br_fleet_refused (br_fleet_t *fleet,
                         br_fleet_upstream_t *upstream,
                         br_fleet_crash_fn on_crash,
                         void *context,
                         br_ms_t now);

/* After br_fleet_update(): runs were lost in a crash at an upstream that began
 * anew, or vanished, without leaving first. */
size_t br_fleet_resolve_lost_runs (br_fleet_t *fleet,
                                   br_fleet_crash_fn on_crash,
                                   void *context,
                                   br_ms_t now);

/* Requests there, as far as this VM can tell. */
uint32_t br_fleet_load (const br_fleet_upstream_t *upstream, br_ms_t now);

/* Prompt tokens that wait there to be read. */
uint64_t br_fleet_backlog (const br_fleet_upstream_t *upstream, br_ms_t now);

BR_END_DECLS

#endif
