/* Stores fencing numbers: for each named resource, a number that only
 * rises. */
#ifndef BR_STATE_FENCE_STORE_H
#define BR_STATE_FENCE_STORE_H

#include "state/message.h"

BR_BEGIN_DECLS

typedef struct br_fence_entry br_fence_entry_t;

/* An all-zero value is an empty store. */
typedef struct
{
  br_fence_entry_t *entries;
} br_fence_store_t;

/* Returns the next number of RESOURCE, starting at 1, or 0 when the name is
 * not valid or there are too many resources. */
uint64_t br_fence_store_advance (br_fence_store_t *store, const char *resource);

/* Returns the last number given out for RESOURCE, or 0. */
uint64_t br_fence_store_last (const br_fence_store_t *store, br_str_t resource);

/* Returns the first fence, or the one after FENCE, in a fixed order. */
const Br__State__Fence *br_fence_store_next (const br_fence_store_t *store,
                                             const Br__State__Fence *fence);
size_t br_fence_store_count (const br_fence_store_t *store);

/* Adds a fence from a snapshot.  Returns false when it is not valid. */
bool br_fence_store_add (br_fence_store_t *store,
                         const Br__State__Fence *fence);
void br_fence_store_release (br_fence_store_t *store);

BR_END_DECLS

#endif
