#include "state/fence_store.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "state/state.h"

#define RESOURCE_MAX_LEN 128

struct br_fence_entry
{
  Br__State__Fence fence; /* owns the resource name */
  UT_hash_handle hh;      /* by fence.resource */
};

static br_fence_entry_t *
store_find (const br_fence_store_t *store, br_str_t resource)
{
  br_fence_entry_t *entry;

  HASH_FIND (hh, store->entries, resource.data, (unsigned)resource.len, entry);
  return entry;
}

static br_fence_entry_t *
store_insert (br_fence_store_t *store, const char *resource)
{
  size_t len = strlen (resource);
  br_fence_entry_t *entry;

  if (len == 0 || len > RESOURCE_MAX_LEN
      || HASH_COUNT (store->entries) >= BR_STATE_FENCES_MAX)
    return NULL;
  entry = br_alloc_zero (sizeof *entry);
  br__state__fence__init (&entry->fence);
  entry->fence.resource = br_str_dup (br_str_make (resource, len));
  HASH_ADD_KEYPTR (hh, store->entries, entry->fence.resource, len, entry);
  return entry;
}

uint64_t
br_fence_store_advance (br_fence_store_t *store, const char *resource)
{
  br_fence_entry_t *entry = store_find (store, br_str_from (resource));

  if (entry == NULL)
    entry = store_insert (store, resource);
  return entry != NULL ? ++entry->fence.number : 0;
}

uint64_t
br_fence_store_last (const br_fence_store_t *store, br_str_t resource)
{
  const br_fence_entry_t *entry = store_find (store, resource);

  return entry != NULL ? entry->fence.number : 0;
}

const Br__State__Fence *
br_fence_store_next (const br_fence_store_t *store,
                     const Br__State__Fence *fence)
{
  const br_fence_entry_t *entry = store->entries;

  if (fence != NULL)
    entry = store_find (store, br_str_from (fence->resource))->hh.next;
  return entry != NULL ? &entry->fence : NULL;
}

size_t
br_fence_store_count (const br_fence_store_t *store)
{
  return HASH_COUNT (store->entries);
}

bool
br_fence_store_add (br_fence_store_t *store, const Br__State__Fence *fence)
{
  br_fence_entry_t *entry;

  if (store_find (store, br_str_from (fence->resource)) != NULL)
    return false;
  entry = store_insert (store, fence->resource);
  if (entry == NULL)
    return false;
  entry->fence.number = fence->number;
  return true;
}

void
br_fence_store_release (br_fence_store_t *store)
{
  br_fence_entry_t *entry;
  br_fence_entry_t *next;

  HASH_ITER (hh, store->entries, entry, next)
  {
    HASH_DEL (store->entries, entry);
    free (entry->fence.resource);
    free (entry);
  }
}
