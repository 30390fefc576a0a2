/* Keeps an exchange to the versions that a rollout of its service allows, and
 * counts its attempts for the rollout. */
#include "shell/exchange_private.h"

static br_version_share_t *
exchange_share (const br_exchange_t *exchange)
{
  if (exchange->service == NULL)
    return NULL;
  return br_version_shares_find (&exchange->task->versions,
                                 &exchange->service->name);
}

/* --- versions --- */

/* Returns whether the next attempt must not go to a running target: the request
 * may have reached an upstream before, here or from the VM that relays it, or
 * its loss is expected. */
static bool
exchange_is_later (const br_exchange_t *exchange)
{
  return exchange->is_relayed || exchange->begun || exchange->upstream != NULL
         || exchange->arrived > 0 || exchange->ran + exchange->refused > 0
         || exchange->helpers_tried > 0 || exchange->asked_trial;
}

bool
br_exchange_version_is_allowed (const br_exchange_t *exchange)
{
  return exchange->version == 0
         || br_version_share_allows (
             exchange_share (exchange), exchange->version,
             exchange_is_later (exchange), br_exchange_now (exchange));
}

bool
br_exchange_rollout_runs (const br_exchange_t *exchange)
{
  return br_version_share_is_running (exchange_share (exchange));
}

bool
br_exchange_rollout_lets_move (const br_exchange_t *exchange)
{
  return br_version_share_allows (exchange_share (exchange),
                                  exchange->attempt_version, true,
                                  br_exchange_now (exchange));
}

static uint64_t
exchange_session (const br_exchange_t *exchange)
{
  uint64_t affinity = br_choice_affinity (&exchange->inbound);

  return affinity != 0 ? affinity : br_str_hash (exchange->inbound.id, 0);
}

static br_version_choice_t
exchange_decide (br_exchange_t *exchange, br_version_share_t *share)
{
  br_entry_task_t *task = exchange->task;
  br_share_request_t request = {
    .route = exchange->route->name,
    .session = exchange_session (exchange),
    .version = exchange->version,
  };

  exchange->rollout.is_decided = true;
  return br_version_share_choose (share, &request, &task->version_bounds,
                                  &task->fleet, &task->node->random,
                                  br_exchange_now (exchange));
}

br_version_filter_t
br_exchange_later_versions (const br_exchange_t *exchange)
{
  const br_version_share_t *share = exchange_share (exchange);
  const br_fleet_t *fleet = &exchange->task->fleet;
  br_version_choice_t choice
      = exchange->version != 0
            ? BR_VERSIONS_ALLOWED
            : br_version_share_confirm (share, BR_VERSIONS_OLD, fleet,
                                        br_exchange_now (exchange));

  return br_version_share_filter (share, choice, fleet);
}

/* Returns why the attempt uses the versions of its choice, for the log. */
static const char *
versions_reason (const br_exchange_t *exchange, const br_version_share_t *share)
{
  bool running = br_version_share_is_running (share);

  switch (exchange->rollout.choice)
    {
    case BR_VERSIONS_ANY:
      return "";
    case BR_VERSIONS_ALLOWED:
      return "that of its stream";
    case BR_VERSIONS_TARGET:
      return running ? "target: in the share" : "target: completed";
    case BR_VERSIONS_OLD:
      break;
    }
  if (!running)
    return share->policy.phase == BR_POLICY_COMPLETED
               ? "old: the target does not serve"
               : "old: rolled back";
  if (exchange_is_later (exchange))
    return "old: a later attempt or relayed";
  if (share->stopped)
    return "old: this VM found the target bad";
  if (share->policy.phase == BR_POLICY_HOLD)
    return "old: hold";
  return br_version_share_ppm (share, br_exchange_now (exchange)) == 0
             ? "old: no share of a leader"
             : "old: outside the share or this VM's exposure";
}

br_version_filter_t
br_exchange_versions (br_exchange_t *exchange)
{
  br_version_share_t *share = exchange_share (exchange);
  const br_fleet_t *fleet = &exchange->task->fleet;
  br_exchange_rollout_t *rollout = &exchange->rollout;

  if (share == NULL)
    return (br_version_filter_t){ 0 };
  if (!br_exchange_version_is_allowed (exchange))
    return (br_version_filter_t){ .is_set = true };
  if (exchange->upstream != NULL)
    return br_exchange_later_versions (exchange);
  if (exchange_is_later (exchange))
    rollout->choice
        = exchange->version != 0
              ? BR_VERSIONS_ALLOWED
              : br_version_share_confirm (share, BR_VERSIONS_OLD, fleet,
                                          br_exchange_now (exchange));
  else if (!rollout->is_decided)
    rollout->choice = exchange_decide (exchange, share);
  else
    rollout->choice = br_version_share_confirm (share, rollout->choice, fleet,
                                                br_exchange_now (exchange));
  rollout->reason = versions_reason (exchange, share);
  return br_version_share_filter (share, rollout->choice, fleet);
}

br_choice_t
br_exchange_choose (br_exchange_t *exchange,
                    br_choice_query_t *query,
                    br_ms_t now)
{
  const br_fleet_t *fleet = &exchange->task->fleet;
  br_version_share_t *share = exchange_share (exchange);
  br_choice_t choice = br_choice_make (fleet, query, now);

  if (choice.upstream == NULL && br_version_share_is_running (share)
      && exchange->rollout.choice == BR_VERSIONS_TARGET)
    {
      br_version_share_give_back (share, &exchange->route->name);
      exchange->rollout.choice = BR_VERSIONS_OLD;
      exchange->rollout.reason = "old: no upstream of the target takes it";
      query->versions = br_version_share_filter (share, BR_VERSIONS_OLD, fleet);
      choice = br_choice_make (fleet, query, now);
    }
  if (choice.upstream != NULL || !exchange->was_slow
      || exchange->ran >= exchange->max_attempts)
    return choice;
  exchange->was_slow = false;
  exchange->n_tried = query->n_tried = 0;
  return br_choice_make (fleet, query, now);
}

