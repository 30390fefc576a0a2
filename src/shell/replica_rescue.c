#include "shell/replica_rescue.h"

#include "shell/replica_load.h"

void
br_rescue_release (br_rescue_t *rescue)
{
  br_buf_free (&rescue->voters);
}

/* Fills CONFIG with the configuration in force; the caller releases it. */
static bool
rescue_read_config (const br_replica_saved_t *saved,
                    br_config_t *config,
                    br_error_t *err)
{
  const br_entry_t *last = NULL;

  for (size_t i = 0; i < saved->entries.len; i++)
    if (saved->entries.items[i].kind == BR_ENTRY_CONFIG)
      last = &saved->entries.items[i];
  if (last != NULL)
    return br_config_parse (br_buf_str (&last->data), config, err);
  br_config_copy (config, &saved->snapshot.config);
  return true;
}

static void
rescue_describe (const br_replica_saved_t *saved,
                 const br_config_t *config,
                 br_rescue_t *rescue)
{
  rescue->last_index = saved->snapshot.index + saved->entries.len;
  rescue->last_term = saved->entries.len > 0
                          ? saved->entries.items[saved->entries.len - 1].term
                          : saved->snapshot.term;
  rescue->commit
      = BR_MIN (BR_MAX (saved->hard_state.commit, saved->snapshot.index),
                rescue->last_index);
  rescue->n_voters = br_config_voters (config);
  for (size_t i = 0; i < config->members.len; i++)
    if (config->members.items[i].voter)
      br_buf_printf (&rescue->voters, "%s%s", rescue->voters.len > 0 ? "," : "",
                     config->members.items[i].vm.data);
}

/* Appends a configuration whose only voter is SELF, in a new term. */
static bool
rescue_append (br_store_t *store,
               const br_replica_saved_t *saved,
               br_config_member_t self,
               br_error_t *err)
{
  br_record_t term = { .kind = BR_RECORD_HARD_STATE };
  br_record_t entry = { .kind = BR_RECORD_ENTRY };
  br_config_t config = { 0 };
  br_buf_t packed[2] = { { 0 }, { 0 } };
  br_str_t views[2];
  bool ok;

  term.hard_state = (br_hard_state_t){ .term = saved->hard_state.term + 1,
                                       .vote = self.vm,
                                       .commit = saved->hard_state.commit };
  entry.entry
      = (br_entry_t){ .index = saved->snapshot.index + saved->entries.len + 1,
                      .term = term.hard_state.term,
                      .kind = BR_ENTRY_CONFIG };
  br_config_put (&config, self);
  br_config_print (&config, &entry.entry.data);
  br_record_pack (&term, &packed[0]);
  br_record_pack (&entry, &packed[1]);
  views[0] = br_buf_str (&packed[0]);
  views[1] = br_buf_str (&packed[1]);
  ok = br_store_append (store, views, 2, err);
  br_config_release (&config);
  br_entry_release (&entry.entry);
  br_buf_free (&packed[0]);
  br_buf_free (&packed[1]);
  return ok;
}

bool
br_replica_rescue (const br_settings_t *settings,
                   bool apply,
                   br_rescue_t *rescue,
                   br_error_t *err)
{
  br_log_t quiet = { 0 };
  br_replica_folder_t folder
      = { .path = settings->data_folder.data, .log = &quiet };
  uint64_t disk = 1;
  br_replica_saved_t saved = { 0 };
  br_config_t config = { 0 };
  br_store_t *store;
  bool ok;

  *rescue = (br_rescue_t){ 0 };
  if (settings->data_folder.len == 0)
    return br_error_set (err, BR_ERROR_SETTINGS, "rescue log", "",
                         "the settings name no data.folder");
  if (!br_store_exists (folder.path))
    return br_error_set (err, BR_ERROR_NOT_FOUND, "rescue log", folder.path,
                         "the folder holds no log");
  store = br_replica_open_folder (&folder, &disk, &saved, err);
  if (store == NULL)
    return false;
  ok = rescue_read_config (&saved, &config, err);
  if (ok)
    rescue_describe (&saved, &config, rescue);
  if (ok && rescue->n_voters == 0)
    ok = br_error_set (err, BR_ERROR_NOT_FOUND, "rescue log", folder.path,
                       "the folder holds no log");
  if (ok && apply)
    ok = rescue_append (store, &saved,
                        (br_config_member_t){ settings->vm, disk, true }, err);
  br_config_release (&config);
  br_replica_saved_release (&saved);
  br_store_close (store);
  return ok;
}
