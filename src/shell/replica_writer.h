/* Writes the log of the replica on a thread of its own, so that a slow disk
 * holds up neither callers nor streams.  One write is under way at a time;
 * everything proposed meanwhile goes into the next. */
#ifndef BR_SHELL_REPLICA_WRITER_H
#define BR_SHELL_REPLICA_WRITER_H

#include <event2/event.h>

#include "store/store.h"

BR_BEGIN_DECLS

typedef struct br_replica_writer br_replica_writer_t;

/* What became of a write. */
typedef struct
{
  bool ok;
  bool usable;    /* false: the folder must not be written any more */
  bool has_space; /* for further proposals */
  uint64_t log_bytes;
  br_error_t error;
} br_replica_written_t;

typedef void (*br_replica_written_fn) (void *context,
                                       const br_replica_written_t *written);

/* Takes STORE over.  WRITTEN is called from the event loop. */
br_replica_writer_t *br_replica_writer_new (struct event_base *base,
                                            br_store_t *store,
                                            br_replica_written_fn written,
                                            void *context);

/* Waits for the write under way. */
void br_replica_writer_free (br_replica_writer_t *writer);
bool br_replica_writer_is_busy (const br_replica_writer_t *writer);

/* Starts a write and takes RECORDS over; with HAS_SNAPSHOT it is a checkpoint
 * and takes SNAPSHOT over as well.  Without records it only looks whether
 * there is room.  The writer must not be busy. */
void br_replica_writer_start (br_replica_writer_t *writer,
                              br_store_records_t *records,
                              bool has_snapshot,
                              br_buf_t *snapshot);

/* Starts the write that failed once more. */
void br_replica_writer_retry (br_replica_writer_t *writer);

BR_END_DECLS

#endif
