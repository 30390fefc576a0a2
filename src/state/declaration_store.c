#include "state/declaration_store.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "state/state.h"

#define OPERATION_MAX 128
#define KIND_MAX 32

/* "KIND/NAME" */
#define PATH_MAX_LEN (KIND_MAX + 1 + BR_NAME_MAX)

/* Names of changed declarations that a verdict keeps. */
#define CHANGED_MAX 8

struct br_declaration_entry
{
  br_declaration_t *declaration; /* owned */
  char path[PATH_MAX_LEN + 1];
  UT_hash_handle hh;
};

struct br_operation_result_entry
{
  Br__State__Verdict *verdict; /* owned */
  UT_hash_handle hh;           /* by verdict->operation */
};

static bool
path_make (const char *kind, const char *name, char path[PATH_MAX_LEN + 1])
{
  size_t kind_len = strlen (kind);
  size_t name_len = strlen (name);

  if (kind_len == 0 || kind_len > KIND_MAX || name_len == 0
      || name_len > BR_NAME_MAX)
    return false;
  memcpy (path, kind, kind_len);
  path[kind_len] = '/';
  memcpy (path + kind_len + 1, name, name_len + 1);
  return true;
}

static br_declaration_entry_t *
store_find (const br_declaration_store_t *store, const char *path)
{
  br_declaration_entry_t *entry;

  HASH_FIND_STR (store->entries, path, entry);
  return entry;
}

static br_operation_result_entry_t *
store_find_verdict (const br_declaration_store_t *store, const char *operation)
{
  br_operation_result_entry_t *entry;

  HASH_FIND_STR (store->results, operation, entry);
  return entry;
}

static char *
text_replace (char *old, const char *text)
{
  if (old != protobuf_c_empty_string)
    free (old);
  return br_str_dup (br_str_from (text));
}

static void
store_put (br_declaration_store_t *store,
           const char *path,
           const br_declaration_t *from,
           uint64_t revision)
{
  br_declaration_entry_t *entry = store_find (store, path);

  if (entry == NULL)
    {
      entry = br_alloc_zero (sizeof *entry);
      memcpy (entry->path, path, strlen (path) + 1);
      entry->declaration = br_alloc (sizeof *entry->declaration);
      br__state__declaration__init (entry->declaration);
      entry->declaration->kind = br_str_dup (br_str_from (from->kind));
      entry->declaration->name = br_str_dup (br_str_from (from->name));
      HASH_ADD_STR (store->entries, path, entry);
    }
  store->bytes -= strlen (entry->declaration->json);
  entry->declaration->json
      = text_replace (entry->declaration->json, from->json);
  store->bytes += strlen (from->json);
  entry->declaration->revision = revision;
}

static void
store_remove (br_declaration_store_t *store, br_declaration_entry_t *entry)
{
  store->bytes -= strlen (entry->declaration->json);
  HASH_DEL (store->entries, entry);
  br__state__declaration__free_unpacked (entry->declaration, NULL);
  free (entry);
}

static bool
put_changes (const br_declaration_store_t *store,
             const char *path,
             const br_declaration_t *declaration)
{
  const br_declaration_entry_t *entry = store_find (store, path);

  return entry == NULL
         || strcmp (entry->declaration->json, declaration->json) != 0;
}

/* Whether the change fits; bytes that a replaced text gives back are not
 * counted. */
static br_change_outcome_t
change_check (const br_declaration_store_t *store, const br_change_t *change)
{
  size_t count = HASH_COUNT (store->entries) + change->n_put;
  size_t bytes = store->bytes;
  char path[PATH_MAX_LEN + 1];

  for (size_t i = 0; i < change->n_put; i++)
    {
      const br_declaration_t *put = change->put[i];

      if (!path_make (put->kind, put->name, path)
          || strlen (put->json) > BR_STATE_DECLARATION_MAX_BYTES)
        return BR_CHANGE_TOO_LARGE;
      if (put_changes (store, path, put))
        bytes += strlen (put->json);
      if (store_find (store, path) != NULL)
        count--;
    }
  if (count > BR_STATE_DECLARATIONS_MAX
      || bytes > BR_STATE_DECLARATIONS_MAX_BYTES)
    return BR_CHANGE_TOO_LARGE;
  for (size_t i = 0; i < change->n_remove; i++)
    if (!path_make (change->remove[i]->kind, change->remove[i]->name, path)
        || store_find (store, path) == NULL)
      return BR_CHANGE_NOT_FOUND;
  return BR_CHANGE_APPLIED;
}

