#include "upstream/quarantine_private.h"

#include <string.h>

const br_ban_t *
br_quarantine_find_ban (const br_quarantine_t *quarantine, uint64_t content)
{
  for (size_t i = 0; i < quarantine->bans.len; i++)
    if (quarantine->bans.items[i].content == content)
      return &quarantine->bans.items[i];
  return NULL;
}

br_ms_t
br_ban_trial_ms (const br_ban_t *ban)
{
  return ban->granted_ms > 0 ? ban->granted_ms - BR_QUARANTINE_SKEW_MS
                             : ban->until_ms;
}

void
br_quarantine_end_trial (br_quarantine_t *quarantine,
                         uint64_t content,
                         br_ms_t at_ms)
{
  br_bans_t *bans = &quarantine->bans;

  for (size_t i = 0; i < bans->len; i++)
    if (bans->items[i].content == content
        && at_ms >= br_ban_trial_ms (&bans->items[i]))
      {
        bans->items[i] = bans->items[--bans->len];
        return;
      }
}

void
br_quarantine_clear_bans (br_quarantine_t *quarantine)
{
  br_bans_clear (&quarantine->bans);
}

void
br_quarantine_ban (br_quarantine_t *quarantine,
                   uint64_t content,
                   br_ms_t until_ms)
{
  br_ban_t ban = { .content = content, .until_ms = until_ms };
  br_bans_t *bans = &quarantine->bans;

  for (size_t i = 0; i < bans->len; i++)
    if (bans->items[i].content == content)
      {
        bans->items[i].until_ms = until_ms;
        return;
      }
  if (bans->len == BR_BANS_MAX)
    memmove (bans->items, bans->items + 1, --bans->len * sizeof *bans->items);
  br_bans_push (bans, ban);
}

void
br_quarantine_set_trial (br_quarantine_t *quarantine,
                         uint64_t content,
                         br_ms_t granted_ms)
{
  for (size_t i = 0; i < quarantine->bans.len; i++)
    if (quarantine->bans.items[i].content == content)
      quarantine->bans.items[i].granted_ms = granted_ms;
}

bool
br_quarantine_trial_runs (const br_quarantine_t *quarantine,
                          uint64_t content,
                          br_ms_t now)
{
  const br_ban_t *ban = br_quarantine_find_ban (quarantine, content);

  return ban != NULL && ban->granted_ms > 0
         && now - ban->granted_ms < BR_QUARANTINE_DECISION_MS;
}

bool
br_quarantine_trial_is_due (const br_quarantine_t *quarantine,
                            uint64_t content,
                            br_ms_t now)
{
  const br_ban_t *ban = br_quarantine_find_ban (quarantine, content);

  return ban != NULL && now >= ban->until_ms;
}

bool
br_quarantine_has_ban (const br_quarantine_t *quarantine, uint64_t content)
{
  return br_quarantine_find_ban (quarantine, content) != NULL;
}
