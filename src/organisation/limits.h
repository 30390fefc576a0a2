/* Enforces this VM's share of the organisations' limits, and exchanges the
 * digests by which the VMs of a failure domain lend shares to each other. */
#ifndef BR_ORGANISATION_LIMITS_H
#define BR_ORGANISATION_LIMITS_H

#include "organisation/admission.h"
#include "organisation/lease_share.h"
#include "organisation/token_bucket.h"

BR_BEGIN_DECLS

/* An organisation, its shares of the limits and its use of this VM. */
typedef struct
{
  br_admission_limits_t declared;
  bool is_declared;
  br_lease_share_t rate;
  br_lease_share_t slots;
  br_token_bucket_t bucket;
  uint64_t in_flight;   /* requests that wait or run */
  uint64_t requests;    /* requests since the last digest */
  uint64_t demand_rate; /* smoothed, thousandths of a request per second */
  uint64_t slots_peak;  /* most slots needed at once since the last digest */
  uint64_t demand_slots;
  double request_ms; /* smoothed time for which a request is in flight */
} br_organisation_usage_t;

/* Another VM of the failure domain, as of its latest digest. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  br_ms_t sent_ms;
} br_limits_peer_t;

BR_VEC (br_organisation_usages, br_organisation_usage_t);
BR_VEC (br_limits_peers, br_limits_peer_t);

typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  size_t n_vms;
  size_t index; /* of this VM in the list of VMs, ordered by name */
  br_organisation_usages_t organisations;
  br_limits_peers_t peers;
  br_ms_t digest_ms; /* when the last digests were sent */
} br_limits_t;

void br_limits_init (br_limits_t *limits,
                     const br_admission_options_t *options);
void br_limits_release (br_limits_t *limits);
void br_limits_declare (br_limits_t *limits,
                        const br_admission_limits_t *declared,
                        br_ms_t now);
void br_limits_remove (br_limits_t *limits, const br_name_t *organisation);

/* Returns the organisation, which is added without limits if it is new; valid
 * until the next call that adds one. */
br_organisation_usage_t *br_limits_find (br_limits_t *limits,
                                         const br_name_t *organisation);

/* Counts a new request as demand.  Returns 0 if the limits let it run now,
 * otherwise the retry-after time. */
br_ms_t br_limits_request (br_organisation_usage_t *organisation, br_ms_t now);

/* Counts a request as in flight and takes its token.  br_limits_request() must
 * have returned 0 for it at the same NOW. */
void br_limits_take (br_organisation_usage_t *organisation, br_ms_t now);

/* Counts the end of a request that was in flight for IN_FLIGHT_MS. */
void br_limits_end (br_organisation_usage_t *organisation,
                    br_ms_t in_flight_ms);

void br_limits_on_digest (br_limits_t *limits,
                          const br_admission_digest_t *digest);

/* Fills the token buckets, and appends the digests that are due. */
void br_limits_tick (br_limits_t *limits,
                     br_ms_t now,
                     br_admission_outbox_t *outbox);

BR_END_DECLS

#endif
