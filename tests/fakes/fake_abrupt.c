/* Fake upstream whose answer, and the way it ends the connection, the request
 * itself states.  It answers as soon as it has the head of the request and the
 * first bytes of its body, which hold these members, in this order:
 *
 *   "answer":"HEX"   the bytes of the answer
 *   "end":"HOW"      what follows them, see the table of ends
 *   "wait_ms":N      time between the two
 *
 * Other requests, such as those for health, get a sound answer.  Prints one
 * JSON line for each answered request. */
#include <argp.h>
#include <ctype.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/str.h"

#define PORTS_MAX 4

/* With a small buffer most of a long request waits at its sender. */
#define RECEIVE_BUFFER_BYTES 16384

/* Most bytes of a request that are searched for its members. */
#define START_BYTES_MAX 65536

/* How long END_SHUTDOWN goes on reading, and its pause between two reads. */
#define LINGER_MS 400
#define LINGER_PAUSE_MS 2

/* X (id, name) */
#define END_TABLE(X)                                                           \
  X (RESET, "reset") /* with SO_LINGER 0 */                                    \
  X (CLOSE, "close") /* what was not read makes it a reset */                  \
  X (DRAIN, "drain") /* reads what has come, half of it at most, closes */     \
  X (SHUTDOWN, "shutdown") /* SHUT_WR, reads on for LINGER_MS, closes */       \
  X (STUCK, "stuck")       /* SHUT_WR, reads nothing more, stays open */       \
  X (READ, "read")         /* reads the whole request, and closes */           \
  X (SICK, "sick")         /* the same, and health is invalid from now on */   \
  X (KEEP, "keep")         /* takes further requests */

typedef enum
{
#define X(id, name) END_##id,
  END_TABLE (X)
#undef X
} end_t;

static const char *const end_names[] = {
#define X(id, name) name,
  END_TABLE (X)
#undef X
};

typedef struct
{
  int ports[PORTS_MAX];
  size_t n_ports;
} abrupt_t;

typedef struct
{
  br_str_t answer; /* in hexadecimal */
  end_t end;
  long wait_ms;
} spec_t;

static atomic_bool is_sick;

static void
sleep_ms (long ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&time, NULL);
}

/* Returns the text behind KEY up to a character in ENDS, or an empty view. */
static br_str_t
find_value (br_str_t text, const char *key, const char *ends)
{
  const char *at = memmem (text.data, text.len, key, strlen (key));
  size_t len = 0;

  if (at == NULL)
    return (br_str_t){ 0 };
  at += strlen (key);
  while (at + len < text.data + text.len)
    if (strchr (ends, at[len++]) != NULL)
      return br_str_make (at, len - 1);
  return (br_str_t){ 0 };
}

/* Returns false while the members are not complete. */
static bool
spec_read (br_str_t request, spec_t *spec)
{
  br_str_t wait = find_value (request, "\"wait_ms\":", ",}");
  br_str_t end = find_value (request, "\"end\":\"", "\"");

  if (wait.len == 0 || end.len == 0)
    return false;
  spec->answer = find_value (request, "\"answer\":\"", "\"");
  spec->wait_ms = strtol (wait.data, NULL, 10);
  for (size_t i = 0; i < BR_N_ELEMENTS (end_names); i++)
    if (br_str_equal (end, br_str_from (end_names[i])))
      spec->end = (end_t)i;
  return true;
}

static void
write_all (int fd, br_str_t bytes)
{
  while (bytes.len > 0)
    {
      ssize_t n = send (fd, bytes.data, bytes.len, MSG_NOSIGNAL);

      if (n <= 0)
        return;
      bytes = br_str_make (bytes.data + n, bytes.len - (size_t)n);
    }
}

static void
write_hex (int fd, br_str_t hex)
{
  br_buf_t bytes = { 0 };

  for (size_t i = 0; i + 1 < hex.len; i += 2)
    {
      char digits[3] = { hex.data[i], hex.data[i + 1], '\0' };

      br_buf_append_char (&bytes, (char)strtol (digits, NULL, 16));
    }
  write_all (fd, br_buf_str (&bytes));
  br_buf_free (&bytes);
}

/* --- ends --- */

