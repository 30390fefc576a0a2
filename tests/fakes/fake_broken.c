/* Fake upstream that answers health and load correctly and every POST with one
 * protocol fault: a truncated chunk, invalid UTF-8, an event that is not JSON,
 * or an endless answer.  Prints one JSON line for each faulty answer, and one
 * when the other side closes an endless answer. */
#include <argp.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/macros.h"

typedef struct
{
  const char *name;
  const char *event;  /* of an answer that ends */
  int chunk_length;   /* announced length of EVENT's chunk; 0: the true one */
  const char *head;   /* of an endless answer, or NULL */
  const char *repeat; /* sent after HEAD until the connection is closed */
  int repeat_ms;      /* time between two of them; 0: without a pause */
} fault_t;

#define FILLER_16 "0123456789abcdef"
#define FILLER_64 FILLER_16 FILLER_16 FILLER_16 FILLER_16
#define FILLER_256 FILLER_64 FILLER_64 FILLER_64 FILLER_64
#define OK "HTTP/1.1 200 OK\r\n"
#define EVENTS OK "Content-Type: text/event-stream\r\n"

/* The head of a stream on the platform, which ends with its connection. */
#define SIGNED_EVENTS EVENTS "X-Server-Stamp: s\r\nConnection: close\r\n\r\n"

/* The same in chunks. */
#define SIGNED_CHUNKS                                                          \
  EVENTS "X-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"

/* Most bytes of an endless answer in the output buffer. */
#define OUTPUT_BYTES_MAX (256 * 1024)

static const fault_t faults[] = {
  { .name = "chunk", .event = "data: {\"choices\"", .chunk_length = 4000 },
  { .name = "utf8",
    .event = "data: {\"choices\":[{\"index\":0,\"text\":\"\xff\xfe\"}]}\n\n" },
  { .name = "json", .event = "data: this is not JSON\n\n" },
  { .name = "endless-status", .head = "HTTP/1.1 200 ", .repeat = FILLER_256 },
  { .name = "endless-interim",
    .head = "HTTP/1.1 100 Continue\r\n\r\n",
    .repeat = "HTTP/1.1 100 Continue\r\nX-Filler: " FILLER_64 "\r\n\r\n" },
  { .name = "endless-chunk-size",
    .head = EVENTS "Transfer-Encoding: chunked\r\n\r\n",
    .repeat = "0000000000000000" },
  { .name = "endless-extension",
    .head = EVENTS "Transfer-Encoding: chunked\r\n\r\n1;x=",
    .repeat = FILLER_256 },
  { .name = "endless-extensions",
    .head = SIGNED_CHUNKS,
    .repeat = "1;x=" FILLER_256 "\r\n:\r\n" },
  { .name = "endless-trailer",
    .head = SIGNED_CHUNKS "0\r\n",
    .repeat = "X-Filler: " FILLER_256 "\r\n" },
  { .name = "endless-line", .head = OK "X-Line: ", .repeat = FILLER_256 },
  { .name = "endless-headers",
    .head = OK,
    .repeat = "X-Filler: " FILLER_256 "\r\n" },
  { .name = "endless-chunks",
    .head = EVENTS "Transfer-Encoding: chunked\r\n\r\n",
    .repeat = "100\r\n" FILLER_256 "\r\n" },
  { .name = "endless-body",
    .head = EVENTS "Connection: close\r\n\r\n",
    .repeat = FILLER_256 },
  { .name = "endless-event",
    .head = SIGNED_EVENTS "id: 1\ndata: ",
    .repeat = FILLER_256 },
  { .name = "endless-events",
    .head = SIGNED_EVENTS,
    .repeat = "data: " FILLER_256 "\n\n" },
  { .name = "endless-plain",
    .head = OK "X-Server-Stamp: s\r\nConnection: close\r\n\r\n",
    .repeat = FILLER_256 },
  { .name = "trickle",
    .head = EVENTS "Transfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n",
    .repeat = "1\r\nx\r\n",
    .repeat_ms = 200 },
};

typedef struct
{
  int port;
  const fault_t *fault;
} broken_t;

static void
broken_send_event (const broken_t *broken, struct evbuffer *out)
{
  int chunk_length = broken->fault->chunk_length;

  if (chunk_length == 0)
    chunk_length = (int)strlen (broken->fault->event);
  printf ("{\"event\":\"broken\",\"fault\":\"%s\"}\n", broken->fault->name);
  fflush (stdout);
  evbuffer_add_printf (out,
                       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "%x\r\n%s",
                       (unsigned)chunk_length, broken->fault->event);
  if (broken->fault->chunk_length == 0)
    evbuffer_add_printf (out, "\r\n");
}

