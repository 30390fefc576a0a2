#include <stdlib.h>
#include <string.h>

#include "state/state_private.h"

br_state_t *
br_state_new (void)
{
  return br_alloc_zero (sizeof (br_state_t));
}

void
br_state_release (br_state_t *state)
{
  br_declaration_store_release (&state->declarations);
  br_claim_store_release (&state->claims);
  br_fence_store_release (&state->fences);
  br_site_store_release (&state->site);
  br_rollout_store_release (&state->rollouts);
}

void
br_state_free (br_state_t *state)
{
  if (state == NULL)
    return;
  br_state_release (state);
  free (state);
}

static void
result_invalid (br_result_t *result, const char *why)
{
  result->body_case = BR__STATE__RESULT__BODY_INVALID;
  result->invalid = (char *)why;
}

static void
state_on_change (br_state_t *state, const br_change_t *change, br_buf_t *out)
{
  br_result_t result = BR__STATE__RESULT__INIT;
  const br_change_result_t *change_result;
  br_change_result_t scratch;

  br_declaration_store_change (&state->declarations, change, &scratch,
                               &change_result);
  result.body_case = BR__STATE__RESULT__BODY_CHANGE;
  result.change = (br_change_result_t *)change_result;
  br_result_pack (&result, out);
}

static void
state_pack_claim_result (br_claim_outcome_t outcome,
                         const br_claim_record_t *record,
                         br_buf_t *out)
{
  br_result_t result = BR__STATE__RESULT__INIT;
  br_claim_result_t claim = BR__STATE__CLAIM_RESULT__INIT;

  claim.verdict = outcome;
  claim.claim = (br_claim_record_t *)record;
  result.body_case = BR__STATE__RESULT__BODY_CLAIM;
  result.claim = &claim;
  br_result_pack (&result, out);
}

static void
state_on_tick (br_state_t *state, const Br__State__Tick *tick, br_buf_t *out)
{
  br_result_t result = BR__STATE__RESULT__INIT;
  Br__State__TickResult body = BR__STATE__TICK_RESULT__INIT;

  br_claim_store_tick (&state->claims, tick);
  body.sequence = state->claims.tick;
  body.now_ms = (uint64_t)state->claims.now_ms;
  result.body_case = BR__STATE__RESULT__BODY_TICK;
  result.tick = &body;
  br_result_pack (&result, out);
}

static void
state_on_fence (br_state_t *state,
                const Br__State__FenceNext *fence,
                br_buf_t *out)
{
  br_result_t result = BR__STATE__RESULT__INIT;
  Br__State__FenceResult body = BR__STATE__FENCE_RESULT__INIT;

  body.number = br_fence_store_advance (&state->fences, fence->resource);
  result.body_case = BR__STATE__RESULT__BODY_FENCE;
  result.fence = &body;
  br_result_pack (&result, out);
}

static void
state_on_site_change (br_state_t *state,
                      const Br__State__SiteChange *change,
                      br_buf_t *out)
{
  br_result_t result = BR__STATE__RESULT__INIT;
  Br__State__SiteResult body = BR__STATE__SITE_RESULT__INIT;

  body.applied = br_site_store_change (&state->site, change);
  body.version = state->site.version;
  result.body_case = BR__STATE__RESULT__BODY_SITE;
  result.site = &body;
  br_result_pack (&result, out);
}

static void
state_on_usage (br_state_t *state,
                const br_usage_decision_t *decision,
                br_buf_t *out)
{
  br_result_t result = BR__STATE__RESULT__INIT;

  result.body_case = BR__STATE__RESULT__BODY_USAGE;
  result.usage
      = (br_usage_decision_t *)br_site_store_decide (&state->site, decision);
  br_result_pack (&result, out);
}

static void
state_on_ban (br_state_t *state, const br_site_ban_t *ban, br_buf_t *out)
{
  br_result_t result = BR__STATE__RESULT__INIT;
  Br__State__SiteResult body = BR__STATE__SITE_RESULT__INIT;

  br_site_store_ban (&state->site, ban);
  body.applied = true;
  body.version = state->site.version;
  result.body_case = BR__STATE__RESULT__BODY_SITE;
  result.site = &body;
  br_result_pack (&result, out);
}

