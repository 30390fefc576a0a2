/* Typed growable arrays. */
#ifndef BR_BASE_VEC_H
#define BR_BASE_VEC_H

#include <assert.h>
#include <stdlib.h>

#include "base/str.h"

/* Declares NAME##_t { items, len, cap } with NAME##_push, _clear and _free.
 * Items are stored by value; the caller frees what they own. */
#define BR_VEC(name, type)                                                     \
  typedef struct                                                               \
  {                                                                            \
    type *items;                                                               \
    size_t len;                                                                \
    size_t cap;                                                                \
  } name##_t;                                                                  \
  static inline type *name##_push (name##_t *vec, type item)                   \
  {                                                                            \
    if (vec->len == vec->cap)                                                  \
      {                                                                        \
        vec->cap = vec->cap > 0 ? vec->cap * 2 : 8;                            \
        vec->items                                                             \
            = (type *)br_realloc (vec->items, vec->cap * sizeof (type));       \
      }                                                                        \
    assert (vec->items != NULL);                                               \
    vec->items[vec->len] = item;                                               \
    return &vec->items[vec->len++];                                            \
  }                                                                            \
  static inline void name##_clear (name##_t *vec) { vec->len = 0; }            \
  static inline void name##_free (name##_t *vec)                               \
  {                                                                            \
    free (vec->items);                                                         \
    vec->items = NULL;                                                         \
    vec->len = vec->cap = 0;                                                   \
  }                                                                            \
  typedef int name##_vec_end_t

#endif
