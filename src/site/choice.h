/* Chooses the upstream for a request from the state of the fleet and the
 * clock.  Does no input or output and keeps no state. */
#ifndef BR_SITE_CHOICE_H
#define BR_SITE_CHOICE_H

#include "rollout/version_filter.h"
#include "site/configuration.h"
#include "site/fleet.h"
#include "upstream/quarantine.h"

BR_BEGIN_DECLS

/* Upstreams that one request may have tried already. */
#define BR_CHOICE_TRIED_MAX 8

typedef struct
{
  const br_site_service_t *service;
  const br_inbound_t *inbound;
  br_name_t failure_domain; /* of this VM, or that a run moves from */
  br_ms_t other_domain_ms; /* cost of an upstream in another one, if it is above
                            * the usual */
  /* Suspect requests and where they run, to keep two suspects off one
   * upstream; NULL when the request is not suspected of crashing upstreams. */
  const br_quarantine_t *quarantine;
  uint64_t content;     /* hash that identifies the request in QUARANTINE */
  br_version_t version; /* that began the stream; 0: any */
  br_version_filter_t versions; /* that the request may use */
  br_ms_t max_gap_ms; /* between the events of a stream; 0: not bounded */
  bool on_trial;      /* the request has a trial: avoids upstreams that may be
                       * down, as its loss there would count against it */
  const br_fleet_upstream_t *tried[BR_CHOICE_TRIED_MAX];
  size_t n_tried;
} br_choice_query_t;

typedef struct
{
  br_fleet_upstream_t *upstream; /* NULL: none fits */
  uint32_t uncached;             /* prompt tokens that are not cached there */
  uint32_t load;                 /* known requests there */
  uint64_t backlog;              /* prompt tokens to read there, UNCACHED
                                  * included */
  br_ms_t usual_ms;    /* EXPECTED_MS without the upstream's own pace and speed,
                        * which may be the fault of its version */
  br_ms_t expected_ms; /* until the first event, or the answer of a plain
                        * service */
  bool full;           /* all slots are taken, the request would wait */
  uint32_t pace;       /* that counted, in percent; 100 when none is known */
  uint32_t speed;      /* that counted, in percent of the service's */
} br_choice_t;

/* Returns the upstream with the lowest cost.  Excluded upstreams are used only
 * when there are no others. */
br_choice_t br_choice_make (const br_fleet_t *fleet,
                            const br_choice_query_t *query,
                            br_ms_t now);

/* Returns the service that has listed upstreams of the version which do not
 * leave; NULL when there is none. */
const br_name_t *br_choice_version_service (const br_fleet_t *fleet,
                                            br_version_t version);

typedef struct
{
  size_t serving;
  size_t draining;
} br_version_count_t;

/* Counts the listed upstreams of the version. */
br_version_count_t br_choice_count_version (const br_fleet_t *fleet,
                                            br_version_t version);

/* Returns whether an upstream of the service and of VERSIONS seems sound enough
 * for a trial. */
bool br_choice_has_sound (const br_fleet_t *fleet,
                          const br_site_service_t *service,
                          const br_version_filter_t *versions,
                          br_ms_t now);

/* Returns whether a request that no upstream admits may be sent soon: an
 * upstream's limit holds it back, and permits for it are on their way. */
bool br_choice_awaits_permit (const br_fleet_t *fleet,
                              const br_choice_query_t *query,
                              br_ms_t now);

/* Returns whether an attempt that is slow at CURRENT may be given up: another
 * upstream can take the request.  One that is excluded counts only if CURRENT
 * is excluded too. */
bool br_choice_has_replacement (const br_fleet_t *fleet,
                                const br_choice_query_t *query,
                                const br_fleet_upstream_t *current,
                                br_ms_t now);

/* Returns the time in milliseconds after which a caller should retry when no
 * upstream of VERSIONS can serve the service now: until an upstream takes
 * requests again, or a new one has started.  DRAW, from 0 to 1, spreads the
 * retries.  *WHY is set to the reason, or to NULL. */
br_ms_t br_choice_retry_after_ms (const br_fleet_t *fleet,
                                  const br_site_service_t *service,
                                  const br_version_filter_t *versions,
                                  double draw,
                                  br_ms_t now,
                                  const char **why);

/* Returns the id of the part that upstreams are ranked by: the last part that
 * other requests may share; 0 without parts. */
uint64_t br_choice_affinity (const br_inbound_t *inbound);

/* Returns the urgency of a request at an engine; 0 is the most urgent.  Short
 * prompts go first because they delay others the least.  Prompts of similar
 * length are ordered by the route's PRIORITY, where 0 is the highest. */
int br_choice_urgency (int priority, uint32_t uncached);

BR_END_DECLS

#endif
