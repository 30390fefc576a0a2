/* The upstreams of a site as seen by one entry VM: the platform's list, the
 * requests in flight, and the results of recent requests. */
#ifndef BR_SITE_FLEET_H
#define BR_SITE_FLEET_H

#include "site/cache_memory.h"
#include "site/domain_health.h"
#include "site/listing.h"
#include "site/service_link.h"
#include "site/stream_version.h"
#include "site/upstream_limit.h"
#include "speed/speed_typical.h"

BR_BEGIN_DECLS

/* A request whose connection broke or stalled while it ran. */
typedef struct
{
  uint64_t content;
  uint64_t trial_part; /* the prompt part whose trial it was */
  bool on_part_trial;
  bool had_begun;    /* to answer: it did not cause the loss */
  size_t n_suspects; /* 0 if HAD_BEGUN */
  uint64_t suspects[BR_PROMPT_PARTS_MAX]; /* shared parts of its prompt */
  uint64_t started_ms; /* start of the incarnation that ran it */
  br_ms_t lost_ms;
} br_lost_run_t;

BR_VEC (br_lost_runs, br_lost_run_t);

typedef struct br_fleet_upstream
{
  br_listing_t listing;
  bool removed;             /* no longer listed */
  bool announced_leaving;   /* an answer announced that it leaves */
  br_ms_t leaving_since_ms; /* when it was first seen draining or removed */
  uint32_t in_flight;       /* requests of this VM there */
  uint32_t copies;          /* of runs that this VM moves, under way to it */
  uint64_t prefill_tokens;  /* sent by this VM, no first event yet */
  uint32_t reported;        /* running and waiting, by its last report */
  int32_t since_reported;   /* change of IN_FLIGHT since that report */
  br_ms_t reported_ms;
  uint32_t last_sent_in_flight; /* IN_FLIGHT as last sent to the leader */
  uint64_t last_sent_prefill_tokens;
  uint32_t others_in_flight; /* of the other entry VMs, as last received */
  uint64_t others_prefill_tokens;
  br_ms_t others_received_ms; /* when these were received */
  br_speed_view_t speed;
  double prefill_per_ms; /* tokens; 0 until one was measured, see
                          * br_fleet_prefill_per_ms() */
  double failing;        /* share of failed answers, moving average */
  uint32_t consecutive_failures;
  br_ms_t excluded_until_ms;    /* excluded after failures */
  br_ms_t last_good_ms;         /* time of the last good result on this VM */
  br_ms_t unreachable_until_ms; /* excluded: this VM got no connection */
  br_ms_t others_unreachable_until_ms; /* excluded: other VMs got none */
  br_ms_t full_until_ms;               /* excluded: it reported it is full */
  br_ms_t backoff_until_ms;            /* it gets no requests of this VM */
  br_upstream_limit_t limit;           /* that it names in its answers */
  br_cache_memory_t *cache;            /* owned; NULL before the first prompt */
  br_lost_runs_t lost; /* owned; not yet known whether a crash lost them */
  bool checking;       /* a connection attempt checks whether it runs */
  void *pool;          /* its connections, owned by the shell */
  struct br_fleet_upstream *next_removed;
} br_fleet_upstream_t;

BR_VEC (br_fleet_upstreams, br_fleet_upstream_t *);

/* Measured prefill speed of the engines of one service. */
typedef struct
{
  br_name_t service;
  double prefill_per_ms; /* tokens */
} br_fleet_speed_t;

BR_VEC (br_fleet_speeds, br_fleet_speed_t);

typedef struct
{
  br_domain_healths_t domains;  /* owned */
  br_service_links_t links;     /* owned; services that failed to connect */
  br_fleet_speeds_t speeds;     /* owned; of services with a measurement */
  br_typicals_t typicals;       /* owned; for samples of relative speeds */
  br_fleet_upstreams_t all;     /* owned; the listed upstreams */
  br_fleet_upstream_t *removed; /* owned; kept until their requests ended */
  uint64_t term;                /* with SEQUENCE: version of the list */
  uint64_t sequence;
  br_ms_t read_ms;              /* when the list was last known to be current */
  bool known;                   /* a list was read */
  br_version_history_t history; /* owned */
  uint32_t entries; /* entry VMs that share the upstreams; 0: not known */
} br_fleet_t;