/* --- counts --- */

static br_share_result_t
exchange_result (const br_exchange_t *exchange)
{
  return (br_share_result_t){
    .route = exchange->route->name,
    .version = exchange->attempt_version,
    .number = exchange->rollout.number,
    .paused = exchange->rollout.paused,
  };
}

/* Records the attempt's result.  An attempt has one. */
static void
exchange_record (br_exchange_t *exchange, bool failed)
{
  br_share_result_t result = exchange_result (exchange);

  result.failed = failed;
  br_version_share_record (exchange_share (exchange), &result);
  exchange->rollout.number = 0;
}

static void
exchange_record_time (br_exchange_t *exchange)
{
  br_share_result_t result = exchange_result (exchange);

  /* A run that goes on after a move reads no prompt there, and nothing is
   * expected of it at the engine that takes it back. */
  if (exchange->move.moves > 0 || br_exchange_goes_on (exchange))
    return;
  br_version_share_record_time (exchange_share (exchange), &result,
                                br_exchange_now (exchange) - exchange->sent_ms,
                                exchange->choice.usual_ms);
}

void
br_exchange_rollout_sent (br_exchange_t *exchange)
{
  br_version_share_t *share = exchange_share (exchange);

  exchange->rollout.number
      = br_version_share_is_running (share) ? share->policy.number : 0;
  exchange->rollout.paused = false;
  exchange->rollout.event_ms = 0;
  br_version_share_sent (share, exchange->attempt_version);
}

void
br_exchange_rollout_begun (br_exchange_t *exchange)
{
  if (exchange->rollout.number != 0)
    exchange_record_time (exchange);
}

void
br_exchange_rollout_event (br_exchange_t *exchange)
{
  br_exchange_rollout_t *rollout = &exchange->rollout;
  br_ms_t now = br_exchange_now (exchange);

  if (rollout->number == 0)
    return;
  if (rollout->event_ms > 0 && exchange->route->max_gap_ms > 0
      && now - rollout->event_ms > exchange->route->max_gap_ms)
    rollout->paused = true;
  rollout->event_ms = exchange->paused ? 0 : now;
}

void
br_exchange_rollout_answered (br_exchange_t *exchange)
{
  if (exchange->rollout.number == 0)
    return;
  if (!exchange->had_first_event && exchange->outcome.status < 400)
    exchange_record_time (exchange);
  exchange_record (exchange, exchange->outcome.status >= 500);
}

/* Returns whether an upstream of another version than the current attempt's is
 * unreachable in the same failure domain, which then is not the version's
 * fault. */
static bool
domain_is_unreachable (const br_exchange_t *exchange)
{
  const br_fleet_t *fleet = &exchange->task->fleet;
  const br_listing_t *at = &exchange->upstream->listing;
  br_ms_t now = br_exchange_now (exchange);

  if (br_domain_health_is_unreachable (&fleet->domains, &at->failure_domain,
                                       now))
    return true;
  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_fleet_upstream_t *other = fleet->all.items[i];

      if (br_name_equal (&other->listing.service, &at->service)
          && br_name_equal (&other->listing.failure_domain, &at->failure_domain)
          && br_listing_version (&other->listing) != exchange->attempt_version
          && (br_fleet_is_unreachable (other, now)
              || now < other->others_unreachable_until_ms))
        return true;
    }
  return false;
}

/* Returns whether a failure with RESULT is evidence about the version. */
static bool
result_counts (const br_exchange_t *exchange, br_result_kind_t result)
{
  const br_fleet_upstream_t *upstream = exchange->upstream;

  if (upstream->listing.draining || upstream->removed
      || upstream->announced_leaving)
    return false;
  switch (result)
    {
    case BR_RESULT_FAILED:
    case BR_RESULT_BROKEN:
    case BR_RESULT_LATE:
    case BR_RESULT_STALLED:
      return true;
    case BR_RESULT_UNREACHABLE:
    case BR_RESULT_TIMED_OUT:
      return !domain_is_unreachable (exchange);
    default:
      return false;
    }
}

void
br_exchange_rollout_failed (br_exchange_t *exchange, br_result_kind_t result)
{
  if (exchange->rollout.number == 0)
    return;
  if (result == BR_RESULT_UNREACHABLE || result == BR_RESULT_TIMED_OUT)
    br_version_share_not_arrived (exchange_share (exchange));
  if (result_counts (exchange, result))
    exchange_record (exchange, true);
  /* Its time is at least this long, or a slow version would show no times. */
  else if (result == BR_RESULT_SLOW && !exchange->had_first_event)
    exchange_record_time (exchange);
  exchange->rollout.number = 0;
}

void
br_exchange_rollout_timed_out (br_exchange_t *exchange)
{
  if (exchange->rollout.number == 0 || exchange->upstream == NULL
      || !br_http_client_has_sent (exchange->client))
    return;
  if (!exchange->had_first_event)
    exchange_record_time (exchange);
  exchange_record (exchange, !exchange->had_first_event);
}

uint32_t
br_exchanges_count_old (const br_entry_task_t *task,
                        const br_name_t *service,
                        br_version_t target)
{
  uint32_t n = 0;

  for (const br_exchange_t *exchange = task->exchanges; exchange != NULL;
       exchange = exchange->next)
    n += exchange->upstream != NULL && exchange->attempt_version != target
                 && br_name_equal (&exchange->service->name, service)
             ? 1
             : 0;
  return n;
}
