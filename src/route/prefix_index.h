/* Which upstream probably holds which prompt blocks in its cache: what was sent
 * where, corrected by the upstreams' cache events, which come late and with
 * gaps.  Memory is fixed; a lookup allocates nothing. */
#ifndef BR_ROUTE_PREFIX_INDEX_H
#define BR_ROUTE_PREFIX_INDEX_H

#include "base/clock.h"
#include "route/prefix.h"

BR_BEGIN_DECLS

/* Upstreams of which one lookup tells. */
#define BR_PREFIX_HOLDERS_MAX 16

typedef struct br_prefix_index br_prefix_index_t;

typedef struct
{
  uint32_t upstream;
  uint32_t blocks; /* of the prompt, from its start */
} br_prefix_holder_t;

typedef struct
{
  br_prefix_holder_t holders[BR_PREFIX_HOLDERS_MAX];
  size_t n_holders;
} br_prefix_match_t;

typedef enum
{
  BR_CACHE_STORED,
  BR_CACHE_REMOVED,
  BR_CACHE_CLEARED, /* all blocks; HASHES is empty */
} br_cache_event_kind_t;

typedef struct
{
  uint32_t upstream;
  br_cache_event_kind_t kind;
  uint64_t sequence; /* one more than the event before, from 1 */
  br_ms_t taken_ms;  /* when it happened, by the clock of this VM */
  const uint64_t *hashes;
  size_t n_hashes;
} br_cache_event_t;

/* Holds about BLOCKS entries.  Upstreams are numbers below N_UPSTREAMS. */
br_prefix_index_t *br_prefix_index_new (size_t blocks, size_t n_upstreams);
void br_prefix_index_free (br_prefix_index_t *index);

/* Sets how many blocks the cache of UPSTREAM keeps of what this VM sends
 * there; 0 means that it is not known. */
void br_prefix_index_set_capacity (br_prefix_index_t *index,
                                   uint32_t upstream,
                                   uint32_t blocks);

/* A prompt was sent to UPSTREAM. */
void br_prefix_index_sent (br_prefix_index_t *index,
                           uint32_t upstream,
                           const br_prefix_t *prefix,
                           br_ms_t now);

/* Forgets all blocks of UPSTREAM. */
void br_prefix_index_forget (br_prefix_index_t *index, uint32_t upstream);

/* Takes a cache event.  A removal that happened before the block was sent
 * again is ignored; after a gap, what was known before it is in doubt until it
 * is sent or stored again. */
void br_prefix_index_event (br_prefix_index_t *index,
                            const br_cache_event_t *event);

/* Finds the upstreams that probably hold the start of PREFIX. */
void br_prefix_index_find (const br_prefix_index_t *index,
                           const br_prefix_t *prefix,
                           br_prefix_match_t *match);

BR_END_DECLS

#endif
