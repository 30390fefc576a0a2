/* Packs and unpacks messages, records and snapshots
 * (src/replica/replica.proto). */
#ifndef BR_REPLICA_WIRE_H
#define BR_REPLICA_WIRE_H

#include "replica/message.h"

BR_BEGIN_DECLS

/* Maximum entries in one message. */
#define BR_APPEND_ENTRIES_MAX 1024

/* Appends the packed MESSAGE to OUT. */
void br_replica_pack (const br_replica_message_t *message, br_buf_t *out);

/* Unpacks a message from PEER and checks its fields.  On success the caller
 * releases *MESSAGE; its VM is PEER. */
bool br_replica_unpack (br_str_t data,
                        const br_name_t *peer,
                        br_replica_message_t *message,
                        br_error_t *err);

typedef enum
{
  BR_RECORD_HARD_STATE,
  BR_RECORD_ENTRY,
} br_record_kind_t;

/* The term, the VM that this one voted for in it, and a commit index.  With the
 * saved commit index a restarted VM can apply its log before there is a
 * leader. */
typedef struct
{
  uint64_t term;
  br_name_t vote;
  uint64_t commit;
} br_hard_state_t;

typedef struct
{
  br_record_kind_t kind;
  union
  {
    br_hard_state_t hard_state;
    br_entry_t entry; /* owned after unpacking */
  };
} br_record_t;

void br_record_pack (const br_record_t *record, br_buf_t *out);
bool br_record_unpack (br_str_t data, br_record_t *record, br_error_t *err);

/* The state after the entry at INDEX was applied. */
typedef struct
{
  uint64_t index;
  uint64_t term;
  br_config_t config; /* owned */
  br_buf_t state;     /* owned */
} br_replica_snapshot_t;

void br_replica_snapshot_release (br_replica_snapshot_t *snapshot);
void br_replica_snapshot_pack (const br_replica_snapshot_t *snapshot,
                               br_buf_t *out);
bool br_replica_snapshot_unpack (br_str_t data,
                                 br_replica_snapshot_t *snapshot,
                                 br_error_t *err);

void br_replica_pack_config (const br_config_t *config, br_buf_t *out);
bool
br_replica_unpack_config (br_str_t data, br_config_t *config, br_error_t *err);

BR_END_DECLS

#endif
