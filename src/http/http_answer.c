#include "http/http_server_private.h"

#include <event2/buffer.h>
#include <stdio.h>

static const br_clock_t clock_monotonic = { BR_CLOCK_MONOTONIC, 0 };

br_ms_t
br_http_now (void)
{
  return br_clock_now (&clock_monotonic);
}

void
br_http_conn_set_state (br_http_conn_t *conn, br_http_conn_state_t state)
{
  conn->state = state;
  conn->since_ms = br_http_now ();
}

/* --- answers --- */

static const char *
status_text (int status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 403:
      return "Forbidden";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 422:
      return "Unprocessable Content";
    case 500:
      return "Internal Server Error";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
    }
}

static bool
conn_closes (const br_http_conn_t *conn)
{
  return !conn->keep_alive || conn->server->close_after_answers
         || conn->server->stopped;
}

static void
conn_write_head (br_http_conn_t *conn,
                 const br_http_answer_t *answer,
                 const char *framing)
{
  struct evbuffer *out = bufferevent_get_output (conn->bev);

  evbuffer_add_printf (out, "HTTP/1.1 %d %s\r\n", answer->status,
                       status_text (answer->status));
  for (size_t i = 0; i < answer->n_headers; i++)
    {
      const br_http_header_t *header = &answer->headers[i];

      evbuffer_add (out, header->name.data, header->name.len);
      evbuffer_add (out, ": ", 2);
      evbuffer_add (out, header->value.data, header->value.len);
      evbuffer_add (out, "\r\n", 2);
    }
  evbuffer_add_printf (out, "%s%s\r\n", framing,
                       conn_closes (conn) ? "Connection: close\r\n" : "");
}

/* Finishes an answer: prepares the connection for the next request, or closes
 * it. */
static void
conn_finish_answer (br_http_conn_t *conn)
{
  bool request_complete = conn->state != BR_HTTP_CONN_READING;

  br_http_head_release (&conn->head);
  br_http_conn_free_body (conn);
  conn->user = NULL;
  conn->chunked = false;
  if (!conn_closes (conn))
    {
      br_http_conn_set_state (conn, BR_HTTP_CONN_IDLE);
      if (!br_http_conn_must_drain (conn))
        bufferevent_setwatermark (conn->bev, EV_READ, 0, 0);
      br_http_conn_account (conn);
      if (evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
        bufferevent_trigger (conn->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
      return;
    }
  br_http_conn_set_state (conn, request_complete ? BR_HTTP_CONN_FLUSHING
                                                 : BR_HTTP_CONN_LINGERING);
  br_http_reader_trim (conn->reader);
  br_http_conn_account (conn);
  if (evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0)
    bufferevent_trigger (conn->bev, EV_WRITE, BEV_OPT_DEFER_CALLBACKS);
}

void
br_http_conn_answer (br_http_conn_t *conn,
                     const br_http_answer_t *answer,
                     br_str_t body)
{
  char framing[48];

  snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", body.len);
  conn_write_head (conn, answer, framing);
  evbuffer_add (bufferevent_get_output (conn->bev), body.data, body.len);
  conn_finish_answer (conn);
}

void
br_http_conn_begin (br_http_conn_t *conn, const br_http_answer_t *answer)
{
  conn_write_head (conn, answer, "Transfer-Encoding: chunked\r\n");
  conn->chunked = true;
  br_http_conn_set_state (conn, BR_HTTP_CONN_STREAMING);
}

bool
br_http_conn_has_begun (const br_http_conn_t *conn)
{
  return conn->state == BR_HTTP_CONN_STREAMING;
}

void
br_http_conn_write (br_http_conn_t *conn, br_str_t piece)
{
  struct evbuffer *out = bufferevent_get_output (conn->bev);

  if (piece.len == 0)
    return;
  evbuffer_add_printf (out, "%zx\r\n", piece.len);
  evbuffer_add (out, piece.data, piece.len);
  evbuffer_add (out, "\r\n", 2);
  br_http_conn_account (conn);
}

void
br_http_conn_end (br_http_conn_t *conn)
{
  bufferevent_write (conn->bev, "0\r\n\r\n", 5);
  conn_finish_answer (conn);
}

void
br_http_conn_abort (br_http_conn_t *conn)
{
  conn->user = NULL;
  conn->keep_alive = false;
  br_http_conn_set_state (conn, BR_HTTP_CONN_FLUSHING);
  bufferevent_trigger (conn->bev, EV_WRITE, BEV_OPT_DEFER_CALLBACKS);
}

/* --- one connection --- */

bool
br_http_conn_is_refused (const br_http_conn_t *conn)
{
  return conn->is_refused;
}

size_t
br_http_conn_unsent (const br_http_conn_t *conn)
{
  return evbuffer_get_length (bufferevent_get_output (conn->bev));
}

const br_http_head_t *
br_http_conn_head (const br_http_conn_t *conn)
{
  return &conn->head;
}

br_str_t
br_http_conn_body (const br_http_conn_t *conn)
{
  return br_buf_str (&conn->body);
}

br_ms_t
br_http_conn_began_ms (const br_http_conn_t *conn)
{
  return conn->began_ms;
}

br_ms_t
br_http_conn_read_ms (const br_http_conn_t *conn)
{
  return conn->read_ms;
}

void
br_http_conn_set_user (br_http_conn_t *conn, void *user)
{
  conn->user = user;
}

void *
br_http_conn_user (const br_http_conn_t *conn)
{
  return conn->user;
}
