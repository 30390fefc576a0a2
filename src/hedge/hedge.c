#include "hedge/hedge.h"

/* Requests whose credit is kept: bounds the copies of a burst after a calm
 * time.  3 copies at once at a share of 0.02. */
#define CREDIT_REQUESTS 150

br_hedge_verdict_t
br_hedge_decide (const br_hedge_query_t *query)
{
  bool may_repeat = query->kind == BR_ROUTE_IDEMPOTENT
                    || (query->kind == BR_ROUTE_STREAM && query->resumable);

  if (!may_repeat)
    return BR_HEDGE_RUNS_ONCE;
  if (query->begun)
    return BR_HEDGE_BEGUN;
  if (query->relayed)
    return BR_HEDGE_RELAYED;
  if (query->rollout_running)
    return BR_HEDGE_ROLLOUT;
  if (query->suspect)
    return BR_HEDGE_SUSPECT;
  if (query->moving)
    return BR_HEDGE_MOVING;
  /* The attempt in progress and the copy. */
  if (query->ran + 2 > query->max_attempts)
    return BR_HEDGE_ATTEMPTS;
  return BR_HEDGE_ALLOWED;
}

const char *
br_hedge_verdict_name (br_hedge_verdict_t verdict)
{
  static const char *const names[] = {
#define X(id, name) name,
    BR_HEDGE_VERDICT_TABLE (X)
#undef X
  };

  return names[verdict];
}

/* Returns the slots of the upstream; 0 if they are not known. */
static uint32_t
upstream_slots (const br_fleet_upstream_t *upstream, int engine_slots)
{
  return engine_slots > 0 ? (uint32_t)engine_slots : upstream->listing.slots;
}

bool
br_hedge_upstream_is_busy (const br_fleet_upstream_t *upstream,
                           int engine_slots,
                           br_ms_t now)
{
  uint32_t slots = upstream_slots (upstream, engine_slots);

  return slots > 0 && br_fleet_load (upstream, now) * 4 >= slots * 3;
}

bool
br_hedge_is_crowded (const br_fleet_t *fleet,
                     const br_name_t *service,
                     int engine_slots,
                     br_ms_t now)
{
  size_t serving = 0;
  size_t full = 0;

  for (size_t i = 0; i < fleet->all.len; i++)
    {
      const br_fleet_upstream_t *upstream = fleet->all.items[i];
      uint32_t slots;

      if (upstream->listing.draining
          || !br_name_equal (&upstream->listing.service, service))
        continue;
      serving++;
      slots = upstream_slots (upstream, engine_slots);
      full += slots > 0 && br_fleet_load (upstream, now) >= slots ? 1 : 0;
    }
  return (double)full > BR_HEDGE_FULL_SHARE_MAX * (double)serving;
}

void
br_hedge_budget_request (br_hedge_budget_t *budget, double share)
{
  budget->credit
      = BR_MIN (budget->credit + share, BR_MAX (share * CREDIT_REQUESTS, 1));
}

bool
br_hedge_budget_take (br_hedge_budget_t *budget)
{
  /* Sums of shares may end just below a whole copy. */
  if (budget->credit < 1 - 1e-9)
    return false;
  budget->credit -= 1;
  return true;
}

void
br_hedge_budget_give_back (br_hedge_budget_t *budget)
{
  budget->credit += 1;
}
