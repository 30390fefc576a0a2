#include "store/store.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#define SNAPSHOT_KIND "BRSN"
#define IDENTITY_KIND "BRID"
#define SNAPSHOT_NAME "snapshot"
#define IDENTITY_NAME "disk"
#define LOCK_NAME "lock"
#define SEGMENT_SUFFIX ".log"
#define TEMPORARY_SUFFIX ".tmp"
#define SEGMENT_DIGITS 16

/* Blocks are reserved in steps of this size. */
#define RESERVE_STEP_BYTES (1024 * 1024)

BR_VEC (numbers, uint64_t);

struct br_store
{
  char folder[PATH_MAX - BR_NAME_MAX];
  const br_file_ops_t *ops;
  uint64_t segment_max_bytes;
  int lock_fd;
  int fd;             /* of the last segment */
  uint64_t segment;   /* number of the first frame in the last segment */
  uint64_t next;      /* number of the next frame */
  uint64_t size;      /* of the last segment */
  uint64_t reserved;  /* end of the reserved blocks in the last segment */
  uint64_t log_bytes; /* since the last checkpoint */
  bool usable;
};

void
br_store_loaded_release (br_store_loaded_t *loaded)
{
  br_buf_free (&loaded->snapshot);
  br_store_records_release (&loaded->records);
}

static const char *
store_path (const br_store_t *store, const char *name, char path[PATH_MAX])
{
  snprintf (path, PATH_MAX, "%s/%s", store->folder, name);
  return path;
}

static void
segment_name (uint64_t number, char name[BR_NAME_MAX])
{
  snprintf (name, BR_NAME_MAX, "%0*" PRIx64 SEGMENT_SUFFIX, SEGMENT_DIGITS,
            number);
}

/* --- opening --- */

static bool
store_lock (br_store_t *store, br_error_t *err)
{
  char path[PATH_MAX];

  store_path (store, LOCK_NAME, path);
  store->lock_fd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (store->lock_fd < 0)
    return br_file_fail (err, "open lock", path);
  if (flock (store->lock_fd, LOCK_EX | LOCK_NB) == 0)
    return true;
  if (errno != EWOULDBLOCK)
    return br_file_fail (err, "lock", path);
  return br_error_set (err, BR_ERROR_CONFLICT, "lock", path,
                       "another process uses this data folder");
}

/* Reads the sealed file NAME.  *FOUND is false when it does not exist. */
static bool
store_read_sealed (br_store_t *store,
                   const char *name,
                   const char *kind,
                   uint64_t *number,
                   br_buf_t *content,
                   bool *found,
                   br_error_t *err)
{
  char path[PATH_MAX];
  br_buf_t data = { 0 };
  br_str_t view;
  bool ok;

  store_path (store, name, path);
  *found = access (path, F_OK) == 0;
  if (!*found)
    return true;
  ok = br_file_read (path, &data, err)
       && br_sealed_read (kind, br_buf_str (&data), path, number, &view, err);
  if (ok)
    br_buf_append (content, view);
  br_buf_free (&data);
  return ok;
}

static bool
store_write_sealed (br_store_t *store,
                    const char *name,
                    const char *kind,
                    uint64_t number,
                    br_str_t content,
                    br_error_t *err)
{
  br_buf_t data = { 0 };
  bool replaced;
  bool ok;

  br_sealed_pack (kind, number, content, &data);
  ok = br_file_replace (store->ops, store->folder, name, br_buf_str (&data),
                        &replaced, err);
  if (!ok && replaced)
    store->usable = false;
  br_buf_free (&data);
  return ok;
}

static int
number_compare (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left > right) - (left < right);
}

/* Lists the segments in order and removes the temporary files that a crash left
 * behind. */
static bool
store_list_segments (br_store_t *store, numbers_t *segments, br_error_t *err)
{
  DIR *dir = opendir (store->folder);
  struct dirent *entry;
  char path[PATH_MAX];

  if (dir == NULL)
    return br_file_fail (err, "list", store->folder);
  while ((entry = readdir (dir)) != NULL)
    {
      size_t len = strlen (entry->d_name);
      char *end;
      uint64_t number = strtoull (entry->d_name, &end, 16);

      if (len > strlen (TEMPORARY_SUFFIX)
          && strcmp (entry->d_name + len - strlen (TEMPORARY_SUFFIX),
                     TEMPORARY_SUFFIX)
                 == 0)
        unlink (store_path (store, entry->d_name, path));
      else if (end == entry->d_name + SEGMENT_DIGITS
               && strcmp (end, SEGMENT_SUFFIX) == 0)
        numbers_push (segments, number);
    }
  closedir (dir);
  if (segments->len > 0)
    qsort (segments->items, segments->len, sizeof segments->items[0],
           number_compare);
  return true;
}

