/* The callers of the soak.  Each sends one request at a time to a random entry
 * VM, on a connection that it keeps until the entry VM closes it, and checks
 * every answer. */
#include <string.h>

#include "soak.h"

/* Pause between two requests of a caller, in milliseconds. */
#define PAUSE_MIN_MS 10
#define PAUSE_MAX_MS 80

/* Time that a caller waits for an answer, in milliseconds.  The timeouts of the
 * routes are shorter. */
#define CALLER_TIMEOUT_MS 6000

/* While fatal contents are sent, one request in this many carries one on
 * average. */
#define REQUESTS_PER_FATAL 12

/* Number of events that fake_runner.c sends in a stream. */
#define STREAM_EVENTS 12

const char *const soak_kind_paths[SOAK_KINDS] = {
#define X(id, path, once, stream) path,
  SOAK_KIND_TABLE (X)
#undef X
};

const bool soak_kind_once[SOAK_KINDS] = {
#define X(id, path, once, stream) once,
  SOAK_KIND_TABLE (X)
#undef X
};

const bool soak_kind_stream[SOAK_KINDS] = {
#define X(id, path, once, stream) stream,
  SOAK_KIND_TABLE (X)
#undef X
};

struct soak_caller
{
  soak_t *soak;
  br_http_client_t *client; /* NULL: none */
  struct event *timer;
  long number; /* of the request in progress; -1: none */
  br_ms_t sent_ms;
  int status;
  br_buf_t body;
};

long
soak_request_number (const char *id)
{
  long number;

  return sscanf (id, "s-%ld", &number) == 1 ? number : -1;
}

static void
caller_wait (soak_caller_t *caller, br_ms_t ms)
{
  struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

  event_add (caller->timer, &wait);
}

static void
expected_body (soak_kind_t kind, long number, br_buf_t *body)
{
  if (!soak_kind_stream[kind])
    {
      br_buf_printf (body, "answer to s-%ld\n", number);
      return;
    }
  for (int i = 1; i <= STREAM_EVENTS; i++)
    br_buf_printf (body, "id: %d\ndata: s-%ld part %d\n\n", i, number, i);
}

/* Checks that a complete answer is exactly the body that the upstream sends for
 * this request, and that an incomplete one is a prefix of that body. */
static void
check_answer (soak_t *soak,
              soak_kind_t kind,
              long number,
              br_str_t body,
              bool complete)
{
  br_buf_t expected = { 0 };
  bool is_prefix;

  expected_body (kind, number, &expected);
  is_prefix
      = body.len <= expected.len
        && memcmp (body.data != NULL ? body.data : "", expected.data, body.len)
               == 0;
  if (!is_prefix || (complete && body.len != expected.len))
    soak_fail (soak,
               "s-%ld: %s answer of %zu bytes differs from the upstream's "
               "%zu bytes: %.*s",
               number, complete ? "complete" : "incomplete", body.len,
               expected.len, (int)body.len, body.data);
  br_buf_free (&expected);
}

static void
caller_finish (soak_caller_t *caller, bool complete)
{
  soak_t *soak = caller->soak;
  long number = caller->number;
  soak_request_t *request = &soak->requests.items[number];

  caller->number = -1;
  request->status = caller->status;
  request->complete = complete;
  if (caller->sent_ms <= soak->unplanned_until_ms)
    request->planned_only = false;
  if (caller->sent_ms <= soak->vms_disturbed_until_ms)
    request->vms_undisturbed = false;
  soak_log (soak, "s-%ld ended: status %d, %s, %zu bytes after %d ms", number,
            caller->status, complete ? "complete" : "incomplete",
            caller->body.len, (int)(soak_now () - caller->sent_ms));
  if (request->fatal == 0)
    {
      soak->counts[request->kind][0]++;
      soak->counts[request->kind][1] += complete && caller->status == 200;
    }
  if (caller->status == 200)
    check_answer (soak, request->kind, number, br_buf_str (&caller->body),
                  complete);
  if (complete && caller->status >= 400 && caller->status < 500
      && caller->status != 408 && caller->status != 421
      && caller->status != 429)
    soak_fail (soak, "s-%ld was refused with unexpected status %d: %.*s",
               number, caller->status, (int)caller->body.len,
               caller->body.data);
  caller_wait (caller, soak_random_between (soak, PAUSE_MIN_MS, PAUSE_MAX_MS));
}

static void
caller_drop (soak_caller_t *caller)
{
  if (caller->client != NULL)
    br_http_client_free (caller->client);
  caller->client = NULL;
}

