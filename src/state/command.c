#include "state/command.h"

#include <stdlib.h>

void
br_state_command_abandon (const br_claim_record_t *claim, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;
  Br__State__ClaimAbandon abandon = BR__STATE__CLAIM_ABANDON__INIT;

  abandon.key = claim->key;
  abandon.owner = claim->owner;
  abandon.attempt = claim->attempt;
  command.body_case = BR__STATE__COMMAND__BODY_CLAIM_ABANDON;
  command.claim_abandon = &abandon;
  br_command_pack (&command, out);
}

void
br_state_command_settle (br_str_t key, br_claim_state_t state, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;
  Br__State__ClaimSettle settle = BR__STATE__CLAIM_SETTLE__INIT;

  settle.key = br_str_dup (key);
  settle.state = state;
  command.body_case = BR__STATE__COMMAND__BODY_CLAIM_SETTLE;
  command.claim_settle = &settle;
  br_command_pack (&command, out);
  free (settle.key);
}

void
br_state_command_tick (uint64_t sequence, br_ms_t elapsed_ms, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;
  Br__State__Tick tick = BR__STATE__TICK__INIT;

  tick.sequence = sequence;
  tick.elapsed_ms = (uint64_t)elapsed_ms;
  command.body_case = BR__STATE__COMMAND__BODY_TICK;
  command.tick = &tick;
  br_command_pack (&command, out);
}

void
br_state_command_fence (br_str_t resource, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;
  Br__State__FenceNext fence = BR__STATE__FENCE_NEXT__INIT;

  fence.resource = br_str_dup (resource);
  command.body_case = BR__STATE__COMMAND__BODY_FENCE_NEXT;
  command.fence_next = &fence;
  br_command_pack (&command, out);
  free (fence.resource);
}

void
br_state_command_change (const br_change_t *change, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;

  command.body_case = BR__STATE__COMMAND__BODY_CHANGE;
  command.change = (br_change_t *)change;
  br_command_pack (&command, out);
}

void
br_state_command_site (uint64_t version, br_str_t text, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;
  Br__State__SiteChange change = BR__STATE__SITE_CHANGE__INIT;

  change.version = version;
  change.text.data = (uint8_t *)text.data;
  change.text.len = text.len;
  command.body_case = BR__STATE__COMMAND__BODY_SITE_CHANGE;
  command.site_change = &change;
  br_command_pack (&command, out);
}

void
br_state_command_usage (const Br__State__UsageDecision *decision, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;

  command.body_case = BR__STATE__COMMAND__BODY_USAGE_DECISION;
  command.usage_decision = (Br__State__UsageDecision *)decision;
  br_command_pack (&command, out);
}

void
br_state_command_ban (uint64_t content, br_ms_t until_wall_ms, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;
  Br__State__Ban ban = BR__STATE__BAN__INIT;

  ban.content = content;
  ban.until_ms = (uint64_t)until_wall_ms;
  command.body_case = BR__STATE__COMMAND__BODY_BAN;
  command.ban = &ban;
  br_command_pack (&command, out);
}

void
br_state_command_streams (const Br__State__Streams *streams, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;

  command.body_case = BR__STATE__COMMAND__BODY_STREAMS;
  command.streams = (Br__State__Streams *)streams;
  br_command_pack (&command, out);
}

void
br_state_command_trial (const Br__State__Trial *trial, br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;

  command.body_case = BR__STATE__COMMAND__BODY_TRIAL;
  command.trial = (Br__State__Trial *)trial;
  br_command_pack (&command, out);
}

void
br_state_command_rollout_start (const Br__State__RolloutStart *start,
                                br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;

  command.body_case = BR__STATE__COMMAND__BODY_ROLLOUT_START;
  command.rollout_start = (Br__State__RolloutStart *)start;
  br_command_pack (&command, out);
}

void
br_state_command_rollout_step (const Br__State__RolloutStep *step,
                               br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;

  command.body_case = BR__STATE__COMMAND__BODY_ROLLOUT_STEP;
  command.rollout_step = (Br__State__RolloutStep *)step;
  br_command_pack (&command, out);
}

void
br_state_command_rollout_totals (const Br__State__RolloutTotals *totals,
                                 br_buf_t *out)
{
  br_command_t command = BR__STATE__COMMAND__INIT;

  command.body_case = BR__STATE__COMMAND__BODY_ROLLOUT_TOTALS;
  command.rollout_totals = (Br__State__RolloutTotals *)totals;
  br_command_pack (&command, out);
}