/* Called just before an upstream is freed. */
typedef void (*br_fleet_free_fn) (void *context, br_fleet_upstream_t *upstream);

/* Replaces the list.  An upstream that was seen draining stays draining until
 * it restarts; an upstream that is missing is removed. */
void
br_fleet_update (br_fleet_t *fleet, const br_listings_t *listings, br_ms_t now);

/* Frees removed upstreams without requests. */
void
br_fleet_sweep (br_fleet_t *fleet, br_fleet_free_fn on_free, void *context);
void
br_fleet_release (br_fleet_t *fleet, br_fleet_free_fn on_free, void *context);

br_fleet_upstream_t *br_fleet_find (const br_fleet_t *fleet, br_str_t id);

/* --- load and results --- */

/* Records that a request with UNCACHED prompt tokens to read was sent. */
void br_fleet_sent (br_fleet_upstream_t *upstream,
                    const br_inbound_t *inbound,
                    uint32_t uncached,
                    br_ms_t now);

/* Records that the first event of a request came after WAITED_MS. */
void br_fleet_first_event (br_fleet_t *fleet,
                           br_fleet_upstream_t *upstream,
                           uint32_t uncached,
                           br_ms_t waited_ms,
                           br_ms_t now);

/* Returns the prompt tokens that the upstream reads in a millisecond at its
 * usual pace: that of its service by its relative speed, if one is in force,
 * else its own measurement, or that of its service when there is none. */
double br_fleet_prefill_per_ms (const br_fleet_t *fleet,
                                const br_fleet_upstream_t *upstream);

/* Returns the prompt tokens that one engine of SERVICE reads in a millisecond;
 * a default when none was measured. */
double br_fleet_service_speed (const br_fleet_t *fleet,
                               const br_name_t *service);

/* Records that a request ended.  HAD_FIRST_EVENT says whether
 * br_fleet_first_event() was called for it. */
void br_fleet_ended (br_fleet_upstream_t *upstream,
                     uint32_t uncached,
                     bool had_first_event);

/* Record that the copy of a run to the upstream was ordered, which takes a slot
 * there, and that it is complete or given up. */
void br_fleet_copy_begins (br_fleet_upstream_t *upstream);
void br_fleet_copy_ended (br_fleet_upstream_t *upstream);

/* Records what an answer of the upstream shows about its speed. */
void br_fleet_observe (br_fleet_t *fleet,
                       br_fleet_upstream_t *upstream,
                       const br_observation_t *observation);

/* Takes the pace that the upstream's answer states. */
void br_fleet_receive_pace (br_fleet_upstream_t *upstream,
                            uint32_t percent,
                            br_ms_t now);

/* Takes the load that the upstream reported. */
void br_fleet_receive_report (br_fleet_upstream_t *upstream,
                              uint32_t running,
                              uint32_t waiting,
                              br_ms_t now);

/* Records that this VM sent its load on the upstream to the leader. */
void br_fleet_load_sent (br_fleet_upstream_t *upstream);

/* Take the sums over all entry VMs that the leader sent.  For each update,
 * br_fleet_receive_idle() resets all upstreams, then
 * br_fleet_receive_load() sets each upstream that has load. */
void br_fleet_receive_idle (br_fleet_t *fleet, br_ms_t now);
void br_fleet_receive_load (br_fleet_upstream_t *upstream,
                            uint32_t in_flight,
                            uint64_t prefill_tokens,
                            br_ms_t now);

/* Returns whether this VM excludes the upstream because it got no connection
 * to it. */
bool br_fleet_is_unreachable (const br_fleet_upstream_t *upstream, br_ms_t now);

