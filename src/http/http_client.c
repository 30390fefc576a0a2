#include "http/http_client.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "http/http_reader.h"
#include "http/peer_close.h"

/* Maximum size of a response head; upstreams send a few hundred bytes. */
#define HEAD_MAX_BYTES (32 * 1024)

/* Most interim responses to one request. */
#define INTERIM_MAX 32

/* A connection fails when sent bytes are not acknowledged for this long.  This
 * allows a few retransmissions and is well below the deadline of a request. */
#define USER_TIMEOUT_MS 3000

/* After a close that a reset may follow, the connection is checked at this
 * interval, and for this long, which allows a retransmission. */
#define CLOSE_CHECK_INTERVAL_MS 5
#define CLOSE_CHECK_MAX_MS 500

typedef enum
{
  CLIENT_IDLE,
  CLIENT_BUSY, /* a request is in progress */
  CLIENT_DEAD,
} client_state_t;

struct br_http_client
{
  struct bufferevent *bev;
  br_http_reader_t *reader;
  client_state_t state;
  bool connected;
  size_t request_len;        /* bytes of the request in progress */
  bool paused;               /* the response is not read for now */
  bool skipping;             /* the current response is discarded */
  bool skipped;              /* a response to another request was */
  size_t n_responses;        /* heads reported */
  size_t n_interim;          /* interim responses to the request in progress */
  bool keep_alive;           /* of the last response */
  bool framed;               /* the last response had a length or chunks */
  bool ended_by_close;       /* the last response */
  struct event *close_timer; /* reads CLOSE again; NULL: not closed */
  br_peer_close_t close;     /* of a response that a close ends */
  br_ms_t close_until_ms;
  uint64_t received; /* bytes of the body */
  br_error_t error;  /* of a response that is not valid */
  br_ms_t idle_since_ms;
  br_ms_t keep_alive_ms;
  br_client_fn on_event;
  void *context;
  int in_callback;
  bool freed; /* destroyed once the callback returns */
};

static const char *const fault_names[] = {
#define X(id, name) name,
  BR_CLIENT_FAULT_TABLE (X)
#undef X
};

static const br_clock_t clock_monotonic = { BR_CLOCK_MONOTONIC, 0 };

const char *
br_client_fault_name (br_client_fault_t fault)
{
  return fault_names[fault];
}

static void
client_destroy (br_http_client_t *client)
{
  if (client->close_timer != NULL)
    event_free (client->close_timer);
  bufferevent_free (client->bev);
  br_http_reader_free (client->reader);
  free (client);
}

void
br_http_client_free (br_http_client_t *client)
{
  if (client == NULL)
    return;
  client->on_event = NULL;
  client->state = CLIENT_DEAD;
  if (client->in_callback > 0)
    client->freed = true;
  else
    client_destroy (client);
}

/* Calls the owner's callback.  Returns false when the callback freed the
 * client. */
static bool
client_emit (br_http_client_t *client, br_client_event_t event)
{
  if (client->on_event != NULL)
    {
      client->in_callback++;
      client->on_event (client->context, client, &event);
      client->in_callback--;
    }
  return !client->freed;
}

static bool
client_fail (br_http_client_t *client, br_client_fault_t fault)
{
  br_client_event_t event = { .kind = BR_CLIENT_FAILED, .fault = fault };

  if (client->state == CLIENT_IDLE)
    event.kind = BR_CLIENT_LOST;
  else if (client->state == CLIENT_DEAD)
    return true;
  client->state = CLIENT_DEAD;
  return client_emit (client, event);
}

static br_ms_t
head_keep_alive_ms (const br_http_head_t *head)
{
  static const char key[] = "timeout=";
  br_str_t value = br_http_head_find (head, "keep-alive");
  const char *at = value.len > 0
                       ? memmem (value.data, value.len, key, sizeof key - 1)
                       : NULL;
  long seconds;

  if (at == NULL)
    return 0;
  seconds = strtol (at + sizeof key - 1, NULL, 10);
  return seconds > 0 && seconds < 86400 ? (br_ms_t)seconds * 1000 : 0;
}

static bool
client_on_head (br_http_client_t *client)
{
  const br_http_head_t *head = br_http_reader_head (client->reader);
  br_client_event_t event = { .kind = BR_CLIENT_HEAD, .head = head };

  client->skipping = head->status < 200;
  if (client->skipping && ++client->n_interim > INTERIM_MAX)
    return client_fail (client, BR_CLIENT_FAULT_GARBLED);
  if (client->skipping)
    return true;
  client->keep_alive = head->keep_alive;
  client->framed = head->chunked || head->content_length >= 0;
  client->keep_alive_ms = head_keep_alive_ms (head);
  client->received = 0;
  client->n_responses++;
  return client_emit (client, event);
}

