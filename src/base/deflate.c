#include "base/deflate.h"

#include <stdlib.h>
#include <zlib.h>

/* The fastest level.  A configuration of a thousand routes is so repetitive
 * that higher levels gain little. */
#define COMPRESSION_LEVEL 1

static bool
deflate_fail (const char *step, int code, br_error_t *err)
{
  return br_error_set (err, BR_ERROR_PROTOCOL, step, "", "%s", zError (code));
}

bool
br_deflate (br_str_t text, br_buf_t *out, br_error_t *err)
{
  uLongf len = compressBound (text.len);
  char *bytes = br_alloc (len + 1);
  int code = compress2 ((Bytef *)bytes, &len, (const Bytef *)text.data,
                        text.len, COMPRESSION_LEVEL);

  if (code == Z_OK)
    br_buf_append (out, br_str_make (bytes, len));
  free (bytes);
  return code == Z_OK || deflate_fail ("compress", code, err);
}

bool
br_inflate (br_str_t packed, size_t len, br_buf_t *out, br_error_t *err)
{
  uLongf actual_len = len;
  char *bytes = br_alloc (len + 1);
  int code = uncompress ((Bytef *)bytes, &actual_len,
                         (const Bytef *)packed.data, packed.len);

  if (code == Z_OK && actual_len != len)
    code = Z_DATA_ERROR;
  if (code == Z_OK)
    br_buf_append (out, br_str_make (bytes, len));
  free (bytes);
  return code == Z_OK || deflate_fail ("decompress", code, err);
}
