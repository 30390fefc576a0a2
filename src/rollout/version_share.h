/* The entry VM's part of a rollout: holds the version policies that control VMs
 * sent, and decides which versions of a service a request may use.  Does no
 * input or output.
 *
 * The running target gets its share of each route's first attempts.  Each
 * request adds the share to its route's credit, and one that goes to the target
 * takes 1 of it.  Credits begin at a random fraction, so that the requests that
 * all VMs together send to the target are expected to be exactly the share of
 * all, however few each VM gets and however their sessions are distributed. */
#ifndef BR_ROLLOUT_VERSION_SHARE_H
#define BR_ROLLOUT_VERSION_SHARE_H

#include "base/random.h"
#include "rollout/judge.h"
#include "rollout/version_filter.h"
#include "site/fleet.h"

BR_BEGIN_DECLS

/* Without a share of the leader for this long, in milliseconds, the running
 * target gets nothing.  A new leader is elected in about this time. */
#define BR_VERSION_SHARE_LIFE_MS 1500

/* A share of all requests, in millionths. */
#define BR_VERSION_SHARE_ALL 1000000

/* Values as sent in VersionPolicy.phase.  A value that this build does not know
 * counts as HOLD. */
typedef enum
{
  BR_POLICY_HOLD = 1,
  BR_POLICY_SAMPLE,
  BR_POLICY_MOVE,
  BR_POLICY_COMPLETED,
  BR_POLICY_ROLLED_BACK,
} br_policy_phase_t;

BR_VEC (br_versions, br_version_t);

typedef struct
{
  br_name_t service;
  uint64_t number; /* of the order */
  uint64_t step;
  br_policy_phase_t phase;
  br_version_t target;
  uint32_t share_ppm;
  uint32_t upstreams;    /* of the target that get requests; 0: all */
  br_versions_t allowed; /* without the running target */
  br_ms_t share_age_ms;
} br_version_policy_t;

/* The credit of one route. */
typedef struct
{
  br_name_t route;
  double credit;
} br_route_credit_t;

BR_VEC (br_route_credits, br_route_credit_t);

/* One service that ever had a rollout. */
typedef struct
{
  br_version_policy_t policy; /* owned; in force */
  br_ms_t share_until_ms;     /* the share is in force until then */
  bool stopped;               /* this VM judged the target bad */
  br_route_credits_t credits; /* owned */
  uint64_t sent;        /* arrivals at upstreams since the order was received */
  uint64_t sent_new;    /* of them at the target */
  uint64_t not_arrived; /* of SENT: to be deducted from the next ones, as
                         * reported counts never fall */
  br_answer_table_t answers; /* owned; since the order was received */
  br_judge_t judge;          /* owned; of ANSWERS */
} br_version_share_t;

BR_VEC (br_version_share_list, br_version_share_t);

/* What this VM may send to a bad version, as its part of the site's exposure.
 * A share of the leader above it holds only up to here, so that a burst during
 * a move does not exceed the exposure before the leader notices. */
typedef struct
{
  double share; /* of this VM's requests; 0: not bounded */
  double slack; /* in addition */
} br_version_bounds_t;

/* An all-zero value holds no policies. */
typedef struct
{
  br_version_share_list_t list;
} br_version_shares_t;

/* Which versions a request may use. */
typedef enum
{
  BR_VERSIONS_ANY,     /* the service never had a rollout */
  BR_VERSIONS_OLD,     /* allowed ones, without the running target */
  BR_VERSIONS_TARGET,  /* the target alone */
  BR_VERSIONS_ALLOWED, /* allowed ones and the target: for a stream that stays
                        * with the version that began it */
} br_version_choice_t;

typedef struct
{
  br_name_t route;
  uint64_t session; /* hash that is the same for all requests of a session */
  br_version_t version; /* that began its stream; 0: none */
  /* A later attempt, a duplicate, or a relayed request: never goes to the
   * running target. */
  bool is_later;
} br_share_request_t;

/* Takes a policy and returns whether it is newer than the one in force.  It is
 * ignored if it is older.  The share is taken from the leader only. */
bool br_version_shares_receive (br_version_shares_t *shares,
                                const br_version_policy_t *policy,
                                bool from_leader,
                                br_ms_t now);
br_version_share_t *br_version_shares_find (const br_version_shares_t *shares,
                                            const br_name_t *service);
void br_version_shares_release (br_version_shares_t *shares);

/* Returns whether the policy's rollout is neither completed nor rolled back. */
bool br_version_share_is_running (const br_version_share_t *share);
bool br_version_shares_are_running (const br_version_shares_t *shares);

/* Returns the share of requests that goes to the running target now, in
 * millionths: 0 while stopped, or without a leader. */
uint32_t br_version_share_ppm (const br_version_share_t *share, br_ms_t now);

/* Decides which versions a request may use.  Called once for the first attempt
 * of a request, which adds to its route's credit.  SHARE may be NULL. */
br_version_choice_t br_version_share_choose (br_version_share_t *share,
                                             const br_share_request_t *request,
                                             const br_version_bounds_t *bounds,
                                             const br_fleet_t *fleet,
                                             br_random_t *random,
                                             br_ms_t now);

/* Returns CHOICE, made earlier, if it still holds, else what holds instead. */
br_version_choice_t br_version_share_confirm (const br_version_share_t *share,
                                              br_version_choice_t choice,
                                              const br_fleet_t *fleet,
                                              br_ms_t now);

/* Gives back the credit of a request that was to go to the running target and
 * did not. */
void br_version_share_give_back (br_version_share_t *share,
                                 const br_name_t *route);

/* Returns whether a request bound to VERSION may go there: it is allowed, or it
 * is the target, which must be completed or, unless IS_LATER, in force. */
bool br_version_share_allows (const br_version_share_t *share,
                              br_version_t version,
                              bool is_later,
                              br_ms_t now);

/* Returns the filter for CHOICE.  SHARE may be NULL. */
br_version_filter_t br_version_share_filter (const br_version_share_t *share,
                                             br_version_choice_t choice,
                                             const br_fleet_t *fleet);

/* Record an attempt that was sent to VERSION, and one that turned out not to
 * have arrived. */
void br_version_share_sent (br_version_share_t *share, br_version_t version);
void br_version_share_not_arrived (br_version_share_t *share);

/* --- what the versions are compared by --- */

/* The result of an attempt that was sent in the order NUMBER.  What belongs to
 * an order before, or to a final phase, is not counted. */
typedef struct
{
  br_name_t route;
  br_version_t version;
  uint64_t number;
  bool failed;
  bool paused; /* a stream with a pause beyond the route's longest */
} br_share_result_t;

void br_version_share_record (br_version_share_t *share,
                              const br_share_result_t *result);

/* Records when the first event of a stream, or another answer, came. */
void br_version_share_record_time (br_version_share_t *share,
                                   const br_share_result_t *result,
                                   br_ms_t time_ms,
                                   br_ms_t expected_ms);

/* Judges the target by this VM's own answers.  Returns true when it is found
 * bad: this VM sends it nothing any more in this order. */
bool br_version_share_look (br_version_share_t *share, br_ms_t now);

/* Returns the name of the phase, as in logs. */
const char *br_policy_phase_name (br_policy_phase_t phase);

BR_END_DECLS

#endif