static bool
client_on_end (br_http_client_t *client, bool more_input)
{
  br_client_event_t event = { .kind = BR_CLIENT_END };
  struct evbuffer *out = bufferevent_get_output (client->bev);

  if (client->skipping)
    {
      client->skipping = false;
      return true;
    }
  event.reusable = client->keep_alive && client->framed && !client->skipped
                   && !more_input && evbuffer_get_length (out) == 0;
  client->state = event.reusable ? CLIENT_IDLE : CLIENT_DEAD;
  client->request_len = 0;
  client->idle_since_ms = br_clock_now (&clock_monotonic);
  return client_emit (client, event);
}

static void
client_read (br_http_client_t *client)
{
  struct evbuffer *input = bufferevent_get_input (client->bev);
  bool alive = true;

  client->in_callback++;
  while (alive && client->state == CLIENT_BUSY && !client->paused)
    {
      size_t len = evbuffer_get_length (input);
      const char *data = (const char *)evbuffer_pullup (input, -1);
      br_client_event_t event = { .kind = BR_CLIENT_BODY };
      size_t used = 0;
      br_http_step_t step = br_http_reader_next (
          client->reader, br_str_make (data, len), &used, &client->error);

      evbuffer_drain (input, used);
      if (step == BR_HTTP_NEED_MORE)
        break;
      event.body = br_http_reader_body (client->reader);
      client->received += step == BR_HTTP_BODY ? event.body.len : 0;
      if (step == BR_HTTP_HEAD)
        alive = client_on_head (client);
      else if (step == BR_HTTP_BODY && !client->skipping)
        alive = client_emit (client, event);
      else if (step == BR_HTTP_END)
        alive = client_on_end (client, evbuffer_get_length (input) > 0);
      else if (step == BR_HTTP_BAD)
        alive = client_fail (client, BR_CLIENT_FAULT_GARBLED);
    }
  if (alive && client->state == CLIENT_IDLE && evbuffer_get_length (input) > 0)
    client_fail (client, BR_CLIENT_FAULT_GARBLED);
  client->in_callback--;
  if (client->freed && client->in_callback == 0)
    client_destroy (client);
}

static void
on_read (struct bufferevent *bev, void *context)
{
  (void)bev;
  client_read (context);
}

/* --- ends of the connection --- */

/* Must be called at the end of each callback of libevent. */
static void
client_leave_callback (br_http_client_t *client)
{
  client->in_callback--;
  if (client->freed && client->in_callback == 0)
    client_destroy (client);
}

static size_t
client_buffered (const br_http_client_t *client)
{
  return evbuffer_get_length (bufferevent_get_output (client->bev));
}

/* Completes a response without a length, which the upstream has ended in
 * order. */
static void
client_finish (br_http_client_t *client)
{
  if (br_http_reader_finish (client->reader))
    {
      client->ended_by_close = true;
      client_read (client);
    }
  if (!client->freed && client->state != CLIENT_DEAD)
    client_fail (client, BR_CLIENT_FAULT_CLOSED);
}

/* Ends the response, or waits if it is not known yet whether the close is an
 * orderly one. */
static void
client_check_close (br_http_client_t *client)
{
  static const struct timeval interval = { 0, CLOSE_CHECK_INTERVAL_MS * 1000 };
  bool has_waited = br_clock_now (&clock_monotonic) >= client->close_until_ms;

  switch (br_peer_close_kind (&client->close, has_waited))
    {
    case BR_PEER_CLOSE_ORDERLY:
      client_finish (client);
      return;
    case BR_PEER_CLOSE_RESET:
      client_fail (client, BR_CLIENT_FAULT_RESET);
      return;
    case BR_PEER_CLOSE_UNKNOWN:
      if (has_waited)
        client_fail (client, BR_CLIENT_FAULT_UNPROVED);
      else
        event_add (client->close_timer, &interval);
      return;
    }
}

static void
on_close_timer (evutil_socket_t fd, short what, void *context)
{
  br_http_client_t *client = context;

  (void)fd;
  (void)what;
  if (client->state != CLIENT_BUSY)
    return;
  br_peer_close_update (&client->close, bufferevent_getfd (client->bev),
                        client_buffered (client));
  client->in_callback++;
  client_check_close (client);
  client_leave_callback (client);
}

/* Handles the end of the input, which may complete a response without a
 * length. */
