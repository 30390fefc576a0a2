#include "state/claim_store.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "state/claim_check.h"
#include "state/state.h"

/* An operator may settle a claim this long after it was sent.  An owner that
 * was paused meanwhile is then past BR_STATE_SEND_BOUND_MS and no longer
 * sends. */
#define SETTLE_AFTER_MS (5 * BR_STATE_SEND_BOUND_MS)

struct br_claim_entry
{
  br_claim_record_t *record; /* owned */
  br_claim_entry_t *prev;
  br_claim_entry_t *next;
  UT_hash_handle hh; /* by record->key */
};

static br_claim_entry_t *
store_find (const br_claim_store_t *store, br_str_t key)
{
  br_claim_entry_t *entry;

  HASH_FIND (hh, store->entries, key.data, (unsigned)key.len, entry);
  return entry;
}

static void
store_drop_body (br_claim_store_t *store, br_claim_entry_t *entry)
{
  br_claim_record_t *record = entry->record;

  if (!record->body_kept)
    return;
  DL_DELETE (store->bodies, entry);
  store->body_bytes -= record->body.len;
  free (record->body.data);
  record->body = (ProtobufCBinaryData){ 0 };
  record->body_kept = false;
}

static void
store_keep_body (br_claim_store_t *store,
                 br_claim_entry_t *entry,
                 br_str_t body)
{
  br_claim_record_t *record = entry->record;

  store_drop_body (store, entry);
  record->body.data = (uint8_t *)br_str_dup (body);
  record->body.len = body.len;
  record->body_kept = true;
  DL_APPEND (store->bodies, entry);
  store->body_bytes += body.len;
  while (store->body_bytes > BR_STATE_CLAIM_BODIES_MAX_BYTES)
    store_drop_body (store, store->bodies);
}

static br_claim_owner_t *
owner_copy (const br_claim_owner_t *from)
{
  br_claim_owner_t *owner = br_alloc (sizeof *owner);

  br__state__claim_owner__init (owner);
  owner->vm = br_str_dup (br_str_from (from->vm));
  owner->incarnation = from->incarnation;
  owner->number = from->number;
  return owner;
}

static void
owner_replace (br_claim_record_t *record, const br_claim_owner_t *owner)
{
  br_claim_owner_t *old = record->owner;

  record->owner = owner_copy (owner);
  if (old != NULL)
    br__state__claim_owner__free_unpacked (old, NULL);
}

static br_claim_entry_t *
store_insert (br_claim_store_t *store, const char *key, br_str_t digest)
{
  br_claim_entry_t *entry = br_alloc_zero (sizeof *entry);
  br_claim_record_t *record = br_alloc (sizeof *record);

  br__state__claim__init (record);
  record->key = br_str_dup (br_str_from (key));
  record->digest
      = br_message_bytes (br_str_make (br_str_dup (digest), digest.len));
  entry->record = record;
  HASH_ADD_KEYPTR (hh, store->entries, record->key, strlen (record->key),
                   entry);
  return entry;
}

static void
store_remove (br_claim_store_t *store, br_claim_entry_t *entry)
{
  store_drop_body (store, entry);
  HASH_DEL (store->entries, entry);
  br__state__claim__free_unpacked (entry->record, NULL);
  free (entry);
}

static bool
store_is_full (const br_claim_store_t *store)
{
  return HASH_COUNT (store->entries) >= BR_STATE_CLAIMS_MAX;
}

/* Commands carry no time, so the deadline counts from the last tick.  The
 * longest span of a tick is added for the time that has passed since. */
static void
record_set_until (const br_claim_store_t *store,
                  br_claim_record_t *record,
                  uint64_t span_ms)
{
  record->until_ms = (uint64_t)store->now_ms + BR_STATE_TICK_MAX_MS + span_ms;
}

static void
record_finish (const br_claim_store_t *store,
               br_claim_record_t *record,
               br_claim_state_t state)
{
  record->state = state;
  record_set_until (store, record, record->retention_ms);
}

