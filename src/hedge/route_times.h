/* Recent times of the requests of each route, from which the delay of a copy
 * follows: until the first event of a stream, or until the answer of a plain
 * request.  Does no input or output. */
#ifndef BR_HEDGE_ROUTE_TIMES_H
#define BR_HEDGE_ROUTE_TIMES_H

#include "base/clock.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Times that are kept for a route. */
#define BR_ROUTE_TIMES_KEPT 100

typedef struct
{
  br_name_t route;
  uint32_t times_ms[BR_ROUTE_TIMES_KEPT];
  size_t len;
  size_t next;
  br_ms_t last_ms; /* when the newest was added */
} br_route_time_t;

BR_VEC (br_route_times, br_route_time_t);

void br_route_times_add (br_route_times_t *times,
                         const br_name_t *route,
                         br_ms_t took_ms,
                         br_ms_t now);

/* Returns the time after which a request of the route is copied: the quantile
 * that all but SHARE of its recent requests stay under, at least a floor and
 * more than EXPECTED_MS.  Returns BR_MS_NEVER while too few times are known. */
br_ms_t br_route_times_delay_ms (const br_route_times_t *times,
                                 const br_name_t *route,
                                 double share,
                                 br_ms_t expected_ms,
                                 br_ms_t now);

BR_END_DECLS

#endif
