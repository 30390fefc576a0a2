#include "contract/answer.h"

#include <assert.h>

br_answer_result_t
br_answer_add (br_answer_t *answer,
               size_t offset,
               br_answer_kind_t kind,
               br_str_t bytes)
{
  br_answer_part_t part = { .kind = kind };

  if (offset < answer->parts.len || answer->complete)
    return BR_ANSWER_DUPLICATE;
  if (offset > answer->parts.len)
    return BR_ANSWER_GAP;
  br_buf_append (&answer->bytes, bytes);
  part.end = answer->bytes.len;
  br_answer_parts_push (&answer->parts, part);
  return BR_ANSWER_ADDED;
}

br_str_t
br_answer_part (const br_answer_t *answer, size_t offset)
{
  size_t start = offset > 0 ? answer->parts.items[offset - 1].end : 0;

  assert (offset < answer->parts.len);
  return br_str_make (answer->bytes.data + start,
                      answer->parts.items[offset].end - start);
}

uint64_t
br_answer_digest_add (uint64_t previous, br_str_t bytes)
{
  return br_str_hash (bytes, previous);
}

uint64_t
br_answer_digest (const br_answer_t *answer, size_t n)
{
  uint64_t digest = 0;

  assert (n <= answer->parts.len);
  for (size_t i = 0; i < n; i++)
    digest = br_answer_digest_add (digest, br_answer_part (answer, i));
  return digest;
}

void
br_answer_text (const br_answer_t *answer, br_buf_t *out)
{
  for (size_t i = 0; i < answer->parts.len; i++)
    if (answer->parts.items[i].kind == BR_ANSWER_TEXT)
      br_buf_append (out, br_answer_part (answer, i));
}

void
br_answer_copy (br_answer_t *to, const br_answer_t *from)
{
  assert (to->parts.len == 0);
  for (size_t i = 0; i < from->parts.len; i++)
    br_answer_parts_push (&to->parts, from->parts.items[i]);
  br_buf_append (&to->bytes, br_buf_str (&from->bytes));
  to->complete = from->complete;
}

void
br_answer_free (br_answer_t *answer)
{
  br_answer_parts_free (&answer->parts);
  br_buf_free (&answer->bytes);
}
