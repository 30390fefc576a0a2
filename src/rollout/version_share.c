#include "rollout/version_share.h"

/* A request of a session whose hash falls into the share goes to the target
 * from this credit on.  A lower value would let each VM begin with more than
 * the share. */
#define CREDIT_SESSION 0.5

/* Any other request goes there from a credit of 1 and this, times the square of
 * the share.  The larger the share, the more credit may vary before a session
 * has to change its version; with a small one, routes with few sessions must
 * not wait for their sample. */
#define CREDIT_SPAN 32.0

/* Most credit above that value: what was not used may not be sent in one
 * burst. */
#define CREDIT_ABOVE 1.0

/* --- policies --- */

const char *
br_policy_phase_name (br_policy_phase_t phase)
{
  switch (phase)
    {
    case BR_POLICY_SAMPLE:
      return "sample";
    case BR_POLICY_MOVE:
      return "move";
    case BR_POLICY_COMPLETED:
      return "completed";
    case BR_POLICY_ROLLED_BACK:
      return "rolled_back";
    default:
      return "hold";
    }
}

static bool
phase_is_final (br_policy_phase_t phase)
{
  return phase == BR_POLICY_COMPLETED || phase == BR_POLICY_ROLLED_BACK;
}

bool
br_version_share_is_running (const br_version_share_t *share)
{
  return share != NULL && !phase_is_final (share->policy.phase);
}

bool
br_version_shares_are_running (const br_version_shares_t *shares)
{
  for (size_t i = 0; i < shares->list.len; i++)
    if (br_version_share_is_running (&shares->list.items[i]))
      return true;
  return false;
}

br_version_share_t *
br_version_shares_find (const br_version_shares_t *shares,
                        const br_name_t *service)
{
  for (size_t i = 0; i < shares->list.len; i++)
    if (br_name_equal (&shares->list.items[i].policy.service, service))
      return &shares->list.items[i];
  return NULL;
}

static void
share_set_allowed (br_version_share_t *share, const br_versions_t *allowed)
{
  br_versions_clear (&share->policy.allowed);
  for (size_t i = 0; i < allowed->len; i++)
    br_versions_push (&share->policy.allowed, allowed->items[i]);
}

/* Puts POLICY into force, without a share. */
static void
share_set_policy (br_version_share_t *share, const br_version_policy_t *policy)
{
  br_versions_t allowed = share->policy.allowed;

  share->policy = *policy;
  share->policy.allowed = allowed;
  share->policy.share_ppm = 0;
  share->share_until_ms = 0;
  share_set_allowed (share, &policy->allowed);
}

static void
share_begin_order (br_version_share_t *share)
{
  share->stopped = false;
  share->sent = share->sent_new = share->not_arrived = 0;
  br_route_credits_clear (&share->credits);
  br_answer_table_clear (&share->answers);
  br_judge_release (&share->judge);
  br_judge_init (&share->judge, BR_JUDGE_ALPHA_ENTRY);
}

static bool
policy_is_newer (const br_version_policy_t *policy,
                 const br_version_policy_t *than)
{
  if (policy->number != than->number)
    return policy->number > than->number;
  return policy->step > than->step
         && (!phase_is_final (than->phase) || policy->phase == than->phase);
}

bool
br_version_shares_receive (br_version_shares_t *shares,
                           const br_version_policy_t *policy,
                           bool from_leader,
                           br_ms_t now)
{
  br_version_share_t *share = br_version_shares_find (shares, &policy->service);
  br_version_share_t fresh = { 0 };
  bool is_newer = share == NULL || policy_is_newer (policy, &share->policy);

  if (share == NULL)
    share = br_version_share_list_push (&shares->list, fresh);
  if (is_newer && policy->number != share->policy.number)
    share_begin_order (share);
  if (is_newer)
    share_set_policy (share, policy);
  if (policy->number != share->policy.number
      || policy->step != share->policy.step)
    return false;
  /* Control VMs that lag behind in the log may lack allowed versions. */
  if (policy->allowed.len > share->policy.allowed.len)
    share_set_allowed (share, &policy->allowed);
  if (from_leader)
    {
      share->policy.share_ppm = policy->share_ppm;
      share->policy.upstreams = policy->upstreams;
      share->share_until_ms
          = now - policy->share_age_ms + BR_VERSION_SHARE_LIFE_MS;
    }
  return is_newer;
}

void
br_version_shares_release (br_version_shares_t *shares)
{
  for (size_t i = 0; i < shares->list.len; i++)
    {
      br_versions_free (&shares->list.items[i].policy.allowed);
      br_route_credits_free (&shares->list.items[i].credits);
      br_answer_table_free (&shares->list.items[i].answers);
      br_judge_release (&shares->list.items[i].judge);
    }
  br_version_share_list_free (&shares->list);
}