static void
broken_on_writable (struct bufferevent *bev, void *context)
{
  const broken_t *broken = context;
  struct evbuffer *out = bufferevent_get_output (bev);

  while (evbuffer_get_length (out) < OUTPUT_BYTES_MAX)
    evbuffer_add (out, broken->fault->repeat, strlen (broken->fault->repeat));
}

/* The timer is never freed: there is one for each connection, and a test opens
 * few. */
static void
broken_on_trickle (evutil_socket_t fd, short what, void *context)
{
  struct bufferevent *bev = context;
  const broken_t *broken;

  (void)fd;
  (void)what;
  bufferevent_getcb (bev, NULL, NULL, NULL, (void **)&broken);
  evbuffer_add (bufferevent_get_output (bev), broken->fault->repeat,
                strlen (broken->fault->repeat));
}

static void
broken_start_trickle (const broken_t *broken, struct bufferevent *bev)
{
  struct timeval period = { 0, broken->fault->repeat_ms * 1000 };
  struct event *timer = event_new (bufferevent_get_base (bev), -1, EV_PERSIST,
                                   broken_on_trickle, bev);

  event_add (timer, &period);
}

static void
broken_on_closed (struct bufferevent *bev, short what, void *context)
{
  (void)what;
  printf ("{\"event\":\"closed\"}\n");
  fflush (stdout);
  if (((broken_t *)context)->fault->repeat_ms == 0)
    bufferevent_free (bev); /* not for a trickle, whose timer uses it */
}

static void
broken_start_endless (const broken_t *broken, struct bufferevent *bev)
{
  printf ("{\"event\":\"broken\",\"fault\":\"%s\"}\n", broken->fault->name);
  fflush (stdout);
  bufferevent_setcb (bev, NULL,
                     broken->fault->repeat_ms > 0 ? NULL : broken_on_writable,
                     broken_on_closed, (void *)broken);
  if (broken->fault->repeat_ms > 0)
    broken_start_trickle (broken, bev);
  evbuffer_add (bufferevent_get_output (bev), broken->fault->head,
                strlen (broken->fault->head));
}

static void
broken_on_written (struct bufferevent *bev, void *context)
{
  (void)context;
  bufferevent_free (bev);
}

static void
broken_on_event (struct bufferevent *bev, short what, void *context)
{
  (void)what;
  (void)context;
  bufferevent_free (bev);
}

static void
broken_on_read (struct bufferevent *bev, void *context)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer *out = bufferevent_get_output (bev);
  size_t len = evbuffer_get_length (input);
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
  char method[8] = { 0 };

  if (end.pos < 0)
    return;
  evbuffer_copyout (input, method, 4);
  evbuffer_drain (input, len);
  if (strncmp (method, "POST", 4) == 0
      && ((broken_t *)context)->fault->head != NULL)
    {
      broken_start_endless (context, bev);
      return;
    }
  if (strncmp (method, "POST", 4) == 0)
    broken_send_event (context, out);
  else
    evbuffer_add_printf (out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                              "Connection: close\r\n\r\n{}");
  bufferevent_setcb (bev, NULL, broken_on_written, broken_on_event, context);
}

static void
broken_on_accept (struct evconnlistener *listener,
                  evutil_socket_t fd,
                  struct sockaddr *address,
                  int len,
                  void *context)
{
  struct bufferevent *bev = bufferevent_socket_new (
      evconnlistener_get_base (listener), fd, BEV_OPT_CLOSE_ON_FREE);

  (void)address;
  (void)len;
  bufferevent_setcb (bev, broken_on_read, NULL, broken_on_event, context);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

static const struct argp_option broken_options[] = {
  { "port", 'p', "PORT", 0, "Port on 127.0.0.1", 0 },
  { "fault", 'f', "FAULT", 0, "Name of the fault (chunk)", 0 },
  { 0 },
};

static error_t
broken_parse (int key, char *arg, struct argp_state *state)
{
  broken_t *broken = state->input;

  switch (key)
    {
    case 'p':
      broken->port = atoi (arg);
      return 0;
    case 'f':
      for (size_t i = 0; i < BR_N_ELEMENTS (faults); i++)
        if (strcmp (faults[i].name, arg) == 0)
          broken->fault = &faults[i];
      return broken->fault != NULL ? 0 : ARGP_ERR_UNKNOWN;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = broken_options, .parser = broken_parse };
  broken_t broken = { .fault = &faults[0] };
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct event_base *base = event_base_new ();

  signal (SIGPIPE, SIG_IGN);
  argp_parse (&argp, argc, argv, 0, NULL, &broken);
  address.sin_port = htons ((uint16_t)broken.port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (evconnlistener_new_bind (base, broken_on_accept, &broken,
                               LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                               (struct sockaddr *)&address, sizeof address)
      == NULL)
    {
      fprintf (stderr, "cannot listen on port %d\n", broken.port);
      return 1;
    }
  event_base_dispatch (base);
  return 0;
}
