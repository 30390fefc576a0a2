#include "base/name_index.h"

#include <assert.h>
#include <stdlib.h>
#include <uthash.h>

struct br_name_node
{
  br_name_t name;
  size_t at;
  UT_hash_handle hh;
};

bool
br_name_index_find (const br_name_index_t *index, br_str_t name, size_t *at)
{
  br_name_node_t *node;

  HASH_FIND (hh, index->nodes, name.data, name.len, node);
  if (node == NULL)
    return false;
  *at = node->at;
  return true;
}

void
br_name_index_set (br_name_index_t *index, const br_name_t *name, size_t at)
{
  br_name_node_t *node;

  HASH_FIND (hh, index->nodes, name->data, name->len, node);
  if (node == NULL)
    {
      node = br_alloc_zero (sizeof *node);
      node->name = *name;
      HASH_ADD_KEYPTR (hh, index->nodes, node->name.data, node->name.len, node);
    }
  node->at = at;
}

void
br_name_index_clear (br_name_index_t *index)
{
  br_name_node_t *node;
  br_name_node_t *next;

  HASH_ITER (hh, index->nodes, node, next)
  {
    HASH_DEL (index->nodes, node);
    free (node);
  }
}
