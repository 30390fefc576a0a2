/* Compresses long texts for links with little bandwidth (zlib). */
#ifndef BR_BASE_DEFLATE_H
#define BR_BASE_DEFLATE_H

#include "base/error.h"
#include "base/str.h"

BR_BEGIN_DECLS

/* Appends the compressed form of TEXT to OUT. */
bool br_deflate (br_str_t text, br_buf_t *out, br_error_t *err);

/* Appends the decompressed text of PACKED to OUT.  Fails and leaves OUT
 * unchanged when the text does not have LEN bytes. */
bool br_inflate (br_str_t packed, size_t len, br_buf_t *out, br_error_t *err);

BR_END_DECLS

#endif
