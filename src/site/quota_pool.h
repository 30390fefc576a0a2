/* The quotas of a whole site: each is a bucket that fills at the organisation's
 * rate and from which goes what the entry VMs let through.  Every control VM
 * keeps them, so that one that begins to lead knows what is left. */
#ifndef BR_SITE_QUOTA_POOL_H
#define BR_SITE_QUOTA_POOL_H

#include "site/configuration.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t organisation;
  double level;        /* units; below 0 when too much was let through */
  double requested;    /* units since REQUESTED_SINCE_MS */
  double demand_per_s; /* averaged */
  br_ms_t requested_since_ms;
  br_ms_t filled_ms;
} br_pool_quota_t;

BR_VEC (br_pool_quotas, br_pool_quota_t);

/* What one run of an entry VM has let through for one organisation. */
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
  bool is_complete;        /* what is not in USAGES was 0 */
  br_pool_usages_t usages; /* owned */
} br_pool_vm_t;

BR_VEC (br_pool_vms, br_pool_vm_t);

/* An all-zero value knows nothing: every quota begins without a burst. */
typedef struct
{
  br_pool_quotas_t quotas;
  br_pool_vms_t vms;
  size_t last_vm;       /* in VMS: the one that told last tells on */
  br_ms_t began_ms;     /* when it was first told anything */
  br_ms_t last_seen_ms; /* when it was last told anything */
} br_quota_pool_t;

typedef struct
{
  const br_name_t *vm;
  uint64_t incarnation;
  br_ms_t up_ms;    /* since the run began */
  double units;     /* let through since the run began */
  double requested; /* asked for since then */
} br_pool_report_t;

/* Whether the pool was told for long enough, and lately, to lead from. */
bool br_quota_pool_is_current (const br_quota_pool_t *pool, br_ms_t now);

/* A leader begins.  DEMAND_PER_S is what all entry VMs together were last known
 * to be asked for. */
void br_quota_pool_begin (br_quota_pool_t *pool,
                          const br_site_organisation_t *organisation,
                          double demand_per_s,
                          br_ms_t now);

/* An entry VM told what it let through. */
void br_quota_pool_receive (br_quota_pool_t *pool,
                            const br_site_organisation_t *organisation,
                            const br_pool_report_t *report,
                            br_ms_t now);

/* That was all that the run has let through, for any organisation: what it
 * tells of another one later was let through since. */
void br_quota_pool_receive_complete (br_quota_pool_t *pool,
                                     const br_pool_report_t *report,
                                     br_ms_t now);

/* Returns what is left of the organisation's quota. */
double br_quota_pool_level (br_quota_pool_t *pool,
                            const br_site_organisation_t *organisation,
                            br_ms_t now);

/* Returns what is asked for in a second over all entry VMs. */
double br_quota_pool_demand (br_quota_pool_t *pool,
                             const br_site_organisation_t *organisation,
                             br_ms_t now);

/* Forgets everything. */
void br_quota_pool_release (br_quota_pool_t *pool);

BR_END_DECLS

#endif
