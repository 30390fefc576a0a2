/* The answer to one request, assembled by offset from the parts that its
 * attempts return.  A part is one event of a streamed answer. */
#ifndef BR_CONTRACT_ANSWER_H
#define BR_CONTRACT_ANSWER_H

#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_ANSWER_TEXT, /* one token's text; rendered from the answer's template */
  BR_ANSWER_RAW,  /* an event's JSON, forwarded unchanged */
} br_answer_kind_t;

typedef struct
{
  br_answer_kind_t kind;
  size_t end; /* offset in BYTES after this part */
} br_answer_part_t;

BR_VEC (br_answer_parts, br_answer_part_t);

typedef struct
{
  br_answer_parts_t parts;
  br_buf_t bytes;
  bool complete;
} br_answer_t;

typedef enum
{
  BR_ANSWER_ADDED,
  BR_ANSWER_DUPLICATE, /* part OFFSET exists or the answer is complete */
  BR_ANSWER_GAP,       /* a part before OFFSET is missing */
} br_answer_result_t;

/* Adds the part at OFFSET, counted in parts from 0.  Changes nothing unless it
 * returns BR_ANSWER_ADDED. */
br_answer_result_t br_answer_add (br_answer_t *answer,
                                  size_t offset,
                                  br_answer_kind_t kind,
                                  br_str_t bytes);

/* Returns the bytes of part OFFSET, which must exist; valid until the next
 * change. */
br_str_t br_answer_part (const br_answer_t *answer, size_t offset);

/* Returns the digest of some parts and a next part, from the digest PREVIOUS of
 * the former and the BYTES of the latter.  The digest of no parts is 0. */
uint64_t br_answer_digest_add (uint64_t previous, br_str_t bytes);

/* Returns the digest of the first N parts, which must exist. */
uint64_t br_answer_digest (const br_answer_t *answer, size_t n);

/* Appends the text of all BR_ANSWER_TEXT parts to OUT. */
void br_answer_text (const br_answer_t *answer, br_buf_t *out);

/* Copies FROM to TO, which must be empty. */
void br_answer_copy (br_answer_t *to, const br_answer_t *from);
void br_answer_free (br_answer_t *answer);

BR_END_DECLS

#endif
