#include "base/deflate.h"

#include <stdlib.h>
#include <zlib.h>

/* The fastest level: a configuration of a thousand routes repeats itself so
 * much that the others gain little. */
#define LEVEL 1

static bool
deflate_fault (const char *step, int code, br_error_t *err)
{
  return br_error_set (err, BR_ERROR_PROTOCOL, step, "", "%s", zError (code));
}

bool
br_deflate (br_str_t text, br_buf_t *out, br_error_t *err)
{
  uLongf len = compressBound (text.len);
  char *bytes = br_alloc (len + 1);
  int code = compress2 ((Bytef *)bytes, &len, (const Bytef *)text.data,
                        text.len, LEVEL);

  if (code == Z_OK)
    br_buf_append (out, br_str_make (bytes, len));
  free (bytes);
  return code == Z_OK || deflate_fault ("compress", code, err);
}

bool
br_inflate (br_str_t packed, size_t len, br_buf_t *out, br_error_t *err)
{
  uLongf got = len;
  char *bytes = br_alloc (len + 1);
  int code = uncompress ((Bytef *)bytes, &got, (const Bytef *)packed.data,
                         packed.len);

  if (code == Z_OK && got != len)
    code = Z_DATA_ERROR;
  if (code == Z_OK)
    br_buf_append (out, br_str_make (bytes, len));
  free (bytes);
  return code == Z_OK || deflate_fault ("decompress", code, err);
}
