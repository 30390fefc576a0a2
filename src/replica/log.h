/* The part of the log that is in memory: the entries after the snapshot, and
 * the configurations that they and the snapshot hold. */
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
  br_entries_t entries; /* owned; the first has BASE_INDEX + 1 */
  br_configs_t configs; /* by index; the last one is in force */
} br_replica_log_t;

void br_replica_log_release (br_replica_log_t *log);
uint64_t br_replica_log_last_index (const br_replica_log_t *log);
uint64_t br_replica_log_last_term (const br_replica_log_t *log);

/* The term of the entry at INDEX, which must be the base or later and not
 * after the last one. */
uint64_t br_replica_log_term (const br_replica_log_t *log, uint64_t index);

/* NULL when INDEX is not in memory. */
const br_entry_t *br_replica_log_entry (const br_replica_log_t *log,
                                        uint64_t index);

/* Appends ENTRY, which must follow the last one, and takes it over. */
void br_replica_log_append (br_replica_log_t *log, br_entry_t entry);

/* Removes the entries from INDEX on; INDEX must be after the base. */
void br_replica_log_truncate (br_replica_log_t *log, uint64_t index);

/* Removes the entries up to INDEX, which must be there. */
void br_replica_log_compact (br_replica_log_t *log, uint64_t index);

/* Removes everything; the log goes on after a snapshot. */
void br_replica_log_reset (br_replica_log_t *log,
                           uint64_t index,
                           uint64_t term,
                           const br_config_t *config);

/* The configuration in force, and the index that brought it.  It is empty
 * before the first one. */
const br_config_t *br_replica_log_config (const br_replica_log_t *log);
uint64_t br_replica_log_config_index (const br_replica_log_t *log);

/* The configuration that was in force at INDEX. */
const br_config_t *br_replica_log_config_at (const br_replica_log_t *log,
                                             uint64_t index);

BR_END_DECLS

#endif
