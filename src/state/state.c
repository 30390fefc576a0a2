#include "state/state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "state/claim_store.h"
#include "state/declaration_store.h"
#include "state/fence_store.h"
#include "state/site_store.h"

#define SNAPSHOT_FORMAT 1

/* A snapshot starts with this, followed by a checksum of the rest. */
static const char snapshot_magic[8] = "brstate";

#define CHECKSUM_BYTES 8
#define HEAD_BYTES (sizeof snapshot_magic + CHECKSUM_BYTES)

struct br_state
{
  uint64_t applied;
  br_declaration_store_t declarations;
  br_claim_store_t claims;
  br_fence_store_t fences;
  br_site_store_t site;
};

br_state_t *
br_state_new (void)
{
  return br_alloc_zero (sizeof (br_state_t));
}

static void
state_release (br_state_t *state)
{
  br_declaration_store_release (&state->declarations);
  br_claim_store_release (&state->claims);
  br_fence_store_release (&state->fences);
  br_site_store_release (&state->site);
}

void
br_state_free (br_state_t *state)
{
  if (state == NULL)
    return;
  state_release (state);
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

/* Arrays for packing a snapshot.  Their items belong to the stores. */
typedef struct
{
  const br_declaration_t **declarations;
  const Br__State__Verdict **operations;
  const br_claim_record_t **claims;
  const Br__State__Fence **fences;
  const br_site_ban_t **bans;
} snapshot_lists_t;

static void
snapshot_lists_fill (const br_state_t *state, snapshot_lists_t *lists)
{
  const br_declaration_t *declaration = NULL;
  const Br__State__Verdict *operation = NULL;
  const br_claim_record_t *claim = NULL;
  const Br__State__Fence *fence = NULL;
  size_t i;

  for (i = 0; i < br_declaration_store_count (&state->declarations); i++)
    lists->declarations[i] = declaration
        = br_declaration_store_next (&state->declarations, declaration);
  for (i = 0; i < br_operation_result_count (&state->declarations); i++)
    lists->operations[i] = operation
        = br_operation_result_next (&state->declarations, operation);
  for (i = 0; i < br_claim_store_count (&state->claims); i++)
    lists->claims[i] = claim = br_claim_store_next (&state->claims, claim);
  for (i = 0; i < br_fence_store_count (&state->fences); i++)
    lists->fences[i] = fence = br_fence_store_next (&state->fences, fence);
  for (i = 0; i < state->site.bans.len; i++)
    lists->bans[i] = &state->site.bans.items[i];
}

static void
snapshot_set_lists (const br_state_t *state,
                    Br__State__Snapshot *snapshot,
                    snapshot_lists_t *lists)
{
  snapshot->n_declarations = br_declaration_store_count (&state->declarations);
  snapshot->n_verdicts = br_operation_result_count (&state->declarations);
  snapshot->n_claims = br_claim_store_count (&state->claims);
  snapshot->n_fences = br_fence_store_count (&state->fences);
  lists->declarations
      = br_alloc ((snapshot->n_declarations + 1) * sizeof (void *));
  lists->operations = br_alloc ((snapshot->n_verdicts + 1) * sizeof (void *));
  lists->claims = br_alloc ((snapshot->n_claims + 1) * sizeof (void *));
  lists->fences = br_alloc ((snapshot->n_fences + 1) * sizeof (void *));
  snapshot->bans_made = state->site.bans_made;
  snapshot->n_bans = state->site.bans.len;
  lists->bans = br_alloc ((snapshot->n_bans + 1) * sizeof (void *));
  snapshot_lists_fill (state, lists);
  snapshot->declarations = (br_declaration_t **)lists->declarations;
  snapshot->verdicts = (Br__State__Verdict **)lists->operations;
  snapshot->claims = (br_claim_record_t **)lists->claims;
  snapshot->fences = (Br__State__Fence **)lists->fences;
  snapshot->bans = (br_site_ban_t **)lists->bans;
}

static void
checksum_write (br_str_t body, uint8_t out[CHECKSUM_BYTES])
{
  XXH64_canonicalFromHash ((XXH64_canonical_t *)out,
                           XXH64 (body.data, body.len, SNAPSHOT_FORMAT));
}

void
br_state_snapshot (const br_state_t *state, br_buf_t *out)
{
  Br__State__Snapshot snapshot = BR__STATE__SNAPSHOT__INIT;
  Br__State__SiteChange site = BR__STATE__SITE_CHANGE__INIT;
  uint8_t head[HEAD_BYTES];
  snapshot_lists_t lists;
  size_t start = out->len;
  size_t len;

  snapshot.format = SNAPSHOT_FORMAT;
  snapshot.applied = state->applied;
  snapshot.revision = state->declarations.revision;
  snapshot.now_ms = (uint64_t)state->claims.now_ms;
  snapshot.tick = state->claims.tick;
  snapshot_set_lists (state, &snapshot, &lists);
  if (state->site.version > 0)
    {
      site.version = state->site.version;
      site.text.data = (uint8_t *)state->site.text.data;
      site.text.len = state->site.text.len;
      snapshot.site = &site;
    }
  snapshot.n_usage = state->site.usage.len;
  snapshot.usage = state->site.usage.items;
  snapshot.streams_made = state->site.streams_made;
  snapshot.n_streams = state->site.streams.len;
  snapshot.streams = state->site.streams.items;
  len = br__state__snapshot__get_packed_size (&snapshot);
  br_buf_reserve (out, HEAD_BYTES + len);
  out->len += HEAD_BYTES + len;
  br__state__snapshot__pack (&snapshot,
                             (uint8_t *)out->data + start + HEAD_BYTES);
  memcpy (head, snapshot_magic, sizeof snapshot_magic);
  checksum_write (br_str_make (out->data + start + HEAD_BYTES, len),
                  head + sizeof snapshot_magic);
  memcpy (out->data + start, head, HEAD_BYTES);
  out->data[out->len] = '\0';
  free (lists.declarations);
  free (lists.operations);
  free (lists.claims);
  free (lists.fences);
  free (lists.bans);
}

static bool
restore_fail (const char *what, br_error_t *err)
{
  return br_error_set (err, BR_ERROR_CORRUPT, "restore state", "", "%s", what);
}

static bool
state_load (br_state_t *state,
            const Br__State__Snapshot *snapshot,
            br_error_t *err)
{
  if (snapshot->format != SNAPSHOT_FORMAT)
    return restore_fail ("the snapshot has another format version", err);
  if (snapshot->now_ms > (uint64_t)INT64_MAX / 2)
    return restore_fail ("the time of the last tick is out of range", err);
  state->applied = snapshot->applied;
  state->declarations.revision = snapshot->revision;
  state->claims.now_ms = (br_ms_t)snapshot->now_ms;
  state->claims.tick = snapshot->tick;
  for (size_t i = 0; i < snapshot->n_declarations; i++)
    if (!br_declaration_store_add (&state->declarations,
                                   snapshot->declarations[i]))
      return restore_fail ("a declaration is not valid", err);
  for (size_t i = 0; i < snapshot->n_verdicts; i++)
    if (!br_operation_result_add (&state->declarations, snapshot->verdicts[i]))
      return restore_fail ("an operation result is not valid", err);
  for (size_t i = 0; i < snapshot->n_claims; i++)
    if (!br_claim_store_add (&state->claims, snapshot->claims[i]))
      return restore_fail ("a claim is not valid", err);
  br_claim_store_sort_bodies (&state->claims);
  for (size_t i = 0; i < snapshot->n_fences; i++)
    if (!br_fence_store_add (&state->fences, snapshot->fences[i]))
      return restore_fail ("a fencing number is not valid", err);
  if (snapshot->site != NULL)
    br_site_store_change (&state->site, snapshot->site);
  for (size_t i = 0; i < snapshot->n_usage; i++)
    if (br_site_store_decide (&state->site, snapshot->usage[i]) == NULL)
      return restore_fail ("the counts of an accounting window are not valid",
                           err);
  for (size_t i = 0; i < snapshot->n_bans; i++)
    br_site_store_ban (&state->site, snapshot->bans[i]);
  state->site.bans_made = snapshot->bans_made;
  for (size_t i = 0; i < snapshot->n_streams; i++)
    if (!br_site_store_streams (&state->site, snapshot->streams[i]))
      return restore_fail ("a batch of streams is not valid", err);
  state->site.streams_made = snapshot->streams_made;
  return true;
}

static bool
snapshot_check_head (br_str_t snapshot, br_error_t *err)
{
  uint8_t checksum[CHECKSUM_BYTES];

  if (snapshot.len < HEAD_BYTES
      || memcmp (snapshot.data, snapshot_magic, sizeof snapshot_magic) != 0)
    return restore_fail ("this is not a snapshot of the state", err);
  checksum_write (
      br_str_make (snapshot.data + HEAD_BYTES, snapshot.len - HEAD_BYTES),
      checksum);
  if (memcmp (snapshot.data + sizeof snapshot_magic, checksum, CHECKSUM_BYTES)
      != 0)
    return restore_fail ("the checksum does not match", err);
  return true;
}

bool
br_state_restore (br_state_t *state, br_str_t snapshot, br_error_t *err)
{
  Br__State__Snapshot *unpacked;
  br_state_t restored = { 0 };
  bool ok;

  if (!snapshot_check_head (snapshot, err))
    return false;
  unpacked = br__state__snapshot__unpack (NULL, snapshot.len - HEAD_BYTES,
                                          (const uint8_t *)snapshot.data
                                              + HEAD_BYTES);
  if (unpacked == NULL)
    return restore_fail ("the snapshot does not parse", err);
  ok = state_load (&restored, unpacked, err);
  br__state__snapshot__free_unpacked (unpacked, NULL);
  if (!ok)
    {
      state_release (&restored);
      return false;
    }
  state_release (state);
  *state = restored;
  return true;
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
