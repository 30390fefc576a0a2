/* Writes the log of the replica on a separate thread, which keeps a slow disk
 * from delaying callers and streams.  One write runs at a time.  Proposals that
 * arrive during a write go into the next one. */
#ifndef BR_SHELL_REPLICA_WRITER_H
#define BR_SHELL_REPLICA_WRITER_H

#include <event2/event.h>

#include "store/store.h"

BR_BEGIN_DECLS

typedef struct br_replica_writer br_replica_writer_t;

/* The result of a write. */
typedef struct
{
  bool ok;
  bool recovered; /* the log was read again after an earlier failure */
  bool damaged;   /* the folder must not be written any more */
  bool has_space; /* for further proposals */
  uint64_t log_bytes;
  br_error_t error;
} br_replica_written_t;

typedef void (*br_replica_written_fn) (void *context,
                                       const br_replica_written_t *written);

/* Takes ownership of STORE.  WRITTEN is called from the event loop after each
 * write. */
br_replica_writer_t *br_replica_writer_new (struct event_base *base,
                                            br_store_t *store,
                                            br_replica_written_fn written,
                                            void *context);

/* Waits for the write that runs and closes the store. */
void br_replica_writer_free (br_replica_writer_t *writer);

/* Returns whether a write has not been reported to WRITTEN yet. */
bool br_replica_writer_is_busy (const br_replica_writer_t *writer);

/* Starts a write and takes ownership of RECORDS.  With HAS_SNAPSHOT the write
 * is a checkpoint and takes ownership of SNAPSHOT too.  Without records it only
 * checks the free disk space.  The writer must not be busy. */
void br_replica_writer_start (br_replica_writer_t *writer,
                              br_store_records_t *records,
                              bool has_snapshot,
                              br_buf_t *snapshot);

/* Starts the last write, which failed, again. */
void br_replica_writer_retry (br_replica_writer_t *writer);

BR_END_DECLS

#endif
