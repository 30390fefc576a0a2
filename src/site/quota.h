/* The quotas of organisations on one entry VM.  While the control VM that leads
 * tells what is left of a quota over the whole site, that decides; without its
 * word, this VM keeps to its share. */
#ifndef BR_SITE_QUOTA_H
#define BR_SITE_QUOTA_H

#include "site/configuration.h"
#include "site/inbound.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t organisation;
  double level; /* units that may be used now */
  br_ms_t filled_ms;
  double share;                 /* of the quota that is this VM's, 0 to 1 */
  double used;                  /* units let through since this VM started */
  double requested_total;       /* units asked for since this VM started */
  double remaining;             /* of the whole site's quota, as last heard */
  double demand_per_s;          /* at the whole site, as last heard */
  br_ms_t remaining_updated_ms; /* when it was heard */
  double last_sent_requested; /* REQUESTED_TOTAL as the leader was last told */
  double unaccounted;         /* let through here and not in REMAINING */
  double unaccounted_before;  /* of that, before REMAINING was heard */
  double demand;              /* units asked for in a second, averaged */
  double typical_units;       /* of a request; large ones count more */
  double requested; /* units asked for since the last br_quotas_demand() */
} br_quota_t;

BR_VEC (br_quota_list, br_quota_t);

/* An all-zero value knows no organisation. */
typedef struct
{
  br_quota_list_t list;
  double default_share; /* of an organisation without one of its own */
  br_ms_t demand_ms;    /* when the demand was last taken */
} br_quotas_t;

/* What a request counts against its organisation's quota. */
double br_quota_units (const br_site_organisation_t *organisation,
                       const br_inbound_t *inbound);

/* Takes UNITS; DRAW is in [0, 1) and decides when only part of what is asked
 * for can be let through.  False when the share is used up, and *WAIT_MS then
 * says when there will be enough. */
bool br_quotas_take (br_quotas_t *quotas,
                     const br_site_organisation_t *organisation,
                     double units,
                     double draw,
                     br_ms_t now,
                     br_ms_t *wait_ms);

/* What the leader tells of a quota. */
typedef struct
{
  double remaining;    /* units */
  double demand_per_s; /* by all callers */
} br_quota_update_t;

/* The leader told at NOW what is left of a quota. */
void br_quotas_receive (br_quotas_t *quotas,
                        br_str_t organisation,
                        const br_quota_update_t *update,
                        br_ms_t now);

/* The share of the organisation's quota that is this VM's now, 0 to 1. */
double br_quotas_share (br_quotas_t *quotas,
                        const br_site_organisation_t *organisation);

/* Gives back what a request took that did not run. */
void br_quotas_give_back (br_quotas_t *quotas,
                          const br_site_organisation_t *organisation,
                          double units);
void
br_quotas_set_share (br_quotas_t *quotas, br_str_t organisation, double share);

typedef void (*br_quota_demand_fn) (void *context,
                                    const br_name_t *organisation,
                                    double units_per_s);

/* Tells what was asked for since the last call. */
void br_quotas_demand (br_quotas_t *quotas,
                       br_ms_t now,
                       br_quota_demand_fn tell,
                       void *context);
void br_quotas_release (br_quotas_t *quotas);

/* The share of one quota that is one of N entry VMs': mostly in proportion to
 * its DEMAND in the TOTAL, the rest even, so that a VM that begins to
 * ask has some at once.  The shares of all add up to 1. */
double br_quota_share (double demand, double total, size_t n);

/* Takes the share that follows from what all entry VMs, ENTRIES of them, are
 * asked for by the organisation, TOTAL_PER_S.  One that was not asked for here
 * keeps the default. */
void br_quotas_receive_total (br_quotas_t *quotas,
                              br_str_t organisation,
                              double total_per_s,
                              size_t entries);

BR_END_DECLS

#endif
