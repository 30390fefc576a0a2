#include "shell/upstream_http.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>

#define HOST_MAX 64

void
br_upstream_http_add_headers (struct evhttp_request *request,
                              const br_attempt_options_t *options)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char host[HOST_MAX];

  snprintf (host, sizeof host, "%s:%u", options->address, options->port);
  evhttp_add_header (headers, "Host", host);
  evhttp_add_header (headers, "Connection", "keep-alive");
  if (options->content_type != NULL)
    evhttp_add_header (headers, "Content-Type", options->content_type);
  if (options->contract != NULL)
    evhttp_add_header (headers, "X-Contract-Id", options->contract);
  if (options->idempotency_key != NULL)
    evhttp_add_header (headers, "Idempotency-Key", options->idempotency_key);
}

const char *
br_upstream_http_error_text (int error)
{
  switch (error)
    {
    case EVREQ_HTTP_TIMEOUT:
      return "timed out";
    case EVREQ_HTTP_EOF:
      return "the connection ended before the answer did";
    case EVREQ_HTTP_INVALID_HEADER:
      return "the answer is not HTTP";
    case EVREQ_HTTP_BUFFER_ERROR:
      return "the connection broke";
    case EVREQ_HTTP_DATA_TOO_LONG:
      return "the answer is too long";
    default:
      return "the connection could not be opened, or it broke";
    }
}

/* Returns whether the length of the answer was known before its end. */
static bool
answer_is_framed (struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  int status = evhttp_request_get_response_code (request);

  return status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED
         || evhttp_request_get_command (request) == EVHTTP_REQ_HEAD
         || evhttp_find_header (headers, "Content-Length") != NULL
         || evhttp_find_header (headers, "Transfer-Encoding") != NULL;
}

const char *
br_upstream_http_end_fault (struct evhttp_request *request, bool stream)
{
  if (evhttp_request_get_response_code (request) < HTTP_OK)
    return "an interim answer was not followed";
  if (!stream && !answer_is_framed (request))
    return "the answer has neither length nor chunks, it may have been cut";
  return NULL;
}

void
br_upstream_http_acknowledge (struct evhttp_connection *connection)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  int on = 1;

  setsockopt (bufferevent_getfd (bev), IPPROTO_TCP, TCP_QUICKACK, &on,
              sizeof on);
}
