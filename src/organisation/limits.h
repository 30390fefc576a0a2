/* The limits of organisations on this VM, and the digests with which the VMs of
 * a failure domain share them. */
#ifndef BR_ORGANISATION_LIMITS_H
#define BR_ORGANISATION_LIMITS_H

#include "organisation/admission.h"
#include "organisation/lease_share.h"
#include "organisation/token_bucket.h"

BR_BEGIN_DECLS

/* An organisation and its use of this VM. */
typedef struct
{
  br_admission_limits_t declared;
  bool known; /* it is declared now */
  br_lease_share_t rate;
  br_lease_share_t slots;
  br_token_bucket_t bucket;
  uint64_t in_flight;   /* requests that wait or run */
  uint64_t requested;   /* requests since the last digest */
  uint64_t wanted_rate; /* smoothed, thousandths of a request per second */
  uint64_t slots_peak;  /* wanted at once since the last digest */
  uint64_t wanted_slots;
  double hold_ms; /* smoothed time for which a request is in flight */
} br_limited_t;

/* Another VM of the failure domain, by its newest digest. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  br_ms_t sent_ms;
} br_limits_peer_t;

BR_VEC (br_limited_list, br_limited_t);
BR_VEC (br_limits_peers, br_limits_peer_t);

typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  size_t n_vms;
  size_t index; /* of this VM among them, by name */
  br_limited_list_t organisations;
  br_limits_peers_t peers;
  br_ms_t digest_ms; /* when the last digests went out */
} br_limits_t;

void br_limits_init (br_limits_t *limits,
                     const br_admission_options_t *options);
void br_limits_release (br_limits_t *limits);
void br_limits_declare (br_limits_t *limits,
                        const br_admission_limits_t *declared,
                        br_ms_t now);
void br_limits_forget (br_limits_t *limits, const br_name_t *organisation);

/* Returns the organisation, added without limits when it is new; valid until
 * the next call with a new one. */
br_limited_t *br_limits_find (br_limits_t *limits,
                              const br_name_t *organisation);

/* Counts a request that is asked for.  Returns 0 when the limits let it run
 * now, else how long until it may come back. */
br_ms_t br_limits_request (br_limited_t *organisation, br_ms_t now);

/* Takes a request that br_limits_request() let in at the same time. */
void br_limits_take (br_limited_t *organisation, br_ms_t now);

/* A request that was taken has ended after HELD_MS. */
void br_limits_end (br_limited_t *organisation, br_ms_t held_ms);

void br_limits_on_digest (br_limits_t *limits,
                          const br_admission_digest_t *digest);

/* Appends the digests that are due. */
void br_limits_tick (br_limits_t *limits,
                     br_ms_t now,
                     br_admission_outbox_t *outbox);

BR_END_DECLS

#endif
