/* Declarations as operators write them: a JSON array of objects, or one
 * object, with comments.  Read with yajl, which tells lines and lets a key
 * that is given twice be refused. */
#ifndef BR_STATE_DECLARATION_TEXT_H
#define BR_STATE_DECLARATION_TEXT_H

#include "base/error.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef struct
{
  int line;
  br_buf_t json; /* without comments and spaces; owned */
} br_declaration_text_t;

BR_VEC (br_declaration_texts, br_declaration_text_t);

/* Splits TEXT.  On an error *ERR names the line and *TEXTS stays empty.  The
 * caller releases it with br_declaration_texts_release(). */
bool br_declaration_texts_parse (br_str_t text,
                                 br_declaration_texts_t *texts,
                                 br_error_t *err);
void br_declaration_texts_release (br_declaration_texts_t *texts);

BR_END_DECLS

#endif
