#include "site/cache_memory.h"

#include <string.h>

static size_t
set_of (uint64_t part)
{
  return (size_t)((part * UINT64_C (0x9e3779b97f4a7c15)) >> 32) % BR_CACHE_SETS;
}

static const br_cache_slot_t *
memory_slot (const br_cache_memory_t *memory, uint64_t part)
{
  const br_cache_slot_t *set = memory->slots[set_of (part)];

  for (size_t i = 0; i < BR_CACHE_WAYS; i++)
    if (set[i].part == part)
      return &set[i];
  return NULL;
}

uint32_t
br_cache_memory_find (const br_cache_memory_t *memory,
                      const br_inbound_t *inbound,
                      br_ms_t since_ms)
{
  uint32_t tokens = 0;

  for (size_t i = 0; i < inbound->n_parts; i++)
    {
      const br_cache_slot_t *slot = memory_slot (memory, inbound->parts[i].id);

      if (slot == NULL || slot->used_ms < since_ms)
        break;
      tokens += inbound->parts[i].tokens;
    }
  return tokens;
}

static void
memory_put (br_cache_memory_t *memory, uint64_t part, br_ms_t now)
{
  br_cache_slot_t *set = memory->slots[set_of (part)];
  br_cache_slot_t *oldest = &set[0];

  for (size_t i = 0; i < BR_CACHE_WAYS; i++)
    {
      if (set[i].part == part)
        {
          set[i].used_ms = now;
          return;
        }
      if (set[i].used_ms < oldest->used_ms)
        oldest = &set[i];
    }
  *oldest = (br_cache_slot_t){ .part = part, .used_ms = now };
}

void
br_cache_memory_add (br_cache_memory_t *memory,
                     const br_inbound_t *inbound,
                     br_ms_t now)
{
  for (size_t i = 0; i < inbound->n_parts; i++)
    memory_put (memory, inbound->parts[i].id, now);
}

void
br_cache_memory_clear (br_cache_memory_t *memory)
{
  memset (memory, 0, sizeof *memory);
}
