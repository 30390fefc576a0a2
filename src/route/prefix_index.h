/* Tracks which prompt blocks each upstream probably has in its cache: those
 * that were sent there, corrected by the upstream's cache events, which arrive
 * late and with gaps.  The memory used is fixed; a lookup allocates nothing. */
#ifndef BR_ROUTE_PREFIX_INDEX_H
#define BR_ROUTE_PREFIX_INDEX_H

#include "base/clock.h"
#include "route/prefix.h"

BR_BEGIN_DECLS

/* Upstreams that one lookup returns. */
#define BR_PREFIX_HOLDERS_MAX 16

typedef struct br_prefix_index br_prefix_index_t;

typedef struct
{
  uint32_t upstream;
  uint32_t blocks; /* cached blocks from the start of the prompt */
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
  uint64_t sequence; /* from 1, increases by 1 with each event */
  br_ms_t taken_ms;  /* when it happened, by this VM's clock */
  const uint64_t *hashes;
  size_t n_hashes;
} br_cache_event_t;

/* Returns an index with space for about BLOCKS entries.  Upstreams are numbers
 * below N_UPSTREAMS. */
br_prefix_index_t *br_prefix_index_new (size_t blocks, size_t n_upstreams);
void br_prefix_index_free (br_prefix_index_t *index);

/* Sets how many blocks sent by this VM the cache of UPSTREAM keeps; 0 when this
 * is not known. */
void br_prefix_index_set_capacity (br_prefix_index_t *index,
                                   uint32_t upstream,
                                   uint32_t blocks);

/* Records that a prompt was sent to UPSTREAM. */
void br_prefix_index_sent (br_prefix_index_t *index,
                           uint32_t upstream,
                           const br_prefix_t *prefix,
                           br_ms_t now);

/* Drops all blocks of UPSTREAM. */
void br_prefix_index_remove_upstream (br_prefix_index_t *index,
                                      uint32_t upstream);

/* Takes a cache event.  A removal from before the block was sent again is
 * ignored.  After a gap in the sequence, all earlier blocks of the upstream are
 * dropped until they are sent or stored again. */
void br_prefix_index_event (br_prefix_index_t *index,
                            const br_cache_event_t *event);

/* Finds the upstreams that probably have the start of PREFIX in their cache. */
void br_prefix_index_find (const br_prefix_index_t *index,
                           const br_prefix_t *prefix,
                           br_prefix_match_t *match);

BR_END_DECLS

#endif
