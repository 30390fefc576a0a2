/* Checks the heads of a response that another parser reads, by the rules of
 * http_reader.h. */
#ifndef BR_HTTP_HEAD_CHECK_H
#define BR_HTTP_HEAD_CHECK_H

#include <event2/buffer.h>

#include "base/error.h"

BR_BEGIN_DECLS

typedef struct br_http_head_check br_http_head_check_t;

/* HEAD_MAX is the maximum size of a head, in bytes. */
br_http_head_check_t *br_http_head_check_new (size_t head_max);
void br_http_head_check_free (br_http_head_check_t *check);

/* Takes the last N_ADDED bytes of INPUT, which the other parser has not read.
 * Returns false, and *ERR describes the fault, if a head among them is invalid.
 * What follows the head of the final response is ignored. */
bool br_http_head_check_take (br_http_head_check_t *check,
                              struct evbuffer *input,
                              size_t n_added,
                              br_error_t *err);

BR_END_DECLS

#endif