/* --- the share --- */

uint32_t
br_version_share_ppm (const br_version_share_t *share, br_ms_t now)
{
  bool gives = share->policy.phase == BR_POLICY_SAMPLE
               || share->policy.phase == BR_POLICY_MOVE;

  return gives && !share->stopped && now < share->share_until_ms
             ? share->policy.share_ppm
             : 0;
}

/* Returns the credit from which on any request goes to the target. */
static double
credit_any (uint32_t ppm)
{
  double part = (double)ppm / BR_VERSION_SHARE_ALL;

  return 1 + CREDIT_SPAN * part * part;
}

static double *
share_credit (br_version_share_t *share,
              const br_name_t *route,
              br_random_t *random)
{
  br_route_credit_t fresh = { .route = *route };

  for (size_t i = 0; i < share->credits.len; i++)
    if (br_name_equal (&share->credits.items[i].route, route))
      return &share->credits.items[i].credit;
  if (random != NULL)
    fresh.credit = br_random_unit (random);
  return &br_route_credits_push (&share->credits, fresh)->credit;
}

/* Returns whether the request is one of the running target's share. */
static bool
share_takes (br_version_share_t *share,
             const br_share_request_t *request,
             uint32_t ppm,
             br_random_t *random)
{
  double *credit = share_credit (share, &request->route, random);
  br_str_t session
      = br_str_make ((const char *)&request->session, sizeof request->session);
  bool in_share
      = br_str_hash (session, share->policy.number) % BR_VERSION_SHARE_ALL
        < ppm;

  *credit = BR_MIN (*credit + (double)ppm / BR_VERSION_SHARE_ALL,
                    credit_any (ppm) + CREDIT_ABOVE);
  if (*credit < (in_share ? CREDIT_SESSION : credit_any (ppm)))
    return false;
  *credit -= 1;
  return true;
}

void
br_version_share_give_back (br_version_share_t *share, const br_name_t *route)
{
  double *credit;

  if (share == NULL || !br_version_share_is_running (share)
      || share->policy.share_ppm >= BR_VERSION_SHARE_ALL)
    return;
  credit = share_credit (share, route, NULL);
  *credit = BR_MIN (*credit + 1,
                    credit_any (share->policy.share_ppm) + CREDIT_ABOVE);
}

/* --- the decision for a request --- */

/* Returns whether one more request to the target keeps within BOUNDS.  Smaller
 * shares keep to their credit. */
static bool
share_is_within (const br_version_share_t *share,
                 uint32_t ppm,
                 const br_version_bounds_t *bounds)
{
  return bounds->share <= 0 || ppm <= bounds->share * BR_VERSION_SHARE_ALL
         || (double)(share->sent_new + 1)
                <= bounds->share * (double)(share->sent + 1) + bounds->slack;
}

static bool
target_serves (const br_version_share_t *share, const br_fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_listing_t *listing = &fleet->all.items[i]->listing;

      if (!listing->draining
          && br_listing_version (listing) == share->policy.target)
        return true;
    }
  return false;
}

static br_version_choice_t
choose_after_end (const br_version_share_t *share, const br_fleet_t *fleet)
{
  return share->policy.phase == BR_POLICY_COMPLETED
                 && target_serves (share, fleet)
             ? BR_VERSIONS_TARGET
             : BR_VERSIONS_OLD;
}

br_version_choice_t
br_version_share_choose (br_version_share_t *share,
                         const br_share_request_t *request,
                         const br_version_bounds_t *bounds,
                         const br_fleet_t *fleet,
                         br_random_t *random,
                         br_ms_t now)
{
  uint32_t ppm;

  if (share == NULL)
    return BR_VERSIONS_ANY;
  if (request->version != 0)
    return BR_VERSIONS_ALLOWED;
  if (!br_version_share_is_running (share))
    return choose_after_end (share, fleet);
  ppm = br_version_share_ppm (share, now);
  if (request->is_later || ppm == 0 || !share_is_within (share, ppm, bounds))
    return BR_VERSIONS_OLD;
  return ppm >= BR_VERSION_SHARE_ALL
                 || share_takes (share, request, ppm, random)
             ? BR_VERSIONS_TARGET
             : BR_VERSIONS_OLD;
}

br_version_choice_t
br_version_share_confirm (const br_version_share_t *share,
                          br_version_choice_t choice,
                          const br_fleet_t *fleet,
                          br_ms_t now)
{
  if (share == NULL || choice == BR_VERSIONS_ALLOWED)
    return choice;
  if (!br_version_share_is_running (share))
    return choose_after_end (share, fleet);
  return choice == BR_VERSIONS_TARGET && br_version_share_ppm (share, now) > 0
             ? BR_VERSIONS_TARGET
             : BR_VERSIONS_OLD;
}

