/* Detects failure domains that this VM cannot reach, from the attempts at their
 * upstreams.  An entry VM sends few requests to each upstream; without this,
 * each upstream of the domain would have to fail on its own. */
#ifndef BR_SITE_DOMAIN_HEALTH_H
#define BR_SITE_DOMAIN_HEALTH_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t failure_domain;
  br_name_t timed_out_upstream; /* the last upstream that timed out */
  br_ms_t timed_out_ms;         /* when it timed out */
  uint32_t consecutive;         /* upstreams timed out since any answered */
  br_ms_t unreachable_until_ms;
} br_domain_health_t;

BR_VEC (br_domain_healths, br_domain_health_t);

/* Records that an upstream did not answer or did not accept a connection in
 * time.  Returns true when the domain counts as unreachable from now on and did
 * not before. */
bool br_domain_health_on_timeout (br_domain_healths_t *healths,
                                  const br_name_t *failure_domain,
                                  const br_name_t *upstream,
                                  br_ms_t now);

/* Records that an upstream of the domain answered. */
void br_domain_health_on_answer (br_domain_healths_t *healths,
                                 const br_name_t *failure_domain);

bool br_domain_health_is_unreachable (const br_domain_healths_t *healths,
                                      const br_name_t *failure_domain,
                                      br_ms_t now);

BR_END_DECLS

#endif
