#include "domain/notice.h"

#include <string.h>

static const char *const kind_names[] = {
#define X(id, name) name,
  BR_NOTICE_TABLE (X)
#undef X
};

const char *
br_notice_kind_name (br_notice_kind_t kind)
{
  return (unsigned)kind < BR_NOTICE_COUNT ? kind_names[kind] : "unknown";
}

static uint64_t
notice_id (const br_notice_t *notice)
{
  uint64_t id = br_str_hash (br_name_str (&notice->name), notice->kind);

  id = br_str_hash (br_str_make ((const char *)&notice->incarnation,
                                 sizeof notice->incarnation),
                    id);
  if (notice->kind != BR_NOTICE_CRASH)
    return id;
  return br_str_hash (
      br_str_make ((const char *)&notice->content, sizeof notice->content), id);
}

static void
notices_remove (br_notices_t *notices, size_t at)
{
  notices->digest ^= notices->entries.items[at].id;
  notices->entries.items[at] = notices->entries.items[notices->entries.len - 1];
  notices->entries.len--;
}

static void
notices_evict_when_full (br_notices_t *notices)
{
  size_t first = 0;

  if (notices->entries.len < BR_NOTICES_MAX)
    return;
  for (size_t i = 1; i < notices->entries.len; i++)
    if (notices->entries.items[i].notice.expires_ms
        < notices->entries.items[first].notice.expires_ms)
      first = i;
  notices_remove (notices, first);
}

bool
br_notices_add (br_notices_t *notices,
                const br_notice_t *notice,
                uint32_t sends,
                uint32_t urgent,
                br_ms_t now)
{
  br_notice_entry_t entry = {
    .notice = *notice,
    .id = notice_id (notice),
    .sends_remaining = sends,
    .urgent_above = sends - BR_MIN (sends, urgent),
  };

  if (notice->expires_ms <= now)
    return false;
  for (size_t i = 0; i < notices->entries.len; i++)
    if (notices->entries.items[i].id == entry.id)
      return false;
  notices_evict_when_full (notices);
  br_notice_entries_push (&notices->entries, entry);
  notices->digest ^= entry.id;
  return true;
}

static br_notice_entry_t *
notices_least_sent (br_notices_t *notices, bool urgent, const bool *taken)
{
  br_notice_entry_t *best = NULL;

  for (size_t i = 0; i < notices->entries.len; i++)
    {
      br_notice_entry_t *each = &notices->entries.items[i];

      if (taken[i]
          || each->sends_remaining <= (urgent ? each->urgent_above : 0))
        continue;
      if (best == NULL || each->sends_remaining > best->sends_remaining)
        best = each;
    }
  return best;
}

size_t
br_notices_take (br_notices_t *notices,
                 bool urgent,
                 br_notice_t *out,
                 size_t max)
{
  bool taken[BR_NOTICES_MAX];
  size_t n = 0;

  memset (taken, 0, notices->entries.len * sizeof *taken);
  while (n < max)
    {
      br_notice_entry_t *best = notices_least_sent (notices, urgent, taken);

      if (best == NULL)
        break;
      taken[best - notices->entries.items] = true;
      best->sends_remaining--;
      out[n++] = best->notice;
    }
  return n;
}

size_t
br_notices_copy (const br_notices_t *notices,
                 size_t from,
                 br_notice_t *out,
                 size_t max)
{
  size_t len = notices->entries.len;
  size_t n = BR_MIN (len, max);

  for (size_t i = 0; i < n; i++)
    out[i] = notices->entries.items[(from + i) % len].notice;
  return n;
}

void
br_notices_expire (br_notices_t *notices, br_ms_t now)
{
  size_t i = 0;

  while (i < notices->entries.len)
    if (notices->entries.items[i].notice.expires_ms <= now)
      notices_remove (notices, i);
    else
      i++;
}

void
br_notices_free (br_notices_t *notices)
{
  br_notice_entries_free (&notices->entries);
  notices->digest = 0;
}