static void
record_begin (const br_claim_store_t *store,
              br_claim_record_t *record,
              const br_claim_owner_t *owner,
              uint32_t attempt,
              uint64_t retention_ms)
{
  owner_replace (record, owner);
  record->attempt = attempt;
  record->state = BR_CLAIM_CLAIMED;
  record->settled = false;
  record->retention_ms = retention_ms;
  record->begun_ms = (uint64_t)store->now_ms;
  record->until_ms = 0;
}

static bool
digest_equal (ProtobufCBinaryData a, ProtobufCBinaryData b)
{
  return br_str_equal (br_message_str (a), br_message_str (b));
}

static bool
record_is_owned_by (const br_claim_record_t *record,
                    const br_claim_owner_t *owner,
                    uint32_t attempt)
{
  return record->attempt == attempt
         && br_claim_owner_equal (record->owner, owner);
}

/* Processes a take of a key that already has a claim. */
static br_claim_outcome_t
record_take (const br_claim_store_t *store,
             br_claim_record_t *record,
             const Br__State__ClaimTake *take)
{
  if (!digest_equal (record->digest, take->digest))
    return BR_CLAIM_OUTCOME_OTHER_BODY;
  switch (record->state)
    {
    case BR_CLAIM_CLAIMED:
    case BR_CLAIM_SENT:
      return record_is_owned_by (record, take->owner, take->attempt)
                 ? BR_CLAIM_OUTCOME_OK
                 : BR_CLAIM_OUTCOME_EXISTS;
    case BR_CLAIM_NOT_RUN:
      if (take->attempt != record->attempt + 1)
        return BR_CLAIM_OUTCOME_STALE;
      record_begin (store, record, take->owner, take->attempt,
                    take->retention_ms);
      return BR_CLAIM_OUTCOME_OK;
    case BR_CLAIM_NONE:
    case BR_CLAIM_ANSWERED:
    case BR_CLAIM_UNKNOWN:
    default:
      break;
    }
  return BR_CLAIM_OUTCOME_EXISTS;
}

br_claim_outcome_t
br_claim_store_take (br_claim_store_t *store,
                     const Br__State__ClaimTake *take,
                     const br_claim_record_t **record)
{
  br_claim_entry_t *entry;

  *record = NULL;
  if (!br_claim_take_is_valid (take))
    return BR_CLAIM_OUTCOME_INVALID;
  entry = store_find (store, br_str_from (take->key));
  if (entry != NULL)
    {
      *record = entry->record;
      return record_take (store, entry->record, take);
    }
  if (take->attempt != 1)
    return BR_CLAIM_OUTCOME_STALE;
  if (store_is_full (store))
    return BR_CLAIM_OUTCOME_FULL;
  entry = store_insert (store, take->key, br_message_str (take->digest));
  record_begin (store, entry->record, take->owner, 1, take->retention_ms);
  *record = entry->record;
  return BR_CLAIM_OUTCOME_OK;
}

br_claim_outcome_t
br_claim_store_sent (br_claim_store_t *store,
                     const Br__State__ClaimSent *sent,
                     const br_claim_record_t **record)
{
  br_claim_entry_t *entry = store_find (store, br_str_from (sent->key));

  *record = entry != NULL ? entry->record : NULL;
  if (entry == NULL
      || !record_is_owned_by (entry->record, sent->owner, sent->attempt))
    return BR_CLAIM_OUTCOME_STALE;
  if (entry->record->state == BR_CLAIM_SENT)
    return BR_CLAIM_OUTCOME_OK;
  if (entry->record->state != BR_CLAIM_CLAIMED)
    return BR_CLAIM_OUTCOME_STALE;
  entry->record->state = BR_CLAIM_SENT;
  record_set_until (store, entry->record, SETTLE_AFTER_MS);
  return BR_CLAIM_OUTCOME_OK;
}

/* Records the attempt as not run, so that a take of it that arrives later is
 * refused. */
