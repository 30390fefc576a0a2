#include "shell/http_reply.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000

void
br_http_reply (struct evhttp_request *request,
               int status,
               const char *content_type,
               br_str_t body)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  evhttp_add_header (headers, "Content-Type", content_type);
  evbuffer_add (evhttp_request_get_output_buffer (request), body.data,
                body.len);
  evhttp_send_reply (request, status, NULL, NULL);
}

void
br_http_reply_error (struct evhttp_request *request, const br_error_t *err)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  br_buf_t body = { 0 };
  char seconds[24];

  if (err->retry_after_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%" PRId64,
                (err->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
      evhttp_add_header (headers, "Retry-After", seconds);
    }
  br_http_error_json (err, &body);
  br_http_reply (request, br_error_http_status (err->code), "application/json",
                 br_buf_str (&body));
  br_buf_free (&body);
}

br_str_t
br_http_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t len = evbuffer_get_length (input);

  if (len == 0)
    return br_str_from ("");
  return br_str_make ((const char *)evbuffer_pullup (input, -1), len);
}

br_str_t
br_http_bearer_key (struct evhttp_request *request)
{
  const char *prefix = "Bearer ";
  const char *value = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Authorization");

  if (value == NULL || strncmp (value, prefix, strlen (prefix)) != 0)
    return br_str_from ("");
  return br_str_from (value + strlen (prefix));
}
