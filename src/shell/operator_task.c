#include "shell/operator_task.h"

#include <errno.h>
#include <event2/http.h>
#include <string.h>

#include "shell/held_task.h"
#include "shell/http_guard.h"
#include "shell/http_reply.h"
#include "shell/operator_catalog.h"
#include "shell/operator_change.h"
#include "shell/operator_view.h"

#define BODY_MAX_BYTES (4 * 1024 * 1024)
#define HEADER_MAX_BYTES (16 * 1024)

static const char declarations_prefix[] = "/v1/declarations/";

struct br_operator_task
{
  br_node_t *node;
  struct evhttp *http;
  br_http_guard_t *guard;
  br_operator_catalog_t *catalog;
  br_operator_change_t *changes;
};

static bool
task_authenticate (br_operator_task_t *task, struct evhttp_request *request)
{
  const br_settings_t *settings = &task->node->settings;
  br_digest_t digest = br_digest_of (br_http_bearer_key (request));

  return !settings->has_operator_key
         || br_digest_equal (&settings->operator_key_digest, &digest);
}

static void
task_on_drain (br_operator_task_t *task, struct evhttp_request *request)
{
  br_node_drain (task->node);
  br_http_reply (request, HTTP_OK, "application/json",
                 br_str_from ("{\"draining\":true}\n"));
}

static void
task_on_metrics (br_operator_task_t *task, struct evhttp_request *request)
{
  br_buf_t out = { 0 };

  br_counters_print (&task->node->counters, &out);
  br_held_print (br_held_task_account (task->node->held), &out);
  br_http_reply (request, HTTP_OK, "text/plain; version=0.0.4",
                 br_buf_str (&out));
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

static void
task_on_delete (br_operator_task_t *task, struct evhttp_request *request)
{
  const char *path
      = evhttp_request_get_uri (request) + sizeof declarations_prefix - 1;
  size_t len = 0;
  char *decoded = evhttp_uridecode (path, 0, &len);

  br_operator_change_delete (task->changes, request,
                             br_str_make (decoded, strcspn (decoded, "?")));
  free (decoded);
}

static void
task_on_request (struct evhttp_request *request, void *context)
{
  br_operator_task_t *task = context;
  br_error_t err;

  br_http_guard_on_request (task->guard, request);
  if (!task_authenticate (task, request))
    {
      br_counters_add (&task->node->counters, BR_COUNTER_AUTH_FAILED, 1);
      br_error_set (&err, BR_ERROR_UNAUTHORIZED, "authenticate", "",
                    "missing or wrong operators' key");
      br_http_reply_error (request, &err);
    }
  else if (request_is (request, EVHTTP_REQ_POST, "/v1/declarations"))
    br_operator_change_apply (task->changes, request);
  else if (request_is (request, EVHTTP_REQ_GET, "/v1/declarations"))
    br_operator_view_declarations (task->node, request);
  else if (evhttp_request_get_command (request) == EVHTTP_REQ_DELETE
           && strncmp (evhttp_request_get_uri (request), declarations_prefix,
                       sizeof declarations_prefix - 1)
                  == 0)
    task_on_delete (task, request);
  else if (request_is (request, EVHTTP_REQ_GET, "/v1/claims"))
    br_operator_view_claims (task->node, request);
  else if (request_is (request, EVHTTP_REQ_POST, "/v1/claims/settle"))
    br_operator_change_settle (task->changes, request);
  else if (request_is (request, EVHTTP_REQ_GET, "/v1/status"))
    br_operator_view_status (task->node, task->catalog, request);
  else if (request_is (request, EVHTTP_REQ_POST, "/v1/drain"))
    task_on_drain (task, request);
  else if (request_is (request, EVHTTP_REQ_GET, "/metrics"))
    task_on_metrics (task, request);
  else
    {
      br_error_set (&err, BR_ERROR_NOT_FOUND, "read request", "",
                    "there is nothing at this path for this method");
      br_http_reply_error (request, &err);
    }
}

br_operator_task_t *
br_operator_task_new (br_node_t *node, br_error_t *err)
{
  br_operator_task_t *task = br_alloc_zero (sizeof *task);
  const br_endpoint_t *endpoint = &node->settings.operators;

  task->node = node;
  task->catalog = br_operator_catalog_new (node);
  task->changes = br_operator_change_new (node);
  task->http = evhttp_new (node->base);
  evhttp_set_max_headers_size (task->http, HEADER_MAX_BYTES);
  evhttp_set_max_body_size (task->http, BODY_MAX_BYTES);
  evhttp_set_allowed_methods (task->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                              | EVHTTP_REQ_DELETE);
  task->guard
      = br_http_guard_new (node->base, task->http,
                           br_held_task_account (node->held), BODY_MAX_BYTES);
  evhttp_set_gencb (task->http, task_on_request, task);
  if (evhttp_bind_socket (task->http, endpoint->address,
                          (uint16_t)endpoint->port)
      == 0)
    return task;
  br_error_set (err, BR_ERROR_INTERNAL, "listen for operators", "",
                "%s port %d: %s", endpoint->address, (int)endpoint->port,
                strerror (errno));
  br_operator_task_free (task);
  return NULL;
}

bool
br_operator_task_on_proposal (br_operator_task_t *task,
                              const br_proposal_message_t *message)
{
  return br_operator_change_on_proposal (task->changes, message);
}

void
br_operator_task_on_applied (br_operator_task_t *task)
{
  br_operator_catalog_on_applied (task->catalog);
  br_operator_change_on_applied (task->changes);
}

void
br_operator_task_on_peer_up (br_operator_task_t *task, const br_name_t *vm)
{
  br_operator_catalog_on_peer_up (task->catalog, vm);
}

void
br_operator_task_on_report (br_operator_task_t *task,
                            const br_peer_message_t *message)
{
  br_operator_catalog_on_report (task->catalog, message);
}

void
br_operator_task_free (br_operator_task_t *task)
{
  if (task == NULL)
    return;
  br_operator_change_free (task->changes);
  br_operator_catalog_free (task->catalog);
  evhttp_free (task->http);
  br_http_guard_free (task->guard);
  free (task);
}