static br_claim_outcome_t
store_fence_take (br_claim_store_t *store,
                  br_claim_entry_t *entry,
                  const Br__State__ClaimEnd *end,
                  const br_claim_record_t **record)
{
  if (end->state != BR_CLAIM_NOT_RUN)
    return BR_CLAIM_OUTCOME_STALE;
  if (entry != NULL
      && (entry->record->state != BR_CLAIM_NOT_RUN
          || end->attempt != entry->record->attempt + 1
          || !digest_equal (entry->record->digest, end->digest)))
    return BR_CLAIM_OUTCOME_STALE;
  if (entry == NULL && store_is_full (store))
    return BR_CLAIM_OUTCOME_FULL;
  if (entry == NULL)
    entry = store_insert (store, end->key, br_message_str (end->digest));
  record_begin (store, entry->record, end->owner, end->attempt,
                end->retention_ms);
  record_finish (store, entry->record, BR_CLAIM_NOT_RUN);
  *record = entry->record;
  return BR_CLAIM_OUTCOME_OK;
}

/* Returns whether the owner may end the claim in state TO. */
static bool
record_may_end (const br_claim_record_t *record, br_claim_state_t to)
{
  if (record->settled)
    return false;
  switch (record->state)
    {
    case BR_CLAIM_CLAIMED:
      return to == BR_CLAIM_NOT_RUN;
    case BR_CLAIM_SENT:
    case BR_CLAIM_UNKNOWN:
      return true;
    case BR_CLAIM_NONE:
    case BR_CLAIM_ANSWERED:
    case BR_CLAIM_NOT_RUN:
    default:
      break;
    }
  return false;
}

static void
record_answer (br_claim_store_t *store,
               br_claim_entry_t *entry,
               uint64_t index,
               const Br__State__ClaimEnd *end)
{
  entry->record->status = end->status;
  entry->record->ended_index = index;
  if (end->body_kept && end->body.len <= BR_STATE_CLAIM_BODY_MAX_BYTES)
    store_keep_body (store, entry, br_message_str (end->body));
}

br_claim_outcome_t
br_claim_store_end (br_claim_store_t *store,
                    uint64_t index,
                    const Br__State__ClaimEnd *end,
                    const br_claim_record_t **record)
{
  br_claim_entry_t *entry = store_find (store, br_str_from (end->key));
  br_claim_state_t to = end->state;

  *record = entry != NULL ? entry->record : NULL;
  if (!br_claim_end_is_valid (end))
    return BR_CLAIM_OUTCOME_INVALID;
  if (entry == NULL
      || !record_is_owned_by (entry->record, end->owner, end->attempt))
    return store_fence_take (store, entry, end, record);
  if (entry->record->state == to && !entry->record->settled)
    return BR_CLAIM_OUTCOME_OK;
  if (!record_may_end (entry->record, to))
    return BR_CLAIM_OUTCOME_STALE;
  if (to == BR_CLAIM_UNKNOWN)
    entry->record->state = to;
  else
    record_finish (store, entry->record, to);
  if (to == BR_CLAIM_ANSWERED)
    record_answer (store, entry, index, end);
  return BR_CLAIM_OUTCOME_OK;
}

br_claim_outcome_t
br_claim_store_abandon (br_claim_store_t *store,
                        const Br__State__ClaimAbandon *abandon,
                        const br_claim_record_t **record)
{
  br_claim_entry_t *entry = store_find (store, br_str_from (abandon->key));

  *record = entry != NULL ? entry->record : NULL;
  if (entry == NULL
      || !record_is_owned_by (entry->record, abandon->owner, abandon->attempt))
    return BR_CLAIM_OUTCOME_STALE;
  if (entry->record->state == BR_CLAIM_CLAIMED)
    record_finish (store, entry->record, BR_CLAIM_NOT_RUN);
  else if (entry->record->state == BR_CLAIM_SENT)
    entry->record->state = BR_CLAIM_UNKNOWN;
  return BR_CLAIM_OUTCOME_OK;
}

