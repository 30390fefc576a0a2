/* Tracks the prompt parts that an upstream probably has in its cache: those
 * that were sent there recently.  The memory used is fixed. */
#ifndef BR_SITE_CACHE_MEMORY_H
#define BR_SITE_CACHE_MEMORY_H

#include "base/clock.h"
#include "site/inbound.h"

BR_BEGIN_DECLS

/* Parts are kept in a set-associative table of BR_CACHE_SETS sets with
 * BR_CACHE_WAYS slots each. */
#define BR_CACHE_SETS 256
#define BR_CACHE_WAYS 4

typedef struct
{
  uint64_t part; /* 0: empty */
  br_ms_t used_ms;
} br_cache_slot_t;

typedef struct
{
  br_cache_slot_t slots[BR_CACHE_SETS][BR_CACHE_WAYS];
} br_cache_memory_t;

/* Returns how many tokens at the start of the prompt are probably cached: those
 * of the leading parts that were used since SINCE_MS. */
uint32_t br_cache_memory_find (const br_cache_memory_t *memory,
                               const br_inbound_t *inbound,
                               br_ms_t since_ms);

/* Records that the prompt's parts were sent to the upstream. */
void br_cache_memory_add (br_cache_memory_t *memory,
                          const br_inbound_t *inbound,
                          br_ms_t now);
void br_cache_memory_clear (br_cache_memory_t *memory);

BR_END_DECLS

#endif
