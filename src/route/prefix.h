/* Computes chained block hashes of a prompt.  Hash I covers all bytes up to the
 * end of block I: two prompts share it only when they share everything up to
 * there. */
#ifndef BR_ROUTE_PREFIX_H
#define BR_ROUTE_PREFIX_H

#include "base/str.h"

BR_BEGIN_DECLS

#define BR_PREFIX_BLOCK_BYTES 256
#define BR_PREFIX_BLOCK_TOKENS 64

/* Blocks that are hashed; the rest of a prompt counts as not cached. */
#define BR_PREFIX_BLOCKS_MAX 128

typedef struct
{
  uint64_t hashes[BR_PREFIX_BLOCKS_MAX];
  size_t n_blocks;
  uint64_t tokens; /* of the whole prompt, estimated */
} br_prefix_t;

/* Sets PREFIX to the hashes of PROMPT.  SEED differs between services, so their
 * hashes differ. */
void br_prefix_set (br_prefix_t *prefix, br_str_t prompt, uint64_t seed);

BR_END_DECLS

#endif
