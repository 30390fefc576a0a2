/* The callers of the cases, as one process.
 *
 *   callers port                            prints a port with 20 free ones behind it
 *   callers heads IP PORT KEY TROUBLE PID   many heads at once; memory of process PID
 *   callers fields IP PORT KEY TROUBLE      heads with many connection options
 *   callers method IP PORT KEY TROUBLE      requests of the method HEAD
 *
 * Exits with 0 if the rule held, 1 if it was broken, 2 if it could not be
 * checked. */
#include "common.h"

/* The deployment's MaxHeaderBytes, less a little. */
#define HEAD_BYTES 16300

static const char *entry_ip;
static int entry_port;
static const char *key;
static bool trouble;
static double started_ms;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;

static void
record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&mutex);
  printf ("%9.0f ", now_ms () - started_ms);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
  fflush (stdout);
  pthread_mutex_unlock (&mutex);
}

/* Writes a request's head without its last empty line; returns its length. */
static size_t
head_begin (char *out, size_t size, const char *method, const char *path,
            const char *id, int deadline_ms, int body)
{
  return (size_t)snprintf (out, size,
                           "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                           "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                           "Authorization: Bearer %s\r\n"
                           "Content-Length: %d\r\n",
                           method, path, id, deadline_ms, key, body);
}

static size_t
append (char *out, size_t len, const char *text, size_t times)
{
  size_t n = strlen (text);

  for (size_t i = 0; i < times; i++)
    memcpy (out + len + i * n, text, n);
  return len + n * times;
}

static size_t
append_long_field (char *out, size_t len)
{
  size_t fill = HEAD_BYTES - len - strlen ("X-Form: \r\n\r\n");

  len = append (out, len, "X-Form: ", 1);
  len = append (out, len, "x", fill);
  return append (out, len, "\r\n\r\n", 1);
}

/* Reads an answer's head into TEXT until UNTIL_MS.  Returns its status, or 0. */
static int
read_head (int fd, char *text, size_t size, double until_ms)
{
  size_t len = 0;
  int status = 0;

  text[0] = '\0';
  while (strstr (text, "\r\n\r\n") == NULL)
    {
      double left_ms = until_ms - now_ms ();
      ssize_t n;

      if (left_ms <= 0 || len + 1 >= size)
        return 0;
      socket_set_timeout (fd, left_ms < 1 ? 1 : left_ms);
      n = recv (fd, text + len, 1, 0);
      if (n <= 0)
        return 0;
      len++;
      text[len] = '\0';
    }
  return sscanf (text, "HTTP/1.%*d %d", &status) == 1 ? status : -1;
}

/* Reads the rest of the answer whose head is TEXT. */
static bool
read_body (int fd, const char *text)
{
  char value[32];
  char bytes[4096];
  long left;

  field_of (text, "Content-Length", value, sizeof value);
  for (left = atol (value); left > 0;)
    {
      size_t want = left < (long)sizeof bytes ? (size_t)left : sizeof bytes;
      ssize_t n = recv (fd, bytes, want, 0);

      if (n <= 0)
        return false;
      left -= n;
    }
  return true;
}

/* --- ordinary callers, who measure --- */

#define ORDINARY 20
#define ORDINARY_PERIOD_MS 1000
#define ORDINARY_S 12
#define ORDER_BYTES 600
#define ORDER_TIMEOUT_MS 1000 /* TimeoutMs of the route */
#define HALF_SECOND_MS 500

static int n_sent;
static int n_late; /* without an answer at TimeoutMs */
static int n_hung; /* also half a second later */
static int n_answered;
static double slowest_ms;

static void
ordinary_count (const char *id, int status, double took_ms)
{
  pthread_mutex_lock (&mutex);
  n_sent++;
  n_answered += status > 0;
  n_late += took_ms >= ORDER_TIMEOUT_MS;
  n_hung += took_ms >= ORDER_TIMEOUT_MS + HALF_SECOND_MS;
  if (took_ms > slowest_ms)
    slowest_ms = took_ms;
  pthread_mutex_unlock (&mutex);
  record ("order %s: %d after %.0f ms", id, status, took_ms);
}

