/* Chained block hashes of a prompt: hash I stands for all bytes up to the end
 * of block I, so that two prompts share a hash only when they share all that
 * comes before. */
#ifndef BR_ROUTE_PREFIX_H
#define BR_ROUTE_PREFIX_H

#include "base/str.h"

BR_BEGIN_DECLS

#define BR_PREFIX_BLOCK_BYTES 256
#define BR_PREFIX_BLOCK_TOKENS 64

/* Blocks that are hashed; what comes behind counts as not cached. */
#define BR_PREFIX_BLOCKS_MAX 128

typedef struct
{
  uint64_t hashes[BR_PREFIX_BLOCKS_MAX];
  size_t n_blocks;
  uint64_t tokens; /* of the whole prompt, estimated */
} br_prefix_t;

/* Fills PREFIX for PROMPT.  SEED keeps services apart. */
void br_prefix_set (br_prefix_t *prefix, br_str_t prompt, uint64_t seed);

BR_END_DECLS

#endif
