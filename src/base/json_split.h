/* Splits a JSON array or object into the texts of its members without parsing
 * them.  Takes the same memory at any depth, so a member that a parser refuses
 * does not keep the others from being read. */
#ifndef BR_BASE_JSON_SPLIT_H
#define BR_BASE_JSON_SPLIT_H

#include "base/str.h"

BR_BEGIN_DECLS

typedef struct
{
  br_str_t rest; /* after the members that were returned */
  bool is_object;
  bool has_more;
  bool unclosed; /* the last member has no end, and may hold others */
} br_json_split_t;

/* Returns false when TEXT is neither an array nor an object. */
bool br_json_split_begin (br_json_split_t *split, br_str_t text);

/* Sets *VALUE to the text of the next member, and *KEY to its key as it is
 * written, empty in an array or when there is none.  Both may be any bytes.
 * Returns false after the last member. */
bool
br_json_split_next (br_json_split_t *split, br_str_t *key, br_str_t *value);

/* Goes on with TEXT, members of an object without its braces. */
void br_json_split_resume (br_json_split_t *split, br_str_t text);

/* Ends *VALUE, the last member, before the next object in it that follows a
 * comma, and goes on with that object.  Returns false when there is none. */
bool br_json_split_cut (br_json_split_t *split, br_str_t *value);

BR_END_DECLS

#endif
