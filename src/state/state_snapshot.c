/* Snapshots of the state: a head with a checksum, then one packed message. */
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "state/state_private.h"

#define SNAPSHOT_FORMAT 1

/* A snapshot starts with this, followed by a checksum of the rest. */
static const char snapshot_magic[8] = "brstate";

#define CHECKSUM_BYTES 8
#define HEAD_BYTES (sizeof snapshot_magic + CHECKSUM_BYTES)

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
  snapshot.rollouts_made = state->rollouts.made;
  snapshot.n_rollouts = state->rollouts.list.len;
  snapshot.rollouts = state->rollouts.list.items;
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
  for (size_t i = 0; i < snapshot->n_rollouts; i++)
    if (!br_rollout_store_add (&state->rollouts, snapshot->rollouts[i]))
      return restore_fail ("a rollout is not valid", err);
  state->rollouts.made = snapshot->rollouts_made;
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
      br_state_release (&restored);
      return false;
    }
  restored.rollouts.changes = state->rollouts.changes + 1;
  br_state_release (state);
  *state = restored;
  return true;
}
