/* Stores the declarations in force, their revision, and the results of the
 * latest operations. */
#ifndef BR_STATE_DECLARATION_STORE_H
#define BR_STATE_DECLARATION_STORE_H

#include "state/message.h"

BR_BEGIN_DECLS

typedef struct br_declaration_entry br_declaration_entry_t;
typedef struct br_operation_result_entry br_operation_result_entry_t;

/* An all-zero value is an empty store. */
typedef struct
{
  br_declaration_entry_t *entries;
  br_operation_result_entry_t *results; /* by operation, oldest first */
  size_t bytes;                         /* of all JSON texts */
  uint64_t revision;
} br_declaration_store_t;

/* Checks CHANGE and applies it.  An operation that is repeated returns its
 * earlier result.  *RESULT points to memory of the store or to SCRATCH, and is
 * valid until the next command. */
void br_declaration_store_change (br_declaration_store_t *store,
                                  const br_change_t *change,
                                  br_change_result_t *scratch,
                                  const br_change_result_t **result);

/* Returns the first declaration, or the one after DECLARATION, in a fixed
 * order. */
const br_declaration_t *
br_declaration_store_next (const br_declaration_store_t *store,
                           const br_declaration_t *declaration);
const br_declaration_t *
br_declaration_store_find (const br_declaration_store_t *store,
                           br_str_t kind,
                           br_str_t name);
size_t br_declaration_store_count (const br_declaration_store_t *store);

/* Returns the oldest operation result, or the one after OP. */
const Br__State__Verdict *
br_operation_result_next (const br_declaration_store_t *store,
                          const Br__State__Verdict *op);
const br_change_result_t *
br_operation_result_find (const br_declaration_store_t *store,
                          br_str_t operation);
size_t br_operation_result_count (const br_declaration_store_t *store);

/* Add an item from a snapshot.  Return false when it is not valid. */
bool br_declaration_store_add (br_declaration_store_t *store,
                               const br_declaration_t *declaration);
bool br_operation_result_add (br_declaration_store_t *store,
                              const Br__State__Verdict *op);
void br_declaration_store_release (br_declaration_store_t *store);

BR_END_DECLS

#endif
