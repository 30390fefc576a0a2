/* Detects services whose upstreams this VM does not reach, from its attempts to
 * connect to them.  Whether the upstreams or the links of this VM are down, it
 * cannot tell; another VM may still reach them. */
#ifndef BR_SITE_SERVICE_LINK_H
#define BR_SITE_SERVICE_LINK_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Upstreams that must fail to connect, without a new connection to any other in
 * between, before their service counts as suspected and as lost; all listed
 * ones, if they are fewer.  Some may have crashed. */
#define BR_SERVICE_LINK_SUSPECTED 2
#define BR_SERVICE_LINK_LOST 4

typedef struct
{
  br_name_t service;
  br_name_t failed[BR_SERVICE_LINK_LOST]; /* different upstreams */
  size_t n_failed;                        /* since the last new connection */
  br_ms_t last_failed_ms;
  bool is_suspected; /* to be lost, or is: connect to its upstreams */
  bool is_lost;
  br_ms_t lost_ms;     /* since when */
  bool logged_as_lost; /* as the owner last logged it */
} br_service_link_t;

BR_VEC (br_service_links, br_service_link_t);

/* Records that UPSTREAM, one of LISTED upstreams of SERVICE, accepted no
 * connection. */
void br_service_link_failed (br_service_links_t *links,
                             const br_name_t *service,
                             const br_name_t *upstream,
                             size_t listed,
                             br_ms_t now);

/* Records a new connection to an upstream of SERVICE. */
void br_service_link_connected (br_service_links_t *links,
                                const br_name_t *service);

bool br_service_link_is_lost (const br_service_links_t *links,
                              const br_name_t *service);

BR_END_DECLS

#endif
