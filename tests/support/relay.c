#include "relay.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/str.h"

typedef struct br_relay_link link_t;

struct br_relay_link
{
  struct event_base *base;
  struct sockaddr_in target;
  bool hold_to_target;
  bool hold_from_target;
  int delay_ms;
  br_relay_held_fn is_held; /* NULL: the commands alone hold back bytes */
  void *held_context;
  struct pipe *pipes;
  struct evconnlistener *listener;
};

/* Bytes of one direction that are not forwarded yet. */
typedef struct chunk
{
  struct evbuffer *bytes;
  br_ms_t due_ms;
  struct chunk *next;
} chunk_t;

typedef struct
{
  struct pipe *pipe;
  struct bufferevent *from;
  struct bufferevent *to;
  bool is_to_target;
  bool ended;
  chunk_t *first;
  chunk_t **tail; /* where the next chunk is linked */
  struct event *timer;
} direction_t;

typedef struct pipe
{
  link_t *link;
  struct sockaddr_in source;
  bool stalled;
  direction_t to_target;
  direction_t from_target;
  struct pipe *next;
} pipe_t;

static const br_clock_t relay_clock = { BR_CLOCK_MONOTONIC, 0 };

static void
direction_release (direction_t *direction)
{
  while (direction->first != NULL)
    {
      chunk_t *chunk = direction->first;

      direction->first = chunk->next;
      evbuffer_free (chunk->bytes);
      free (chunk);
    }
  event_free (direction->timer);
}

static void
pipe_free (pipe_t *pipe)
{
  pipe_t **at = &pipe->link->pipes;

  while (*at != pipe)
    at = &(*at)->next;
  *at = pipe->next;
  direction_release (&pipe->to_target);
  direction_release (&pipe->from_target);
  bufferevent_free (pipe->to_target.from);
  bufferevent_free (pipe->to_target.to);
  free (pipe);
}

static bool
direction_is_held (const direction_t *direction)
{
  const link_t *link = direction->pipe->link;

  return direction->pipe->stalled
         || (link->is_held != NULL
             && link->is_held (link->held_context, &direction->pipe->source,
                               direction->is_to_target))
         || (direction->is_to_target ? link->hold_to_target
                                     : link->hold_from_target);
}

/* Forwards the bytes that are due.  Frees the pipe once all bytes before the
 * end of the connection have been written. */
static void
direction_forward (direction_t *direction)
{
  br_ms_t now = br_clock_now (&relay_clock);

  if (direction_is_held (direction))
    return;
  while (direction->first != NULL && direction->first->due_ms <= now)
    {
      chunk_t *chunk = direction->first;

      bufferevent_write_buffer (direction->to, chunk->bytes);
      direction->first = chunk->next;
      if (direction->first == NULL)
        direction->tail = &direction->first;
      evbuffer_free (chunk->bytes);
      free (chunk);
    }
  if (direction->first != NULL)
    {
      br_ms_t wait = direction->first->due_ms - now;
      struct timeval delay = { wait / 1000, wait % 1000 * 1000 };

      event_add (direction->timer, &delay);
    }
  else if (direction->ended
           && evbuffer_get_length (bufferevent_get_output (direction->to)) == 0)
    pipe_free (direction->pipe);
}

static void
direction_on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  direction_forward (context);
}

static void
direction_on_read (direction_t *direction)
{
  chunk_t *chunk = br_alloc_zero (sizeof *chunk);

  chunk->bytes = evbuffer_new ();
  bufferevent_read_buffer (direction->from, chunk->bytes);
  chunk->due_ms = br_clock_now (&relay_clock) + direction->pipe->link->delay_ms;
  *direction->tail = chunk;
  direction->tail = &chunk->next;
  direction_forward (direction);
}

static direction_t *
pipe_direction_from (pipe_t *pipe, struct bufferevent *bev)
{
  return pipe->to_target.from == bev ? &pipe->to_target : &pipe->from_target;
}

static void
pipe_on_read (struct bufferevent *bev, void *context)
{
  direction_on_read (pipe_direction_from (context, bev));
}

static void
pipe_on_write (struct bufferevent *bev, void *context)
{
  pipe_t *pipe = context;
  direction_t *direction
      = pipe->to_target.to == bev ? &pipe->to_target : &pipe->from_target;

  if (direction->ended)
    direction_forward (direction);
}

