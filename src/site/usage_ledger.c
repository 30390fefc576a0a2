#include "site/usage_ledger.h"

static br_ledger_entry_t *
ledger_row (br_usage_ledger_t *ledger,
            const br_name_t *vm,
            uint64_t incarnation)
{
  br_ledger_entry_t fresh = { .vm = *vm, .incarnation = incarnation };

  for (size_t i = 0; i < ledger->entries.len; i++)
    if (ledger->entries.items[i].incarnation == incarnation
        && br_name_equal (&ledger->entries.items[i].vm, vm))
      return &ledger->entries.items[i];
  return br_ledger_entries_push (&ledger->entries, fresh);
}

br_ledger_entry_t *
br_usage_ledger_receive (br_usage_ledger_t *ledger,
                         const br_name_t *vm,
                         uint64_t incarnation,
                         br_ms_t now)
{
  br_ledger_entry_t *row = ledger_row (ledger, vm, incarnation);

  if (now - ledger->received_ms >= BR_LEDGER_SETTLE_MS)
    ledger->since_ms = now;
  ledger->received_ms = now;
  row->last_seen_ms = now;
  return row;
}

static void
sum_add (br_usage_entries_t *sum, const br_usage_entry_t *entry)
{
  for (size_t i = 0; i < sum->len; i++)
    if (br_name_equal (&sum->items[i].organisation, &entry->organisation))
      {
        sum->items[i].requests += entry->requests;
        return;
      }
  br_usage_entries_push (sum, *entry);
}

void
br_usage_ledger_sum (const br_usage_ledger_t *ledger,
                     uint64_t window,
                     br_usage_entries_t *sum)
{
  br_usage_entries_clear (sum);
  for (size_t i = 0; i < ledger->entries.len; i++)
    {
      const br_usage_window_t *found
          = br_usage_find (&ledger->entries.items[i].usage, window);

      for (size_t j = 0; found != NULL && j < found->entries.len; j++)
        sum_add (sum, &found->entries.items[j]);
    }
}

/* Returns whether the VM of ROW has restarted since.  Usage that the earlier
 * run had not reported is lost. */
static bool
row_is_superseded (const br_usage_ledger_t *ledger,
                   const br_ledger_entry_t *row)
{
  for (size_t i = 0; i < ledger->entries.len; i++)
    if (ledger->entries.items[i].incarnation > row->incarnation
        && br_name_equal (&ledger->entries.items[i].vm, &row->vm))
      return true;
  return false;
}

bool
br_usage_ledger_is_complete (const br_usage_ledger_t *ledger,
                             br_ms_t now,
                             br_ms_t awaited_ms,
                             br_ms_t site_wall_ms)
{
  if (ledger->entries.len == 0
      || now - ledger->received_ms >= BR_LEDGER_SETTLE_MS
      || now - ledger->since_ms < BR_LEDGER_SETTLE_MS)
    return false;
  for (size_t i = 0; i < ledger->entries.len; i++)
    {
      const br_ledger_entry_t *row = &ledger->entries.items[i];

      if (now - row->last_seen_ms <= awaited_ms
          && row->site_wall_ms < site_wall_ms
          && !row_is_superseded (ledger, row))
        return false;
    }
  return true;
}

void
br_usage_ledger_trim (br_usage_ledger_t *ledger, br_ms_t seen_since_ms)
{
  for (size_t i = 0; i < ledger->entries.len;)
    if (ledger->entries.items[i].last_seen_ms < seen_since_ms)
      {
        br_usage_release (&ledger->entries.items[i].usage);
        ledger->entries.items[i] = ledger->entries.items[--ledger->entries.len];
      }
    else
      i++;
}

void
br_usage_ledger_release (br_usage_ledger_t *ledger)
{
  for (size_t i = 0; i < ledger->entries.len; i++)
    br_usage_release (&ledger->entries.items[i].usage);
  br_ledger_entries_free (&ledger->entries);
}
