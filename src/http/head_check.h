/* Checks the heads of a response that another parser reads, by the rules of
 * http_reader.h. */
#ifndef BR_HTTP_HEAD_CHECK_H
#define BR_HTTP_HEAD_CHECK_H

#include "base/error.h"

BR_BEGIN_DECLS

typedef struct br_http_head_check br_http_head_check_t;

/* HEAD_MAX is the maximum size of a head, in bytes. */
br_http_head_check_t *br_http_head_check_new (size_t head_max);
void br_http_head_check_free (br_http_head_check_t *check);

/* Takes the next bytes of the response.  Returns false, and *ERR describes the
 * fault, if a head among them is invalid.  Once the head of the final response
 * has been read, the rest is ignored. */
bool br_http_head_check_feed (br_http_head_check_t *check,
                              br_str_t bytes,
                              br_error_t *err);

/* Returns whether the head of the final response has been read. */
bool br_http_head_check_is_over (const br_http_head_check_t *check);

BR_END_DECLS

#endif
