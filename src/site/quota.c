#include "site/quota.h"

#include <math.h>

/* Part of a quota that is split evenly, whoever asks. */
#define EVEN_SHARE 0.25

/* Shares of one quota at several VMs never fit the demand exactly.  What they
 * may exceed it by together, so that nothing within the quota is refused: a
 * part of the rate, and an amount at once.  Both are well within what the
 * platform tolerates (a tenth, and 140,000 tokens). */
#define RATE_MARGIN 1.04
#define BURST_MARGIN_TOKENS 70000

/* A refused caller does not come back sooner, in milliseconds. */
#define COME_BACK_MIN_MS 200

/* Less demand than this is not told, in units a second. */
#define TOLD_MIN 1

/* Weight of the newest demand in what is told. */
#define DEMAND_WEIGHT 0.4

/* The leader's word on a quota holds for this long, in milliseconds: several
 * of the intervals at which it tells. */
#define REMAINING_LIFE_MS 1500

/* Up to this age it is used as it was told, in milliseconds: twice the
 * interval. */
#define LEFT_FRESH_MS 250

/* Until what VMs let through now is known to all, in milliseconds, several
 * times over. */
#define HORIZON_MS 400

/* Part of that which is let through: what is asked for grows faster than it is
 * measured. */
#define SHARE_MARGIN 0.96

/* Weight of a request in the typical size, at most. */
#define SIZE_WEIGHT 0.1

/* What a request of any size keeps of the share at least: none of a kind's
 * largest requests is served less than half as often as the others. */
#define LARGE_SHARE_MIN 0.85

static br_quota_t *
quotas_find (br_quotas_t *quotas, br_str_t organisation)
{
  for (size_t i = 0; i < quotas->list.len; i++)
    if (br_str_equal (br_name_str (&quotas->list.items[i].organisation),
                      organisation))
      return &quotas->list.items[i];
  return NULL;
}

static br_quota_t *
quotas_get (br_quotas_t *quotas, br_str_t organisation)
{
  br_quota_t *quota = quotas_find (quotas, organisation);
  br_quota_t fresh = { .share = quotas->default_share, .filled_ms = -1 };

  if (quota != NULL)
    return quota;
  br_name_set (&fresh.organisation, organisation);
  return br_quota_list_push (&quotas->list, fresh);
}

double
br_quota_units (const br_site_organisation_t *organisation,
                const br_inbound_t *inbound)
{
  if (!organisation->by_tokens)
    return 1;
  return inbound->has_tokens
             ? (double)inbound->prompt_tokens + (double)inbound->output_tokens
             : organisation->plain_tokens;
}

static void
quota_fill (br_quota_t *quota,
            const br_site_organisation_t *organisation,
            br_ms_t now)
{
  double margin = organisation->by_tokens ? BURST_MARGIN_TOKENS : 0;
  double burst = (organisation->burst + margin) * quota->share;
  double rate = organisation->rate_per_s * RATE_MARGIN * quota->share;

  if (quota->filled_ms < 0)
    quota->level = burst;
  else
    quota->level += rate * (double)(now - quota->filled_ms) / 1000;
  quota->level = BR_MIN (quota->level, burst);
  quota->filled_ms = now;
}

void
br_quotas_receive (br_quotas_t *quotas,
                   br_str_t organisation,
                   const br_quota_update_t *update,
                   br_ms_t now)
{
  br_quota_t *quota = quotas_get (quotas, organisation);

  quota->remaining = update->remaining;
  quota->demand_per_s = update->demand_per_s;
  quota->remaining_updated_ms = now;
  /* What was let through in the last interval may not be counted yet. */
  quota->unaccounted -= quota->unaccounted_before;
  quota->unaccounted_before = quota->unaccounted;
}

/* What a VM may let through: of the whole site's quota while the leader's word
 * is fresh, else of its own part of it. */
typedef struct
{
  double remaining;
  double rate_per_s;
  double demand_per_s;
  double share; /* of REMAINING that is this VM's */
} quota_view_t;

static quota_view_t
quota_view (const br_quota_t *quota,
            const br_site_organisation_t *organisation,
            br_ms_t now)
{
  br_ms_t age_ms = now - quota->remaining_updated_ms;
  quota_view_t view = {
    .remaining
    = quota->remaining + organisation->rate_per_s * (double)age_ms / 1000,
    .rate_per_s = organisation->rate_per_s,
    .demand_per_s = quota->demand_per_s,
    .share = quota->share,
  };

  /* Others let through too, and nobody tells how much.  A debt is everybody's
   * until it has filled up. */
  if (age_ms > LEFT_FRESH_MS)
    {
      view.remaining *= view.remaining > 0 ? quota->share : 1;
      view.rate_per_s *= quota->share;
      view.demand_per_s
          = BR_MAX (view.demand_per_s * quota->share, quota->demand);
      view.share = 1;
    }
  view.remaining -= quota->unaccounted;
  return view;
}

