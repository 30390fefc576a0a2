/* The platform's API and the servers of a small site, in one process.
 *
 *   platform PROVIDER_PORT ID,SERVICE,PORT,SLOTS[,endless]...
 *
 * A server runs SLOTS requests at once and queues two more for each slot; it
 * turns further ones away.  A request of a path with /stream runs as a stream of
 * 20 events, any other one takes 15 ms and gets 800 bytes.  A server that is
 * "endless" answers each stream with bytes that are no event and have no end:
 * lines of comment, 64 bytes each millisecond, until the caller closes. */
#include "common.h"

#define SERVERS_MAX 16
#define HEAD_MAX 65536
#define BODY_BYTES 800
#define WORK_MS 15
#define EVENTS 20
#define EVENT_GAP_MS 25

typedef struct
{
  char id[32];
  char service[32];
  int port;
  int slots;
  bool endless;
  int present; /* running and queued */
  int running;
  pthread_mutex_t mutex;
  pthread_cond_t freed;
} server_t;

static server_t servers[SERVERS_MAX];
static int n_servers;
static double started_ms;

typedef struct
{
  int fd;
  server_t *server; /* NULL: the platform's API */
} conn_t;

static pthread_mutex_t log_mutex = PTHREAD_MUTEX_INITIALIZER;

static void
log_line (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&log_mutex);
  printf ("%9.0f ", now_ms () - started_ms);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
  fflush (stdout);
  pthread_mutex_unlock (&log_mutex);
}

/* Reads one request with its body into TEXT; returns false at the end. */
static bool
read_request (int fd, char *text)
{
  size_t len = 0;
  char value[32];
  char *end;
  size_t body;

  text[0] = '\0';
  while ((end = strstr (text, "\r\n\r\n")) == NULL)
    {
      ssize_t n = recv (fd, text + len, HEAD_MAX - 1 - len, 0);

      if (n <= 0)
        return false;
      len += (size_t)n;
      text[len] = '\0';
    }
  field_of (text, "Content-Length", value, sizeof value);
  body = (size_t)atol (value);
  len -= (size_t)(end + 4 - text);
  while (len < body)
    {
      char rest[4096];
      size_t want = body - len < sizeof rest ? body - len : sizeof rest;
      ssize_t n = recv (fd, rest, want, 0);

      if (n <= 0)
        return false;
      len += (size_t)n;
    }
  return true;
}

static bool
answer (int fd, const char *status, const char *fields, const char *body,
        size_t len, bool with_body)
{
  char head[1024];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n", status,
                    fields, len);

  return send_all (fd, head, (size_t)n)
         && (!with_body || send_all (fd, body, len));
}

static bool
serve_api (int fd, const char *text)
{
  static const char *const json = "Content-Type: application/json\r\n";
  char body[8192];
  size_t len = 0;

  if (strncmp (text, "GET /instances", 14) != 0)
    {
      log_line ("api %.*s", (int)strcspn (text, "\r"), text);
      return answer (fd, "200 OK", json, "{}", 2, true);
    }
  len += (size_t)snprintf (body, sizeof body, "{\"Instances\":[");
  for (int i = 0; i < n_servers; i++)
    len += (size_t)snprintf (
        body + len, sizeof body - len,
        "%s{\"Id\":\"%s\",\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\","
        "\"Zone\":\"castillos\",\"Version\":\"v1\",\"Slots\":%d,"
        "\"State\":\"ready\",\"ColdRemainingMs\":0,\"born\":1000}",
        i > 0 ? "," : "", servers[i].id, servers[i].service, servers[i].port,
        servers[i].slots);
  len += (size_t)snprintf (body + len, sizeof body - len, "],\"Next\":null}");
  return answer (fd, "200 OK", json, body, len, true);
}

static bool
server_enter (server_t *server)
{
  bool taken;

  pthread_mutex_lock (&server->mutex);
  taken = server->present < 3 * server->slots;
  server->present += taken;
  while (taken && server->running >= server->slots)
    pthread_cond_wait (&server->freed, &server->mutex);
  server->running += taken;
  pthread_mutex_unlock (&server->mutex);
  return taken;
}

static void
server_leave (server_t *server)
{
  pthread_mutex_lock (&server->mutex);
  server->present--;
  server->running--;
  pthread_cond_signal (&server->freed);
  pthread_mutex_unlock (&server->mutex);
}

/* Sends lines of comment until the caller closes. */
static bool
run_endless (int fd)
{
  char lines[64];

  for (size_t i = 0; i < sizeof lines; i += 2)
    memcpy (lines + i, ":\n", 2);
  while (send_all (fd, lines, sizeof lines))
    sleep_ms (1);
  return false;
}

