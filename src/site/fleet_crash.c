/* Finds the requests of this entry VM that ran on an upstream when it crashed.
 */
#include "site/fleet.h"

/* Time after which a lost run is discarded when no crash was seen, in
 * milliseconds.  The platform's list shows a restart within this time. */
#define LOST_LIFE_MS 20000

/* Lost runs kept for one upstream: the maximum number of requests that run
 * there at once. */
#define LOST_RUNS_MAX 128

static void
upstream_discard_lost (br_fleet_upstream_t *upstream, br_ms_t until_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < upstream->lost.len; i++)
    if (upstream->lost.items[i].lost_ms > until_ms)
      upstream->lost.items[kept++] = upstream->lost.items[i];
  upstream->lost.len = kept;
}

void
br_fleet_run_lost (br_fleet_upstream_t *upstream,
                   const br_lost_run_t *run,
                   br_ms_t sent_ms)
{
  br_lost_run_t kept = *run;

  kept.started_ms = upstream->listing.started_ms;
  upstream_discard_lost (upstream, run->lost_ms - LOST_LIFE_MS);
  if (upstream->lost.len > 0 && sent_ms > upstream->lost.items[0].lost_ms)
    return;
  if (!upstream->listing.draining && upstream->lost.len < LOST_RUNS_MAX)
    br_lost_runs_push (&upstream->lost, kept);
}

void
br_fleet_on_alive (br_fleet_upstream_t *upstream, br_ms_t begun_ms)
{
  upstream_discard_lost (upstream, begun_ms);
}

static size_t
upstream_crashed (br_fleet_upstream_t *upstream,
                  br_fleet_crash_fn on_crash,
                  void *context)
{
  size_t n = upstream->lost.len;
  size_t suspects = 0;

  for (size_t i = 0; i < n; i++)
    if (!upstream->lost.items[i].had_begun)
      {
        on_crash (context, upstream, &upstream->lost.items[i]);
        suspects++;
      }
  if (n > 0 && suspects == 0)
    on_crash (context, upstream, &upstream->lost.items[0]);
  br_lost_runs_clear (&upstream->lost);
  return n;
}

size_t
br_fleet_refused (br_fleet_t *fleet,
                  br_fleet_upstream_t *upstream,
                  br_fleet_crash_fn on_crash,
                  void *context,
                  br_ms_t now)
{
  upstream_discard_lost (upstream, now - LOST_LIFE_MS);
  if (upstream->listing.draining
      || br_domain_health_is_unreachable (
          &fleet->domains, &upstream->listing.failure_domain, now))
    return 0;
  return upstream_crashed (upstream, on_crash, context);
}

static size_t
upstream_resolve_lost_runs (br_fleet_upstream_t *upstream,
                            br_fleet_crash_fn on_crash,
                            void *context,
                            br_ms_t now)
{
  upstream_discard_lost (upstream, now - LOST_LIFE_MS);
  if (upstream->lost.len == 0)
    return 0;
  if (upstream->listing.draining)
    br_lost_runs_clear (&upstream->lost);
  else if (upstream->removed
           || upstream->lost.items[0].started_ms
                  != upstream->listing.started_ms)
    return upstream_crashed (upstream, on_crash, context);
  return 0;
}

size_t
br_fleet_resolve_lost_runs (br_fleet_t *fleet,
                            br_fleet_crash_fn on_crash,
                            void *context,
                            br_ms_t now)
{
  size_t n = 0;

  for (size_t i = 0; i < fleet->all.len; i++)
    n += upstream_resolve_lost_runs (fleet->all.items[i], on_crash, context,
                                     now);
  for (br_fleet_upstream_t *removed = fleet->removed; removed != NULL;
       removed = removed->next_removed)
    n += upstream_resolve_lost_runs (removed, on_crash, context, now);
  return n;
}
