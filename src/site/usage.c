#include "site/usage.h"

/* Messages a second with changed counts that a control VM receives at most. */
#define SPREAD_PER_S 500

uint64_t
br_usage_window_of (br_ms_t wall_ms, br_ms_t window_ms)
{
  return wall_ms > 0 ? (uint64_t)(wall_ms / BR_MAX (window_ms, 1)) : 0;
}

static br_usage_window_t *
usage_slot (br_usage_t *usage, uint64_t window)
{
  return &usage->windows[window % BR_USAGE_WINDOWS];
}

void
br_usage_add (br_usage_t *usage,
              uint64_t window,
              br_str_t organisation,
              int64_t requests)
{
  br_usage_window_t *slot = usage_slot (usage, window);
  br_usage_entry_t fresh = { .requests = (uint64_t)BR_MAX (requests, 0) };

  if (window < slot->number)
    return;
  if (window > slot->number)
    {
      br_usage_entries_clear (&slot->entries);
      slot->number = window;
    }
  slot->changed = true;
  for (size_t i = 0; i < slot->entries.len; i++)
    if (br_str_equal (br_name_str (&slot->entries.items[i].organisation),
                      organisation))
      {
        slot->entries.items[i].requests += (uint64_t)requests;
        return;
      }
  br_name_set (&fresh.organisation, organisation);
  br_usage_entries_push (&slot->entries, fresh);
}

void
br_usage_clear (br_usage_t *usage, uint64_t window)
{
  br_usage_window_t *slot = usage_slot (usage, window);

  if (slot->number == window)
    br_usage_entries_clear (&slot->entries);
}

const br_usage_window_t *
br_usage_find (const br_usage_t *usage, uint64_t window)
{
  const br_usage_window_t *slot = &usage->windows[window % BR_USAGE_WINDOWS];

  return slot->number == window && slot->entries.len > 0 ? slot : NULL;
}

br_ms_t
br_usage_spread_ms (uint32_t entries)
{
  return (br_ms_t)entries * 1000 / SPREAD_PER_S;
}

bool
br_usage_changed (const br_usage_t *usage)
{
  for (size_t i = 0; i < BR_USAGE_WINDOWS; i++)
    if (usage->windows[i].changed)
      return true;
  return false;
}

void
br_usage_mark_reported (br_usage_t *usage)
{
  for (size_t i = 0; i < BR_USAGE_WINDOWS; i++)
    usage->windows[i].changed = false;
}

void
br_usage_release (br_usage_t *usage)
{
  for (size_t i = 0; i < BR_USAGE_WINDOWS; i++)
    br_usage_entries_free (&usage->windows[i].entries);
}
