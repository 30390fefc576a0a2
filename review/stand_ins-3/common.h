/* Shared by the stand-ins: sockets, time, and reading of HTTP messages. */
#ifndef STAND_INS_3_COMMON_H
#define STAND_INS_3_COMMON_H

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static inline double
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec * 1000 + (double)t.tv_nsec / 1e6;
}

static inline void
sleep_ms (double ms)
{
  struct timespec t = { (time_t)(ms / 1000), (long)((long)ms % 1000 * 1000000) };

  if (ms > 0)
    nanosleep (&t, NULL);
}

static inline struct sockaddr_in
address_of (const char *ip, int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static inline void
socket_set_timeout (int fd, double ms)
{
  struct timeval t = { (time_t)(ms / 1000), (long)((long)ms % 1000 * 1000) };

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
}

static inline int
connect_to (const char *ip, int port)
{
  struct sockaddr_in address = address_of (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  if (fd < 0)
    return -1;
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

static inline bool
send_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

/* Copies the value of field NAME of the head at TEXT, or an empty string. */
static inline void
field_of (const char *text, const char *name, char *value, size_t size)
{
  size_t len = strlen (name);

  value[0] = '\0';
  for (const char *line = strstr (text, "\r\n"); line != NULL;
       line = strstr (line + 2, "\r\n"))
    {
      const char *at = line + 2;
      size_t n;

      if (strncmp (at, "\r\n", 2) == 0)
        return;
      if (strncasecmp (at, name, len) != 0 || at[len] != ':')
        continue;
      at += len + 1;
      while (*at == ' ')
        at++;
      n = strcspn (at, "\r");
      snprintf (value, size, "%.*s", (int)n, at);
      return;
    }
}

#endif
