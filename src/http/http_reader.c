#include "http/http_reader.h"

#include <http_parser.h>
#include <string.h>

#include "http/framing.h"

/* Largest buffer that is kept between two requests, in bytes. */
#define BODY_BUFFER_KEPT 4096

static const char head_end[] = "\r\n\r\n";

#define HEAD_END_LEN (sizeof head_end - 1)

typedef enum
{
  READING_HEAD,
  READING_BODY,
  MESSAGE_COMPLETE, /* ENDED is set until BR_HTTP_END is returned */
} reader_state_t;

struct br_http_reader
{
  http_parser parser;
  br_http_side_t side;
  size_t head_max;
  reader_state_t state;
  br_http_head_t head;
  br_buf_t body;         /* read since the last BR_HTTP_BODY */
  bool body_returned;    /* the next call clears BODY */
  uint64_t body_read;    /* bytes of the body, without their framing */
  uint64_t framing_read; /* bytes of chunk sizes, extensions and the trailer */
  bool in_head;
  bool ended;
  bool failed;
};

static int
on_url (http_parser *parser, const char *at, size_t len)
{
  br_http_reader_t *reader = parser->data;

  if (reader->head.target.data == NULL)
    reader->head.target.data = at;
  reader->head.target.len += len;
  return 0;
}

