/* What one VM keeps on disk: a write-ahead log of records in segment files,
 * the newest snapshot, and the identity of the disk. */
#ifndef BR_STORE_STORE_H
#define BR_STORE_STORE_H

#include "store/file.h"
#include "store/segment.h"

BR_BEGIN_DECLS

typedef struct br_store br_store_t;

typedef struct
{
  const char *folder; /* created when it is not there */
  uint64_t segment_max_bytes;
  uint64_t new_disk;        /* random identity for an empty folder, not 0 */
  const br_file_ops_t *ops; /* NULL: those of the system */
} br_store_options_t;

/* What was found; released with br_store_loaded_release(). */
typedef struct
{
  uint64_t disk;
  bool has_snapshot;
  br_buf_t snapshot;
  br_store_records_t records; /* written since, in order */
  size_t torn_bytes;          /* cut from the end of the log */
} br_store_loaded_t;

void br_store_loaded_release (br_store_loaded_t *loaded);

/* Locks and reads the folder.  Returns NULL with BR_ERROR_CONFLICT when
 * another process has it, BR_ERROR_CORRUPT when a file is damaged. */
br_store_t *br_store_open (const br_store_options_t *options,
                           br_store_loaded_t *loaded,
                           br_error_t *err);
void br_store_close (br_store_t *store);

/* Appends the N records as one and syncs them.  On BR_ERROR_STORAGE nothing
 * was appended; while br_store_is_usable() it can be tried again, otherwise
 * the folder must not be written any more. */
bool br_store_append (br_store_t *store,
                      const br_str_t *records,
                      size_t n,
                      br_error_t *err);

/* Replaces everything by SNAPSHOT and the N records that follow it.  On an
 * error what was there before stays. */
bool br_store_checkpoint (br_store_t *store,
                          br_str_t snapshot,
                          const br_str_t *records,
                          size_t n,
                          br_error_t *err);

/* False for good once a sync has failed: nobody knows what is on disk. */
bool br_store_is_usable (const br_store_t *store);

/* Whether there is room for another BYTES; sets them aside where the file
 * system can. */
bool br_store_has_space (br_store_t *store, uint64_t bytes);

/* Bytes in the log since the last checkpoint. */
uint64_t br_store_log_bytes (const br_store_t *store);

BR_END_DECLS

#endif