bool
br_version_share_allows (const br_version_share_t *share,
                         br_version_t version,
                         bool is_later,
                         br_ms_t now)
{
  const br_version_policy_t *policy;

  if (share == NULL)
    return true;
  policy = &share->policy;
  for (size_t i = 0; i < policy->allowed.len; i++)
    if (policy->allowed.items[i] == version)
      return true;
  return version == policy->target
         && (policy->phase == BR_POLICY_COMPLETED
             || (!is_later && br_version_share_ppm (share, now) > 0));
}

/* Returns the lowest rank of the first N target upstreams; 0 if there are no
 * more than N. */
static uint64_t
target_rank_min (const br_version_policy_t *policy,
                 const br_fleet_t *fleet,
                 uint32_t n)
{
  uint64_t below = UINT64_MAX;

  for (uint32_t i = 0; i < n; i++)
    {
      uint64_t best = 0;

      for (size_t j = 0; j < fleet->all.len; j++)
        {
          const br_listing_t *listing = &fleet->all.items[j]->listing;
          uint64_t rank = br_version_filter_rank (listing, policy->number);

          if (!listing->draining && rank < below && rank > best
              && br_listing_version (listing) == policy->target)
            best = rank;
        }
      if (best == 0)
        return 0;
      below = best;
    }
  return below;
}

br_version_filter_t
br_version_share_filter (const br_version_share_t *share,
                         br_version_choice_t choice,
                         const br_fleet_t *fleet)
{
  br_version_filter_t filter = { 0 };
  const br_version_policy_t *policy;

  if (share == NULL || choice == BR_VERSIONS_ANY)
    return filter;
  policy = &share->policy;
  filter.is_set = true;
  filter.number = policy->number;
  if (choice != BR_VERSIONS_TARGET)
    {
      filter.allowed = policy->allowed.items;
      filter.n_allowed = policy->allowed.len;
    }
  if (choice == BR_VERSIONS_OLD || policy->phase == BR_POLICY_HOLD
      || policy->phase == BR_POLICY_ROLLED_BACK)
    return filter;
  filter.target = policy->target;
  if (br_version_share_is_running (share) && policy->upstreams > 0)
    filter.rank_min = target_rank_min (policy, fleet, policy->upstreams);
  return filter;
}

/* --- counts --- */

void
br_version_share_sent (br_version_share_t *share, br_version_t version)
{
  if (!br_version_share_is_running (share))
    return;
  if (share->not_arrived > 0)
    share->not_arrived--;
  else
    share->sent++;
  share->sent_new += version == share->policy.target ? 1 : 0;
}

void
br_version_share_not_arrived (br_version_share_t *share)
{
  if (br_version_share_is_running (share))
    share->not_arrived++;
}

/* --- what the versions are compared by --- */

/* From this share on, in millionths, the old version answers too little to be
 * compared at the same time.  One VM cannot tell a burst or a lost zone from a
 * bad version then, and two VMs that stop roll the order back; so only the
 * leader judges. */
#define ALONE_PPM 900000

static br_answer_counts_t *
share_counts (br_version_share_t *share, const br_share_result_t *result)
{
  if (!br_version_share_is_running (share)
      || result->number != share->policy.number)
    return NULL;
  return br_answer_table_at (&share->answers, br_name_str (&result->route),
                             result->version == share->policy.target
                                 ? BR_VERSION_NEW
                                 : BR_VERSION_OLD);
}

void
br_version_share_record (br_version_share_t *share,
                         const br_share_result_t *result)
{
  br_answer_counts_t *counts = share_counts (share, result);

  if (counts == NULL)
    return;
  counts->answered++;
  counts->failed += result->failed ? 1 : 0;
  counts->paused += result->paused ? 1 : 0;
}

void
br_version_share_record_time (br_version_share_t *share,
                              const br_share_result_t *result,
                              br_ms_t time_ms,
                              br_ms_t expected_ms)
{
  br_answer_counts_t *counts = share_counts (share, result);

  if (counts != NULL)
    counts->times[br_answer_bucket ((double)time_ms,
                                    (double)BR_MAX (expected_ms, 1))]++;
}

bool
br_version_share_look (br_version_share_t *share, br_ms_t now)
{
  if (!br_version_share_is_running (share) || share->stopped)
    return false;
  if (share->policy.share_ppm >= ALONE_PPM)
    br_judge_skip (&share->judge, &share->answers, now);
  else
    share->stopped = br_judge_look (&share->judge, &share->answers, false, now);
  return share->stopped;
}
