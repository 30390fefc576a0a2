/* Maps names to positions in a table. */
#ifndef BR_BASE_NAME_INDEX_H
#define BR_BASE_NAME_INDEX_H

#include "base/str.h"

BR_BEGIN_DECLS

typedef struct br_name_node br_name_node_t;

/* An all-zero value is an empty index. */
typedef struct
{
  br_name_node_t *nodes; /* owned */
} br_name_index_t;

/* Sets *AT to the position of NAME.  Returns false when NAME is not in the
 * index. */
bool
br_name_index_find (const br_name_index_t *index, br_str_t name, size_t *at);

/* Adds NAME with position AT, or replaces its position. */
void
br_name_index_set (br_name_index_t *index, const br_name_t *name, size_t at);

/* Removes all names and frees their memory. */
void br_name_index_clear (br_name_index_t *index);

BR_END_DECLS

#endif
