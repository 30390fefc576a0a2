#include "route/prefix.h"

void
br_prefix_set (br_prefix_t *prefix, br_str_t prompt, uint64_t seed)
{
  size_t whole = prompt.len / BR_PREFIX_BLOCK_BYTES;

  prefix->n_blocks = BR_MIN (whole, BR_PREFIX_BLOCKS_MAX);
  prefix->tokens
      = prompt.len * BR_PREFIX_BLOCK_TOKENS / BR_PREFIX_BLOCK_BYTES + 1;
  for (size_t i = 0; i < prefix->n_blocks; i++)
    {
      br_str_t block = br_str_make (prompt.data + i * BR_PREFIX_BLOCK_BYTES,
                                    BR_PREFIX_BLOCK_BYTES);

      seed = br_str_hash (block, seed);
      prefix->hashes[i] = seed;
    }
}