static void
client_on_eof (br_http_client_t *client)
{
  if (client->close_timer != NULL)
    return;
  client->in_callback++;
  if (client->state == CLIENT_BUSY && !client->skipping
      && br_http_reader_needs_close (client->reader))
    {
      client->close_timer = evtimer_new (bufferevent_get_base (client->bev),
                                         on_close_timer, client);
      client->close = br_peer_close_begin (bufferevent_getfd (client->bev),
                                           client_buffered (client));
      client->close_until_ms
          = br_clock_now (&clock_monotonic) + CLOSE_CHECK_MAX_MS;
      client_check_close (client);
    }
  else
    client_fail (client, BR_CLIENT_FAULT_CLOSED);
  client_leave_callback (client);
}

static void
client_on_error (br_http_client_t *client)
{
  client->in_callback++;
  client_fail (client, br_http_client_is_connected (client)
                           ? BR_CLIENT_FAULT_RESET
                           : BR_CLIENT_FAULT_CONNECT);
  client_leave_callback (client);
}

static void
client_on_connected (br_http_client_t *client)
{
  unsigned user_timeout_ms = USER_TIMEOUT_MS;
  evutil_socket_t fd = bufferevent_getfd (client->bev);
  br_client_event_t event = { .kind = BR_CLIENT_CONNECTED };
  int on = 1;

  client->connected = true;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
  if (client->state != CLIENT_IDLE)
    return;
  client->idle_since_ms = br_clock_now (&clock_monotonic);
  if (!client_emit (client, event) && client->in_callback == 0)
    client_destroy (client);
}

static void
on_event (struct bufferevent *bev, short what, void *context)
{
  br_http_client_t *client = context;

  (void)bev;
  if (what & BEV_EVENT_CONNECTED)
    client_on_connected (client);
  /* Behind an error that was reported while writing, reading returns the end of
   * the input, and both come as one event. */
  else if (what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    client_on_error (client);
  else if (what & BEV_EVENT_EOF)
    client_on_eof (client);
}

br_http_client_t *
br_http_client_new (struct event_base *base,
                    const struct sockaddr *address,
                    int address_len)
{
  br_http_client_t *client = br_alloc_zero (sizeof *client);

  client->reader = br_http_reader_new (BR_HTTP_RESPONSES, HEAD_MAX_BYTES);
  client->bev = bufferevent_socket_new (
      base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (client->bev, on_read, NULL, on_event, client);
  bufferevent_enable (client->bev, EV_READ | EV_WRITE);
  /* A failure to start is reported through on_event() as well. */
  bufferevent_socket_connect (client->bev, (struct sockaddr *)address,
                              address_len);
  return client;
}

void
br_http_client_set_owner (br_http_client_t *client,
                          br_client_fn on_event_fn,
                          void *context)
{
  client->on_event = on_event_fn;
  client->context = context;
}

void
br_http_client_send (br_http_client_t *client, br_str_t request)
{
  client->state = CLIENT_BUSY;
  client->request_len = request.len;
  client->skipping = false;
  client->n_interim = 0;
  client->received = 0;
  bufferevent_write (client->bev, request.data, request.len);
}

void
br_http_client_skip (br_http_client_t *client)
{
  client->skipping = true;
  client->skipped = true;
}

void
br_http_client_pause (br_http_client_t *client, bool paused)
{
  if (client->paused == paused || client->state != CLIENT_BUSY)
    return;
  client->paused = paused;
  if (paused)
    {
      bufferevent_disable (client->bev, EV_READ);
      return;
    }
  bufferevent_enable (client->bev, EV_READ);
  /* What was read before the pause. */
  bufferevent_trigger (client->bev, EV_READ,
                       BEV_TRIG_IGNORE_WATERMARKS | BEV_OPT_DEFER_CALLBACKS);
}

bool
br_http_client_is_first_response (const br_http_client_t *client)
{
  return client->n_responses == 1;
}

bool
br_http_client_ended_by_close (const br_http_client_t *client)
{
  return client->ended_by_close;
}

bool
br_http_client_has_sent (const br_http_client_t *client)
{
  return evbuffer_get_length (bufferevent_get_output (client->bev))
         < client->request_len;
}

bool
br_http_client_is_connected (const br_http_client_t *client)
{
  return client->connected || br_http_client_has_sent (client);
}

br_client_progress_t
br_http_client_progress (const br_http_client_t *client)
{
  return (br_client_progress_t){
    .received = client->received,
    .unacked = br_peer_unacked (bufferevent_getfd (client->bev),
                                client_buffered (client)),
    .fault = client->error.text,
  };
}

br_ms_t
br_http_client_idle_since (const br_http_client_t *client)
{
  return client->idle_since_ms;
}

br_ms_t
br_http_client_keep_alive_ms (const br_http_client_t *client)
{
  return client->keep_alive_ms;
}
