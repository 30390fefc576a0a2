#include "state/claim_check.h"

#include <string.h>

#include "state/state.h"

#define RETENTION_MIN_MS 1000
#define RETENTION_MAX_MS ((uint64_t)30 * 24 * 3600 * 1000)

static bool
owner_is_valid (const br_claim_owner_t *owner)
{
  size_t len = owner != NULL ? strlen (owner->vm) : 0;

  return len > 0 && len <= BR_NAME_MAX;
}

static bool
key_is_valid (const char *key)
{
  size_t len = strlen (key);

  return len > 0 && len <= BR_STATE_CLAIM_KEY_MAX;
}

static bool
retention_is_valid (uint64_t retention_ms)
{
  return retention_ms >= RETENTION_MIN_MS && retention_ms <= RETENTION_MAX_MS;
}

bool
br_claim_take_is_valid (const Br__State__ClaimTake *take)
{
  return key_is_valid (take->key) && owner_is_valid (take->owner)
         && take->digest.len == BR_DIGEST_BYTES && take->attempt > 0
         && retention_is_valid (take->retention_ms);
}

bool
br_claim_end_is_valid (const Br__State__ClaimEnd *end)
{
  return key_is_valid (end->key) && owner_is_valid (end->owner)
         && end->digest.len == BR_DIGEST_BYTES && end->attempt > 0
         && retention_is_valid (end->retention_ms)
         && (end->state == BR_CLAIM_ANSWERED || end->state == BR_CLAIM_NOT_RUN
             || end->state == BR_CLAIM_UNKNOWN);
}

bool
br_claim_record_is_valid (const br_claim_record_t *record)
{
  return key_is_valid (record->key) && owner_is_valid (record->owner)
         && record->digest.len == BR_DIGEST_BYTES && record->attempt > 0
         && retention_is_valid (record->retention_ms)
         && record->state > BR_CLAIM_NONE && record->state <= BR_CLAIM_UNKNOWN
         && record->body.len <= BR_STATE_CLAIM_BODY_MAX_BYTES
         && (record->body_kept || record->body.len == 0);
}
