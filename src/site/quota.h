/* Applies the quotas of organisations on one entry VM.  While the leading
 * control VM sends how much of a quota remains for the whole site, this amount
 * decides; without recent updates, this VM keeps to its share, or uses the
 * figures of a deputy (deputy/deputy_quota.h). */
#ifndef BR_SITE_QUOTA_H
#define BR_SITE_QUOTA_H

#include "deputy/deputy_quota.h"
#include "site/configuration.h"
#include "site/inbound.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t organisation;
  double level; /* units that may be used now */
  br_ms_t filled_ms;
  double share;                 /* this VM's share of the quota, 0 to 1 */
  double used;                  /* units let through since this VM started */
  double requested_total;       /* units requested since this VM started */
  double remaining;             /* of the site's quota, as last received */
  double demand_per_s;          /* at the whole site, as last received */
  br_ms_t remaining_updated_ms; /* when REMAINING was received */
  double last_sent_requested;   /* REQUESTED_TOTAL as last sent to the leader */
  double unaccounted;           /* let through here, not in REMAINING */
  double unaccounted_before;    /* part of it from before REMAINING came */
  double demand;                /* units requested in a second, averaged */
  double typical_units;         /* of a request; large ones count more */
  br_deputy_quota_t deputy;     /* figures in place of the leader's */
  double take_ups;  /* share of take-ups in the requests, averaged */
  double requested; /* units requested since the last br_quotas_demand() */
} br_quota_t;

BR_VEC (br_quota_list, br_quota_t);

/* An all-zero value holds no organisation. */
typedef struct
{
  br_quota_list_t list;
  double default_share; /* of an organisation without one of its own */
  br_ms_t demand_ms;    /* when the demand was last measured */
  br_ms_t since_ms;     /* when this VM started: nothing may be used then, as
                         * it is not known what other VMs, or this one before
                         * its restart, used */
} br_quotas_t;

/* Returns the units that a request counts against its organisation's quota. */
double br_quota_units (const br_site_organisation_t *organisation,
                       const br_inbound_t *inbound);

typedef struct
{
  double units;
  bool is_take_up; /* goes on with a stream; preferred to a new request, as the
                    * part that its caller has is lost otherwise */
  double draw;     /* in [0, 1); selects the requests that are let through when
                    * the quota covers only part of the demand */
} br_quota_request_t;

/* Takes the units of REQUEST from the quota.  Returns false when the request is
 * refused; *WAIT_MS is then the time after which to retry. */
bool br_quotas_take (br_quotas_t *quotas,
                     const br_site_organisation_t *organisation,
                     const br_quota_request_t *request,
                     br_ms_t now,
                     br_ms_t *wait_ms);

/* The leader's update on one quota. */
typedef struct
{
  double remaining;    /* units, over the whole site */
  double demand_per_s; /* of all callers */
} br_quota_update_t;

/* Takes the leader's update on a quota, received at NOW. */
void br_quotas_receive (br_quotas_t *quotas,
                        br_str_t organisation,
                        const br_quota_update_t *update,
                        br_ms_t now);

/* Returns the organisation's limits, by which a deputy's figures are judged. */
br_deputy_limit_t
br_quota_deputy_limit (const br_site_organisation_t *organisation);

/* Takes a deputy's figures for a quota, received at FIGURES->received_ms.  They
 * are used until the leader sends an update again. */
void br_quotas_receive_deputy (br_quotas_t *quotas,
                               br_str_t organisation,
                               const br_deputy_quota_t *figures);

/* Returns this VM's current share of the organisation's quota, 0 to 1. */
double br_quotas_share (br_quotas_t *quotas,
                        const br_site_organisation_t *organisation);

/* Gives back UNITS that were taken for a request that did not run. */
void br_quotas_give_back (br_quotas_t *quotas,
                          const br_site_organisation_t *organisation,
                          double units);
void
br_quotas_set_share (br_quotas_t *quotas, br_str_t organisation, double share);

typedef void (*br_quota_demand_fn) (void *context,
                                    const br_name_t *organisation,
                                    double units_per_s);

/* Updates the demand since the last call and calls REPORT for each organisation
 * with demand. */
void br_quotas_demand (br_quotas_t *quotas,
                       br_ms_t now,
                       br_quota_demand_fn report,
                       void *context);
void br_quotas_release (br_quotas_t *quotas);

/* Returns the share of a quota for one of N entry VMs: most of it in proportion
 * to its DEMAND in the TOTAL, the rest split evenly to give a VM with new
 * demand some of the quota at once.  The shares of all VMs add up to 1. */
double br_quota_share (double demand, double total, size_t n);

/* Sets the share from TOTAL_PER_S, the organisation's demand at all ENTRIES
 * entry VMs together.  An organisation without demand here keeps its share. */
void br_quotas_receive_total (br_quotas_t *quotas,
                              br_str_t organisation,
                              double total_per_s,
                              size_t entries);

BR_END_DECLS

#endif
