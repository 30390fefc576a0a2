/* Which failure domains cannot be reached from here, told from the attempts at
 * their upstreams: each entry VM has few requests for each upstream, so that
 * one after the other would fail before all were known to be cut off. */
#ifndef BR_SITE_DOMAIN_HEALTH_H
#define BR_SITE_DOMAIN_HEALTH_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t failure_domain;
  br_name_t timed_out_upstream; /* upstream that was last without an answer */
  br_ms_t timed_out_ms;         /* when */
  uint32_t consecutive;         /* different ones since any answered */
  br_ms_t unreachable_until_ms;
} br_domain_health_t;

BR_VEC (br_domain_healths, br_domain_health_t);

/* An upstream did not answer, or a connection was not made in time.  Returns
 * true when the domain is taken to be cut off from now on, and was not before.
 */
bool br_domain_health_on_timeout (br_domain_healths_t *healths,
                                  const br_name_t *failure_domain,
                                  const br_name_t *upstream,
                                  br_ms_t now);

/* An upstream answered: its domain can be reached. */
void br_domain_health_on_answer (br_domain_healths_t *healths,
                                 const br_name_t *failure_domain);

bool br_domain_health_is_unreachable (const br_domain_healths_t *healths,
                                      const br_name_t *failure_domain,
                                      br_ms_t now);

BR_END_DECLS

#endif
