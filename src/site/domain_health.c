#include "site/domain_health.h"

/* Upstreams without an answer, and none with one between, that tell a cut from
 * the failure of one. */
#define SILENT_UPSTREAMS 2

/* Silence that is older than this says nothing, in milliseconds. */
#define SILENT_LIFE_MS 3000

/* First time for which a domain is left alone, in milliseconds, doubled by each
 * further silence: some requests more than one connect bound apart. */
#define CUT_MS 400
#define CUT_MAX_MS 2000
#define CUT_DOUBLINGS_MAX 3

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
  bool was_cut;
  uint32_t doublings;

  if (health == NULL)
    health = br_domain_healths_push (healths, fresh);
  was_cut = now < health->unreachable_until_ms;
  if (now - health->timed_out_ms > SILENT_LIFE_MS)
    health->consecutive = 0;
  if (health->consecutive == 0
      || !br_name_equal (&health->timed_out_upstream, upstream))
    health->consecutive++;
  health->timed_out_upstream = *upstream;
  health->timed_out_ms = now;
  if (health->consecutive < SILENT_UPSTREAMS)
    return false;
  doublings
      = BR_MIN (health->consecutive - SILENT_UPSTREAMS, CUT_DOUBLINGS_MAX);
  health->unreachable_until_ms
      = BR_MAX (health->unreachable_until_ms,
                now + BR_MIN (CUT_MS << doublings, CUT_MAX_MS));
  return !was_cut;
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