static bool
quota_is_heard (const br_quota_t *quota, br_ms_t now)
{
  return quota->remaining_updated_ms > 0
         && now - quota->remaining_updated_ms < REMAINING_LIFE_MS;
}

/* The share of what is asked for that can be let through: so much that what is
 * left is used up over the next HORIZON_MS, and no more. */
static double
quota_share (const quota_view_t *view)
{
  double asked = view->demand_per_s * HORIZON_MS / 1000;
  double there = view->remaining + view->rate_per_s * HORIZON_MS / 1000;

  /* A new leader has not heard what is asked for. */
  if (asked <= 0)
    return there > 0 ? 1 : 0;
  return there * SHARE_MARGIN / asked;
}

/* The share for a request of UNITS.  Small requests take little of the quota,
 * so that more callers are served when they go first. */
static double
quota_share_of_size (const br_quota_t *quota, double share, double units)
{
  if (share >= 1 || share <= 0 || quota->typical_units <= 0)
    return share;
  return BR_MAX (pow (share, units / quota->typical_units),
                 share * LARGE_SHARE_MIN);
}

static void
quota_note_size (br_quota_t *quota, double units)
{
  double both = quota->typical_units + units;

  if (quota->typical_units <= 0)
    quota->typical_units = units;
  else
    quota->typical_units
        += SIZE_WEIGHT * units / both * (units - quota->typical_units);
}

static void
quota_use (br_quota_t *quota, double units)
{
  quota->used += units;
  quota->unaccounted += units;
  quota->level -= units;
}

bool
br_quotas_take (br_quotas_t *quotas,
                const br_site_organisation_t *organisation,
                double units,
                double draw,
                br_ms_t now,
                br_ms_t *wait_ms)
{
  br_quota_t *quota = quotas_get (quotas, br_name_str (&organisation->name));
  double rate = organisation->rate_per_s * quota->share;
  double level;

  quota->requested += units;
  quota->requested_total += units;
  quota_note_size (quota, units);
  if (organisation->rate_per_s <= 0)
    return true;
  quota_fill (quota, organisation, now);
  level = quota->level;
  if (quota_is_heard (quota, now))
    {
      quota_view_t view = quota_view (quota, organisation, now);

      rate = organisation->rate_per_s;
      /* If the leader falls silent now, this VM goes on with its part of what
       * is left, and not with a share of its own that was never used. */
      quota->level
          = BR_MIN (quota->level, BR_MAX (view.remaining, 0) * view.share);
      if (draw >= quota_share_of_size (quota, quota_share (&view), units))
        {
          *wait_ms = BR_MAX ((br_ms_t)(-view.remaining * 1000 / rate), 0)
                     + (br_ms_t)(units * 1000 / rate) + COME_BACK_MIN_MS;
          return false;
        }
      level = units;
    }
  /* A request that is larger than what is there takes it ahead. */
  if (level > 0)
    {
      quota_use (quota, units);
      return true;
    }
  *wait_ms = rate > 0 ? (br_ms_t)(-level * 1000 / rate) + 1 : 1000;
  return false;
}

double
br_quotas_share (br_quotas_t *quotas,
                 const br_site_organisation_t *organisation)
{
  return quotas_get (quotas, br_name_str (&organisation->name))->share;
}

void
br_quotas_give_back (br_quotas_t *quotas,
                     const br_site_organisation_t *organisation,
                     double units)
{
  br_quota_t *quota = quotas_find (quotas, br_name_str (&organisation->name));

  if (quota != NULL)
    quota_use (quota, -units);
}

void
br_quotas_set_share (br_quotas_t *quotas, br_str_t organisation, double share)
{
  quotas_get (quotas, organisation)->share = share;
}

void
br_quotas_demand (br_quotas_t *quotas,
                  br_ms_t now,
                  br_quota_demand_fn tell,
                  void *context)
{
  br_ms_t span = now - quotas->demand_ms;

  if (span <= 0)
    return;
  for (size_t i = 0; i < quotas->list.len; i++)
    {
      br_quota_t *quota = &quotas->list.items[i];

      quota->demand
          += DEMAND_WEIGHT
             * (quota->requested * 1000 / (double)span - quota->demand);
      if (quota->demand >= TOLD_MIN)
        tell (context, &quota->organisation, quota->demand);
      quota->requested = 0;
    }
  quotas->demand_ms = now;
}

void
br_quotas_release (br_quotas_t *quotas)
{
  br_quota_list_free (&quotas->list);
}

double
br_quota_share (double demand, double total, size_t n)
{
  if (total <= 0)
    return 1 / (double)n;
  return EVEN_SHARE / (double)n + (1 - EVEN_SHARE) * demand / total;
}

void
br_quotas_receive_total (br_quotas_t *quotas,
                         br_str_t organisation,
                         double total_per_s,
                         size_t entries)
{
  br_quota_t *quota = quotas_find (quotas, organisation);

  if (quota != NULL && quota->demand >= TOLD_MIN)
    quota->share = br_quota_share (
        quota->demand, BR_MAX (total_per_s, quota->demand), entries);
}
