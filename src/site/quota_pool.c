#include "site/quota_pool.h"

/* Time before a new leader begins in which usage was reported to no leader, in
 * milliseconds: the election timeout and one report interval. */
#define UNCOUNTED_MS 600

/* Shortest time over which demand is measured, in milliseconds, and the weight
 * of the newest measurement in the average.  When an organisation starts to
 * send several times its usual demand, this shows within half a second. */
#define DEMAND_SPAN_MS 100
#define DEMAND_WEIGHT 0.35

/* Time without any report after which a pool's levels are no longer valid, in
 * milliseconds: three of the intervals at which entry VMs report to all control
 * VMs. */
#define REPORT_TIMEOUT_MS 1500

/* Time without a report after which a run is dropped, in milliseconds. */
#define VM_LIFE_MS 60000

static br_pool_quota_t *
pool_quota (br_quota_pool_t *pool,
            const br_site_organisation_t *organisation,
            br_ms_t now)
{
  /* The bucket starts empty: how much of the burst was used before is not
   * known. */
  br_pool_quota_t fresh = {
    .organisation = organisation->name,
    .filled_ms = now,
    .requested_since_ms = now,
  };

  for (size_t i = 0; i < pool->quotas.len; i++)
    if (br_name_equal (&pool->quotas.items[i].organisation,
                       &organisation->name))
      return &pool->quotas.items[i];
  return br_pool_quotas_push (&pool->quotas, fresh);
}

bool
br_quota_pool_is_current (const br_quota_pool_t *pool, br_ms_t now)
{
  return pool->began_ms > 0 && now - pool->began_ms >= REPORT_TIMEOUT_MS
         && now - pool->last_seen_ms < REPORT_TIMEOUT_MS;
}

void
br_quota_pool_begin (br_quota_pool_t *pool,
                     const br_site_organisation_t *organisation,
                     double demand_per_s,
                     br_ms_t now)
{
  br_pool_quota_t *quota = pool_quota (pool, organisation, now);
  double excess = demand_per_s - organisation->rate_per_s;
  bool is_current = br_quota_pool_is_current (pool, now);

  if (pool->began_ms == 0)
    pool->began_ms = now;
  quota->demand_per_s = demand_per_s;
  quota->requested = 0;
  quota->requested_since_ms = now;
  if (excess > 0 && !is_current)
    quota->level
        = -BR_MIN (excess, organisation->rate_per_s) * UNCOUNTED_MS / 1000;
}

/* --- runs of entry VMs --- */

static void
pool_drop_old (br_quota_pool_t *pool, br_ms_t now)
{
  size_t kept = 0;

  for (size_t i = 0; i < pool->vms.len; i++)
    if (now - pool->vms.items[i].last_seen_ms < VM_LIFE_MS)
      pool->vms.items[kept++] = pool->vms.items[i];
    else
      br_pool_usages_free (&pool->vms.items[i].usages);
  pool->vms.len = kept;
}

static bool
pool_vm_is (const br_pool_vm_t *vm, const br_pool_report_t *report)
{
  return vm->incarnation == report->incarnation
         && br_name_equal (&vm->vm, report->vm);
}

static br_pool_vm_t *
pool_vm (br_quota_pool_t *pool, const br_pool_report_t *report, br_ms_t now)
{
  br_pool_vm_t fresh = {
    .vm = *report->vm,
    .incarnation = report->incarnation,
    .last_seen_ms = now,
  };

  if (pool->last_vm_index < pool->vms.len
      && pool_vm_is (&pool->vms.items[pool->last_vm_index], report))
    return &pool->vms.items[pool->last_vm_index];
  for (size_t i = 0; i < pool->vms.len; i++)
    if (pool_vm_is (&pool->vms.items[i], report))
      {
        pool->last_vm_index = i;
        return &pool->vms.items[i];
      }
  pool_drop_old (pool, now);
  return br_pool_vms_push (&pool->vms, fresh);
}

static br_pool_usage_t *
pool_usage (br_quota_pool_t *pool,
            const br_name_t *organisation,
            const br_pool_report_t *report,
            br_ms_t now,
            bool *is_first)
{
  br_pool_vm_t *vm = pool_vm (pool, report, now);
  br_pool_usage_t fresh = {
    .organisation = *organisation,
    .used = report->units,
    .requested = report->requested,
  };

  vm->last_seen_ms = now;
  *is_first = false;
  for (size_t i = 0; i < vm->usages.len; i++)
    if (br_name_equal (&vm->usages.items[i].organisation, organisation))
      return &vm->usages.items[i];
  *is_first = !vm->is_complete;
  if (vm->is_complete)
    fresh.used = fresh.requested = 0;
  return br_pool_usages_push (&vm->usages, fresh);
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
br_quota_pool_receive (br_quota_pool_t *pool,
                       const br_site_organisation_t *organisation,
                       const br_pool_report_t *report,
                       br_ms_t now)
{
  bool is_first;
  br_pool_usage_t *usage;

  if (pool->last_seen_ms > 0 && now - pool->last_seen_ms >= REPORT_TIMEOUT_MS)
    {
      br_quota_pool_release (pool);
      *pool = (br_quota_pool_t){ 0 };
    }
  usage = pool_usage (pool, &organisation->name, report, now, &is_first);
  pool->last_seen_ms = now;
  br_quota_pool_level (pool, organisation, now);
  if (pool->began_ms == 0)
    pool->began_ms = now;
  /* The totals of a run that is older than this pool were counted by another
   * leader, whenever its first report arrives here. */
  if (is_first && report->up_ms >= now - pool->began_ms)
    return;
  if (is_first)
    usage->used = usage->requested = 0;
  if (report->units > usage->used)
    pool_quota (pool, organisation, now)->level -= report->units - usage->used;
  if (report->requested > usage->requested)
    {
      br_pool_quota_t *quota = pool_quota (pool, organisation, now);

      quota->requested += report->requested - usage->requested;
      quota->requested_total += report->requested - usage->requested;
    }
  usage->used = report->units;
  usage->requested = report->requested;
}

void
br_quota_pool_receive_complete (br_quota_pool_t *pool,
                                const br_pool_report_t *report,
                                br_ms_t now)
{
  br_pool_vm_t *vm = pool_vm (pool, report, now);

  vm->last_seen_ms = now;
  vm->is_complete = true;
}

double
br_quota_pool_demand (br_quota_pool_t *pool,
                      const br_site_organisation_t *organisation,
                      br_ms_t now)
{
  br_pool_quota_t *quota = pool_quota (pool, organisation, now);
  br_ms_t span = now - quota->requested_since_ms;

  if (span < DEMAND_SPAN_MS)
    return quota->demand_per_s;
  quota->demand_per_s
      += DEMAND_WEIGHT
         * (quota->requested * 1000 / (double)span - quota->demand_per_s);
  quota->requested = 0;
  quota->requested_since_ms = now;
  return quota->demand_per_s;
}

double
br_quota_pool_requested (const br_quota_pool_t *pool,
                         const br_site_organisation_t *organisation)
{
  for (size_t i = 0; i < pool->quotas.len; i++)
    if (br_name_equal (&pool->quotas.items[i].organisation,
                       &organisation->name))
      return pool->quotas.items[i].requested_total;
  return 0;
}

void
br_quota_pool_release (br_quota_pool_t *pool)
{
  br_pool_quotas_free (&pool->quotas);
  for (size_t i = 0; i < pool->vms.len; i++)
    br_pool_usages_free (&pool->vms.items[i].usages);
  br_pool_vms_free (&pool->vms);
}