/* Removes the segments before number FIRST. */
static void
store_remove_before (br_store_t *store, numbers_t *segments, uint64_t first)
{
  char path[PATH_MAX];
  char name[BR_NAME_MAX];
  size_t keep = 0;

  for (size_t i = 0; i < segments->len; i++)
    {
      segment_name (segments->items[i], name);
      if (segments->items[i] < first)
        unlink (store_path (store, name, path));
      else
        segments->items[keep++] = segments->items[i];
    }
  segments->len = keep;
}

static bool
store_read_segment (br_store_t *store,
                    uint64_t number,
                    bool is_last,
                    br_store_loaded_t *loaded,
                    br_error_t *err)
{
  char path[PATH_MAX];
  char name[BR_NAME_MAX];
  br_buf_t content = { 0 };
  br_segment_scan_t scan;
  bool ok;

  segment_name (number, name);
  store_path (store, name, path);
  if (number != store->next)
    return br_error_set (err, BR_ERROR_CORRUPT, "read log", path,
                         "frames %" PRIu64 " to %" PRIu64 " are missing",
                         store->next, number - 1);
  ok = br_file_read (path, &content, err)
       && br_segment_read (br_buf_str (&content), path, number, is_last,
                           &loaded->records, &scan, err);
  br_buf_free (&content);
  if (!ok)
    return false;
  store->segment = number;
  store->next = scan.next;
  store->size = store->reserved = scan.end;
  store->log_bytes += scan.end;
  loaded->torn_bytes = scan.torn_bytes;
  return true;
}

/* Opens the last segment for appending and truncates the unfinished frame that
 * a crash left at its end. */
static bool
store_open_last_segment (br_store_t *store, size_t torn_bytes, br_error_t *err)
{
  char path[PATH_MAX];
  char name[BR_NAME_MAX];

  segment_name (store->segment, name);
  store_path (store, name, path);
  store->fd = open (path, O_WRONLY | O_CLOEXEC);
  if (store->fd < 0)
    return br_file_fail (err, "open", path);
  if (torn_bytes > 0
      && (store->ops->ftruncate (store->fd, (off_t)store->size) != 0
          || store->ops->fsync (store->fd) != 0))
    return br_file_fail (err, "truncate the torn end", path);
  return true;
}

/* Creates the segment that starts with the next frame.  When N is not 0, it
 * holds the N records in one frame. */
static bool
store_new_segment (br_store_t *store,
                   const br_str_t *records,
                   size_t n,
                   br_error_t *err)
{
  char path[PATH_MAX];
  char name[BR_NAME_MAX];
  br_buf_t content = { 0 };
  bool replaced;
  bool ok;
  int fd = -1;

  segment_name (store->next, name);
  br_segment_append_head (store->next, &content);
  if (n > 0)
    br_segment_append_frame (store->next, records, n, &content);
  ok = br_file_replace (store->ops, store->folder, name, br_buf_str (&content),
                        &replaced, err);
  if (ok)
    {
      fd = open (store_path (store, name, path), O_WRONLY | O_CLOEXEC);
      ok = fd >= 0 || br_file_fail (err, "open", path);
    }
  if (ok)
    {
      if (store->fd >= 0)
        close (store->fd);
      store->fd = fd;
      store->segment = store->next;
      store->next += n > 0;
      store->size = store->reserved = content.len;
      store->log_bytes += content.len;
    }
  else if (replaced)
    store->usable = false;
  br_buf_free (&content);
  return ok;
}

/* Reads the identity of the disk, or writes it to a new folder.  It is written
 * after the first segment, so a folder with an identity but no log has lost its
 * log. */
