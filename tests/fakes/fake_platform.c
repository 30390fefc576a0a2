/* Fake platform: a VM list with a delay, reclaim notices, and a cloud API that
 * can refuse.  Prints one JSON line for each notice, start and stop.
 *
 * For briarrack: GET /v1/vms?revision=N, GET /v1/notices?after=N,
 * GET /v1/offers, POST /v1/start, POST /v1/stop.
 * For the test: POST /fake/vm (adds or replaces), /fake/remove {"name"},
 * /fake/lag {"ms"}, /fake/notice {"vm","incarnation","leave_in_ms","seen_by"},
 * /fake/refuse {"starts"}, /fake/offer (adds). */
#include <argp.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/vec.h"

/* The VM list from a time until that of the next snapshot. */
typedef struct
{
  br_ms_t from_ms;
  char *vms; /* JSON array; owned */
} snapshot_t;

typedef struct
{
  int number;
  br_ms_t leave_at_ms;
  json_object *notice; /* owned */
} notice_t;

BR_VEC (snapshots, snapshot_t);
BR_VEC (notices, notice_t);

typedef struct
{
  int port;
  int lag_ms;
  const char *vms_file;
  bool refuse_starts;
  json_object *vms;    /* name to VM */
  json_object *offers; /* array */
  snapshots_t snapshots;
  notices_t notices;
  int n_started;
} platform_t;

static br_ms_t
platform_now (void)
{
  br_clock_t clock = { .kind = BR_CLOCK_MONOTONIC };

  return br_clock_now (&clock);
}

static void
platform_log (const char *event, json_object *details)
{
  printf ("{\"event\":\"%s\",\"wall_ms\":%lld,\"what\":%s}\n", event,
          (long long)br_clock_wall (),
          details != NULL ? json_object_to_json_string (details) : "null");
  fflush (stdout);
}

static void
platform_add_snapshot (platform_t *platform)
{
  json_object *list = json_object_new_array ();
  snapshot_t snapshot = { .from_ms = platform_now () };

  json_object_object_foreach (platform->vms, name, vm)
  {
    (void)name;
    json_object_array_add (list, json_object_get (vm));
  }
  snapshot.vms = strdup (json_object_to_json_string (list));
  json_object_put (list);
  snapshots_push (&platform->snapshots, snapshot);
}

static void
reply (struct evhttp_request *request, int status, const char *text)
{
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evbuffer_add_printf (evhttp_request_get_output_buffer (request), "%s\n",
                       text);
  evhttp_send_reply (request, status, NULL, NULL);
}

static long
query_number (struct evhttp_request *request, const char *key)
{
  struct evkeyvalq query;
  const char *value;
  long number = 0;

  evhttp_parse_query (evhttp_request_get_uri (request), &query);
  value = evhttp_find_header (&query, key);
  if (value != NULL)
    number = atol (value);
  evhttp_clear_headers (&query);
  return number;
}

static json_object *
request_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t len = evbuffer_get_length (input);
  json_tokener *tokener = json_tokener_new ();
  json_object *body = json_tokener_parse_ex (
      tokener, (const char *)evbuffer_pullup (input, -1), (int)len);

  json_tokener_free (tokener);
  if (json_object_is_type (body, json_type_object))
    return body;
  json_object_put (body);
  return json_object_new_object ();
}

static const char *
body_text (json_object *body, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (body, key, &value)
             ? json_object_get_string (value)
             : "";
}

static int
body_int (json_object *body, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (body, key, &value)
             ? json_object_get_int (value)
             : 0;
}

static void
on_vms (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;
  br_ms_t at_ms = platform_now () - platform->lag_ms;
  size_t visible = 0;
  br_buf_t out = { 0 };

  while (
      visible < platform->snapshots.len
      && (visible == 0 || platform->snapshots.items[visible].from_ms <= at_ms))
    visible++;
  if (visible > 0 && query_number (request, "revision") == (long)visible)
    br_buf_printf (&out, "{\"revision\":%zu,\"unchanged\":true}", visible);
  else
    br_buf_printf (&out, "{\"revision\":%zu,\"vms\":%s}", visible,
                   visible > 0 ? platform->snapshots.items[visible - 1].vms
                               : "[]");
  reply (request, 200, out.data);
  br_buf_free (&out);
}

static bool
notice_is_for (const notice_t *notice, const char *vm)
{
  json_object *seen_by;

  if (!json_object_object_get_ex (notice->notice, "seen_by", &seen_by))
    return true;
  for (size_t i = 0; i < json_object_array_length (seen_by); i++)
    if (vm != NULL
        && strcmp (
               json_object_get_string (json_object_array_get_idx (seen_by, i)),
               vm)
               == 0)
      return true;
  return false;
}

static void
on_notices (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;
  long after = query_number (request, "after");
  const char *vm
      = evhttp_find_header (evhttp_request_get_input_headers (request), "X-VM");
  br_buf_t out = { 0 };
  int n = 0;

  br_buf_printf (&out, "{\"notices\":[");
  for (size_t i = 0; i < platform->notices.len; i++)
    {
      const notice_t *each = &platform->notices.items[i];

      if (each->number <= after || !notice_is_for (each, vm))
        continue;
      br_buf_printf (&out,
                     "%s{\"number\":%d,\"vm\":\"%s\",\"incarnation\":%d,"
                     "\"leave_in_ms\":%lld}",
                     n++ > 0 ? "," : "", each->number,
                     body_text (each->notice, "vm"),
                     body_int (each->notice, "incarnation"),
                     (long long)(each->leave_at_ms - platform_now ()));
    }
  br_buf_printf (&out, "]}");
  reply (request, 200, out.data);
  br_buf_free (&out);
}

