#include "replica/log.h"

#include <string.h>

static const br_config_t empty_config;

static void
log_drop_configs (br_replica_log_t *log, size_t len)
{
  while (log->configs.len > len)
    br_config_release (&log->configs.items[--log->configs.len].config);
}

void
br_replica_log_release (br_replica_log_t *log)
{
  br_entries_release (&log->entries);
  log_drop_configs (log, 0);
  br_configs_free (&log->configs);
}

uint64_t
br_replica_log_last_index (const br_replica_log_t *log)
{
  return log->base_index + log->entries.len;
}

uint64_t
br_replica_log_last_term (const br_replica_log_t *log)
{
  return br_replica_log_term (log, br_replica_log_last_index (log));
}

uint64_t
br_replica_log_term (const br_replica_log_t *log, uint64_t index)
{
  assert (index >= log->base_index);
  assert (index <= br_replica_log_last_index (log));
  if (index == log->base_index)
    return log->base_term;
  return log->entries.items[index - log->base_index - 1].term;
}

const br_entry_t *
br_replica_log_entry (const br_replica_log_t *log, uint64_t index)
{
  if (index <= log->base_index || index > br_replica_log_last_index (log))
    return NULL;
  return &log->entries.items[index - log->base_index - 1];
}

void
br_replica_log_append (br_replica_log_t *log, br_entry_t entry)
{
  br_config_at_t at = { .index = entry.index };

  assert (entry.index == br_replica_log_last_index (log) + 1);
  br_entries_push (&log->entries, entry);
  if (entry.kind != BR_ENTRY_CONFIG)
    return;
  /* It always parses: br_entry_from_wire() refuses entries that do not. */
  if (br_config_parse (br_buf_str (&entry.data), &at.config, NULL))
    br_configs_push (&log->configs, at);
}

void
br_replica_log_truncate (br_replica_log_t *log, uint64_t index)
{
  size_t keep = log->configs.len;

  assert (index > log->base_index);
  while (br_replica_log_last_index (log) >= index)
    br_entry_release (&log->entries.items[--log->entries.len]);
  while (keep > 0 && log->configs.items[keep - 1].index >= index)
    keep--;
  log_drop_configs (log, keep);
}

void
br_replica_log_compact (br_replica_log_t *log, uint64_t index)
{
  size_t drop = index - log->base_index;
  size_t first = 0;

  if (index <= log->base_index)
    return;
  log->base_term = br_replica_log_term (log, index);
  log->base_index = index;
  for (size_t i = 0; i < drop; i++)
    br_entry_release (&log->entries.items[i]);
  log->entries.len -= drop;
  memmove (log->entries.items, log->entries.items + drop,
           log->entries.len * sizeof log->entries.items[0]);
  while (first + 1 < log->configs.len
         && log->configs.items[first + 1].index <= index)
    br_config_release (&log->configs.items[first++].config);
  if (first == 0)
    return;
  log->configs.len -= first;
  memmove (log->configs.items, log->configs.items + first,
           log->configs.len * sizeof log->configs.items[0]);
}

void
br_replica_log_reset (br_replica_log_t *log,
                      uint64_t index,
                      uint64_t term,
                      const br_config_t *config)
{
  br_config_at_t at = { .index = index };

  br_config_copy (&at.config, config);
  br_replica_log_release (log);
  *log = (br_replica_log_t){ .base_index = index, .base_term = term };
  br_configs_push (&log->configs, at);
}

const br_config_t *
br_replica_log_config (const br_replica_log_t *log)
{
  if (log->configs.len == 0)
    return &empty_config;
  return &log->configs.items[log->configs.len - 1].config;
}

uint64_t
br_replica_log_config_index (const br_replica_log_t *log)
{
  if (log->configs.len == 0)
    return 0;
  return log->configs.items[log->configs.len - 1].index;
}

const br_config_t *
br_replica_log_config_at (const br_replica_log_t *log, uint64_t index)
{
  const br_config_t *config = &empty_config;

  for (size_t i = 0; i < log->configs.len; i++)
    if (log->configs.items[i].index <= index)
      config = &log->configs.items[i].config;
  return config;
}
