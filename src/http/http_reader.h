/* Reads HTTP/1.1 messages from a byte stream with http-parser.  The only file
 * that uses the parser, and the only place that decides on framing. */
#ifndef BR_HTTP_HTTP_READER_H
#define BR_HTTP_HTTP_READER_H

#include "http/http_head.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_HTTP_REQUESTS,
  BR_HTTP_RESPONSES,
} br_http_side_t;

typedef enum
{
  BR_HTTP_NEED_MORE, /* all bytes were taken */
  BR_HTTP_HEAD,      /* br_http_reader_head() is filled */
  BR_HTTP_BODY,      /* br_http_reader_body() holds the next bytes */
  BR_HTTP_END,       /* the message is complete */
  BR_HTTP_BAD,       /* *ERR says why; nothing more can be read */
} br_http_step_t;

typedef struct br_http_reader br_http_reader_t;

/* HEAD_MAX bounds a head, in bytes. */
br_http_reader_t *br_http_reader_new (br_http_side_t side, size_t head_max);
void br_http_reader_free (br_http_reader_t *reader);

/* Reads from INPUT and says in *USED how many bytes were taken; call it again
 * with the rest until it needs more. */
br_http_step_t br_http_reader_next (br_http_reader_t *reader,
                                    br_str_t input,
                                    size_t *used,
                                    br_error_t *err);

/* The stream has ended in order.  True when that completes the message: a
 * response without a length. */
bool br_http_reader_finish (br_http_reader_t *reader);

/* Whether part of a message was read. */
bool br_http_reader_is_inside (const br_http_reader_t *reader);

/* Valid from BR_HTTP_HEAD until the next message begins. */
const br_http_head_t *br_http_reader_head (const br_http_reader_t *reader);

/* Moves the head out; the caller releases it. */
br_http_head_t br_http_reader_take_head (br_http_reader_t *reader);

/* Valid until the next call. */
br_str_t br_http_reader_body (const br_http_reader_t *reader);

BR_END_DECLS

#endif