static void
state_on_trial (br_state_t *state, const Br__State__Trial *trial, br_buf_t *out)
{
  br_result_t result = BR__STATE__RESULT__INIT;
  Br__State__SiteResult body = BR__STATE__SITE_RESULT__INIT;

  body.applied = br_site_store_grant_trial (&state->site, trial);
  body.version = state->site.version;
  result.body_case = BR__STATE__RESULT__BODY_SITE;
  result.site = &body;
  br_result_pack (&result, out);
}

static void
state_on_streams (br_state_t *state,
                  const br_site_streams_t *streams,
                  br_buf_t *out)
{
  br_result_t result = BR__STATE__RESULT__INIT;
  Br__State__SiteResult body = BR__STATE__SITE_RESULT__INIT;

  body.applied = br_site_store_streams (&state->site, streams);
  body.version = state->site.version;
  result.body_case = BR__STATE__RESULT__BODY_SITE;
  result.site = &body;
  br_result_pack (&result, out);
}

/* Packs whether a command on the site's state took effect. */
static void
state_pack_site_result (const br_state_t *state, bool applied, br_buf_t *out)
{
  br_result_t result = BR__STATE__RESULT__INIT;
  Br__State__SiteResult body = BR__STATE__SITE_RESULT__INIT;

  body.applied = applied;
  body.version = state->site.version;
  result.body_case = BR__STATE__RESULT__BODY_SITE;
  result.site = &body;
  br_result_pack (&result, out);
}

static void
state_dispatch (br_state_t *state,
                uint64_t index,
                const br_command_t *command,
                br_buf_t *out)
{
  br_claim_store_t *claims = &state->claims;
  br_result_t invalid = BR__STATE__RESULT__INIT;
  const br_claim_record_t *record;
  br_claim_outcome_t outcome;

  switch (command->body_case)
    {
    case BR__STATE__COMMAND__BODY_CHANGE:
      state_on_change (state, command->change, out);
      return;
    case BR__STATE__COMMAND__BODY_CLAIM_TAKE:
      outcome = br_claim_store_take (claims, command->claim_take, &record);
      break;
    case BR__STATE__COMMAND__BODY_CLAIM_SENT:
      outcome = br_claim_store_sent (claims, command->claim_sent, &record);
      break;
    case BR__STATE__COMMAND__BODY_CLAIM_END:
      outcome = br_claim_store_end (claims, index, command->claim_end, &record);
      break;
    case BR__STATE__COMMAND__BODY_CLAIM_ABANDON:
      outcome
          = br_claim_store_abandon (claims, command->claim_abandon, &record);
      break;
    case BR__STATE__COMMAND__BODY_CLAIM_SETTLE:
      outcome = br_claim_store_settle (claims, command->claim_settle, &record);
      break;
    case BR__STATE__COMMAND__BODY_TICK:
      state_on_tick (state, command->tick, out);
      return;
    case BR__STATE__COMMAND__BODY_FENCE_NEXT:
      state_on_fence (state, command->fence_next, out);
      return;
    case BR__STATE__COMMAND__BODY_SITE_CHANGE:
      state_on_site_change (state, command->site_change, out);
      return;
    case BR__STATE__COMMAND__BODY_USAGE_DECISION:
      state_on_usage (state, command->usage_decision, out);
      return;
    case BR__STATE__COMMAND__BODY_BAN:
      state_on_ban (state, command->ban, out);
      return;
    case BR__STATE__COMMAND__BODY_TRIAL:
      state_on_trial (state, command->trial, out);
      return;
    case BR__STATE__COMMAND__BODY_STREAMS:
      state_on_streams (state, command->streams, out);
      return;
    case BR__STATE__COMMAND__BODY_ROLLOUT_START:
      state_pack_site_result (
          state,
          br_rollout_store_start (&state->rollouts, command->rollout_start),
          out);
      return;
    case BR__STATE__COMMAND__BODY_ROLLOUT_STEP:
      state_pack_site_result (
          state,
          br_rollout_store_step (&state->rollouts, command->rollout_step), out);
      return;
    case BR__STATE__COMMAND__BODY_ROLLOUT_TOTALS:
      state_pack_site_result (
          state,
          br_rollout_store_totals (&state->rollouts, command->rollout_totals),
          out);
      return;
    default:
      result_invalid (&invalid, "unknown command");
      br_result_pack (&invalid, out);
      return;
    }
  state_pack_claim_result (outcome, record, out);
}

