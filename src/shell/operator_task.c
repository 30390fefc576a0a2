#include "shell/operator_task.h"

#include <errno.h>
#include <event2/http.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

#include "shell/domain_task.h"
#include "shell/http_reply.h"
#include "shell/peer_task.h"
#include "shell/replica_task.h"
#include "shell/work_task.h"

#define BODY_MAX_BYTES (4 * 1024 * 1024)
#define HEADER_MAX_BYTES (16 * 1024)

struct br_operator_task
{
  br_node_t *node;
  struct evhttp *http;
};

static bool
task_authenticate (br_operator_task_t *task, struct evhttp_request *request)
{
  const br_settings_t *settings = &task->node->settings;
  br_digest_t digest = br_digest_of (br_http_bearer_key (request));

  return !settings->has_operator_key
         || br_digest_equal (&settings->operator_key_digest, &digest);
}

/* Builds the catalog of all declarations in the JSON array TEXT. */
static bool
catalog_build (br_str_t text, br_catalog_t *catalog, br_error_t *err)
{
  json_tokener *tokener = json_tokener_new ();
  json_object *list = json_tokener_parse_ex (tokener, text.data, (int)text.len);
  bool ok = json_object_is_type (list, json_type_array);

  if (!ok)
    br_error_set (err, BR_ERROR_INVALID, "read declarations", "",
                  "a JSON array is wanted");
  for (size_t i = 0; ok && i < json_object_array_length (list); i++)
    {
      json_object *each = json_object_array_get_idx (list, i);

      ok = br_catalog_add (
          catalog, br_str_from (json_object_to_json_string (each)), err);
    }
  json_object_put (list);
  json_tokener_free (tokener);
  return ok;
}

static void
task_on_apply (br_operator_task_t *task, struct evhttp_request *request)
{
  br_node_t *node = task->node;
  br_catalog_t catalog = { .revision = node->catalog.revision + 1 };
  br_node_message_t message = { .kind = BR_NODE_CATALOG_CHANGED };
  br_error_t err;
  br_buf_t out = { 0 };

  if (!catalog_build (br_http_body (request), &catalog, &err))
    {
      br_catalog_release (&catalog);
      br_http_reply_error (request, &err);
      return;
    }
  br_catalog_release (&node->catalog);
  node->catalog = catalog;
  br_node_post (node, message);
  br_buf_printf (&out, "{\"revision\":%" PRIu64 "}\n", catalog.revision);
  br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&out));
  br_buf_free (&out);
}

static void
task_on_status (br_operator_task_t *task, struct evhttp_request *request)
{
  br_node_t *node = task->node;
  br_buf_t out = { 0 };

  br_buf_printf (&out,
                 "{\"vm\":\"%s\",\"incarnation\":%" PRIu64
                 ",\"failure_domain\":\"%s\",\"revision\":%" PRIu64
                 ",\"draining\":%s,\"in_progress\":%zu,\"peers\":[",
                 node->settings.vm.data, node->incarnation,
                 node->settings.failure_domain.data, node->catalog.revision,
                 node->draining ? "true" : "false",
                 br_work_task_in_progress (node->works));
  if (node->peers != NULL)
    br_peer_task_status (node->peers, &out);
  br_buf_printf (&out, "],\"members\":");
  br_domain_task_status (node->domain, &out);
  br_buf_printf (&out, ",\"replica\":");
  br_replica_task_status (node->replica, &out);
  br_buf_printf (&out, "}\n");
  br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&out));
  br_buf_free (&out);
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
task_on_request (struct evhttp_request *request, void *context)
{
  br_operator_task_t *task = context;
  br_error_t err;

  if (!task_authenticate (task, request))
    {
      br_counters_add (&task->node->counters, BR_COUNTER_AUTH_FAILED, 1);
      br_error_set (&err, BR_ERROR_UNAUTHORIZED, "authenticate", "",
                    "this is not the operators' key");
      br_http_reply_error (request, &err);
    }
  else if (request_is (request, EVHTTP_REQ_POST, "/v1/declarations"))
    task_on_apply (task, request);
  else if (request_is (request, EVHTTP_REQ_GET, "/v1/status"))
    task_on_status (task, request);
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
  task->http = evhttp_new (node->base);
  evhttp_set_max_headers_size (task->http, HEADER_MAX_BYTES);
  evhttp_set_max_body_size (task->http, BODY_MAX_BYTES);
  evhttp_set_allowed_methods (task->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                              | EVHTTP_REQ_DELETE);
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

void
br_operator_task_free (br_operator_task_t *task)
{
  if (task == NULL)
    return;
  evhttp_free (task->http);
  free (task);
}
