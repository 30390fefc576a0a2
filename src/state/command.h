/* Packs the commands that are proposed outside of a contract. */
#ifndef BR_STATE_COMMAND_H
#define BR_STATE_COMMAND_H

#include "base/clock.h"
#include "state/message.h"

BR_BEGIN_DECLS

/* Each function appends the packed command to OUT. */
void br_state_command_abandon (const br_claim_record_t *claim, br_buf_t *out);
void
br_state_command_settle (br_str_t key, br_claim_state_t state, br_buf_t *out);
void
br_state_command_tick (uint64_t sequence, br_ms_t elapsed_ms, br_buf_t *out);
void br_state_command_fence (br_str_t resource, br_buf_t *out);
void br_state_command_change (const br_change_t *change, br_buf_t *out);
void br_state_command_site (uint64_t version, br_str_t text, br_buf_t *out);
void br_state_command_usage (const Br__State__UsageDecision *decision,
                             br_buf_t *out);
void
br_state_command_ban (uint64_t content, br_ms_t until_wall_ms, br_buf_t *out);
void br_state_command_streams (const Br__State__Streams *streams,
                               br_buf_t *out);
void br_state_command_trial (const Br__State__Trial *trial, br_buf_t *out);
void br_state_command_rollout_start (const Br__State__RolloutStart *start,
                                     br_buf_t *out);
void br_state_command_rollout_step (const Br__State__RolloutStep *step,
                                    br_buf_t *out);
void br_state_command_rollout_totals (const Br__State__RolloutTotals *totals,
                                      br_buf_t *out);

BR_END_DECLS

#endif