static void
pipe_on_event (struct bufferevent *bev, short what, void *context)
{
  direction_t *direction = pipe_direction_from (context, bev);

  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  direction->ended = true;
  direction_forward (direction);
}

static void
direction_init (direction_t *direction,
                pipe_t *pipe,
                struct bufferevent *from,
                struct bufferevent *to)
{
  direction->pipe = pipe;
  direction->from = from;
  direction->to = to;
  direction->tail = &direction->first;
  direction->timer
      = evtimer_new (pipe->link->base, direction_on_timer, direction);
}

static void
link_on_accept (struct evconnlistener *listener,
                evutil_socket_t fd,
                struct sockaddr *address,
                int len,
                void *context)
{
  link_t *link = context;
  struct event_base *base = link->base;
  pipe_t *pipe = br_alloc_zero (sizeof *pipe);
  struct bufferevent *client
      = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  struct bufferevent *server
      = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);

  (void)listener;
  if (len >= (int)sizeof pipe->source)
    memcpy (&pipe->source, address, sizeof pipe->source);
  pipe->link = link;
  pipe->next = link->pipes;
  link->pipes = pipe;
  direction_init (&pipe->to_target, pipe, client, server);
  direction_init (&pipe->from_target, pipe, server, client);
  pipe->to_target.is_to_target = true;
  bufferevent_setcb (client, pipe_on_read, pipe_on_write, pipe_on_event, pipe);
  bufferevent_setcb (server, pipe_on_read, pipe_on_write, pipe_on_event, pipe);
  bufferevent_enable (client, EV_READ | EV_WRITE);
  bufferevent_enable (server, EV_READ | EV_WRITE);
  bufferevent_socket_connect (server, (struct sockaddr *)&link->target,
                              sizeof link->target);
}

static void
link_forward (link_t *link)
{
  pipe_t *next;

  for (pipe_t *pipe = link->pipes; pipe != NULL; pipe = next)
    {
      next = pipe->next;
      direction_forward (&pipe->to_target);
    }
  for (pipe_t *pipe = link->pipes; pipe != NULL; pipe = next)
    {
      next = pipe->next;
      direction_forward (&pipe->from_target);
    }
}

void
br_relay_link_set_held (br_relay_link_t *link,
                        br_relay_held_fn is_held,
                        void *context)
{
  link->is_held = is_held;
  link->held_context = context;
}

void
br_relay_link_set_target (br_relay_link_t *link, const struct sockaddr_in *to)
{
  link->target = *to;
}

void
br_relay_link_drop (br_relay_link_t *link, const struct sockaddr_in *source)
{
  pipe_t *next;

  for (pipe_t *pipe = link->pipes; pipe != NULL; pipe = next)
    {
      next = pipe->next;
      if (pipe->source.sin_addr.s_addr == source->sin_addr.s_addr)
        pipe_free (pipe);
    }
}

bool
br_relay_link_command (br_relay_link_t *link, const char *command)
{
  if (strcmp (command, "open") == 0)
    link->hold_to_target = link->hold_from_target = false;
  else if (strcmp (command, "cut") == 0)
    link->hold_to_target = link->hold_from_target = true;
  else if (strcmp (command, "cut-to") == 0)
    link->hold_to_target = true;
  else if (strcmp (command, "cut-from") == 0)
    link->hold_from_target = true;
  else if (strncmp (command, "delay/", 6) == 0)
    link->delay_ms = atoi (command + 6);
  else if (strcmp (command, "silence") == 0)
    for (pipe_t *pipe = link->pipes; pipe != NULL; pipe = pipe->next)
      pipe->stalled = true;
  else if (strcmp (command, "reset") == 0)
    while (link->pipes != NULL)
      pipe_free (link->pipes);
  else
    return false;
  link_forward (link);
  return true;
}

br_relay_link_t *
br_relay_link_new (struct event_base *base,
                   const struct sockaddr_in *from,
                   const struct sockaddr_in *to)
{
  link_t *link = br_alloc_zero (sizeof *link);

  link->base = base;
  link->target = *to;
  link->listener = evconnlistener_new_bind (
      base, link_on_accept, link, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (const struct sockaddr *)from, sizeof *from);
  if (link->listener != NULL)
    return link;
  free (link);
  return NULL;
}
