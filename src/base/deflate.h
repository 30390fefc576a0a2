/* Compressed text, for what is long and goes over narrow links. */
#ifndef BR_BASE_DEFLATE_H
#define BR_BASE_DEFLATE_H

#include "base/error.h"
#include "base/str.h"

BR_BEGIN_DECLS

/* Appends the compressed form of TEXT to OUT. */
bool br_deflate (br_str_t text, br_buf_t *out, br_error_t *err);

/* Appends the text of PACKED, which has LEN bytes, to OUT; OUT is as before
 * when it has not. */
bool br_inflate (br_str_t packed, size_t len, br_buf_t *out, br_error_t *err);

BR_END_DECLS

#endif