void
br_state_apply (br_state_t *state,
                uint64_t index,
                br_str_t command,
                br_buf_t *result)
{
  br_command_t *unpacked = br__state__command__unpack (
      NULL, command.len, (const uint8_t *)command.data);
  br_result_t invalid = BR__STATE__RESULT__INIT;

  state->applied = index;
  if (unpacked == NULL)
    {
      result_invalid (&invalid, "the command does not parse");
      br_result_pack (&invalid, result);
      return;
    }
  state_dispatch (state, index, unpacked, result);
  br__state__command__free_unpacked (unpacked, NULL);
}

uint64_t
br_state_applied (const br_state_t *state)
{
  return state->applied;
}

uint64_t
br_state_revision (const br_state_t *state)
{
  return state->declarations.revision;
}

uint64_t
br_state_tick (const br_state_t *state)
{
  return state->claims.tick;
}

br_ms_t
br_state_now (const br_state_t *state)
{
  return state->claims.now_ms;
}

void
br_state_each_declaration (const br_state_t *state,
                           br_declaration_visit_t visit,
                           void *context)
{
  const br_declaration_t *at = NULL;

  while ((at = br_declaration_store_next (&state->declarations, at)) != NULL)
    visit (at, context);
}

const br_declaration_t *
br_state_declaration (const br_state_t *state, br_str_t kind, br_str_t name)
{
  return br_declaration_store_find (&state->declarations, kind, name);
}

void
br_state_each_claim (const br_state_t *state,
                     br_claim_visit_t visit,
                     void *context)
{
  const br_claim_record_t *at = NULL;

  while ((at = br_claim_store_next (&state->claims, at)) != NULL)
    visit (at, context);
}

const br_change_result_t *
br_state_operation_result (const br_state_t *state, br_str_t operation)
{
  return br_operation_result_find (&state->declarations, operation);
}

size_t
br_state_claim_count (const br_state_t *state)
{
  return br_claim_store_count (&state->claims);
}

const br_claim_record_t *
br_state_claim (const br_state_t *state, br_str_t key)
{
  return br_claim_store_find (&state->claims, key);
}

uint64_t
br_state_fence (const br_state_t *state, br_str_t resource)
{
  return br_fence_store_last (&state->fences, resource);
}

uint64_t
br_state_site_version (const br_state_t *state)
{
  return state->site.version;
}

br_str_t
br_state_site_text (const br_state_t *state)
{
  return br_buf_str (&state->site.text);
}

const Br__State__UsageDecision *
br_state_usage (const br_state_t *state, uint64_t window)
{
  return br_site_store_usage (&state->site, window);
}

uint64_t
br_state_bans_made (const br_state_t *state)
{
  return state->site.bans_made;
}

size_t
br_state_n_bans (const br_state_t *state)
{
  return state->site.bans.len;
}

const Br__State__Ban *
br_state_ban (const br_state_t *state, size_t at)
{
  return &state->site.bans.items[at];
}

uint64_t
br_state_streams_made (const br_state_t *state)
{
  return state->site.streams_made;
}

size_t
br_state_n_streams (const br_state_t *state)
{
  return state->site.streams.len;
}

const Br__State__Streams *
br_state_streams (const br_state_t *state, size_t at)
{
  return state->site.streams.items[at];
}

const Br__State__Ban *
br_state_find_ban (const br_state_t *state, uint64_t content)
{
  return br_site_store_find_ban (&state->site, content);
}

uint64_t
br_state_rollouts_changed (const br_state_t *state)
{
  return state->rollouts.changes;
}

size_t
br_state_n_rollouts (const br_state_t *state)
{
  return state->rollouts.list.len;
}

const Br__State__Rollout *
br_state_rollout (const br_state_t *state, size_t at)
{
  return state->rollouts.list.items[at];
}

const Br__State__Rollout *
br_state_find_rollout (const br_state_t *state, br_str_t service)
{
  return br_rollout_store_find (&state->rollouts, service);
}
