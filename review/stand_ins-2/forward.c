/* Forwards TCP connections.  Arguments: pairs of FROM and TO, each IP:PORT.
 * Stopped with SIGSTOP, it is a link that went silent. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINKS_MAX 16
#define SIDES_MAX 1024
#define BUFFER_BYTES 16384

typedef struct
{
  int fd;
  int other; /* index of the other side of the connection */
  char data[BUFFER_BYTES];
  size_t len; /* bytes read here that the other side has not taken */
  int ended;
} side_t;

static side_t *sides[SIDES_MAX];

static struct sockaddr_in
address_of (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[64];
  int port;

  if (sscanf (text, "%63[^:]:%d", ip, &port) != 2
      || inet_pton (AF_INET, ip, &address.sin_addr) != 1)
    {
      fprintf (stderr, "forward: bad address %s\n", text);
      exit (2);
    }
  address.sin_port = htons ((uint16_t)port);
  return address;
}

static int
side_add (int fd)
{
  for (int i = 0; i < SIDES_MAX; i++)
    if (sides[i] == NULL)
      {
        sides[i] = calloc (1, sizeof **sides);
        sides[i]->fd = fd;
        fcntl (fd, F_SETFL, O_NONBLOCK);
        return i;
      }
  return -1;
}

static void
connection_close (int i)
{
  int other = sides[i]->other;

  close (sides[i]->fd);
  close (sides[other]->fd);
  free (sides[i]);
  free (sides[other]);
  sides[i] = sides[other] = NULL;
}

static void
connection_open (int listener, const struct sockaddr_in *to)
{
  int in = accept (listener, NULL, NULL);
  int out = socket (AF_INET, SOCK_STREAM, 0);
  int a;
  int b;

  if (in < 0)
    return;
  if (connect (out, (const struct sockaddr *)to, sizeof *to) != 0)
    {
      close (in);
      close (out);
      return;
    }
  a = side_add (in);
  b = side_add (out);
  sides[a]->other = b;
  sides[b]->other = a;
}

/* Returns 0 when the connection has ended. */
static int
side_read (side_t *side)
{
  ssize_t n = read (side->fd, side->data + side->len, BUFFER_BYTES - side->len);

  if (n < 0)
    return errno == EAGAIN;
  side->ended = n == 0;
  side->len += (size_t)n;
  return 1;
}

static int
side_write (side_t *side, int fd)
{
  ssize_t n = write (fd, side->data, side->len);

  if (n < 0)
    return errno == EAGAIN;
  memmove (side->data, side->data + n, side->len - (size_t)n);
  side->len -= (size_t)n;
  return 1;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in to[LINKS_MAX];
  int listeners[LINKS_MAX];
  int n = 0;
  int on = 1;

  signal (SIGPIPE, SIG_IGN);
  for (int i = 1; i + 1 < argc && n < LINKS_MAX; i += 2, n++)
    {
      struct sockaddr_in from = address_of (argv[i]);

      to[n] = address_of (argv[i + 1]);
      listeners[n] = socket (AF_INET, SOCK_STREAM, 0);
      setsockopt (listeners[n], SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      if (bind (listeners[n], (struct sockaddr *)&from, sizeof from) != 0
          || listen (listeners[n], 64) != 0)
        {
          perror (argv[i]);
          return 2;
        }
    }
  for (;;)
    {
      struct pollfd polls[LINKS_MAX + SIDES_MAX];
      int index[LINKS_MAX + SIDES_MAX];
      nfds_t n_polls = 0;

      for (int i = 0; i < n; i++, n_polls++)
        polls[n_polls] = (struct pollfd){ listeners[i], POLLIN, 0 };
      for (int i = 0; i < SIDES_MAX; i++)
        if (sides[i] != NULL)
          {
            short events = sides[sides[i]->other]->len > 0 ? POLLOUT : 0;

            if (sides[i]->len < BUFFER_BYTES && !sides[i]->ended)
              events |= POLLIN;
            polls[n_polls] = (struct pollfd){ sides[i]->fd, events, 0 };
            index[n_polls++] = i;
          }
      if (poll (polls, n_polls, -1) < 0)
        continue;
      for (nfds_t k = (nfds_t)n; k < n_polls; k++)
        {
          side_t *side = sides[index[k]];
          int ok = 1;

          if (side == NULL || side->fd != polls[k].fd)
            continue;
          if (polls[k].revents & POLLIN)
            ok = side_read (side);
          else if (polls[k].revents & (POLLERR | POLLHUP))
            ok = 0;
          if (ok && side->len > 0)
            ok = side_write (side, sides[side->other]->fd);
          if (ok && (polls[k].revents & POLLOUT) && sides[side->other]->len > 0)
            ok = side_write (sides[side->other], side->fd);
          if (!ok || (side->ended && side->len == 0))
            connection_close (index[k]);
        }
      for (int i = 0; i < n; i++)
        if (polls[i].revents & POLLIN)
          connection_open (listeners[i], &to[i]);
    }
}
