/* Builds the JSON body of an error for callers and operators. */
#ifndef BR_HTTP_ERROR_BODY_H
#define BR_HTTP_ERROR_BODY_H

#include "base/error.h"

BR_BEGIN_DECLS

/* Appends {"error": {...}} and a newline.  "outcome" is "answered" for
 * BR_ERROR_ANSWER_GONE, "unknown" when the request may have run, and "not_run"
 * otherwise. */
void br_http_error_json (const br_error_t *err, br_buf_t *out);

BR_END_DECLS

#endif
