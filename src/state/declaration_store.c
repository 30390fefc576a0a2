#include "state/declaration_store.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "state/state.h"

#define OPERATION_MAX_LEN 128
#define KIND_MAX_LEN 32

/* "KIND/NAME" */
#define PATH_MAX_LEN (KIND_MAX_LEN + 1 + BR_NAME_MAX)

/* Maximum number of names of changed declarations that an operation result
 * keeps. */
#define CHANGED_MAX 8

struct br_declaration_entry
{
  br_declaration_t *declaration; /* owned */
  char path[PATH_MAX_LEN + 1];
  UT_hash_handle hh;
};

struct br_operation_result_entry
{
  Br__State__Verdict *op; /* owned */
  UT_hash_handle hh;      /* by op->operation */
};

static bool
path_make (const char *kind, const char *name, char path[PATH_MAX_LEN + 1])
{
  size_t kind_len = strlen (kind);
  size_t name_len = strlen (name);

  if (kind_len == 0 || kind_len > KIND_MAX_LEN || name_len == 0
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
store_find_result (const br_declaration_store_t *store, const char *operation)
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

/* Checks CHANGE against the bounds of the store.  Bytes that a replaced text
 * frees are not subtracted. */
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
operation_add_changed (Br__State__Verdict *op, const char *path)
{
  op->changed_total++;
  if (op->n_changed >= CHANGED_MAX)
    return;
  if (op->changed == NULL)
    op->changed = br_alloc (CHANGED_MAX * sizeof (char *));
  op->changed[op->n_changed++] = br_str_dup (br_str_from (path));
}

/* Applies a change that change_check() accepted.  The revision rises only when
 * a declaration changed. */
static void
store_apply (br_declaration_store_t *store,
             const br_change_t *change,
             Br__State__Verdict *op)
{
  uint64_t revision = store->revision + 1;
  char path[PATH_MAX_LEN + 1];

  for (size_t i = 0; i < change->n_put; i++)
    {
      path_make (change->put[i]->kind, change->put[i]->name, path);
      if (!put_changes (store, path, change->put[i]))
        continue;
      store_put (store, path, change->put[i], revision);
      operation_add_changed (op, path);
    }
  for (size_t i = 0; i < change->n_remove; i++)
    {
      br_declaration_entry_t *entry;

      path_make (change->remove[i]->kind, change->remove[i]->name, path);
      entry = store_find (store, path);
      if (entry == NULL)
        continue;
      store_remove (store, entry);
      operation_add_changed (op, path);
    }
  if (op->changed_total > 0)
    store->revision = revision;
}

/* Returns the operation that made REVISION, or NULL when its result is no
 * longer kept. */
static const Br__State__Verdict *
store_find_winner (const br_declaration_store_t *store, uint64_t revision)
{
  const br_operation_result_entry_t *entry;

  for (entry = store->results; entry != NULL; entry = entry->hh.next)
    {
      const Br__State__Verdict *op = entry->op;

      if (op->changed_total > 0 && op->result->revision == revision)
        return op;
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
operation_new (const br_change_t *change)
{
  Br__State__Verdict *op = br_alloc (sizeof *op);

  br__state__verdict__init (op);
  op->operation = br_str_dup (br_str_from (change->operation));
  op->actor = br_str_dup (br_str_from (change->actor));
  op->result = br_alloc (sizeof *op->result);
  br__state__change_result__init (op->result);
  return op;
}

static void
store_remove_result (br_declaration_store_t *store,
                     br_operation_result_entry_t *entry)
{
  HASH_DEL (store->results, entry);
  br__state__verdict__free_unpacked (entry->op, NULL);
  free (entry);
}

/* Takes ownership of OP and removes the oldest result when there are too
 * many. */
static void
store_add_result (br_declaration_store_t *store, Br__State__Verdict *op)
{
  br_operation_result_entry_t *entry = br_alloc_zero (sizeof *entry);

  entry->op = op;
  HASH_ADD_KEYPTR (hh, store->results, op->operation, strlen (op->operation),
                   entry);
  if (HASH_COUNT (store->results) > BR_STATE_OPERATION_RESULTS_MAX)
    store_remove_result (store, store->results);
}

static bool
change_is_valid (const br_change_t *change)
{
  size_t len = strlen (change->operation);

  return len > 0 && len <= OPERATION_MAX_LEN
         && strlen (change->actor) <= BR_NAME_MAX;
}

static void
store_execute (br_declaration_store_t *store,
               const br_change_t *change,
               Br__State__Verdict *op)
{
  br_change_result_t *result = op->result;
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
    store_apply (store, change, op);
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
  br_operation_result_entry_t *earlier;
  Br__State__Verdict *op;

  br__state__change_result__init (scratch);
  scratch->revision = store->revision;
  *result = scratch;
  if (!change_is_valid (change))
    {
      scratch->outcome = BR_CHANGE_TOO_LARGE;
      return;
    }
  earlier = store_find_result (store, change->operation);
  if (earlier != NULL)
    {
      *scratch = *earlier->op->result;
      scratch->first = false;
      return;
    }
  if (change->base_revision != store->revision
      && (!change->expects || change->expected_revision == store->revision))
    {
      scratch->outcome = BR_CHANGE_STALE;
      return;
    }
  op = operation_new (change);
  store_execute (store, change, op);
  *result = op->result;
  store_add_result (store, op);
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
                          const Br__State__Verdict *op)
{
  const br_operation_result_entry_t *entry = store->results;

  if (op != NULL)
    entry = store_find_result (store, op->operation)->hh.next;
  return entry != NULL ? entry->op : NULL;
}

const br_change_result_t *
br_operation_result_find (const br_declaration_store_t *store,
                          br_str_t operation)
{
  const br_operation_result_entry_t *entry;

  HASH_FIND (hh, store->results, operation.data, (unsigned)operation.len,
             entry);
  return entry != NULL ? entry->op->result : NULL;
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
operation_is_valid (const Br__State__Verdict *op)
{
  size_t len = strlen (op->operation);

  return len > 0 && len <= OPERATION_MAX_LEN && op->result != NULL
         && op->n_changed <= CHANGED_MAX
         && op->result->n_winner_changed <= CHANGED_MAX;
}

bool
br_operation_result_add (br_declaration_store_t *store,
                         const Br__State__Verdict *op)
{
  br_buf_t packed = { 0 };
  size_t len = br__state__verdict__get_packed_size (op);

  if (!operation_is_valid (op)
      || store_find_result (store, op->operation) != NULL
      || HASH_COUNT (store->results) >= BR_STATE_OPERATION_RESULTS_MAX)
    return false;
  br_buf_reserve (&packed, len);
  br__state__verdict__pack (op, (uint8_t *)packed.data);
  store_add_result (
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
    store_remove_result (store, store->results);
}
