/* Labels on VMs, upstreams and workloads, and the selectors that match them. */
#ifndef BR_BASE_LABEL_H
#define BR_BASE_LABEL_H

#include "base/error.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t key;
  br_name_t value;
} br_label_t;

/* A set of labels, sorted by key, each key once. */
BR_VEC (br_labels, br_label_t);

/* Adds or replaces a label.  Returns false when KEY or VALUE is longer than
 * BR_NAME_MAX or KEY is empty. */
bool br_labels_set (br_labels_t *labels, br_str_t key, br_str_t value);

/* Returns the value of KEY, or NULL. */
const br_name_t *br_labels_get (const br_labels_t *labels, br_str_t key);
void br_labels_copy (br_labels_t *to, const br_labels_t *from);

/* X (id, text) */
#define BR_SELECTOR_OP_TABLE(X)                                                \
  X (EQUAL, "=")                                                               \
  X (NOT_EQUAL, "!=")                                                          \
  X (IN, "in")                                                                 \
  X (NOT_IN, "notin")                                                          \
  X (EXISTS, "exists")

typedef enum
{
#define X(id, text) BR_SELECTOR_##id,
  BR_SELECTOR_OP_TABLE (X)
#undef X
} br_selector_op_t;

BR_VEC (br_names, br_name_t);

typedef struct
{
  br_name_t key;
  br_selector_op_t op;
  br_names_t values; /* owned */
} br_selector_term_t;

/* A conjunction of terms; without terms it matches everything. */
BR_VEC (br_selector, br_selector_term_t);

/* Parses "a=b, c!=d, e in (f, g), h notin (i), exists j".  On an error *ERR
 * holds the position of the character and *SELECTOR is empty.  The caller
 * releases it with br_selector_release(). */
bool
br_selector_parse (br_str_t text, br_selector_t *selector, br_error_t *err);
void br_selector_release (br_selector_t *selector);
bool br_selector_matches (const br_selector_t *selector,
                          const br_labels_t *labels);

BR_END_DECLS

#endif
