/* Numbers by name: where something of that name stands in a table. */
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

/* Returns false when NAME is not there. */
bool
br_name_index_find (const br_name_index_t *index, br_str_t name, size_t *at);

/* Sets the number of NAME, whether or not it has one. */
void
br_name_index_set (br_name_index_t *index, const br_name_t *name, size_t at);

/* Forgets all names. */
void br_name_index_clear (br_name_index_t *index);

BR_END_DECLS

#endif
