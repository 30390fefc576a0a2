#include "route/prefix_index.h"

#include <assert.h>
#include <stdlib.h>

/* Entries in one set of the set-associative table, which also bounds the
 * upstreams kept for one block. */
#define WAYS 8

typedef struct
{
  uint64_t hash; /* 0: empty */
  uint32_t upstream;
  uint32_t order;   /* the holder's ORDER when it was last sent or stored */
  br_ms_t stamp_ms; /* when it was last sent or stored */
} way_t;

typedef struct
{
  uint32_t capacity;
  uint32_t order;       /* number of blocks sent or stored there so far */
  uint32_t valid_since; /* entries with a lower order are no longer valid */
  uint64_t sequence;    /* of its newest event */
} holder_t;

struct br_prefix_index
{
  way_t *ways; /* N_SETS times WAYS */
  size_t n_sets;
  holder_t *upstreams;
  size_t n_upstreams;
};

br_prefix_index_t *
br_prefix_index_new (size_t blocks, size_t n_upstreams)
{
  br_prefix_index_t *index = br_alloc_zero (sizeof *index);

  index->n_sets = 1;
  while (index->n_sets * WAYS < blocks)
    index->n_sets *= 2;
  index->ways = br_alloc_zero (index->n_sets * WAYS * sizeof *index->ways);
  index->n_upstreams = n_upstreams;
  index->upstreams
      = br_alloc_zero (BR_MAX (n_upstreams, 1) * sizeof *index->upstreams);
  return index;
}

void
br_prefix_index_free (br_prefix_index_t *index)
{
  if (index == NULL)
    return;
  free (index->ways);
  free (index->upstreams);
  free (index);
}

void
br_prefix_index_set_capacity (br_prefix_index_t *index,
                              uint32_t upstream,
                              uint32_t blocks)
{
  assert (upstream < index->n_upstreams);
  index->upstreams[upstream].capacity = blocks;
}

static way_t *
index_set (const br_prefix_index_t *index, uint64_t hash)
{
  return index->ways + (hash & (index->n_sets - 1)) * WAYS;
}

static bool
way_is_held (const br_prefix_index_t *index, const way_t *way)
{
  const holder_t *holder = &index->upstreams[way->upstream];
  uint32_t age = holder->order - way->order;

  return (int32_t)(way->order - holder->valid_since) >= 0
         && (holder->capacity == 0 || age < holder->capacity);
}

/* Returns the entry of HASH at UPSTREAM, or the entry to replace: one that is
 * empty or no longer held, else the oldest. */
static way_t *
index_place (br_prefix_index_t *index, uint64_t hash, uint32_t upstream)
{
  way_t *set = index_set (index, hash);
  way_t *place = &set[0];

  for (size_t i = 0; i < WAYS; i++)
    if (set[i].hash == hash && set[i].upstream == upstream)
      return &set[i];
  for (size_t i = 0; i < WAYS; i++)
    {
      if (set[i].hash == 0 || !way_is_held (index, &set[i]))
        return &set[i];
      if (set[i].stamp_ms < place->stamp_ms)
        place = &set[i];
    }
  return place;
}

static void
index_put (br_prefix_index_t *index,
           uint32_t upstream,
           uint64_t hash,
           br_ms_t now)
{
  way_t *way = index_place (index, hash, upstream);

  way->hash = hash;
  way->upstream = upstream;
  way->order = ++index->upstreams[upstream].order;
  way->stamp_ms = now;
}

void
br_prefix_index_sent (br_prefix_index_t *index,
                      uint32_t upstream,
                      const br_prefix_t *prefix,
                      br_ms_t now)
{
  assert (upstream < index->n_upstreams);
  /* The last block is added first, because a cache evicts the end of a prompt
   * before its start. */
  for (size_t i = prefix->n_blocks; i > 0; i--)
    index_put (index, upstream, prefix->hashes[i - 1], now);
}

void
br_prefix_index_remove_upstream (br_prefix_index_t *index, uint32_t upstream)
{
  holder_t *holder = &index->upstreams[upstream];

  holder->valid_since = holder->order + 1;
}

static void
index_remove (br_prefix_index_t *index, const br_cache_event_t *event)
{
  for (size_t i = 0; i < event->n_hashes; i++)
    {
      way_t *set = index_set (index, event->hashes[i]);

      for (size_t j = 0; j < WAYS; j++)
        if (set[j].hash == event->hashes[i]
            && set[j].upstream == event->upstream
            && set[j].stamp_ms <= event->taken_ms)
          set[j].hash = 0;
    }
}

void
br_prefix_index_event (br_prefix_index_t *index, const br_cache_event_t *event)
{
  holder_t *holder;

  if (event->upstream >= index->n_upstreams)
    return;
  holder = &index->upstreams[event->upstream];
  if (event->sequence <= holder->sequence)
    return;
  if (holder->sequence != 0 && event->sequence != holder->sequence + 1)
    br_prefix_index_remove_upstream (index, event->upstream);
  holder->sequence = event->sequence;
  switch (event->kind)
    {
    case BR_CACHE_STORED:
      for (size_t i = 0; i < event->n_hashes; i++)
        index_put (index, event->upstream, event->hashes[i], event->taken_ms);
      break;
    case BR_CACHE_REMOVED:
      index_remove (index, event);
      break;
    case BR_CACHE_CLEARED:
      br_prefix_index_remove_upstream (index, event->upstream);
      break;
    }
}

/* Counts block BLOCK for UPSTREAM if UPSTREAM holds all earlier blocks too. */
static void
match_count (br_prefix_match_t *match, uint32_t upstream, uint32_t block)
{
  for (size_t i = 0; i < match->n_holders; i++)
    if (match->holders[i].upstream == upstream)
      {
        if (match->holders[i].blocks == block)
          match->holders[i].blocks++;
        return;
      }
  if (block == 0 && match->n_holders < BR_PREFIX_HOLDERS_MAX)
    match->holders[match->n_holders++]
        = (br_prefix_holder_t){ .upstream = upstream, .blocks = 1 };
}

void
br_prefix_index_find (const br_prefix_index_t *index,
                      const br_prefix_t *prefix,
                      br_prefix_match_t *match)
{
  match->n_holders = 0;
  for (uint32_t block = 0; block < prefix->n_blocks; block++)
    {
      uint64_t hash = prefix->hashes[block];
      const way_t *set = index_set (index, hash);
      bool found = false;

      for (size_t i = 0; i < WAYS; i++)
        if (set[i].hash == hash && way_is_held (index, &set[i]))
          {
            match_count (match, set[i].upstream, block);
            found = true;
          }
      if (!found)
        return;
    }
}
