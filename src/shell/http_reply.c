#include "shell/http_reply.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <json-c/json.h>
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
br_http_error_json (const br_error_t *err, br_buf_t *out)
{
  bool unknown = err->code == BR_ERROR_UNKNOWN_OUTCOME || err->may_have_run;
  json_object *object = json_object_new_object ();
  json_object *inner = json_object_new_object ();

  json_object_object_add (inner, "code",
                          json_object_new_string (br_error_name (err->code)));
  json_object_object_add (inner, "step", json_object_new_string (err->step));
  json_object_object_add (inner, "peer", json_object_new_string (err->peer));
  json_object_object_add (inner, "message", json_object_new_string (err->text));
  json_object_object_add (
      inner, "outcome",
      json_object_new_string (err->code == BR_ERROR_ANSWER_GONE ? "answered"
                              : unknown                         ? "unknown"
                                                                : "not_run"));
  if (err->key_unknown)
    json_object_object_add (inner, "key_outcome",
                            json_object_new_string ("unknown"));
  if (err->retry_after_ms > 0)
    json_object_object_add (inner, "retry_after_ms",
                            json_object_new_int64 (err->retry_after_ms));
  json_object_object_add (object, "error", inner);
  br_buf_printf (
      out, "%s\n",
      json_object_to_json_string_ext (
          object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (object);
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
