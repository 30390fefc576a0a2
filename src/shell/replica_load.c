#include "shell/replica_load.h"

#include <inttypes.h>
#include <openssl/rand.h>

/* Bytes after which a new segment file is started. */
#define SEGMENT_MAX_BYTES (8 * 1024 * 1024)

/* Appends ENTRY in place of the loaded entries from its index on.  Takes
 * ownership of ENTRY. */
static bool
load_entry (br_replica_saved_t *saved,
            br_entry_t entry,
            const char *folder,
            br_error_t *err)
{
  br_entries_t *entries = &saved->entries;
  uint64_t base = saved->snapshot.index;

  if (entry.index <= base)
    {
      br_entry_release (&entry);
      return true;
    }
  if (entry.index > base + entries->len + 1)
    {
      br_error_set (err, BR_ERROR_CORRUPT, "read log", folder,
                    "entry %" PRIu64 " follows entry %" PRIu64
                    ", entries between them are missing",
                    entry.index, base + entries->len);
      br_entry_release (&entry);
      return false;
    }
  while (base + entries->len >= entry.index)
    br_entry_release (&entries->items[--entries->len]);
  br_entries_push (entries, entry);
  return true;
}

bool
br_replica_load (const br_store_loaded_t *loaded,
                 const char *folder,
                 br_replica_saved_t *saved,
                 br_error_t *err)
{
  *saved = (br_replica_saved_t){ 0 };
  if (loaded->has_snapshot
      && !br_replica_snapshot_unpack (br_buf_str (&loaded->snapshot),
                                      &saved->snapshot, err))
    return false;
  for (size_t i = 0; i < loaded->records.len; i++)
    {
      br_record_t record = { 0 };
      bool ok = br_record_unpack (br_buf_str (&loaded->records.items[i]),
                                  &record, err);

      if (ok && record.kind == BR_RECORD_HARD_STATE)
        saved->hard_state = record.hard_state;
      else if (ok)
        ok = load_entry (saved, record.entry, folder, err);
      if (ok)
        continue;
      br_replica_saved_release (saved);
      return false;
    }
  return true;
}

void
br_replica_saved_release (br_replica_saved_t *saved)
{
  br_replica_snapshot_release (&saved->snapshot);
  br_entries_release (&saved->entries);
}

static void
push_record (const br_record_t *record, br_store_records_t *records)
{
  br_buf_t data = { 0 };

  br_record_pack (record, &data);
  br_store_records_push (records, data);
}

static void
push_hard_state (const br_hard_state_t *state, br_store_records_t *records)
{
  br_record_t record = { .kind = BR_RECORD_HARD_STATE, .hard_state = *state };

  push_record (&record, records);
}

static void
push_entry (const br_entry_t *entry, br_store_records_t *records)
{
  br_record_t record = { .kind = BR_RECORD_ENTRY, .entry = *entry };

  push_record (&record, records);
}

void
br_replica_pack_writes (const br_replica_t *replica,
                        const br_replica_writes_t *writes,
                        br_store_records_t *records)
{
  const br_replica_log_t *log = br_replica_log (replica);

  if (writes->has_hard_state)
    push_hard_state (&writes->hard_state, records);
  for (uint64_t i = writes->first; i <= writes->last; i++)
    push_entry (br_replica_log_entry (log, i), records);
}

static void
pack_saved (const br_replica_saved_t *saved, br_store_records_t *records)
{
  push_hard_state (&saved->hard_state, records);
  for (size_t i = 0; i < saved->entries.len; i++)
    push_entry (&saved->entries.items[i], records);
}

static bool
folder_rewrite (br_store_t *store,
                const br_replica_saved_t *saved,
                br_error_t *err)
{
  br_store_records_t records = { 0 };
  br_buf_t snapshot = { 0 };
  br_str_t *views;
  bool ok;

  pack_saved (saved, &records);
  br_replica_snapshot_pack (&saved->snapshot, &snapshot);
  views = br_alloc (records.len * sizeof *views);
  for (size_t i = 0; i < records.len; i++)
    views[i] = br_buf_str (&records.items[i]);
  ok = br_store_checkpoint (store, br_buf_str (&snapshot), views, records.len,
                            err);
  free (views);
  br_store_records_release (&records);
  br_buf_free (&snapshot);
  return ok;
}

uint64_t
br_replica_new_identity (void)
{
  uint64_t number = 0;

  while (number == 0)
    RAND_bytes ((unsigned char *)&number, sizeof number);
  return number;
}

br_store_t *
br_replica_open_folder (const br_replica_folder_t *folder,
                        uint64_t *disk,
                        br_replica_saved_t *saved,
                        br_error_t *err)
{
  br_store_options_t options = {
    .folder = folder->path,
    .segment_max_bytes = SEGMENT_MAX_BYTES,
    .new_disk = *disk,
  };
  br_store_loaded_t loaded;
  br_store_t *store = br_store_open (&options, &loaded, err);
  bool ok;

  if (store == NULL)
    return NULL;
  *disk = loaded.disk;
  ok = br_replica_load (&loaded, folder->path, saved, err)
       && (loaded.records.len == 0 || folder_rewrite (store, saved, err));
  BR_LOG (folder->log, "replica", "loaded",
          br_field_int ("snapshot", (int64_t)saved->snapshot.index),
          br_field_int ("records", (int64_t)loaded.records.len),
          br_field_int ("torn_bytes", (int64_t)loaded.torn_bytes));
  br_store_loaded_release (&loaded);
  if (ok)
    return store;
  br_replica_saved_release (saved);
  br_store_close (store);
  return NULL;
}
