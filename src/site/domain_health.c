#include "site/domain_health.h"

/* Upstreams that must time out, without an answer from any other in between,
 * before their domain counts as unreachable: a single one may have failed. */
#define TIMED_OUT_UPSTREAMS_MIN 2

/* Age from which a timeout is not counted, in milliseconds. */
#define TIMEOUT_LIFE_MS 3000

/* Time for which an unreachable domain is excluded, doubled by each further
 * timeout, and its upper limit, in milliseconds.  It is longer than the connect
 * timeout, which bounds the number of requests that try the domain. */
#define EXCLUDE_MS 400
#define EXCLUDE_MAX_MS 2000
#define EXCLUDE_DOUBLINGS_MAX 3

static br_domain_health_t *
healths_find (const br_domain_healths_t *healths,
              const br_name_t *failure_domain)
{
  for (size_t i = 0; i < healths->len; i++)
    if (br_name_equal (&healths->items[i].failure_domain, failure_domain))
      return &healths->items[i];
  return NULL;
}

bool
br_domain_health_on_timeout (br_domain_healths_t *healths,
                             const br_name_t *failure_domain,
                             const br_name_t *upstream,
                             br_ms_t now)
{
  br_domain_health_t *health = healths_find (healths, failure_domain);
  br_domain_health_t fresh = { .failure_domain = *failure_domain };
  bool was_unreachable;
  uint32_t doublings;

  if (health == NULL)
    health = br_domain_healths_push (healths, fresh);
  was_unreachable = now < health->unreachable_until_ms;
  if (now - health->timed_out_ms > TIMEOUT_LIFE_MS)
    health->consecutive = 0;
  if (health->consecutive == 0
      || !br_name_equal (&health->timed_out_upstream, upstream))
    health->consecutive++;
  health->timed_out_upstream = *upstream;
  health->timed_out_ms = now;
  if (health->consecutive < TIMED_OUT_UPSTREAMS_MIN)
    return false;
  doublings = BR_MIN (health->consecutive - TIMED_OUT_UPSTREAMS_MIN,
                      EXCLUDE_DOUBLINGS_MAX);
  health->unreachable_until_ms
      = BR_MAX (health->unreachable_until_ms,
                now + BR_MIN (EXCLUDE_MS << doublings, EXCLUDE_MAX_MS));
  return !was_unreachable;
}

void
br_domain_health_on_answer (br_domain_healths_t *healths,
                            const br_name_t *failure_domain)
{
  br_domain_health_t *health = healths_find (healths, failure_domain);

  if (health == NULL)
    return;
  health->consecutive = 0;
  health->unreachable_until_ms = 0;
}

bool
br_domain_health_is_unreachable (const br_domain_healths_t *healths,
                                 const br_name_t *failure_domain,
                                 br_ms_t now)
{
  const br_domain_health_t *health = healths_find (healths, failure_domain);

  return health != NULL && now < health->unreachable_until_ms;
}
