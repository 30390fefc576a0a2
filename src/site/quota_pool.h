/* The quotas of a whole site.  Each is a token bucket that fills at the
 * organisation's rate and is drained by what the entry VMs let through.  Every
 * control VM keeps these buckets, so a new leader has their levels. */
#ifndef BR_SITE_QUOTA_POOL_H
#define BR_SITE_QUOTA_POOL_H

#include "site/configuration.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t organisation;
  double level;           /* units; below 0 when too much was let through */
  double requested;       /* units requested since REQUESTED_SINCE_MS */
  double requested_total; /* units requested since the pool began */
  double demand_per_s;    /* averaged */
  br_ms_t requested_since_ms;
  br_ms_t filled_ms;
} br_pool_quota_t;

BR_VEC (br_pool_quotas, br_pool_quota_t);

/* Totals of one run of an entry VM for one organisation, as last reported. */
typedef struct
{
  br_name_t organisation;
  double used;
  double requested;
} br_pool_usage_t;

BR_VEC (br_pool_usages, br_pool_usage_t);

/* One run of an entry VM. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  br_ms_t last_seen_ms;
  bool is_complete;        /* an organisation not in USAGES has used 0 */
  br_pool_usages_t usages; /* owned */
} br_pool_vm_t;

BR_VEC (br_pool_vms, br_pool_vm_t);

/* An all-zero value is empty; each quota then starts with an empty bucket. */
typedef struct
{
  br_pool_quotas_t quotas;
  br_pool_vms_t vms;
  size_t last_vm_index; /* index in VMS of the last report's VM, tried first */
  br_ms_t began_ms;     /* time of the first report or of leading */
  br_ms_t last_seen_ms; /* time of the last report */
} br_quota_pool_t;

typedef struct
{
  const br_name_t *vm;
  uint64_t incarnation;
  br_ms_t up_ms;    /* since the run began */
  double units;     /* let through since the run began */
  double requested; /* since the run began */
} br_pool_report_t;

/* Returns whether the pool has received reports for long enough, and recently
 * enough, for a new leader to use its levels. */
bool br_quota_pool_is_current (const br_quota_pool_t *pool, br_ms_t now);

/* Prepares the organisation's quota when this VM becomes the leader.
 * DEMAND_PER_S is the last known demand at all entry VMs together. */
void br_quota_pool_begin (br_quota_pool_t *pool,
                          const br_site_organisation_t *organisation,
                          double demand_per_s,
                          br_ms_t now);

/* Takes an entry VM's report for one organisation. */
void br_quota_pool_receive (br_quota_pool_t *pool,
                            const br_site_organisation_t *organisation,
                            const br_pool_report_t *report,
                            br_ms_t now);

/* Records that the run has reported all organisations.  When it reports a
 * further one later, all of that usage is new. */
void br_quota_pool_receive_complete (br_quota_pool_t *pool,
                                     const br_pool_report_t *report,
                                     br_ms_t now);

/* Returns the remaining units of the organisation's quota. */
double br_quota_pool_level (br_quota_pool_t *pool,
                            const br_site_organisation_t *organisation,
                            br_ms_t now);

/* Returns the demand in units a second over all entry VMs. */
double br_quota_pool_demand (br_quota_pool_t *pool,
                             const br_site_organisation_t *organisation,
                             br_ms_t now);

/* Returns the units requested over all entry VMs since the pool began. */
double br_quota_pool_requested (const br_quota_pool_t *pool,
                                const br_site_organisation_t *organisation);

/* Frees what the pool holds. */
void br_quota_pool_release (br_quota_pool_t *pool);

BR_END_DECLS

#endif
