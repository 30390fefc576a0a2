/* The JSON body of an error, the same for callers and operators. */
#ifndef BR_HTTP_ERROR_BODY_H
#define BR_HTTP_ERROR_BODY_H

#include "base/error.h"

BR_BEGIN_DECLS

/* Appends {"error": {...}} and a line end.  "outcome" is "unknown" when the
 * work may have run and "not_run" otherwise. */
void br_http_error_json (const br_error_t *err, br_buf_t *out);

BR_END_DECLS

#endif
