/* Parses operators' requests: the declarations to put and to remove, the name
 * of the operation and the revision that it expects. */
#ifndef BR_SHELL_OPERATOR_INPUT_H
#define BR_SHELL_OPERATOR_INPUT_H

#include <event2/http.h>

#include "route/catalog.h"
#include "state/message.h"

BR_BEGIN_DECLS

typedef struct
{
  br_declaration_kind_t kind;
  br_name_t name;
  br_buf_t json; /* owned; empty for a removal */
} br_operator_item_t;

BR_VEC (br_operator_items, br_operator_item_t);

/* An all-zero value is empty. */
typedef struct
{
  br_buf_t operation; /* empty when the operator named none */
  bool expects;
  uint64_t expected_revision;
  bool dry_run;
  br_operator_items_t put;
  br_operator_items_t remove;
} br_operator_input_t;

void br_operator_input_release (br_operator_input_t *input);

/* Reads the query parameters `operation`, `expect` and `dry_run`. */
bool br_operator_input_read_query (br_operator_input_t *input,
                                   struct evhttp_request *request,
                                   br_error_t *err);

/* Reads the declarations to put.  *ERR names line, declaration and field. */
bool br_operator_input_read_body (br_operator_input_t *input,
                                  br_str_t body,
                                  br_error_t *err);

/* Reads the "KIND/NAME" of a declaration to remove. */
bool br_operator_input_read_path (br_operator_input_t *input,
                                  br_str_t path,
                                  br_error_t *err);

/* Reads the query parameters `key` and `as` of a claim to settle, and appends
 * the packed command to COMMAND. */
bool br_operator_settle_read_query (struct evhttp_request *request,
                                    br_buf_t *command,
                                    br_error_t *err);

/* Returns NULL when there is none. */
const br_operator_item_t *
br_operator_items_find (const br_operator_items_t *items,
                        br_declaration_kind_t kind,
                        br_str_t name);

/* Returns ITEMS as protobuf messages that point into ITEMS.  The caller frees
 * them with br_operator_messages_free(). */
br_declaration_t **
br_operator_items_to_messages (const br_operator_items_t *items);
void br_operator_messages_free (br_declaration_t **list);

BR_END_DECLS

#endif