static void
caller_on_event (void *context,
                 br_http_client_t *client,
                 const br_client_event_t *event)
{
  soak_caller_t *caller = context;

  (void)client;
  switch (event->kind)
    {
    case BR_CLIENT_CONNECTED:
      break;
    case BR_CLIENT_HEAD:
      caller->status = event->head->status;
      break;
    case BR_CLIENT_BODY:
      br_buf_append (&caller->body, event->body);
      break;
    case BR_CLIENT_END:
      if (!event->reusable)
        caller_drop (caller);
      caller_finish (caller, true);
      break;
    case BR_CLIENT_FAILED:
    case BR_CLIENT_LOST:
      caller_drop (caller);
      if (caller->number >= 0)
        caller_finish (caller, false);
      break;
    }
}

static void
caller_connect (soak_caller_t *caller)
{
  soak_t *soak = caller->soak;
  int entry = (int)soak_random_between (soak, 1, SOAK_ENTRIES);
  struct sockaddr_in address = soak_address (soak, SOAK_ENTRY, entry, 0);

  caller->client = br_http_client_new (soak->base, (struct sockaddr *)&address,
                                       sizeof address);
  br_http_client_set_owner (caller->client, caller_on_event, caller);
}

static void
caller_send (soak_caller_t *caller)
{
  soak_t *soak = caller->soak;
  soak_request_t request = {
    .kind = (soak_kind_t)soak_random_between (soak, 0, SOAK_KINDS - 1),
    .planned_only = soak_now () > soak->unplanned_until_ms,
    .vms_undisturbed = soak_now () > soak->vms_disturbed_until_ms,
  };
  br_buf_t text = { 0 };
  char body[16] = "body";

  if (soak_now () < soak->fatal_until_ms
      && soak_random_between (soak, 1, REQUESTS_PER_FATAL) == 1)
    {
      request.kind = SOAK_DRAFT;
      request.fatal = (int)soak_random_between (soak, 1, SOAK_FATAL_CONTENTS);
      snprintf (body, sizeof body, "fatal-%d", request.fatal);
    }

  caller->number = (long)soak->requests.len;
  caller->sent_ms = soak_now ();
  caller->status = 0;
  br_buf_clear (&caller->body);
  soak_requests_push (&soak->requests, request);
  br_buf_printf (&text,
                 "POST %s HTTP/1.1\r\nHost: h.example\r\n"
                 "Authorization: Bearer soak-key-0001\r\n"
                 "X-Request-Id: s-%ld\r\nX-Deadline-Ms: %d\r\n"
                 "Content-Length: %zu\r\n\r\n%s",
                 request.fatal > 0 ? SOAK_FATAL_PATH
                                   : soak_kind_paths[request.kind],
                 caller->number, CALLER_TIMEOUT_MS - 1000, strlen (body), body);
  br_http_client_send (caller->client, br_buf_str (&text));
  br_buf_free (&text);
  caller_wait (caller, CALLER_TIMEOUT_MS);
}

static void
caller_on_timer (evutil_socket_t fd, short what, void *context)
{
  soak_caller_t *caller = context;

  (void)fd;
  (void)what;
  if (caller->number >= 0)
    {
      caller_drop (caller);
      caller_finish (caller, false);
      return;
    }
  if (caller->soak->callers_stop)
    return;
  if (caller->client == NULL)
    caller_connect (caller);
  caller_send (caller);
}

void
soak_callers_start (soak_t *soak)
{
  for (int i = 0; i < soak->callers; i++)
    {
      soak_caller_t *caller = br_alloc_zero (sizeof *caller);

      caller->soak = soak;
      caller->number = -1;
      caller->timer = evtimer_new (soak->base, caller_on_timer, caller);
      caller_wait (caller,
                   soak_random_between (soak, PAUSE_MIN_MS, PAUSE_MAX_MS));
      soak->caller_list[i] = caller;
    }
}

bool
soak_callers_idle (const soak_t *soak)
{
  for (int i = 0; i < soak->callers; i++)
    if (soak->caller_list[i]->number >= 0)
      return false;
  return true;
}

void
soak_callers_free (soak_t *soak)
{
  for (int i = 0; i < soak->callers; i++)
    {
      soak_caller_t *caller = soak->caller_list[i];

      if (caller == NULL)
        continue;
      caller_drop (caller);
      event_free (caller->timer);
      br_buf_free (&caller->body);
      free (caller);
    }
}
