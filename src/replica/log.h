/* The log in memory: the entries after the snapshot, and the configurations in
 * them and in the snapshot. */
#ifndef BR_REPLICA_LOG_H
#define BR_REPLICA_LOG_H

#include "replica/message.h"

BR_BEGIN_DECLS

typedef struct
{
  uint64_t index;
  br_config_t config; /* owned */
} br_config_at_t;

BR_VEC (br_configs, br_config_at_t);

typedef struct
{
  uint64_t base_index; /* of the snapshot; 0 without one */
  uint64_t base_term;
  br_entries_t entries; /* owned; the first one is at BASE_INDEX + 1 */
  br_configs_t configs; /* owned, by index; the last one is in force */
} br_replica_log_t;

void br_replica_log_release (br_replica_log_t *log);
uint64_t br_replica_log_last_index (const br_replica_log_t *log);
uint64_t br_replica_log_last_term (const br_replica_log_t *log);

/* Returns the term of the entry at INDEX, which must be between the base index
 * and the last index. */
uint64_t br_replica_log_term (const br_replica_log_t *log, uint64_t index);

/* Returns NULL when INDEX is not in memory. */
const br_entry_t *br_replica_log_entry (const br_replica_log_t *log,
                                        uint64_t index);

/* Appends ENTRY, whose index must follow the last one, and takes ownership. */
void br_replica_log_append (br_replica_log_t *log, br_entry_t entry);

/* Removes the entries from INDEX on; INDEX must be after the base index. */
void br_replica_log_truncate (br_replica_log_t *log, uint64_t index);

/* Removes the entries up to INDEX, which must not be after the last one.  Does
 * nothing when INDEX is not after the base index. */
void br_replica_log_compact (br_replica_log_t *log, uint64_t index);

/* Removes everything; the log continues after the snapshot at INDEX. */
void br_replica_log_reset (br_replica_log_t *log,
                           uint64_t index,
                           uint64_t term,
                           const br_config_t *config);

/* Return the configuration in force, which is empty before the first one, and
 * the index of its entry. */
const br_config_t *br_replica_log_config (const br_replica_log_t *log);
uint64_t br_replica_log_config_index (const br_replica_log_t *log);

/* Returns the configuration that was in force at INDEX. */
const br_config_t *br_replica_log_config_at (const br_replica_log_t *log,
                                             uint64_t index);

BR_END_DECLS

#endif