static bool
store_load_identity (br_store_t *store,
                     uint64_t new_disk,
                     br_store_loaded_t *loaded,
                     br_error_t *err)
{
  br_buf_t content = { 0 };
  bool found;
  bool ok = store_read_sealed (store, IDENTITY_NAME, IDENTITY_KIND,
                               &loaded->disk, &content, &found, err);

  br_buf_free (&content);
  if (!ok || found)
    return ok;
  if (loaded->has_snapshot || loaded->records.len > 0)
    return br_error_set (err, BR_ERROR_CORRUPT, "read identity", store->folder,
                         "the file \"%s\" is missing", IDENTITY_NAME);
  loaded->disk = new_disk;
  return store_write_sealed (store, IDENTITY_NAME, IDENTITY_KIND, new_disk,
                             br_str_from (""), err);
}

bool
br_store_exists (const char *folder)
{
  char path[PATH_MAX];

  snprintf (path, sizeof path, "%s/%s", folder, IDENTITY_NAME);
  return access (path, F_OK) == 0;
}

static bool
store_has_identity (const br_store_t *store)
{
  char path[PATH_MAX];

  return access (store_path (store, IDENTITY_NAME, path), F_OK) == 0;
}

static bool
store_load_log (br_store_t *store, br_store_loaded_t *loaded, br_error_t *err)
{
  numbers_t segments = { 0 };
  bool ok = store_list_segments (store, &segments, err);

  store_remove_before (store, &segments, store->next);
  if (ok && segments.len == 0 && store_has_identity (store))
    ok = br_error_set (err, BR_ERROR_CORRUPT, "read log", store->folder,
                       "frame %" PRIu64 " and all after it are missing",
                       store->next);
  for (size_t i = 0; ok && i < segments.len; i++)
    ok = store_read_segment (store, segments.items[i], i + 1 == segments.len,
                             loaded, err);
  if (ok && segments.len == 0)
    ok = store_new_segment (store, NULL, 0, err);
  else if (ok)
    ok = store_open_last_segment (store, loaded->torn_bytes, err);
  numbers_free (&segments);
  return ok;
}

static bool
store_load (br_store_t *store,
            const br_store_options_t *options,
            br_store_loaded_t *loaded,
            br_error_t *err)
{
  return store_lock (store, err)
         && store_read_sealed (store, SNAPSHOT_NAME, SNAPSHOT_KIND,
                               &store->next, &loaded->snapshot,
                               &loaded->has_snapshot, err)
         && store_load_log (store, loaded, err)
         && store_load_identity (store, options->new_disk, loaded, err);
}

br_store_t *
br_store_open (const br_store_options_t *options,
               br_store_loaded_t *loaded,
               br_error_t *err)
{
  br_store_t *store = br_alloc_zero (sizeof *store);

  assert (options->new_disk != 0);
  *loaded = (br_store_loaded_t){ 0 };
  store->ops = options->ops != NULL ? options->ops : &br_file_system_ops;
  store->segment_max_bytes = options->segment_max_bytes;
  store->lock_fd = store->fd = -1;
  store->next = 1;
  store->usable = true;
  snprintf (store->folder, sizeof store->folder, "%s", options->folder);
  if (mkdir (store->folder, 0700) != 0 && errno != EEXIST)
    br_file_fail (err, "create", store->folder);
  else if (store_load (store, options, loaded, err))
    return store;
  br_store_loaded_release (loaded);
  br_store_close (store);
  return NULL;
}

/* Cuts off what a failed write left behind the last synced frame, and drops the
 * cached pages of the segment: after a failed sync they may differ from the
 * disk. */
static bool
store_cut_failed_frame (const br_store_t *store, br_error_t *err)
{
  char path[PATH_MAX];
  char name[BR_NAME_MAX];
  bool ok;
  int fd;

  segment_name (store->segment, name);
  fd = open (store_path (store, name, path), O_WRONLY | O_CLOEXEC);
  if (fd < 0)
    return br_file_fail (err, "open", path);
  ok = (store->ops->ftruncate (fd, (off_t)store->size) == 0
        && store->ops->fsync (fd) == 0)
       || br_file_fail (err, "cut off a failed write", path);
  posix_fadvise (fd, 0, 0, POSIX_FADV_DONTNEED);
  close (fd);
  return ok;
}

