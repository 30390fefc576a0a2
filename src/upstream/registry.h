/* The upstreams that this VM knows: engines and plain services with their
 * address, labels, liveness, last load report and work in flight. */
#ifndef BR_UPSTREAM_REGISTRY_H
#define BR_UPSTREAM_REGISTRY_H

#include "base/clock.h"
#include "base/label.h"
#include "base/str.h"

BR_BEGIN_DECLS

#define BR_UPSTREAM_ADDRESS_MAX 46

/* Leaving incarnations remembered at once; the oldest goes first. */
#define BR_DEPARTURES_MAX 4096

typedef enum
{
  BR_UPSTREAM_LIVE,
  BR_UPSTREAM_LEAVING, /* takes no new work */
  BR_UPSTREAM_DOWN,    /* does not answer a probe on a new connection */
} br_upstream_state_t;

/* What an upstream last said about its load. */
typedef struct
{
  bool known;       /* a report has come; else all the rest is 0 */
  br_ms_t taken_ms; /* when the upstream took it, by the clock of this VM */
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t token_ms;      /* time between two tokens of one stream */
  uint32_t prefill_per_s; /* prompt tokens read in a second; 0: not told */
} br_load_t;

typedef struct
{
  br_name_t name;
  br_name_t failure_domain;
  uint64_t incarnation; /* higher when the name is used again */
  char address[BR_UPSTREAM_ADDRESS_MAX];
  uint16_t port;
  br_labels_t labels;      /* its own, without those of the operators; owned */
  br_name_t machine_class; /* machine class in the VM list; empty: not told */
  uint32_t price;          /* cost units for an hour of the VM; 0: not told */
  bool reclaimable;        /* the platform may take the VM back */
  bool listed;             /* from the VM list, not from the settings */
  bool removed;            /* no longer in the VM list */
  bool leaving;            /* this incarnation leaves, for good */
  bool down;
  br_upstream_state_t state; /* what the flags above come to */
  br_ms_t state_ms;          /* since when */
  br_load_t load;
  uint32_t in_flight; /* attempts of this VM that run there */
} br_upstream_t;

BR_VEC (br_upstreams, br_upstream_t);

/* Incarnations of NAME up to INCARNATION are leaving. */
typedef struct
{
  br_name_t name;
  uint64_t incarnation;
} br_departure_t;

BR_VEC (br_departures, br_departure_t);

/* An all-zero value is an empty registry. */
typedef struct
{
  br_upstreams_t upstreams;
  br_departures_t departures;
} br_registry_t;

/* Adds UPSTREAM or replaces the one of that name; takes its labels over.
 * Counts in flight, load and state survive while the incarnation stays the
 * same; an older incarnation than the known one is dropped, and an incarnation
 * that was announced as leaving comes in as leaving.  Returns the entry. */
br_upstream_t *br_registry_put (br_registry_t *registry,
                                br_upstream_t upstream);

/* Returns the upstream NAME, or NULL; valid until the next put, removal or
 * sweep. */
br_upstream_t *br_registry_find (br_registry_t *registry, br_str_t name);

/* Marks NAME as leaving in all incarnations up to INCARNATION, also one that
 * is not known yet.  Returns false when that was known. */
bool br_registry_leave (br_registry_t *registry,
                        br_str_t name,
                        uint64_t incarnation,
                        br_ms_t now);

/* Whether this incarnation of NAME was announced as leaving. */
bool br_registry_is_leaving (const br_registry_t *registry,
                             br_str_t name,
                             uint64_t incarnation);

/* Marks UPSTREAM as down or back.  Returns false when that was known. */
bool br_upstream_set_down (br_upstream_t *upstream, bool down, br_ms_t now);

/* Takes LOAD when it is newer than the report that is there. */
bool br_upstream_set_load (br_upstream_t *upstream, const br_load_t *load);

/* Takes no new work to an upstream that the VM list no longer shows. */
void
br_upstream_set_removed (br_upstream_t *upstream, bool removed, br_ms_t now);

/* Frees removed upstreams that have nothing in flight. */
void br_registry_sweep (br_registry_t *registry);
void br_registry_release (br_registry_t *registry);

BR_END_DECLS

#endif