static bool
run_stream (server_t *server, int fd, const char *fields, const char *id)
{
  char text[1400];

  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            fields);
  if (server->endless)
    {
      char *chunked = strstr (text, "Transfer-Encoding");

      strcpy (chunked, "\r\n");
      return send_all (fd, text, strlen (text)) && run_endless (fd);
    }
  if (!send_all (fd, text, strlen (text)))
    return false;
  for (int i = 1; i <= EVENTS; i++)
    {
      char event[200];
      int n = snprintf (event, sizeof event, "id: %d\ndata: %s\n\n", i, id);
      int m = snprintf (text, sizeof text, "%x\r\n%s\r\n", (unsigned)n, event);

      sleep_ms (EVENT_GAP_MS);
      if (!send_all (fd, text, (size_t)m))
        return false;
    }
  return send_all (fd, "0\r\n\r\n", 5);
}

static bool
run_plain (int fd, const char *fields, bool with_body)
{
  char body[BODY_BYTES];

  sleep_ms (WORK_MS);
  memset (body, 'a', sizeof body);
  return answer (fd, "200 OK", fields, body, sizeof body, with_body);
}

static bool
serve_request (server_t *server, int fd, const char *text)
{
  char id[200];
  char expected[200];
  char fields[600];
  bool ok;

  field_of (text, "X-Request-Id", id, sizeof id);
  field_of (text, "X-Expect-Instance", expected, sizeof expected);
  snprintf (fields, sizeof fields, "X-Instance-Id: %s\r\n", server->id);
  if (strncmp (text, "GET /health ", 12) == 0)
    return answer (fd, "200 OK", fields, "ok", 2, true);
  snprintf (fields, sizeof fields, "X-Request-Id: %s\r\nX-Not-Executed: 1\r\n",
            id);
  if (expected[0] != '\0' && strcmp (expected, server->id) != 0)
    return answer (fd, "421 Misdirected Request", fields, "", 0, true);
  if (!server_enter (server))
    return answer (fd, "503 Service Unavailable", fields, "", 0, true);
  log_line ("run %s at %s: %.*s", id, server->id, (int)strcspn (text, "\r"),
            text);
  snprintf (fields, sizeof fields,
            "X-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\n", id, server->id,
            id);
  if (strstr (text, "/stream ") != NULL)
    ok = run_stream (server, fd, fields, id);
  else
    ok = run_plain (fd, fields, strncmp (text, "HEAD ", 5) != 0);
  server_leave (server);
  return ok;
}

static void *
conn_main (void *context)
{
  conn_t *conn = context;
  char *text = malloc (HEAD_MAX);

  while (read_request (conn->fd, text))
    if (!(conn->server != NULL ? serve_request (conn->server, conn->fd, text)
                               : serve_api (conn->fd, text)))
      break;
  close (conn->fd);
  free (text);
  free (conn);
  return NULL;
}

typedef struct
{
  int fd;
  server_t *server;
} listener_t;

static void *
listener_main (void *context)
{
  listener_t *listener = context;
  pthread_attr_t attr;
  int on = 1;

  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, 128 * 1024);
  for (;;)
    {
      conn_t *conn = malloc (sizeof *conn);
      pthread_t thread;

      conn->server = listener->server;
      conn->fd = accept (listener->fd, NULL, NULL);
      if (conn->fd < 0)
        {
          free (conn);
          continue;
        }
      setsockopt (conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      if (pthread_create (&thread, &attr, conn_main, conn) != 0)
        {
          close (conn->fd);
          free (conn);
        }
    }
  return NULL;
}

static bool
listen_at (int port, server_t *server)
{
  struct sockaddr_in address = address_of ("127.0.0.1", port);
  listener_t *listener = malloc (sizeof *listener);
  pthread_t thread;
  int on = 1;

  listener->server = server;
  listener->fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  return bind (listener->fd, (struct sockaddr *)&address, sizeof address) == 0
         && listen (listener->fd, 1024) == 0
         && pthread_create (&thread, NULL, listener_main, listener) == 0;
}

int
main (int argc, char **argv)
{
  bool ok = argc > 2;

  started_ms = now_ms ();
  signal (SIGPIPE, SIG_IGN);
  for (int i = 2; ok && i < argc && n_servers < SERVERS_MAX; i++)
    {
      server_t *server = &servers[n_servers++];
      char mode[16] = "";

      ok = sscanf (argv[i], "%31[^,],%31[^,],%d,%d,%15s", server->id,
                   server->service, &server->port, &server->slots, mode)
           >= 4;
      server->endless = strcmp (mode, "endless") == 0;
      pthread_mutex_init (&server->mutex, NULL);
      pthread_cond_init (&server->freed, NULL);
    }
  for (int i = 0; ok && i < n_servers; i++)
    ok = listen_at (servers[i].port, &servers[i]);
  if (!ok || !listen_at (atoi (argv[1]), NULL))
    {
      fprintf (stderr, "platform: wrong arguments, or a port is taken\n");
      return 2;
    }
  log_line ("ready");
  for (;;)
    pause ();
}
