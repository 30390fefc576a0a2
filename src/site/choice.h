/* Which upstream gets a request.  A function of what is known and the clock:
 * no input, no output, no state of its own. */
#ifndef BR_SITE_CHOICE_H
#define BR_SITE_CHOICE_H

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
  br_name_t failure_domain; /* of this VM */
  /* A request that may crash upstreams, and those that it had better not share
   * with others of the kind; NULL: it is no suspect. */
  const br_quarantine_t *quarantine;
  uint64_t content;
  const br_fleet_upstream_t *tried[BR_CHOICE_TRIED_MAX];
  size_t n_tried;
} br_choice_query_t;

typedef struct
{
  br_fleet_upstream_t *upstream; /* NULL: there is none */
  uint32_t uncached;             /* prompt tokens that it has to read */
  uint32_t load;                 /* requests known there */
  uint64_t backlog;              /* prompt tokens ahead, with these */
  br_ms_t expected_ms; /* until the first event, or the answer of a plain
                        * service */
  bool full;           /* all slots are taken: it would wait there */
} br_choice_t;

/* Finds the upstream with the lowest expected time.  Those that sit out are
 * used when there are no others. */
br_choice_t br_choice_make (const br_fleet_t *fleet,
                            const br_choice_query_t *query,
                            br_ms_t now);

/* When a caller should come back for a service that nobody can serve now, in
 * milliseconds: when an upstream takes requests again, or a new one has
 * started. DRAW, from 0 to 1, spreads callers.  *WHY says what they wait for.
 */
br_ms_t br_choice_retry_after_ms (const br_fleet_t *fleet,
                                  const br_site_service_t *service,
                                  double draw,
                                  br_ms_t now,
                                  const char **why);

/* How urgent a request is at an engine, 0 most: short prompts first, as they
 * hold up nobody for long, and among alike ones by the route's PRIORITY, where
 * 0 is the highest. */
int br_choice_urgency (int priority, uint32_t uncached);

BR_END_DECLS

#endif
