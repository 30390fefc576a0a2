/* Between what the store holds and what the replica takes. */
#ifndef BR_SHELL_REPLICA_LOAD_H
#define BR_SHELL_REPLICA_LOAD_H

#include "base/log.h"
#include "replica/replica.h"
#include "store/store.h"

BR_BEGIN_DECLS

/* Reads the snapshot and the records into SAVED; FOLDER goes into *ERR. */
bool br_replica_load (const br_store_loaded_t *loaded,
                      const char *folder,
                      br_replica_saved_t *saved,
                      br_error_t *err);

void br_replica_saved_release (br_replica_saved_t *saved);

/* Appends the records of WRITES. */
void br_replica_pack_writes (const br_replica_t *replica,
                             const br_replica_writes_t *writes,
                             br_store_records_t *records);

typedef struct
{
  const char *path;
  br_log_t *log;
} br_replica_folder_t;

/* Opens the folder, reads what is there and writes it once more: after a
 * failed sync an earlier process may have left it in memory only.  *DISK is
 * the identity for an empty folder, and becomes the one found. */
br_store_t *br_replica_open_folder (const br_replica_folder_t *folder,
                                    uint64_t *disk,
                                    br_replica_saved_t *saved,
                                    br_error_t *err);

BR_END_DECLS

#endif