static int
on_header_field (http_parser *parser, const char *at, size_t len)
{
  br_http_reader_t *reader = parser->data;
  br_http_header_t header = { .name = br_str_make (at, len) };

  /* Trailer fields are ignored: they concern the connection only. */
  if (reader->in_head)
    br_http_headers_push (&reader->head.headers, header);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t len)
{
  br_http_reader_t *reader = parser->data;

  if (reader->in_head && reader->head.headers.len > 0)
    reader->head.headers.items[reader->head.headers.len - 1].value
        = br_str_make (at, len);
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  br_http_reader_t *reader = parser->data;

  br_buf_append (&reader->body, br_str_make (at, len));
  reader->body_read += len;
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  br_http_reader_t *reader = parser->data;

  reader->ended = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

br_http_reader_t *
br_http_reader_new (br_http_side_t side, size_t head_max)
{
  br_http_reader_t *reader = br_alloc_zero (sizeof *reader);

  reader->side = side;
  reader->head_max = head_max;
  http_parser_init (&reader->parser,
                    side == BR_HTTP_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
  reader->parser.data = reader;
  return reader;
}

void
br_http_reader_free (br_http_reader_t *reader)
{
  if (reader == NULL)
    return;
  br_http_head_release (&reader->head);
  br_buf_free (&reader->body);
  free (reader);
}

static br_http_step_t
reader_fail (br_http_reader_t *reader,
             br_error_t *err,
             br_error_code_t code,
             const char *why)
{
  reader->failed = true;
  br_error_set (err, code, "read message", "", "%s", why);
  return BR_HTTP_BAD;
}

/* --- the head --- */

static bool
coding_is_chunked (br_str_t coding)
{
  return br_http_name_is (coding, "chunked");
}

/* Refuses heads that the parser accepts but this module does not, and fills the
 * remaining fields of the head. */
static bool
head_check (br_http_reader_t *reader, br_error_t *err)
{
  br_http_head_t *head = &reader->head;
  br_str_t coding = br_http_head_find (head, "transfer-encoding");
  const http_parser *parser = &reader->parser;

  if (parser->http_major != 1)
    return br_error_set (err, BR_ERROR_INVALID, "read head", "",
                         "the version is neither HTTP/1.1 nor HTTP/1.0");
  if (coding.data != NULL && !coding_is_chunked (coding))
    return br_error_set (err, BR_ERROR_INVALID, "read head", "",
                         "the transfer coding is not chunked");
  if (parser->upgrade)
    return br_error_set (err, BR_ERROR_INVALID, "read head", "",
                         "an upgrade of the protocol is not supported");
  head->chunked = coding.data != NULL;
  head->content_length = -1;
  if (br_http_head_find (head, "content-length").data != NULL)
    {
      uint64_t length;

      if (!br_str_to_u64 (br_http_head_find (head, "content-length"), &length)
          || length > INT64_MAX)
        return br_error_set (err, BR_ERROR_INVALID, "read head", "",
                             "Content-Length is not a number");
      head->content_length = (int64_t)length;
    }
  head->keep_alive = http_should_keep_alive (parser) != 0;
  if (reader->side == BR_HTTP_REQUESTS && parser->http_minor > 0
      && br_http_head_find (head, "host").data == NULL)
    return br_error_set (err, BR_ERROR_INVALID, "read head", "",
                         "Host is missing");
  if (reader->side == BR_HTTP_REQUESTS)
    head->method = br_str_from (
        http_method_str ((enum http_method)reader->parser.method));
  else
    head->status = (int)parser->status_code;
  return true;
}

static br_http_step_t
reader_parse_head (br_http_reader_t *reader, br_error_t *err)
{
  br_str_t bytes = br_buf_str (&reader->head.bytes);
  size_t parsed;

  if (!br_http_head_is_strict (bytes, err)
      || (reader->side == BR_HTTP_RESPONSES
          && !br_http_head_has_status (bytes, err)))
    {
      reader->failed = true;
      return BR_HTTP_BAD;
    }
  reader->in_head = true;
  parsed = http_parser_execute (&reader->parser, &parser_settings, bytes.data,
                                bytes.len);
  reader->in_head = false;
  if (parsed != bytes.len
      || (HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK
          && HTTP_PARSER_ERRNO (&reader->parser) != HPE_PAUSED))
    return reader_fail (
        reader, err, BR_ERROR_INVALID,
        http_errno_description (HTTP_PARSER_ERRNO (&reader->parser)));
  if (!head_check (reader, err))
    {
      reader->failed = true;
      return BR_HTTP_BAD;
    }
  reader->state = reader->ended ? MESSAGE_COMPLETE : READING_BODY;
  return BR_HTTP_HEAD;
}

static void
reader_begin (br_http_reader_t *reader)
{
  br_http_head_release (&reader->head);
  br_buf_clear (&reader->body);
  reader->state = READING_HEAD;
  reader->ended = false;
  reader->body_read = reader->framing_read = 0;
  if (HTTP_PARSER_ERRNO (&reader->parser) == HPE_PAUSED)
    http_parser_pause (&reader->parser, 0);
}

static br_http_step_t
reader_next_head (br_http_reader_t *reader,
                  br_str_t input,
                  size_t *used,
                  br_error_t *err)
{
  br_buf_t *bytes = &reader->head.bytes;
  size_t had_len = bytes->len;
  size_t from;
  const char *end;

  /* Skip empty lines before a request line (RFC 9112, section 2.2). */
  while (had_len == 0 && *used + 2 <= input.len
         && memcmp (input.data + *used, "\r\n", 2) == 0)
    *used += 2;
  input = br_str_make (input.data + *used, input.len - *used);
  if (input.len == 0)
    return BR_HTTP_NEED_MORE;
  br_buf_append (bytes, input);
  from = had_len > HEAD_END_LEN ? had_len - HEAD_END_LEN : 0;
  end = memmem (bytes->data + from, bytes->len - from, head_end, HEAD_END_LEN);
  if (end != NULL)
    {
      size_t len = (size_t)(end - bytes->data) + HEAD_END_LEN;

      *used += len - had_len;
      bytes->len = len;
      bytes->data[len] = '\0';
    }
  else
    *used += input.len;
  if (bytes->len > reader->head_max)
    return reader_fail (reader, err, BR_ERROR_HEAD_TOO_LARGE,
                        "the message head is too long");
  return end != NULL ? reader_parse_head (reader, err) : BR_HTTP_NEED_MORE;
}

/* --- the body --- */

static br_http_step_t
reader_next_body (br_http_reader_t *reader,
                  br_str_t input,
                  size_t *used,
                  br_error_t *err)
{
  uint64_t body_before = reader->body_read;
  enum http_errno error;

  if (input.len > 0)
    *used = http_parser_execute (&reader->parser, &parser_settings, input.data,
                                 input.len);
  reader->framing_read += *used - (reader->body_read - body_before);
  error = HTTP_PARSER_ERRNO (&reader->parser);
  if (error != HPE_OK && error != HPE_PAUSED)
    return reader_fail (reader, err, BR_ERROR_INVALID,
                        http_errno_description (error));
  if (br_http_framing_is_excessive (reader->framing_read, reader->body_read))
    return reader_fail (reader, err, BR_ERROR_INVALID,
                        "the framing of the body is too long");
  if (reader->ended)
    reader->state = MESSAGE_COMPLETE;
  if (reader->body.len > 0)
    {
      reader->body_returned = true;
      return BR_HTTP_BODY;
    }
  if (!reader->ended)
    return BR_HTTP_NEED_MORE;
  reader->ended = false;
  return BR_HTTP_END;
}

br_http_step_t
br_http_reader_next (br_http_reader_t *reader,
                     br_str_t input,
                     size_t *used,
                     br_error_t *err)
{
  *used = 0;
  if (reader->failed)
    return reader_fail (reader, err, BR_ERROR_INVALID,
                        "an earlier message on this connection was invalid");
  if (reader->body_returned)
    br_buf_clear (&reader->body);
  reader->body_returned = false;
  switch (reader->state)
    {
    case READING_HEAD:
      return reader_next_head (reader, input, used, err);
    case READING_BODY:
      return reader_next_body (reader, input, used, err);
    case MESSAGE_COMPLETE:
      break;
    }
  if (!reader->ended)
    {
      reader_begin (reader);
      return reader_next_head (reader, input, used, err);
    }
  reader->ended = false;
  return BR_HTTP_END;
}

bool
br_http_reader_needs_close (const br_http_reader_t *reader)
{
  return !reader->failed && reader->state == READING_BODY && !reader->ended
         && !reader->head.chunked && reader->head.content_length < 0;
}

bool
br_http_reader_finish (br_http_reader_t *reader)
{
  if (reader->failed || reader->state != READING_BODY)
    return false;
  http_parser_execute (&reader->parser, &parser_settings, NULL, 0);
  if (!reader->ended)
    return false;
  reader->state = MESSAGE_COMPLETE;
  return true;
}

bool
br_http_reader_is_inside (const br_http_reader_t *reader)
{
  return reader->state == READING_BODY
         || (reader->state == READING_HEAD && reader->head.bytes.len > 0);
}

const br_http_head_t *
br_http_reader_head (const br_http_reader_t *reader)
{
  return &reader->head;
}

br_http_head_t
br_http_reader_take_head (br_http_reader_t *reader)
{
  br_http_head_t head = reader->head;

  reader->head = (br_http_head_t){ 0 };
  return head;
}

br_str_t
br_http_reader_body (const br_http_reader_t *reader)
{
  return br_buf_str (&reader->body);
}

size_t
br_http_reader_allocated (const br_http_reader_t *reader)
{
  return reader->head.bytes.cap + reader->body.cap
         + reader->head.headers.cap * sizeof (br_http_header_t);
}

void
br_http_reader_trim (br_http_reader_t *reader)
{
  if (reader->body.cap <= BODY_BUFFER_KEPT)
    return;
  br_buf_free (&reader->body);
  reader->body_returned = false;
}
