#include "shell/caller_reply.h"

#include <stdio.h>

#include "http/error_body.h"

#define MS_PER_S 1000

static void
reply_headers (const br_caller_reply_t *reply, br_http_headers_t *headers)
{
  br_http_header_t type
      = { br_str_from ("Content-Type"), br_str_from (reply->content_type) };

  for (size_t i = 0; i < reply->n_headers; i++)
    br_http_headers_push (headers, reply->headers[i]);
  br_http_headers_push (headers, type);
}

void
br_caller_reply (br_http_conn_t *conn,
                 const br_caller_reply_t *reply,
                 br_str_t body)
{
  br_http_headers_t headers = { 0 };
  br_http_answer_t answer = { .status = reply->status };

  reply_headers (reply, &headers);
  answer.headers = headers.items;
  answer.n_headers = headers.len;
  br_http_conn_answer (conn, &answer, body);
  br_http_headers_free (&headers);
}

void
br_caller_reply_error (br_http_conn_t *conn,
                       const br_http_header_t *headers,
                       size_t n_headers,
                       const br_error_t *err)
{
  br_http_headers_t all = { 0 };
  br_caller_reply_t reply = {
    .status = br_error_http_status (err->code),
    .content_type = "application/json",
  };
  br_buf_t body = { 0 };
  char seconds[32];

  for (size_t i = 0; i < n_headers; i++)
    br_http_headers_push (&all, headers[i]);
  if (err->retry_after_ms > 0)
    {
      br_http_header_t retry
          = { br_str_from ("Retry-After"), br_str_from (seconds) };

      snprintf (seconds, sizeof seconds, "%lld",
                (long long)(err->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
      retry.value = br_str_from (seconds);
      br_http_headers_push (&all, retry);
    }
  reply.headers = all.items;
  reply.n_headers = all.len;
  br_http_error_json (err, &body);
  br_caller_reply (conn, &reply, br_buf_str (&body));
  br_buf_free (&body);
  br_http_headers_free (&all);
}

void
br_caller_reply_begin (br_http_conn_t *conn, const br_caller_reply_t *reply)
{
  br_http_headers_t headers = { 0 };
  br_http_answer_t answer = { .status = reply->status };

  reply_headers (reply, &headers);
  answer.headers = headers.items;
  answer.n_headers = headers.len;
  br_http_conn_begin (conn, &answer);
  br_http_headers_free (&headers);
}

br_str_t
br_caller_bearer_key (const br_http_conn_t *conn)
{
  static const char scheme[] = "Bearer ";
  br_str_t value
      = br_http_head_find (br_http_conn_head (conn), "Authorization");

  if (!br_str_starts_with (value, br_str_from (scheme)))
    return (br_str_t){ 0 };
  return br_str_make (value.data + sizeof scheme - 1,
                      value.len - (sizeof scheme - 1));
}
