/* Parses declarations as operators write them: one JSON object or an array of
 * objects, with comments allowed.  Uses yajl because it reports positions and
 * lets the callbacks refuse duplicate keys. */
#ifndef BR_STATE_DECLARATION_TEXT_H
#define BR_STATE_DECLARATION_TEXT_H

#include "base/error.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef struct
{
  int line;      /* on which the object starts, from 1 */
  br_buf_t json; /* without comments and whitespace; owned */
} br_declaration_text_t;

BR_VEC (br_declaration_texts, br_declaration_text_t);

/* Splits TEXT into its declarations.  On an error *ERR names the line and
 * *TEXTS is empty.  The caller releases *TEXTS with
 * br_declaration_texts_release(). */
bool br_declaration_texts_parse (br_str_t text,
                                 br_declaration_texts_t *texts,
                                 br_error_t *err);
void br_declaration_texts_release (br_declaration_texts_t *texts);

BR_END_DECLS

#endif