static void *
ordinary_main (void *context)
{
  int number = (int)(long)context;
  double at_ms = now_ms () + number * (ORDINARY_PERIOD_MS / ORDINARY);
  double end_ms = now_ms () + ORDINARY_S * 1000;
  char request[2048];
  char text[4096];
  int fd = -1;

  for (int i = 0; at_ms < end_ms; i++, at_ms += ORDINARY_PERIOD_MS)
    {
      char id[64];
      size_t len;
      double sent_ms;
      int status;

      sleep_ms (at_ms - now_ms ());
      snprintf (id, sizeof id, "order-%d-%d", number, i);
      if (fd < 0)
        fd = connect_to (entry_ip, entry_port);
      if (fd < 0)
        continue;
      len = head_begin (request, sizeof request, "POST", "/pay/order", id,
                        ORDER_TIMEOUT_MS, ORDER_BYTES);
      len = append (request, len, "\r\n", 1);
      len = append (request, len, "x", ORDER_BYTES);
      sent_ms = now_ms ();
      status = 0;
      if (send_all (fd, request, len))
        status = read_head (fd, text, sizeof text,
                            sent_ms + ORDER_TIMEOUT_MS + HALF_SECOND_MS);
      ordinary_count (id, status, now_ms () - sent_ms);
      if (status <= 0 || !read_body (fd, text)
          || strstr (text, "Connection: close") != NULL)
        {
          close (fd);
          fd = -1;
        }
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

/* Sends orders for some seconds and judges CONFIG: of the requests that are
 * unanswered at their route's TimeoutMs, more than half have no answer half a
 * second later.  Eight are needed for a verdict. */
static int
ordinary_judge (void)
{
  pthread_t threads[ORDINARY];

  for (long i = 0; i < ORDINARY; i++)
    pthread_create (&threads[i], NULL, ordinary_main, (void *)i);
  for (int i = 0; i < ORDINARY; i++)
    pthread_join (threads[i], NULL);
  record ("orders: %d sent, %d answered, %d unanswered at %d ms, %d of them "
          "also %d ms later, slowest %.0f ms",
          n_sent, n_answered, n_late, ORDER_TIMEOUT_MS, n_hung, HALF_SECOND_MS,
          slowest_ms);
  return n_late >= 8 && 2 * n_hung > n_late ? 1 : 0;
}

/* --- heads with many connection options --- */

#define FORMS 48
#define OPTIONS 4000
#define STREAM_DEADLINE_MS 12000

static volatile bool forms_end;

/* Reads an answer in chunks to its end; returns whether it came whole. */
static bool
read_stream (int fd, double until_ms)
{
  char bytes[8192];

  while (now_ms () < until_ms)
    {
      ssize_t n;

      socket_set_timeout (fd, until_ms - now_ms () + 1);
      n = recv (fd, bytes, sizeof bytes, 0);
      if (n <= 0)
        return false;
      if (n >= 5 && memcmp (bytes + n - 5, "0\r\n\r\n", 5) == 0)
        return true;
    }
  return false;
}

static void *
form_main (void *context)
{
  int number = (int)(long)context;
  char *request = malloc (HEAD_BYTES + 64);
  char text[4096];

  for (int i = 0; !forms_end; i++)
    {
      char id[64];
      double sent_ms = now_ms ();
      int fd = connect_to (entry_ip, entry_port);
      int status = 0;
      bool whole = false;
      size_t len;

      snprintf (id, sizeof id, "form-%d-%d", number, i);
      len = head_begin (request, HEAD_BYTES, "POST", "/chat/stream", id,
                        STREAM_DEADLINE_MS, 0);
      if (trouble)
        {
          len = append (request, len, "Connection: keep-alive", 1);
          len = append (request, len, ",a", OPTIONS);
          len = append (request, len, "\r\n", 1);
          len = append (request, len, "b:\r\n", (HEAD_BYTES - 2 - len) / 4);
          len = append (request, len, "\r\n", 1);
        }
      else
        len = append_long_field (request, len);
      if (fd >= 0 && send_all (fd, request, len))
        status = read_head (fd, text, sizeof text,
                            sent_ms + STREAM_DEADLINE_MS);
      if (status == 200)
        whole = read_stream (fd, sent_ms + STREAM_DEADLINE_MS);
      if (fd >= 0)
        close (fd);
      record ("%s: head of %zu bytes, %d%s after %.0f ms", id, len, status,
              whole ? ", complete" : "", now_ms () - sent_ms);
      if (!whole)
        sleep_ms (100);
    }
  free (request);
  return NULL;
}

static int
case_fields (void)
{
  pthread_t threads[FORMS];
  int verdict;

  for (long i = 0; i < FORMS; i++)
    pthread_create (&threads[i], NULL, form_main, (void *)i);
  sleep_ms (2000);
  verdict = ordinary_judge ();
  forms_end = true;
  for (int i = 0; i < FORMS; i++)
    pthread_join (threads[i], NULL);
  return verdict;
}

/* --- many heads at once --- */

#define HEADS 2000
#define HEADS_BODY 3000
#define HEADS_PAUSE_MS 2000 /* below HeaderTimeoutMs */
#define MEMORY_MB 260       /* of the deployment's front machines */

static long
memory_kb (int pid, const char *name)
{
  char path[64];
  char line[256];
  long kb = -1;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", pid);
  file = fopen (path, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, name, strlen (name)) == 0)
      kb = atol (line + strlen (name) + 1);
  if (file != NULL)
    fclose (file);
  return kb;
}

static int
case_heads (int pid)
{
  static int fds[HEADS];
  char *request = malloc (HEAD_BYTES + 64);
  int opened = 0;
  long peak_kb;

  record ("entry VM before: %ld KB", memory_kb (pid, "VmRSS"));
  for (int i = 0; i < HEADS; i++)
    {
      char id[64];
      size_t len;

      snprintf (id, sizeof id, "head-%d", i);
      len = head_begin (request, HEAD_BYTES, "POST", "/pay/order", id,
                        ORDER_TIMEOUT_MS * 10, HEADS_BODY);
      if (trouble)
        {
          len = append (request, len, "b:\r\n", (HEAD_BYTES - 2 - len) / 4);
          len = append (request, len, "\r\n", 1);
        }
      else
        len = append_long_field (request, len);
      fds[i] = connect_to (entry_ip, entry_port);
      if (fds[i] >= 0 && send_all (fds[i], request, len))
        opened++;
      if (i % 500 == 499)
        record ("%d callers have sent a head of %zu bytes, entry VM: %ld KB",
                opened, len, memory_kb (pid, "VmRSS"));
    }
  sleep_ms (HEADS_PAUSE_MS);
  peak_kb = memory_kb (pid, "VmHWM");
  record ("%d heads sent, no body; entry VM at its peak: %ld KB of %d", opened,
          peak_kb, MEMORY_MB * 1024);
  for (int i = 0; i < HEADS; i++)
    if (fds[i] >= 0)
      close (fds[i]);
  free (request);
  if (opened < HEADS * 9 / 10 || peak_kb < 0)
    return 2;
  return peak_kb > MEMORY_MB * 1024 ? 1 : 0;
}

/* --- requests of the method HEAD --- */

typedef struct
{
  const char *what;
  const char *path;
  bool with_key;
} method_step_t;

/* Sends a request of METHOD and then a GET on the same channel.  Returns whether
 * the second answer begins where the first one ends. */
static bool
method_check (const char *method, const method_step_t *step)
{
  char request[2048];
  char text[4096];
  char id[64];
  int fd = connect_to (entry_ip, entry_port);
  int status;
  size_t len;

  if (fd < 0)
    return true;
  snprintf (id, sizeof id, "%s-first", step->what);
  len = (size_t)snprintf (request, sizeof request,
                          "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                          "X-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n",
                          method, step->path, id);
  if (step->with_key)
    len += (size_t)snprintf (request + len, sizeof request - len,
                             "Authorization: Bearer %s\r\n", key);
  len = append (request, len, "\r\n", 1);
  send_all (fd, request, len);
  status = read_head (fd, text, sizeof text, now_ms () + 5000);
  record ("%s: %s %s is answered %d", id, method, step->path, status);
  /* The answer to HEAD has no body, whatever its head says. */
  if (status > 0 && strcmp (method, "HEAD") != 0)
    read_body (fd, text);
  if (status <= 0 || strstr (text, "Connection: close") != NULL)
    {
      close (fd);
      return status != -1;
    }
  snprintf (id, sizeof id, "%s-second", step->what);
  len = (size_t)snprintf (request, sizeof request,
                          "GET /look/permit HTTP/1.1\r\nHost: h.example\r\n"
                          "X-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
                          "Authorization: Bearer %s\r\n\r\n",
                          id, key);
  send_all (fd, request, len);
  status = read_head (fd, text, sizeof text, now_ms () + 5000);
  text[strcspn (text, "\r\n")] = '\0';
  record ("%s: the next bytes on the channel are: %.100s", id, text);
  close (fd);
  return status != -1;
}

static int
case_method (void)
{
  static const method_step_t steps[] = {
    { "read", "/look/permit", true },
    { "missing", "/none/permit", true },
    { "without-key", "/look/permit", false },
  };
  int broken = 0;

  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    if (!method_check (trouble ? "HEAD" : "GET", &steps[i]))
      broken++;
  record ("%d channels with bytes that are no answer", broken);
  return broken > 0 ? 1 : 0;
}

/* --- ports --- */

static bool
port_is_free (int port)
{
  struct sockaddr_in address = address_of ("0.0.0.0", port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  bool is_free;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return is_free;
}

static int
print_port (void)
{
  int base = 21000 + (int)(getpid () % 400) * 20;

  for (int tries = 0; tries < 100; tries++, base += 20)
    {
      int n = 0;

      while (n < 20 && port_is_free (base + n))
        n++;
      if (n < 20)
        continue;
      printf ("%d\n", base);
      return 0;
    }
  return 2;
}

int
main (int argc, char **argv)
{
  started_ms = now_ms ();
  signal (SIGPIPE, SIG_IGN);
  if (argc > 1 && strcmp (argv[1], "port") == 0)
    return print_port ();
  if (argc < 5)
    return 2;
  entry_ip = argv[2];
  entry_port = atoi (argv[3]);
  key = argv[4];
  trouble = argc > 5 && strcmp (argv[5], "0") != 0;
  if (strcmp (argv[1], "heads") == 0 && argc > 6)
    return case_heads (atoi (argv[6]));
  if (strcmp (argv[1], "fields") == 0)
    return case_fields ();
  if (strcmp (argv[1], "method") == 0)
    return case_method ();
  return 2;
}
