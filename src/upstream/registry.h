/* Holds the upstreams that this VM has in its settings or the VM list: engines
 * and plain services with their address, labels, state, last load report and
 * requests in flight. */
#ifndef BR_UPSTREAM_REGISTRY_H
#define BR_UPSTREAM_REGISTRY_H

#include "base/clock.h"
#include "base/label.h"
#include "base/str.h"

BR_BEGIN_DECLS

#define BR_UPSTREAM_ADDRESS_MAX 46

/* Names with leaving incarnations kept; the oldest is dropped first. */
#define BR_DEPARTURES_MAX 4096

typedef enum
{
  BR_UPSTREAM_LIVE,
  BR_UPSTREAM_LEAVING, /* takes no new work */
  BR_UPSTREAM_DOWN,    /* does not answer a probe on a new connection */
} br_upstream_state_t;

/* The last load report of an upstream. */
typedef struct
{
  bool known;       /* a report was received; otherwise all fields are 0 */
  br_ms_t taken_ms; /* when the upstream measured it, by this VM's clock */
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t token_ms;      /* time between two tokens of one stream */
  uint32_t prefill_per_s; /* prompt tokens read in a second; 0: unknown */
} br_load_t;

typedef struct
{
  br_name_t name;
  br_name_t failure_domain;
  uint64_t incarnation; /* rises when the name is used again */
  char address[BR_UPSTREAM_ADDRESS_MAX];
  uint16_t port;
  br_labels_t labels; /* its own, without those that operators add; owned */
  br_name_t machine_class; /* machine class in the VM list; empty: unknown */
  uint32_t price;          /* cost units for an hour of the VM; 0: unknown */
  bool reclaimable;        /* the platform may reclaim the VM */
  bool listed;             /* from the VM list, not from the settings */
  bool removed;            /* no longer in the VM list */
  bool leaving;            /* this incarnation announced leaving; permanent */
  bool down;
  br_upstream_state_t state; /* derived from the flags above */
  br_ms_t state_ms;          /* when STATE changed last */
  br_load_t load;
  uint32_t in_flight; /* attempts of this VM that run on it */
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

/* Adds UPSTREAM or replaces the one of that name, and takes ownership of its
 * labels.  The number in flight, load and state are kept if the incarnation is
 * the same.  An incarnation older than the present one is ignored.  An
 * incarnation that announced leaving is added as leaving.  Returns the entry.
 */
br_upstream_t *br_registry_put (br_registry_t *registry,
                                br_upstream_t upstream);

/* Returns the upstream NAME, or NULL; valid until the next put, removal or
 * sweep. */
br_upstream_t *br_registry_find (br_registry_t *registry, br_str_t name);

/* Returns the upstream at ADDRESS and PORT, or NULL; valid in the same way. */
const br_upstream_t *br_registry_find_address (const br_registry_t *registry,
                                               const char *address,
                                               uint16_t port);

/* Marks all incarnations of NAME up to INCARNATION as leaving, including ones
 * that are not in the registry yet.  Returns false if they already were. */
bool br_registry_leave (br_registry_t *registry,
                        br_str_t name,
                        uint64_t incarnation,
                        br_ms_t now);

/* Returns whether this incarnation of NAME announced leaving. */
bool br_registry_is_leaving (const br_registry_t *registry,
                             br_str_t name,
                             uint64_t incarnation);

/* Marks UPSTREAM as down or up again.  Returns false if it already was. */
bool br_upstream_set_down (br_upstream_t *upstream, bool down, br_ms_t now);

/* Stores LOAD and returns true if it is newer than the present report. */
bool br_upstream_set_load (br_upstream_t *upstream, const br_load_t *load);

/* Marks UPSTREAM as removed from the VM list or present in it.  A removed
 * upstream gets no new requests. */
void
br_upstream_set_removed (br_upstream_t *upstream, bool removed, br_ms_t now);

/* Frees removed upstreams that have nothing in flight. */
void br_registry_sweep (br_registry_t *registry);
void br_registry_release (br_registry_t *registry);

BR_END_DECLS

#endif
