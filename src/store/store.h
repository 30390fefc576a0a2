/* Persistent state of one VM: a write-ahead log of records in segment files,
 * the newest snapshot, and the identity of the disk. */
#ifndef BR_STORE_STORE_H
#define BR_STORE_STORE_H

#include "store/file.h"
#include "store/segment.h"

BR_BEGIN_DECLS

typedef struct br_store br_store_t;

typedef struct
{
  const char *folder; /* created when it does not exist */
  uint64_t segment_max_bytes;
  uint64_t new_disk;        /* random identity for an empty folder, not 0 */
  const br_file_ops_t *ops; /* NULL: br_file_system_ops */
} br_store_options_t;

/* Content of the data folder.  Released with br_store_loaded_release(). */
typedef struct
{
  uint64_t disk;
  bool has_snapshot;
  br_buf_t snapshot;
  br_store_records_t records; /* since the snapshot, in order */
  size_t torn_bytes;          /* truncated from the end of the log */
} br_store_loaded_t;

/* Returns whether FOLDER has an identity, without changing it. */
bool br_store_exists (const char *folder);

void br_store_loaded_release (br_store_loaded_t *loaded);

/* Locks and reads the folder.  Returns NULL with BR_ERROR_CONFLICT when another
 * process uses it, and with BR_ERROR_CORRUPT when a file is damaged. */
br_store_t *br_store_open (const br_store_options_t *options,
                           br_store_loaded_t *loaded,
                           br_error_t *err);
void br_store_close (br_store_t *store);

/* Appends the N records atomically and syncs them.  On BR_ERROR_STORAGE nothing
 * was appended.  The append can be retried while br_store_is_usable(),
 * otherwise after br_store_recover(). */
bool br_store_append (br_store_t *store,
                      const br_str_t *records,
                      size_t n,
                      br_error_t *err);

/* Replaces the whole content by SNAPSHOT and the N records that follow it.  On
 * an error the earlier content remains. */
bool br_store_checkpoint (br_store_t *store,
                          br_str_t snapshot,
                          const br_str_t *records,
                          size_t n,
                          br_error_t *err);

/* Returns whether the folder can be written.  False once a sync has failed, or
 * what a failed write left could not be cut off, because the content of the
 * disk is then unknown. */
bool br_store_is_usable (const br_store_t *store);

/* Reads the folder again from the disk and cuts off what a failed write left,
 * so that it can be written.  Fails with BR_ERROR_STORAGE while the disk
 * refuses, and may be called again then; with BR_ERROR_CORRUPT when frames that
 * had been synced are damaged or missing. */
bool br_store_recover (br_store_t *store, br_error_t *err);

/* Returns whether there is space for another BYTES, and reserves it where the
 * file system supports that. */
bool br_store_has_space (br_store_t *store, uint64_t bytes);

/* Returns the bytes in the log since the last checkpoint. */
uint64_t br_store_log_bytes (const br_store_t *store);

BR_END_DECLS

#endif
