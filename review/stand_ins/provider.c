/* The platform's API: lists the runners of a file, which may be replaced at any
 * time, and accepts the calls of the duties.  Writes one line for each duty.
 * Usage: provider ADDRESS PORT LIST RECORD */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BODY_MAX (1024 * 1024)

static const char *list_file;
static FILE *record;

static long long
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static size_t
read_list (char *body)
{
  FILE *file = fopen (list_file, "r");
  size_t len = file != NULL ? fread (body, 1, BODY_MAX, file) : 0;

  if (file != NULL)
    fclose (file);
  return len;
}

static void
send_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (fd, data, len, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      data += sent;
      len -= (size_t)sent;
    }
}

static void
answer (int fd, const char *request, const char *posted)
{
  char *body = malloc (BODY_MAX);
  char head[160];
  size_t len = 2;

  memcpy (body, "{}", 2);
  if (strncmp (request, "GET /instances", 14) == 0)
    len = read_list (body);
  else
    {
      const char *token = strcasestr (request, "X-Fencing-Token:");

      fprintf (record, "%lld duty %.*s fencing %ld %s\n", now_ms (),
               (int)strcspn (request, "\r"), request,
               token != NULL ? atol (token + 16) : -1, posted);
      fflush (record);
    }
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\nConnection: close\r\n\r\n",
            len);
  send_all (fd, head, strlen (head));
  send_all (fd, body, len);
  free (body);
}

static void *
serve (void *argument)
{
  int fd = (int)(long)argument;
  char request[65536];
  size_t len = 0;
  char *end = NULL;

  while (len + 1 < sizeof request)
    {
      ssize_t got = recv (fd, request + len, sizeof request - 1 - len, 0);
      const char *length;

      if (got <= 0)
        break;
      len += (size_t)got;
      request[len] = '\0';
      end = strstr (request, "\r\n\r\n");
      length = strcasestr (request, "Content-Length:");
      if (end == NULL
          || (length != NULL
              && len < (size_t)(end + 4 - request) + strtoul (length + 15, NULL, 10)))
        continue;
      answer (fd, request, end + 4);
      break;
    }
  shutdown (fd, SHUT_WR);
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  if (argc != 5)
    return 2;
  list_file = argv[3];
  record = fopen (argv[4], "a");
  address.sin_port = htons ((uint16_t)atoi (argv[2]));
  inet_pton (AF_INET, argv[1], &address.sin_addr);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (record == NULL
      || bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 128) != 0)
    return 2;
  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      pthread_t thread;

      if (fd >= 0 && pthread_create (&thread, NULL, serve, (void *)(long)fd) == 0)
        pthread_detach (thread);
    }
}
