#include "hedge/route_times.h"

#include <string.h>

/* Fewer times show nothing about the slowest. */
#define TIMES_MIN 20

/* Times of a route without a request for this long, in milliseconds, are
 * forgotten. */
#define TIMES_LIFE_MS 30000

/* Least delay, in milliseconds: about three round trips between the failure
 * domains that lie furthest apart.  A copy that is sent earlier rarely wins. */
#define DELAY_MIN_MS 30

/* A request is not slow before it took this much of what its upstream's queue
 * and its prompt let expect. */
#define EXPECTED_FACTOR 1.5

/* Bounds of the quantile.  The copies that it asks for are about as many as the
 * budget allows, so that the budget goes to the slowest. */
#define QUANTILE_MIN 0.9
#define QUANTILE_MAX 0.99

/* Routes whose times are kept at most: 2 MB. */
#define ROUTES_MAX 4096

static br_route_time_t *
route_times_find (const br_route_times_t *times, const br_name_t *route)
{
  for (size_t i = 0; i < times->len; i++)
    if (br_name_equal (&times->items[i].route, route))
      return &times->items[i];
  return NULL;
}

void
br_route_times_add (br_route_times_t *times,
                    const br_name_t *route,
                    br_ms_t took_ms,
                    br_ms_t now)
{
  br_route_time_t *found = route_times_find (times, route);

  if (found == NULL)
    {
      br_route_time_t fresh = { .route = *route };

      if (times->len >= ROUTES_MAX)
        br_route_times_clear (times);
      found = br_route_times_push (times, fresh);
    }
  if (now - found->last_ms > TIMES_LIFE_MS)
    found->len = found->next = 0;
  found->last_ms = now;
  found->times_ms[found->next] = (uint32_t)BR_MAX (took_ms, 0);
  found->next = (found->next + 1) % BR_ROUTE_TIMES_KEPT;
  found->len = BR_MIN (found->len + 1, BR_ROUTE_TIMES_KEPT);
}

static int
compare_times (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;

  return left < right ? -1 : left > right;
}

br_ms_t
br_route_times_delay_ms (const br_route_times_t *times,
                         const br_name_t *route,
                         double share,
                         br_ms_t expected_ms,
                         br_ms_t now)
{
  const br_route_time_t *found = route_times_find (times, route);
  double quantile = BR_MIN (BR_MAX (1 - share / 2, QUANTILE_MIN), QUANTILE_MAX);
  uint32_t sorted[BR_ROUTE_TIMES_KEPT];
  br_ms_t delay_ms;

  if (found == NULL || found->len < TIMES_MIN
      || now - found->last_ms > TIMES_LIFE_MS)
    return BR_MS_NEVER;
  memcpy (sorted, found->times_ms, found->len * sizeof *sorted);
  qsort (sorted, found->len, sizeof *sorted, compare_times);
  delay_ms = (br_ms_t)sorted[(size_t)((double)(found->len - 1) * quantile)];
  delay_ms
      = BR_MAX (delay_ms, (br_ms_t)((double)expected_ms * EXPECTED_FACTOR));
  return BR_MAX (delay_ms, DELAY_MIN_MS);
}