br_claim_outcome_t
br_claim_store_settle (br_claim_store_t *store,
                       const Br__State__ClaimSettle *settle,
                       const br_claim_record_t **record)
{
  br_claim_entry_t *entry = store_find (store, br_str_from (settle->key));

  *record = entry != NULL ? entry->record : NULL;
  if (settle->state != BR_CLAIM_ANSWERED && settle->state != BR_CLAIM_NOT_RUN)
    return BR_CLAIM_OUTCOME_INVALID;
  if (entry == NULL)
    return BR_CLAIM_OUTCOME_STALE;
  if (entry->record->settled && entry->record->state == settle->state)
    return BR_CLAIM_OUTCOME_OK;
  if (entry->record->state != BR_CLAIM_UNKNOWN)
    return BR_CLAIM_OUTCOME_STALE;
  if ((uint64_t)store->now_ms < entry->record->until_ms)
    return BR_CLAIM_OUTCOME_TOO_EARLY;
  record_finish (store, entry->record, settle->state);
  entry->record->settled = true;
  return BR_CLAIM_OUTCOME_OK;
}

static bool
record_has_expired (const br_claim_store_t *store,
                    const br_claim_record_t *record)
{
  return (record->state == BR_CLAIM_ANSWERED
          || record->state == BR_CLAIM_NOT_RUN)
         && (uint64_t)store->now_ms >= record->until_ms;
}

void
br_claim_store_tick (br_claim_store_t *store, const Br__State__Tick *tick)
{
  br_claim_entry_t *entry;
  br_claim_entry_t *next;

  if (tick->sequence != store->tick + 1)
    return;
  store->tick = tick->sequence;
  store->now_ms
      += (br_ms_t)BR_MIN (tick->elapsed_ms, (uint64_t)BR_STATE_TICK_MAX_MS);
  HASH_ITER (hh, store->entries, entry, next)
  {
    if (record_has_expired (store, entry->record))
      store_remove (store, entry);
  }
}

const br_claim_record_t *
br_claim_store_find (const br_claim_store_t *store, br_str_t key)
{
  br_claim_entry_t *entry = store_find (store, key);

  return entry != NULL ? entry->record : NULL;
}

const br_claim_record_t *
br_claim_store_next (const br_claim_store_t *store,
                     const br_claim_record_t *record)
{
  br_claim_entry_t *entry = store->entries;

  if (record != NULL)
    entry = store_find (store, br_str_from (record->key))->hh.next;
  return entry != NULL ? entry->record : NULL;
}

size_t
br_claim_store_count (const br_claim_store_t *store)
{
  return HASH_COUNT (store->entries);
}

bool
br_claim_store_add (br_claim_store_t *store, const br_claim_record_t *record)
{
  br_claim_entry_t *entry;
  br_claim_record_t *copy;

  if (!br_claim_record_is_valid (record) || store_is_full (store)
      || store_find (store, br_str_from (record->key)) != NULL)
    return false;
  entry = store_insert (store, record->key, br_message_str (record->digest));
  copy = entry->record;
  copy->owner = owner_copy (record->owner);
  copy->attempt = record->attempt;
  copy->state = record->state;
  copy->status = record->status;
  copy->settled = record->settled;
  copy->retention_ms = record->retention_ms;
  copy->until_ms = record->until_ms;
  copy->begun_ms = record->begun_ms;
  copy->ended_index = record->ended_index;
  if (record->body_kept)
    store_keep_body (store, entry, br_message_str (record->body));
  return true;
}

static int
entry_compare_ended_index (br_claim_entry_t *a, br_claim_entry_t *b)
{
  uint64_t left = a->record->ended_index;
  uint64_t right = b->record->ended_index;

  return (left > right) - (left < right);
}

void
br_claim_store_sort_bodies (br_claim_store_t *store)
{
  DL_SORT (store->bodies, entry_compare_ended_index);
}

void
br_claim_store_release (br_claim_store_t *store)
{
  br_claim_entry_t *entry;
  br_claim_entry_t *next;

  HASH_ITER (hh, store->entries, entry, next)
  store_remove (store, entry);
}
