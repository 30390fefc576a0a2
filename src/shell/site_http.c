#include "shell/site_http.h"

#include <errno.h>
#include <event2/http.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "shell/control_task.h"
#include "shell/entry_task.h"
#include "shell/held_task.h"
#include "shell/http_guard.h"
#include "shell/http_reply.h"
#include "shell/peer_task.h"
#include "shell/replica_task.h"

#define BODY_MAX_BYTES (4 * 1024 * 1024)
#define HEADER_MAX_BYTES (16 * 1024)

struct br_site_http
{
  br_node_t *node;
  br_entry_task_t *entry;
  br_control_task_t *control;
  struct evhttp *http;
  br_http_guard_t *guard;
};

static void
http_ready (br_site_http_t *http, struct evhttp_request *request)
{
  const char *why = http->entry != NULL
                        ? br_entry_task_why_not_ready (http->entry)
                        : br_control_task_why_not_ready (http->control);
  br_buf_t body = { 0 };

  if (why == NULL)
    br_buf_printf (&body, "{\"ready\":true}\n");
  else
    br_buf_printf (&body, "{\"ready\":false,\"why\":\"%s\"}\n", why);
  br_http_reply (request, why == NULL ? HTTP_OK : HTTP_SERVUNAVAIL,
                 "application/json", br_buf_str (&body));
  br_buf_free (&body);
}

static void
http_metrics (br_site_http_t *http, struct evhttp_request *request)
{
  br_buf_t out = { 0 };

  br_counters_print (&http->node->counters, &out);
  br_held_print (br_held_task_account (http->node->held), &out);
  br_buf_printf (&out, "briarrack_log_lines_dropped_total %" PRIu64 "\n",
                 http->node->log.dropped_total);
  if (http->entry != NULL)
    br_entry_task_print_metrics (http->entry, &out);
  if (http->control != NULL)
    br_control_task_print_metrics (http->control, &out);
  if (http->node->replica != NULL)
    br_replica_task_print_metrics (http->node->replica, &out);
  br_http_reply (request, HTTP_OK, "text/plain; version=0.0.4",
                 br_buf_str (&out));
  br_buf_free (&out);
}

static void
http_status (br_site_http_t *http, struct evhttp_request *request)
{
  br_buf_t out = { 0 };

  br_buf_printf (&out, "{\"vm\":\"%s\",\"incarnation\":%" PRIu64 ",\"peers\":[",
                 http->node->settings.vm.data, http->node->incarnation);
  br_peer_task_status (http->node->peers, &out);
  br_buf_append_char (&out, ']');
  if (http->node->replica != NULL)
    {
      br_buf_append (&out, br_str_from (",\"log\":"));
      br_replica_task_status (http->node->replica, &out);
    }
  br_buf_append (&out, br_str_from ("}\n"));
  br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&out));
  br_buf_free (&out);
}

static bool
request_is (struct evhttp_request *request,
            enum evhttp_cmd_type method,
            const char *path)
{
  const char *uri = evhttp_request_get_uri (request);

  return evhttp_request_get_command (request) == method
         && strcspn (uri, "?") == strlen (path)
         && strncmp (uri, path, strlen (path)) == 0;
}

#define ROLLOUTS_PATH "/v1/rollouts"

/* Handles the calls on rollouts.  Returns false if this is none. */
static bool
http_rollouts (br_site_http_t *http, struct evhttp_request *request)
{
  const char *uri = evhttp_request_get_uri (request);
  const char *name = uri + strlen (ROLLOUTS_PATH "/");
  char *decoded;
  size_t len;
  bool is_handled;

  if (request_is (request, EVHTTP_REQ_POST, ROLLOUTS_PATH))
    return br_control_task_post_rollout (http->control, request);
  if (evhttp_request_get_command (request) != EVHTTP_REQ_GET
      || strncmp (uri, ROLLOUTS_PATH "/", strlen (ROLLOUTS_PATH "/")) != 0
      || strcspn (name, "?") == 0
      || strcspn (name, "?") != strcspn (name, "/?"))
    return false;
  decoded = br_str_dup (br_str_make (name, strcspn (name, "?")));
  name = evhttp_uridecode (decoded, 0, &len);
  free (decoded);
  is_handled = name != NULL
               && br_control_task_get_rollout (http->control, request,
                                               br_str_make (name, len));
  free ((char *)name);
  return is_handled;
}

static void
on_request (struct evhttp_request *request, void *context)
{
  br_site_http_t *http = context;
  br_error_t err;

  br_http_guard_on_request (http->guard, request);
  if (request_is (request, EVHTTP_REQ_GET, "/readyz"))
    http_ready (http, request);
  else if (request_is (request, EVHTTP_REQ_GET, "/metrics"))
    http_metrics (http, request);
  else if (request_is (request, EVHTTP_REQ_GET, "/v1/status"))
    http_status (http, request);
  else if (http->control != NULL
           && request_is (request, EVHTTP_REQ_PUT, "/v1/configuration"))
    br_control_task_put (http->control, request);
  else if (http->control != NULL
           && request_is (request, EVHTTP_REQ_GET, "/v1/configuration"))
    br_control_task_get (http->control, request);
  else if (http->control == NULL || !http_rollouts (http, request))
    {
      br_error_set (&err, BR_ERROR_NOT_FOUND, "read request", "",
                    "there is nothing at this path for this method");
      br_http_reply_error (request, &err);
    }
}

static bool
http_bind (br_site_http_t *http, const br_endpoint_t *endpoint)
{
  return evhttp_bind_socket (http->http, endpoint->address,
                             (uint16_t)endpoint->port)
         == 0;
}

br_site_http_t *
br_site_http_new (br_node_t *node,
                  br_entry_task_t *entry,
                  br_control_task_t *control,
                  br_error_t *err)
{
  const br_endpoint_t *endpoint = &node->settings.operators;
  br_site_http_t *http = br_alloc_zero (sizeof *http);

  http->node = node;
  http->entry = entry;
  http->control = control;
  http->http = evhttp_new (node->base);
  evhttp_set_max_headers_size (http->http, HEADER_MAX_BYTES);
  evhttp_set_max_body_size (http->http, BODY_MAX_BYTES);
  evhttp_set_allowed_methods (http->http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT
                                              | EVHTTP_REQ_POST);
  http->guard
      = br_http_guard_new (node->base, http->http,
                           br_held_task_account (node->held), BODY_MAX_BYTES);
  evhttp_set_gencb (http->http, on_request, http);
  /* Callers are still served when the metrics address cannot be bound, so this
   * is logged and not an error. */
  if (node->settings.metrics.port != 0
      && !http_bind (http, &node->settings.metrics))
    BR_LOG (&node->log, "site", "no metrics address",
            br_field_z ("address", node->settings.metrics.address),
            br_field_int ("port", node->settings.metrics.port),
            br_field_z ("cause", strerror (errno)));
  if (http_bind (http, endpoint))
    return http;
  br_error_set (err, BR_ERROR_INTERNAL, "listen for operators", "",
                "%s port %d: %s", endpoint->address, (int)endpoint->port,
                strerror (errno));
  br_site_http_free (http);
  return NULL;
}

void
br_site_http_free (br_site_http_t *http)
{
  if (http == NULL)
    return;
  evhttp_free (http->http);
  br_http_guard_free (http->guard);
  free (http);
}