static void
verdict_note (Br__State__Verdict *verdict, const char *path)
{
  verdict->changed_total++;
  if (verdict->n_changed >= CHANGED_MAX)
    return;
  if (verdict->changed == NULL)
    verdict->changed = br_alloc (CHANGED_MAX * sizeof (char *));
  verdict->changed[verdict->n_changed++] = br_str_dup (br_str_from (path));
}

/* Applies a change that was checked; the revision grows when something
 * changed. */
static void
store_apply (br_declaration_store_t *store,
             const br_change_t *change,
             Br__State__Verdict *verdict)
{
  uint64_t revision = store->revision + 1;
  char path[PATH_MAX_LEN + 1];

  for (size_t i = 0; i < change->n_put; i++)
    {
      path_make (change->put[i]->kind, change->put[i]->name, path);
      if (!put_changes (store, path, change->put[i]))
        continue;
      store_put (store, path, change->put[i], revision);
      verdict_note (verdict, path);
    }
  for (size_t i = 0; i < change->n_remove; i++)
    {
      br_declaration_entry_t *entry;

      path_make (change->remove[i]->kind, change->remove[i]->name, path);
      entry = store_find (store, path);
      if (entry == NULL)
        continue;
      store_remove (store, entry);
      verdict_note (verdict, path);
    }
  if (verdict->changed_total > 0)
    store->revision = revision;
}

/* Returns the operation that made REVISION, or NULL when it is no longer
 * known. */
static const Br__State__Verdict *
store_find_winner (const br_declaration_store_t *store, uint64_t revision)
{
  const br_operation_result_entry_t *entry;

  for (entry = store->results; entry != NULL; entry = entry->hh.next)
    {
      const Br__State__Verdict *verdict = entry->verdict;

      if (verdict->changed_total > 0 && verdict->result->revision == revision)
        return verdict;
    }
  return NULL;
}

static void
result_set_winner (br_change_result_t *result, const Br__State__Verdict *winner)
{
  if (winner == NULL)
    return;
  result->winner_operation = br_str_dup (br_str_from (winner->operation));
  result->winner_actor = br_str_dup (br_str_from (winner->actor));
  result->winner_changed_total = winner->changed_total;
  result->winner_changed = br_alloc (CHANGED_MAX * sizeof (char *));
  for (size_t i = 0; i < winner->n_changed; i++)
    result->winner_changed[result->n_winner_changed++]
        = br_str_dup (br_str_from (winner->changed[i]));
}

static Br__State__Verdict *
verdict_new (const br_change_t *change)
{
  Br__State__Verdict *verdict = br_alloc (sizeof *verdict);

  br__state__verdict__init (verdict);
  verdict->operation = br_str_dup (br_str_from (change->operation));
  verdict->actor = br_str_dup (br_str_from (change->actor));
  verdict->result = br_alloc (sizeof *verdict->result);
  br__state__change_result__init (verdict->result);
  return verdict;
}

static void
verdict_entry_free (br_declaration_store_t *store,
                    br_operation_result_entry_t *entry)
{
  HASH_DEL (store->results, entry);
  br__state__verdict__free_unpacked (entry->verdict, NULL);
  free (entry);
}

/* Takes VERDICT over and gives the oldest up when there are too many. */
static void
store_keep_verdict (br_declaration_store_t *store, Br__State__Verdict *verdict)
{
  br_operation_result_entry_t *entry = br_alloc_zero (sizeof *entry);

  entry->verdict = verdict;
  HASH_ADD_KEYPTR (hh, store->results, verdict->operation,
                   strlen (verdict->operation), entry);
  if (HASH_COUNT (store->results) > BR_STATE_OPERATION_RESULTS_MAX)
    verdict_entry_free (store, store->results);
}

static bool
change_is_valid (const br_change_t *change)
{
  size_t len = strlen (change->operation);

  return len > 0 && len <= OPERATION_MAX
         && strlen (change->actor) <= BR_NAME_MAX;
}

static void
store_judge (br_declaration_store_t *store,
             const br_change_t *change,
             Br__State__Verdict *verdict)
{
  br_change_result_t *result = verdict->result;
  br_change_outcome_t outcome;

  if (change->expects && change->expected_revision != store->revision)
    {
      outcome = BR_CHANGE_CONFLICT;
      result_set_winner (
          result, store_find_winner (store, change->expected_revision + 1));
    }
  else
    outcome = change_check (store, change);
  if (outcome == BR_CHANGE_APPLIED)
    store_apply (store, change, verdict);
  result->outcome = outcome;
  result->revision = store->revision;
  result->first = true;
}