bool
br_store_recover (br_store_t *store, br_error_t *err)
{
  br_store_t fresh = *store;
  br_store_loaded_t loaded = { 0 };
  bool found;
  bool ok;

  fresh.fd = -1;
  fresh.next = 1;
  fresh.log_bytes = 0;
  if (store->fd >= 0)
    close (store->fd);
  store->fd = -1;
  store->usable = false;
  ok = br_file_sync_folder (store->ops, store->folder, err)
       && store_cut_failed_frame (store, err)
       && store_read_sealed (&fresh, SNAPSHOT_NAME, SNAPSHOT_KIND, &fresh.next,
                             &loaded.snapshot, &found, err)
       && store_load_log (&fresh, &loaded, err);
  if (ok && fresh.next < store->next)
    ok = br_error_set (err, BR_ERROR_CORRUPT, "read log", store->folder,
                       "frames %" PRIu64 " to %" PRIu64
                       " were synced and are missing",
                       fresh.next, store->next - 1);
  if (ok)
    {
      *store = fresh;
      store->usable = true;
    }
  else if (fresh.fd >= 0)
    close (fresh.fd);
  br_store_loaded_release (&loaded);
  return ok;
}

void
br_store_close (br_store_t *store)
{
  if (store == NULL)
    return;
  if (store->fd >= 0)
    close (store->fd);
  if (store->lock_fd >= 0)
    close (store->lock_fd);
  free (store);
}

/* --- writing --- */

static bool
store_check_usable (const br_store_t *store, br_error_t *err)
{
  if (store->usable)
    return true;
  return br_error_set (err, BR_ERROR_STORAGE, "append", store->folder,
                       "an earlier sync failed, and the folder was not read "
                       "again since");
}

/* Reserves blocks up to END, so that a later sync does not fail for lack of
 * space.  Returns false when the disk or the quota is full. */
static bool
store_reserve (br_store_t *store, uint64_t end)
{
  uint64_t new_end = BR_MAX (end, store->reserved + RESERVE_STEP_BYTES);

  if (end <= store->reserved)
    return true;
  if (store->ops->reserve (store->fd, (off_t)store->reserved,
                           (off_t)(new_end - store->reserved))
      == 0)
    store->reserved = new_end;
  else if (errno == ENOSPC || errno == EDQUOT)
    return false;
  return true;
}

static bool
store_write_frame (br_store_t *store, br_str_t frame, br_error_t *err)
{
  if (!store_reserve (store, store->size + frame.len))
    return br_file_fail (err, "append", store->folder);
  if (!br_file_write (store->ops, store->fd, frame, store->size))
    {
      br_file_fail (err, "append", store->folder);
      store->usable
          = store->ops->ftruncate (store->fd, (off_t)store->size) == 0;
      store->reserved = store->size;
      return false;
    }
  store->usable = store->ops->fsync (store->fd) == 0;
  if (!store->usable)
    return br_file_fail (err, "fsync", store->folder);
  store->size += frame.len;
  store->log_bytes += frame.len;
  store->next++;
  return true;
}

bool
br_store_append (br_store_t *store,
                 const br_str_t *records,
                 size_t n,
                 br_error_t *err)
{
  br_buf_t frame = { 0 };
  bool ok;

  if (!store_check_usable (store, err))
    return false;
  /* When there is no space for a new segment, the append continues in the old
   * one, unless the new one may exist. */
  if (store->size > store->segment_max_bytes
      && !store_new_segment (store, NULL, 0, err) && !store->usable)
    return false;
  br_segment_append_frame (store->next, records, n, &frame);
  ok = store_write_frame (store, br_buf_str (&frame), err);
  br_buf_free (&frame);
  return ok;
}

bool
br_store_checkpoint (br_store_t *store,
                     br_str_t snapshot,
                     const br_str_t *records,
                     size_t n,
                     br_error_t *err)
{
  numbers_t segments = { 0 };
  uint64_t first = store->next;

  /* The segment with the records is written first, then the snapshot that
   * precedes it.  After a crash between the two, the old snapshot and the whole
   * log still hold the same state. */
  if (!store_check_usable (store, err)
      || !store_new_segment (store, records, n, err)
      || !store_write_sealed (store, SNAPSHOT_NAME, SNAPSHOT_KIND, first,
                              snapshot, err))
    return false;
  store->log_bytes = store->size;
  if (store_list_segments (store, &segments, NULL))
    store_remove_before (store, &segments, first);
  numbers_free (&segments);
  return true;
}

bool
br_store_is_usable (const br_store_t *store)
{
  return store->usable;
}

bool
br_store_has_space (br_store_t *store, uint64_t bytes)
{
  return store->usable && store_reserve (store, store->size + bytes);
}

uint64_t
br_store_log_bytes (const br_store_t *store)
{
  return store->log_bytes;
}