/* Takes the number of VMs, this one included, that do not reach the upstream,
 * as sent by the leader. */
void br_fleet_receive_unreachable (br_fleet_upstream_t *upstream,
                                   uint32_t vms,
                                   br_ms_t now);

/* Returns whether the upstream is excluded now: it failed, is full, other VMs
 * do not reach it, or its failure domain is unreachable. */
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
  BR_RESULT_FULL,        /* refused because it is full */
  BR_RESULT_MOVED,       /* another upstream has the address */
  BR_RESULT_RETRY_AFTER, /* refused with a retry-after time */
  BR_RESULT_SLOW,        /* late, and the upstream states that it is slow */
} br_result_kind_t;

/* Records the result of an attempt.  Returns true when its failure domain
 * counts as unreachable from now on. */
bool br_fleet_record_result (br_fleet_t *fleet,
                             br_fleet_upstream_t *upstream,
                             br_result_kind_t result,
                             br_ms_t now);

/* Records that UPSTREAM accepted no connection of this VM, as evidence about
 * this VM's links to SERVICE alone. */
void br_fleet_link_failed (br_fleet_t *fleet,
                           const br_name_t *service,
                           const br_name_t *upstream,
                           br_ms_t now);

/* Marks the upstream as leaving after one of its answers announced it: it
 * counts as draining in this incarnation, whatever the list shows.  Returns
 * whether that is new. */
bool br_fleet_mark_leaving (br_fleet_upstream_t *upstream, br_ms_t now);

/* Sends no requests of this VM to the upstream for FOR_MS, its retry-after
 * time. DRAW, from 0 to 1, spreads the return of many VMs. */
void br_fleet_back_off (br_fleet_upstream_t *upstream,
                        br_ms_t for_ms,
                        double draw,
                        br_ms_t now);
bool br_fleet_is_backing_off (const br_fleet_upstream_t *upstream, br_ms_t now);

/* --- crashes --- */

/* Records that the connection of an attempt sent at SENT_MS broke or stalled at
 * RUN->lost_ms, at the listed incarnation.  An attempt sent after an earlier
 * one was lost is not recorded: the upstream may already have crashed by then.
 */
void br_fleet_run_lost (br_fleet_upstream_t *upstream,
                        const br_lost_run_t *run,
                        br_ms_t sent_ms);

/* Discards the lost runs up to BEGUN_MS: the upstream accepted a connection
 * that was begun then, or answered a request sent then, so no crash lost
 * them. */
void br_fleet_on_alive (br_fleet_upstream_t *upstream, br_ms_t begun_ms);

/* Called for each run that was lost in a crash and may have caused it, or for
 * one that cannot have if there is no other. */
typedef void (*br_fleet_crash_fn) (void *context,
                                   const br_fleet_upstream_t *upstream,
                                   const br_lost_run_t *run);

/* Records that the upstream refused a connection.  This means a crash unless
 * the upstream is leaving or its failure domain is unreachable.  Returns the
 * number of runs lost in the crash. */
size_t br_fleet_refused (br_fleet_t *fleet,
                         br_fleet_upstream_t *upstream,
                         br_fleet_crash_fn on_crash,
                         void *context,
                         br_ms_t now);

/* Resolves lost runs after br_fleet_update(): they were lost in a crash if
 * their upstream restarted or was removed without leaving first.  Returns the
 * number of runs lost in crashes. */
size_t br_fleet_resolve_lost_runs (br_fleet_t *fleet,
                                   br_fleet_crash_fn on_crash,
                                   void *context,
                                   br_ms_t now);

/* Returns the requests at the upstream, as far as this VM has data. */
uint32_t br_fleet_load (const br_fleet_upstream_t *upstream, br_ms_t now);

/* Returns the prompt tokens that wait to be read at the upstream. */
uint64_t br_fleet_backlog (const br_fleet_upstream_t *upstream, br_ms_t now);

BR_END_DECLS

#endif
