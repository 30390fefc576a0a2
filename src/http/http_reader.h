/* Reads HTTP/1.1 messages from a byte stream with http-parser.  No other module
 * uses the parser or decides on the framing of received messages. */
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
  BR_HTTP_NEED_MORE, /* all bytes were consumed */
  BR_HTTP_HEAD,      /* br_http_reader_head() is filled */
  BR_HTTP_BODY,      /* br_http_reader_body() holds the next bytes */
  BR_HTTP_END,       /* the message is complete */
  BR_HTTP_BAD,       /* *ERR describes the fault; the stream is unusable */
} br_http_step_t;

typedef struct br_http_reader br_http_reader_t;

/* HEAD_MAX is the maximum size of a head, in bytes. */
br_http_reader_t *br_http_reader_new (br_http_side_t side, size_t head_max);
void br_http_reader_free (br_http_reader_t *reader);

/* Reads from INPUT and sets *USED to the number of bytes consumed.  Call it
 * again with the rest until it returns BR_HTTP_NEED_MORE. */
br_http_step_t br_http_reader_next (br_http_reader_t *reader,
                                    br_str_t input,
                                    size_t *used,
                                    br_error_t *err);

/* Returns whether only the end of the stream completes the message. */
bool br_http_reader_needs_close (const br_http_reader_t *reader);

/* Handles the orderly end of the stream.  Returns true when it completes the
 * message, which is then a response without a length. */
bool br_http_reader_finish (br_http_reader_t *reader);

/* Returns whether a message was read in part. */
bool br_http_reader_is_inside (const br_http_reader_t *reader);

/* Returns the head, valid from BR_HTTP_HEAD until the next message begins. */
const br_http_head_t *br_http_reader_head (const br_http_reader_t *reader);

/* Moves the head out; the caller releases it. */
br_http_head_t br_http_reader_take_head (br_http_reader_t *reader);

/* Returns the bytes that the reader has allocated for its buffers. */
size_t br_http_reader_allocated (const br_http_reader_t *reader);

/* Frees the buffer for pieces of bodies, if it has grown. */
void br_http_reader_trim (br_http_reader_t *reader);

/* Returns the bytes of BR_HTTP_BODY, valid until the next call of
 * br_http_reader_next(). */
br_str_t br_http_reader_body (const br_http_reader_t *reader);

BR_END_DECLS

#endif