static void
end_reset (int fd)
{
  struct linger now = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

/* Reads up to MAX bytes, or until the other side closes. */
static size_t
read_bytes (int fd, size_t max, int flags)
{
  static __thread char bytes[16384];
  size_t total = 0;
  ssize_t n;

  while (total < max
         && (n = recv (fd, bytes, BR_MIN (sizeof bytes, max - total), flags))
                > 0)
    total += (size_t)n;
  return total;
}

static size_t
end_shutdown (int fd)
{
  size_t total = 0;

  shutdown (fd, SHUT_WR);
  for (long ms = 0; ms < LINGER_MS; ms += LINGER_PAUSE_MS)
    {
      total += read_bytes (fd, 8192, MSG_DONTWAIT);
      sleep_ms (LINGER_PAUSE_MS);
    }
  return total;
}

/* Returns the bytes that were read meanwhile. */
static size_t
connection_end (int fd, end_t end, size_t rest)
{
  struct pollfd closed = { .fd = fd };

  switch (end)
    {
    case END_RESET:
      end_reset (fd);
      break;
    case END_CLOSE:
      break;
    case END_DRAIN:
      return read_bytes (fd, rest / 2, MSG_DONTWAIT);
    case END_SHUTDOWN:
      return end_shutdown (fd);
    case END_STUCK:
      shutdown (fd, SHUT_WR);
      poll (&closed, 1, -1);
      break;
    case END_READ:
    case END_SICK:
    case END_KEEP:
      return read_bytes (fd, rest, 0);
    }
  return 0;
}

/* --- connections --- */

/* Returns how much of the request is still to come. */
static size_t
request_rest (br_str_t request, size_t head_len)
{
  br_str_t length = find_value (request, "Content-Length: ", "\r");

  return length.len == 0
             ? 0
             : strtoul (length.data, NULL, 10) + head_len - request.len;
}

/* Returns how the sender names the request, or an empty view. */
static br_str_t
request_id (br_str_t request)
{
  br_str_t id = find_value (request, "X-Request-Id: ", "\r");

  return id.len > 0 ? id : find_value (request, "Idempotency-Key: ", "\r");
}

/* Answers REQUEST, of which only a part may have come.  Returns whether the
 * connection stays open. */
static bool
connection_answer (int fd, br_str_t request, size_t head_len)
{
  br_str_t id = request_id (request);
  spec_t spec = { 0 };
  size_t n_read;

  if (!spec_read (request, &spec) && is_sick)
    {
      write_all (fd, br_str_from ("HTTP/1.1 000 Trouble\r\n\r\n"));
      return false;
    }
  if (!spec_read (request, &spec))
    {
      write_all (fd, br_str_from ("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
                                  "Content-Length: 2\r\n"
                                  "Connection: close\r\n\r\n{}"));
      return false;
    }
  printf ("{\"event\":\"run\",\"run\":\"%.*s\",\"end\":\"%s\"}\n", (int)id.len,
          id.data, end_names[spec.end]);
  fflush (stdout);
  is_sick = is_sick || spec.end == END_SICK;
  write_hex (fd, spec.answer);
  if (spec.wait_ms > 0)
    sleep_ms (spec.wait_ms);
  n_read = connection_end (fd, spec.end, request_rest (request, head_len));
  printf ("{\"event\":\"end\",\"id\":\"%.*s\",\"read\":%zu}\n", (int)id.len,
          id.data, n_read + request.len);
  fflush (stdout);
  return spec.end == END_KEEP || spec.end == END_SICK;
}

/* Reads the start of a request to BYTES and answers it.  Returns whether
 * another request may follow. */
static bool
connection_next (int fd, char *bytes)
{
  size_t len = 0;
  spec_t spec;
  ssize_t n;

  while (len < START_BYTES_MAX
         && (n = recv (fd, bytes + len, START_BYTES_MAX - len, 0)) > 0)
    {
      br_str_t request = br_str_make (bytes, len += (size_t)n);
      const char *head_end = memmem (bytes, len, "\r\n\r\n", 4);

      if (head_end != NULL
          && (spec_read (request, &spec)
              || !br_str_starts_with (request, br_str_from ("POST"))))
        return connection_answer (fd, request, (size_t)(head_end - bytes) + 4);
    }
  return false;
}

static void *
connection_run (void *context)
{
  int fd = (int)(intptr_t)context;
  char *bytes = br_alloc_zero (START_BYTES_MAX);

  while (connection_next (fd, bytes))
    continue;
  close (fd);
  free (bytes);
  return NULL;
}

static void *
listener_run (void *context)
{
  int listener = (int)(intptr_t)context;

  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      pthread_t thread;

      if (fd < 0)
        continue;
      if (pthread_create (&thread, NULL, connection_run, (void *)(intptr_t)fd)
          == 0)
        pthread_detach (thread);
      else
        close (fd);
    }
  return NULL;
}

static bool
abrupt_listen (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int buffer = RECEIVE_BUFFER_BYTES;
  pthread_t thread;
  int on = 1;

  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  return bind (fd, (struct sockaddr *)&address, sizeof address) == 0
         && listen (fd, 128) == 0
         && pthread_create (&thread, NULL, listener_run, (void *)(intptr_t)fd)
                == 0;
}

static const struct argp_option abrupt_options[] = {
  { "port", 'p', "PORT", 0, "Port on 127.0.0.1; may be given again", 0 },
  { 0 },
};

static error_t
abrupt_parse (int key, char *arg, struct argp_state *state)
{
  abrupt_t *abrupt = state->input;

  if (key != 'p' || abrupt->n_ports == PORTS_MAX)
    return ARGP_ERR_UNKNOWN;
  abrupt->ports[abrupt->n_ports++] = atoi (arg);
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = abrupt_options, .parser = abrupt_parse };
  abrupt_t abrupt = { 0 };

  signal (SIGPIPE, SIG_IGN);
  argp_parse (&argp, argc, argv, 0, NULL, &abrupt);
  for (size_t i = 0; i < abrupt.n_ports; i++)
    if (!abrupt_listen (abrupt.ports[i]))
      {
        fprintf (stderr, "cannot listen on port %d\n", abrupt.ports[i]);
        return 1;
      }
  for (;;)
    pause ();
}
