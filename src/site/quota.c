#include "site/quota.h"

#include <math.h>

/* Part of a quota that is split evenly between VMs, whatever their demand. */
#define EVEN_SHARE 0.25

/* Shares of one quota at several VMs never fit the demand exactly.  These
 * margins let the shares together exceed the quota, to avoid refusing requests
 * that are within it: a factor on the rate, and tokens added to the burst.  The
 * platform tolerates a tenth of the rate and 140,000 tokens. */
#define RATE_MARGIN 1.04
#define BURST_MARGIN_TOKENS 70000

/* Shortest retry-after of a refused request, in milliseconds. */
#define RETRY_AFTER_MIN_MS 200

/* Smallest demand that is reported, in units a second. */
#define REPORTED_DEMAND_MIN 1

/* Weight of the newest demand in the average. */
#define DEMAND_WEIGHT 0.4

/* Age from which the leader's update on a quota is not used, in milliseconds:
 * several of the intervals at which the leader sends it. */
#define REMAINING_LIFE_MS 1500

/* Age up to which the update is used unchanged, in milliseconds: twice the
 * interval. */
#define REMAINING_FRESH_MS 250

/* Time over which the remaining units are used up, in milliseconds: several
 * times the delay until all VMs receive what the others let through. */
#define HORIZON_MS 400

/* Factor on the share of requests that are let through: measured demand lags
 * behind demand that grows. */
#define SHARE_MARGIN 0.96

/* Largest weight of one request in the typical size. */
#define SIZE_WEIGHT 0.1

/* Smallest share for a large request, as a factor on the share for a typical
 * one.  The largest requests of a kind are then served at least half as often
 * as the others. */
#define LARGE_SHARE_MIN 0.85

/* How many times as likely a take-up is let through as a new request, and the
 * weight of the newest request in the average share of take-ups. */
#define TAKE_UP_FACTOR 3.0
#define TAKE_UP_WEIGHT 0.1

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
            br_ms_t since_ms,
            br_ms_t now)
{
  double margin = organisation->by_tokens ? BURST_MARGIN_TOKENS : 0;
  double burst = (organisation->burst + margin) * quota->share;
  double rate = organisation->rate_per_s * RATE_MARGIN * quota->share;

  if (quota->filled_ms < 0)
    quota->filled_ms = since_ms;
  quota->level += rate * (double)(now - quota->filled_ms) / 1000;
  quota->level = BR_MIN (quota->level, burst);
  quota->filled_ms = now;
}

/* An update may not yet include what was let through in the last interval. */
static void
quota_account (br_quota_t *quota)
{
  quota->unaccounted -= quota->unaccounted_before;
  quota->unaccounted_before = quota->unaccounted;
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
  quota_account (quota);
}

void
br_quotas_receive_deputy (br_quotas_t *quotas,
                          br_str_t organisation,
                          const br_deputy_quota_t *figures)
{
  br_quota_t *quota = quotas_get (quotas, organisation);

  quota->deputy = *figures;
  quota_account (quota);
}

/* What this VM may let through: out of the whole site's quota while the
 * leader's update is fresh, else out of its own share. */
