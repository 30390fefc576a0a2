#include "site/quota_pool.h"

static br_pool_quota_t *
pool_quota (br_quota_pool_t *pool,
            const br_site_organisation_t *organisation,
            br_ms_t now)
{
  /* A new leader does not know how much of the burst was used before. */
  br_pool_quota_t fresh = {
    .organisation = organisation->name,
    .filled_ms = now,
  };

  for (size_t i = 0; i < pool->quotas.len; i++)
    if (br_name_equal (&pool->quotas.items[i].organisation,
                       &organisation->name))
      return &pool->quotas.items[i];
  return br_pool_quotas_push (&pool->quotas, fresh);
}

static br_pool_used_t *
pool_used (br_quota_pool_t *pool,
           const br_name_t *organisation,
           const br_pool_report_t *report,
           bool *is_new)
{
  br_pool_used_t fresh = {
    .vm = *report->vm,
    .incarnation = report->incarnation,
    .organisation = *organisation,
    .used = report->units,
  };

  *is_new = false;
  for (size_t i = 0; i < pool->useds.len; i++)
    {
      br_pool_used_t *used = &pool->useds.items[i];

      if (used->incarnation == report->incarnation
          && br_name_equal (&used->vm, report->vm)
          && br_name_equal (&used->organisation, organisation))
        return used;
    }
  *is_new = true;
  return br_pool_useds_push (&pool->useds, fresh);
}

double
br_quota_pool_level (br_quota_pool_t *pool,
                     const br_site_organisation_t *organisation,
                     br_ms_t now)
{
  br_pool_quota_t *quota = pool_quota (pool, organisation, now);
  double filled
      = organisation->rate_per_s * (double)(now - quota->filled_ms) / 1000;

  quota->level = BR_MIN (quota->level + filled, organisation->burst);
  quota->filled_ms = now;
  return quota->level;
}

void
br_quota_pool_hear (br_quota_pool_t *pool,
                    const br_site_organisation_t *organisation,
                    const br_pool_report_t *report,
                    br_ms_t now)
{
  bool is_new;
  br_pool_used_t *used = pool_used (pool, &organisation->name, report, &is_new);

  br_quota_pool_level (pool, organisation, now);
  /* What a run let through before it was first heard of is long filled up, or
   * was counted by the leader before. */
  if (!is_new && report->units > used->used)
    pool_quota (pool, organisation, now)->level -= report->units - used->used;
  used->used = report->units;
}

void
br_quota_pool_release (br_quota_pool_t *pool)
{
  br_pool_quotas_free (&pool->quotas);
  br_pool_useds_free (&pool->useds);
}