void
br_declaration_store_change (br_declaration_store_t *store,
                             const br_change_t *change,
                             br_change_result_t *scratch,
                             const br_change_result_t **result)
{
  br_operation_result_entry_t *known;
  Br__State__Verdict *verdict;

  br__state__change_result__init (scratch);
  scratch->revision = store->revision;
  *result = scratch;
  if (!change_is_valid (change))
    {
      scratch->outcome = BR_CHANGE_TOO_LARGE;
      return;
    }
  known = store_find_verdict (store, change->operation);
  if (known != NULL)
    {
      *scratch = *known->verdict->result;
      scratch->first = false;
      return;
    }
  if (change->base_revision != store->revision
      && (!change->expects || change->expected_revision == store->revision))
    {
      scratch->outcome = BR_CHANGE_STALE;
      return;
    }
  verdict = verdict_new (change);
  store_judge (store, change, verdict);
  *result = verdict->result;
  store_keep_verdict (store, verdict);
}

const br_declaration_t *
br_declaration_store_next (const br_declaration_store_t *store,
                           const br_declaration_t *declaration)
{
  const br_declaration_entry_t *entry = store->entries;
  char path[PATH_MAX_LEN + 1];

  if (declaration != NULL)
    {
      path_make (declaration->kind, declaration->name, path);
      entry = store_find (store, path);
      assert (entry != NULL);
      entry = entry->hh.next;
    }
  return entry != NULL ? entry->declaration : NULL;
}

const br_declaration_t *
br_declaration_store_find (const br_declaration_store_t *store,
                           br_str_t kind,
                           br_str_t name)
{
  br_buf_t path = { 0 };
  const br_declaration_entry_t *entry;

  br_buf_append (&path, kind);
  br_buf_append_char (&path, '/');
  br_buf_append (&path, name);
  entry = store_find (store, path.data);
  br_buf_free (&path);
  return entry != NULL ? entry->declaration : NULL;
}

size_t
br_declaration_store_count (const br_declaration_store_t *store)
{
  return HASH_COUNT (store->entries);
}

const Br__State__Verdict *
br_operation_result_next (const br_declaration_store_t *store,
                          const Br__State__Verdict *verdict)
{
  const br_operation_result_entry_t *entry = store->results;

  if (verdict != NULL)
    entry = store_find_verdict (store, verdict->operation)->hh.next;
  return entry != NULL ? entry->verdict : NULL;
}

const br_change_result_t *
br_operation_result_find (const br_declaration_store_t *store,
                          br_str_t operation)
{
  const br_operation_result_entry_t *entry;

  HASH_FIND (hh, store->results, operation.data, (unsigned)operation.len,
             entry);
  return entry != NULL ? entry->verdict->result : NULL;
}

size_t
br_operation_result_count (const br_declaration_store_t *store)
{
  return HASH_COUNT (store->results);
}

bool
br_declaration_store_add (br_declaration_store_t *store,
                          const br_declaration_t *declaration)
{
  char path[PATH_MAX_LEN + 1];

  if (!path_make (declaration->kind, declaration->name, path)
      || store_find (store, path) != NULL
      || strlen (declaration->json) > BR_STATE_DECLARATION_MAX_BYTES
      || HASH_COUNT (store->entries) >= BR_STATE_DECLARATIONS_MAX)
    return false;
  store_put (store, path, declaration, declaration->revision);
  return true;
}

static bool
verdict_is_valid (const Br__State__Verdict *verdict)
{
  size_t len = strlen (verdict->operation);

  return len > 0 && len <= OPERATION_MAX && verdict->result != NULL
         && verdict->n_changed <= CHANGED_MAX
         && verdict->result->n_winner_changed <= CHANGED_MAX;
}

bool
br_operation_result_add (br_declaration_store_t *store,
                         const Br__State__Verdict *verdict)
{
  br_buf_t packed = { 0 };
  size_t len = br__state__verdict__get_packed_size (verdict);

  if (!verdict_is_valid (verdict)
      || store_find_verdict (store, verdict->operation) != NULL
      || HASH_COUNT (store->results) >= BR_STATE_OPERATION_RESULTS_MAX)
    return false;
  br_buf_reserve (&packed, len);
  br__state__verdict__pack (verdict, (uint8_t *)packed.data);
  store_keep_verdict (
      store, br__state__verdict__unpack (NULL, len, (uint8_t *)packed.data));
  br_buf_free (&packed);
  return true;
}

void
br_declaration_store_release (br_declaration_store_t *store)
{
  br_declaration_entry_t *entry;
  br_declaration_entry_t *next;

  HASH_ITER (hh, store->entries, entry, next)
  store_remove (store, entry);
  while (store->results != NULL)
    verdict_entry_free (store, store->results);
}