static void
on_offers (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;
  br_buf_t out = { 0 };

  br_buf_printf (&out, "{\"offers\":%s}",
                 json_object_to_json_string (platform->offers));
  reply (request, 200, out.data);
  br_buf_free (&out);
}

static void
on_start (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;
  json_object *body = request_body (request);
  br_buf_t out = { 0 };

  platform_log (platform->refuse_starts ? "start_refused" : "start", body);
  json_object_put (body);
  if (platform->refuse_starts)
    {
      reply (request, 409, "{\"error\":\"refused\"}");
      return;
    }
  br_buf_printf (&out, "{\"vm\":\"started-%d\"}", ++platform->n_started);
  reply (request, 200, out.data);
  br_buf_free (&out);
}

static void
on_stop (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;
  json_object *body = request_body (request);

  platform_log ("stop", body);
  json_object_object_del (platform->vms, body_text (body, "vm"));
  platform_add_snapshot (platform);
  json_object_put (body);
  reply (request, 200, "{}");
}

static void
on_fake_vm (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;
  json_object *body = request_body (request);

  json_object_object_add (platform->vms, body_text (body, "name"), body);
  platform_add_snapshot (platform);
  reply (request, 200, "{}");
}

static void
on_fake_remove (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;
  json_object *body = request_body (request);

  json_object_object_del (platform->vms, body_text (body, "name"));
  platform_add_snapshot (platform);
  json_object_put (body);
  reply (request, 200, "{}");
}

static void
on_fake_lag (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;
  json_object *body = request_body (request);

  platform->lag_ms = body_int (body, "ms");
  json_object_put (body);
  reply (request, 200, "{}");
}

static void
on_fake_notice (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;
  notice_t notice = { .notice = request_body (request) };

  notice.number = (int)platform->notices.len + 1;
  notice.leave_at_ms
      = platform_now () + body_int (notice.notice, "leave_in_ms");
  notices_push (&platform->notices, notice);
  platform_log ("notice", notice.notice);
  reply (request, 200, "{}");
}

static void
on_fake_refuse (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;
  json_object *body = request_body (request);

  platform->refuse_starts = body_int (body, "starts") != 0;
  json_object_put (body);
  reply (request, 200, "{}");
}

static void
on_fake_offer (struct evhttp_request *request, void *context)
{
  platform_t *platform = context;

  json_object_array_add (platform->offers, request_body (request));
  reply (request, 200, "{}");
}

static const struct argp_option platform_options[] = {
  { "port", 'p', "PORT", 0, "Port on 127.0.0.1", 0 },
  { "lag-ms", 'l', "MS", 0, "Delay of the VM list (0)", 0 },
  { "vms", 'v', "FILE", 0, "JSON array of the VMs at the start", 0 },
  { 0 },
};

static error_t
platform_parse (int key, char *arg, struct argp_state *state)
{
  platform_t *platform = state->input;

  switch (key)
    {
    case 'p':
      platform->port = atoi (arg);
      return 0;
    case 'l':
      platform->lag_ms = atoi (arg);
      return 0;
    case 'v':
      platform->vms_file = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
platform_load (platform_t *platform)
{
  json_object *list = platform->vms_file != NULL
                          ? json_object_from_file (platform->vms_file)
                          : NULL;

  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *vm = json_object_array_get_idx (list, i);

      json_object_object_add (platform->vms, body_text (vm, "name"),
                              json_object_get (vm));
    }
  json_object_put (list);
  platform_add_snapshot (platform);
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = platform_options, .parser = platform_parse };
  static const struct
  {
    const char *path;
    void (*handle) (struct evhttp_request *, void *);
  } routes[] = {
    { "/v1/vms", on_vms },
    { "/v1/notices", on_notices },
    { "/v1/offers", on_offers },
    { "/v1/start", on_start },
    { "/v1/stop", on_stop },
    { "/fake/vm", on_fake_vm },
    { "/fake/remove", on_fake_remove },
    { "/fake/lag", on_fake_lag },
    { "/fake/notice", on_fake_notice },
    { "/fake/refuse", on_fake_refuse },
    { "/fake/offer", on_fake_offer },
  };
  platform_t platform = {
    .vms = json_object_new_object (),
    .offers = json_object_new_array (),
  };
  struct event_base *base;
  struct evhttp *http;

  argp_parse (&argp, argc, argv, 0, NULL, &platform);
  signal (SIGPIPE, SIG_IGN);
  platform_load (&platform);
  base = event_base_new ();
  http = evhttp_new (base);
  for (size_t i = 0; i < BR_N_ELEMENTS (routes); i++)
    evhttp_set_cb (http, routes[i].path, routes[i].handle, &platform);
  if (evhttp_bind_socket (http, "127.0.0.1", (uint16_t)platform.port) != 0)
    {
      fprintf (stderr, "cannot listen on port %d\n", platform.port);
      return 1;
    }
  event_base_dispatch (base);
  return 0;
}
