/* Converts between the records of the store and the saved state of the
 * replica. */
#ifndef BR_SHELL_REPLICA_LOAD_H
#define BR_SHELL_REPLICA_LOAD_H

#include "base/log.h"
#include "replica/replica.h"
#include "store/store.h"

BR_BEGIN_DECLS

/* Unpacks the snapshot and the records into SAVED, which the caller releases.
 * FOLDER is named in *ERR. */
bool br_replica_load (const br_store_loaded_t *loaded,
                      const char *folder,
                      br_replica_saved_t *saved,
                      br_error_t *err);

void br_replica_saved_release (br_replica_saved_t *saved);

/* Appends the records of WRITES to RECORDS. */
void br_replica_pack_writes (const br_replica_t *replica,
                             const br_replica_writes_t *writes,
                             br_store_records_t *records);

/* Returns a random identity for a new disk. */
uint64_t br_replica_new_identity (void);

typedef struct
{
  const char *path;
  br_log_t *log;
} br_replica_folder_t;

/* Opens the folder, loads its content into SAVED and writes it again.  The
 * second write is needed because an earlier process whose sync failed may have
 * left the content in the page cache only.  *DISK is the identity that an empty
 * folder gets; it is set to the identity of the folder.  Returns NULL and sets
 * *ERR on failure. */
br_store_t *br_replica_open_folder (const br_replica_folder_t *folder,
                                    uint64_t *disk,
                                    br_replica_saved_t *saved,
                                    br_error_t *err);

BR_END_DECLS

#endif