typedef struct
{
  double remaining;
  double rate_per_s;
  double demand_per_s;
  double share; /* this VM's share of REMAINING */
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

  /* Other VMs let requests through as well, by an unknown amount, so this VM
   * uses only its share.  A negative amount is not split: every VM waits until
   * the whole of it has filled up. */
  if (age_ms > REMAINING_FRESH_MS)
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
quota_has_update (const br_quota_t *quota, br_ms_t now)
{
  return quota->remaining_updated_ms > 0
         && now - quota->remaining_updated_ms < REMAINING_LIFE_MS;
}

/* Returns the share of the demand that can be let through: as much as uses up
 * the remaining units over the next HORIZON_MS. */
static double
quota_share (const quota_view_t *view)
{
  double demand = view->demand_per_s * HORIZON_MS / 1000;
  double available = view->remaining + view->rate_per_s * HORIZON_MS / 1000;

  /* A new leader has received no demand yet. */
  if (demand <= 0)
    return available > 0 ? 1 : 0;
  return available * SHARE_MARGIN / demand;
}

/* Returns the share for take-ups or for new requests, which together get
 * SHARE. */
static double
quota_share_of_kind (const br_quota_t *quota, double share, bool is_take_up)
{
  double take_up_share = BR_MIN (TAKE_UP_FACTOR * share, 1);

  if (share >= 1 || share <= 0)
    return share;
  if (is_take_up)
    return take_up_share;
  return BR_MAX (
      (share - quota->take_ups * take_up_share) / (1 - quota->take_ups), 0);
}

/* Returns the share for a request of UNITS.  Small requests get a larger share:
 * they take little of the quota, so more callers are served. */
static double
quota_share_of_size (const br_quota_t *quota, double share, double units)
{
  if (share >= 1 || share <= 0 || quota->typical_units <= 0)
    return share;
  return BR_MAX (pow (share, units / quota->typical_units),
                 share * LARGE_SHARE_MIN);
}

static void
quota_note_request (br_quota_t *quota, const br_quota_request_t *request)
{
  double units = request->units;
  double both = quota->typical_units + units;

  if (quota->typical_units <= 0)
    quota->typical_units = units;
  else
    quota->typical_units
        += SIZE_WEIGHT * units / both * (units - quota->typical_units);
  quota->take_ups
      += TAKE_UP_WEIGHT * ((request->is_take_up ? 1 : 0) - quota->take_ups);
}

static void
quota_use (br_quota_t *quota, double units)
{
  quota->used += units;
  quota->unaccounted += units;
  quota->level -= units;
}

br_deputy_limit_t
br_quota_deputy_limit (const br_site_organisation_t *organisation)
{
  br_deputy_limit_t limit = {
    .rate_per_s = organisation->rate_per_s,
    .burst = organisation->burst,
    .tolerated = organisation->by_tokens ? BR_DEPUTY_TOLERATED_TOKENS : 0,
  };

  return limit;
}

static bool
quota_uses_deputy (const br_quota_t *quota, br_ms_t now)
{
  return quota->deputy.received_ms > quota->remaining_updated_ms
         && br_deputy_quota_is_fresh (&quota->deputy, now);
}

/* Returns the units that a request may use now by a deputy's figures; the
 * request itself may exceed them. */
static double
quota_deputy_level (br_quota_t *quota,
                    const br_site_organisation_t *organisation,
                    const br_quota_request_t *request)
{
  br_deputy_limit_t limit = br_quota_deputy_limit (organisation);
  double remaining = quota->deputy.remaining - quota->unaccounted;

  quota->level = BR_MIN (quota->level, BR_MAX (remaining, 0) * quota->share);
  switch (br_deputy_quota_state (&quota->deputy, &limit))
    {
    case BR_DEPUTY_OPEN:
      return remaining + limit.tolerated;
    case BR_DEPUTY_SCARCE:
      /* Lets through LEVEL units on average. */
      return request->draw * request->units < quota->level ? quota->level : 0;
    case BR_DEPUTY_SHARE:
      break;
    }
  return quota->level;
}

bool
br_quotas_take (br_quotas_t *quotas,
                const br_site_organisation_t *organisation,
                const br_quota_request_t *request,
                br_ms_t now,
                br_ms_t *wait_ms)
{
  double units = request->units;
  br_quota_t *quota = quotas_get (quotas, br_name_str (&organisation->name));
  double rate = organisation->rate_per_s * quota->share;
  double level;

  quota->requested += units;
  quota->requested_total += units;
  quota_note_request (quota, request);
  if (organisation->rate_per_s <= 0)
    return true;
  quota_fill (quota, organisation, quotas->since_ms, now);
  level = quota->level;
  if (quota_uses_deputy (quota, now))
    level = quota_deputy_level (quota, organisation, request);
  else if (quota_has_update (quota, now))
    {
      quota_view_t view = quota_view (quota, organisation, now);
      double share = quota_share_of_kind (quota, quota_share (&view),
                                          request->is_take_up);

      rate = organisation->rate_per_s;
      /* If the leader's updates stop now, this VM continues with its share of
       * the remaining units instead of a full bucket that was never used. */
      quota->level
          = BR_MIN (quota->level, BR_MAX (view.remaining, 0) * view.share);
      if (request->draw >= quota_share_of_size (quota, share, units))
        {
          *wait_ms = BR_MAX ((br_ms_t)(-view.remaining * 1000 / rate), 0)
                     + (br_ms_t)(units * 1000 / rate) + RETRY_AFTER_MIN_MS;
          return false;
        }
      level = units;
    }
  /* A request larger than the level makes the level negative. */
  if (level > 0)
    {
      quota_use (quota, units);
      return true;
    }
  level = BR_MIN (level, quota->level);
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
                  br_quota_demand_fn report,
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
      if (quota->demand >= REPORTED_DEMAND_MIN)
        report (context, &quota->organisation, quota->demand);
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

  if (quota != NULL && quota->demand >= REPORTED_DEMAND_MIN)
    quota->share = br_quota_share (
        quota->demand, BR_MAX (total_per_s, quota->demand), entries);
}
