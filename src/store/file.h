/* File operations of the store.  Whole files are replaced atomically, and
 * errors name the step and the file. */
#ifndef BR_STORE_FILE_H
#define BR_STORE_FILE_H

#include <stdint.h>
#include <sys/types.h>

#include "base/error.h"
#include "base/str.h"

BR_BEGIN_DECLS

/* System calls that the store uses.  Tests replace them to inject failures.
 * Each member behaves like the call it is named after. */
typedef struct
{
  ssize_t (*pwrite) (int fd, const void *data, size_t len, off_t offset);
  int (*fsync) (int fd);
  int (*ftruncate) (int fd, off_t len);
  int (*rename) (const char *from, const char *to);

  /* Allocates blocks beyond the end of the file without changing its size, like
   * fallocate() with FALLOC_FL_KEEP_SIZE. */
  int (*reserve) (int fd, off_t offset, off_t len);
} br_file_ops_t;

extern const br_file_ops_t br_file_system_ops;

/* Fills *ERR from errno and returns false. */
bool br_file_fail (br_error_t *err, const char *step, const char *file);

/* Writes all of DATA at OFFSET.  Returns false and sets errno on a failure. */
bool br_file_write (const br_file_ops_t *ops,
                    int fd,
                    br_str_t data,
                    uint64_t offset);

/* Appends the content of the file at PATH to OUT. */
bool br_file_read (const char *path, br_buf_t *out, br_error_t *err);

/* Syncs FOLDER, so that the names in it are durable. */
bool br_file_sync_folder (const br_file_ops_t *ops,
                          const char *folder,
                          br_error_t *err);

/* Creates or replaces FOLDER/NAME and syncs it.  After a crash the file has
 * either the old or the new content.  After a failure *REPLACED is true when
 * the file may have the new content.  REPLACED can be NULL. */
bool br_file_replace (const br_file_ops_t *ops,
                      const char *folder,
                      const char *name,
                      br_str_t content,
                      bool *replaced,
                      br_error_t *err);

/* Write and read numbers in files, little-endian. */
void br_file_put_u32 (br_buf_t *out, uint32_t value);
void br_file_put_u64 (br_buf_t *out, uint64_t value);
uint32_t br_file_get_u32 (const char *data);
uint64_t br_file_get_u64 (const char *data);

BR_END_DECLS

#endif
