#include "shell/caller_task.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>

#include "shell/admit_task.h"
#include "shell/engine_body.h"
#include "shell/http_reply.h"
#include "shell/reader.h"
#include "shell/work_task.h"

#define IDLE_CONNECTION_S 60

/* A VM that has just started knows what is in force after some tenths of a
 * second; when to come back, in milliseconds. */
#define NOT_CAUGHT_UP "this VM does not know yet what is in force"
#define CATCHING_UP_MS 500

/* Connections that wait to be accepted: a surge must not wait for the first
 * retransmission of a connect, one second. */
#define LISTEN_BACKLOG 4096

/* ": " and the line's end. */
#define HEADER_PUNCTUATION 4

/* evhttp closes a connection over its own limits with a plain page, so they
 * are this many times those of the settings, which are answered in JSON. */
#define HTTP_LIMIT_FACTOR 2

static const char chat_path[] = "/v1/chat/completions";
static const char services_prefix[] = "/services/";
static const char contracts_prefix[] = "/v1/contracts/";

struct br_caller_task
{
  br_node_t *node;
  struct evhttp *http;
  struct evhttp_bound_socket *socket;
  br_readers_t *readers;
};

static void
task_refuse (br_caller_task_t *task,
             struct evhttp_request *request,
             const br_error_t *err)
{
  br_counters_add (&task->node->counters, BR_COUNTER_REQUESTS_REFUSED, 1);
  br_log_error (&task->node->log, "caller", "refused", err);
  br_http_reply_error (request, err);
}

static const br_workload_t *
task_authenticate (br_caller_task_t *task,
                   struct evhttp_request *request,
                   br_error_t *err)
{
  const br_workload_t *workload = br_catalog_workload_by_key (
      &task->node->catalog, br_http_bearer_key (request));

  if (workload != NULL)
    return workload;
  br_counters_add (&task->node->counters, BR_COUNTER_AUTH_FAILED, 1);
  br_error_set (err, BR_ERROR_UNAUTHORIZED, "authenticate", "",
                "no workload has this key");
  return NULL;
}

/* Checks that the caller may use the service and that this VM takes new work
 * and some of this organisation's. */
static bool
task_let_in (br_caller_task_t *task,
             struct evhttp_request *request,
             br_work_options_t *options,
             br_error_t *err)
{
  br_node_t *node = task->node;
  const br_service_t *service = options->service;
  const br_workload_t *workload = task_authenticate (task, request, err);
  const br_organisation_t *organisation;

  if (workload == NULL)
    return false;
  organisation = br_catalog_organisation_of (&node->catalog, workload, err);
  if (organisation == NULL)
    return false;
  options->organisation = organisation->name;
  if (!br_selector_matches (&service->workloads, &workload->labels))
    return br_error_set (
        err, BR_ERROR_FORBIDDEN, "authorise", workload->name.data,
        "service %s is not open to this workload", service->name.data);
  if (!node->draining
      && br_readers_count (task->readers) < (size_t)node->settings.requests_max)
    {
      options->workload = workload->name;
      options->resent = br_work_task_find_resend (node->works, options, err);
      if (options->resent != NULL || err->code == BR_ERROR_CONFLICT)
        return options->resent != NULL;
      options->ticket = br_admit_task_ask (node->admits, organisation, service,
                                           options->tokens, err);
      return options->ticket != 0;
    }
  br_error_set (err, BR_ERROR_UNAVAILABLE, "admit", node->settings.vm.data,
                node->draining ? "this VM is stopping"
                               : "callers.requests_max is reached");
  err->retry_after_ms = 1000;
  return false;
}

static br_str_t
request_header (struct evhttp_request *request, const char *name)
{
  return br_str_from (
      evhttp_find_header (evhttp_request_get_input_headers (request), name));
}

/* Finds the model service by the name in the body. */
static const br_service_t *
task_model_service (br_caller_task_t *task,
                    const br_completion_head_t *head,
                    br_error_t *err)
{
  const br_service_t *service
      = br_catalog_service (&task->node->catalog, br_name_str (&head->model));

  if (service != NULL && service->kind == BR_SERVICE_MODEL)
    return service;
  br_error_set (err, BR_ERROR_NOT_FOUND, "find service", "",
                "model: there is no model service %s", head->model.data);
  return NULL;
}

static void
task_on_completion (br_caller_task_t *task,
                    struct evhttp_request *request,
                    bool chat)
{
  br_work_options_t options = {
    .method = EVHTTP_REQ_POST,
    .path = br_str_from (chat ? chat_path : "/v1/completions"),
    .body = br_http_body (request),
    .content_type = br_str_from ("application/json"),
  };
  br_completion_head_t head;
  br_error_t err;

  if (task_authenticate (task, request, &err) == NULL
      || !br_completion_read (options.body, chat, &head, &err))
    goto refuse;
  options.service = task_model_service (task, &head, &err);
  options.tokens = br_completion_tokens (options.body, &head);
  options.max_tokens = (uint64_t)head.max_tokens;
  if (options.service == NULL || !task_let_in (task, request, &options, &err))
    goto refuse;
  br_readers_add (task->readers, request,
                  br_work_task_accept (task->node->works, &options), &head,
                  NULL);
  return;
refuse:
  task_refuse (task, request, &err);
}

/* Splits "/services/NAME/REST" into the service and "/REST". */
static const br_service_t *
task_plain_service (br_caller_task_t *task,
                    const char *uri,
                    br_str_t *rest,
                    br_error_t *err)
{
  const char *name = uri + sizeof services_prefix - 1;
  size_t len = strcspn (name, "/?");
  const br_service_t *service
      = br_catalog_service (&task->node->catalog, br_str_make (name, len));

  *rest = br_str_from (name[len] == '/' ? name + len : "/");
  if (service != NULL && service->kind == BR_SERVICE_PLAIN)
    return service;
  br_error_set (err, BR_ERROR_NOT_FOUND, "find service", "",
                "there is no plain service %.*s", (int)BR_MIN (len, 62), name);
  return NULL;
}

static bool
options_check_key (const br_work_options_t *options, br_error_t *err)
{
  if (options->service->repeatable || options->method == EVHTTP_REQ_GET
      || options->idempotency_key.len > 0)
    return true;
  return br_error_set (err, BR_ERROR_INVALID, "read request",
                       options->service->name.data,
                       "Idempotency-Key: is required, calls of this service "
                       "run at most once");
}

static void
task_on_service (br_caller_task_t *task, struct evhttp_request *request)
{
  br_work_options_t options = {
    .method = evhttp_request_get_command (request),
    .body = br_http_body (request),
    .content_type = request_header (request, "Content-Type"),
    .idempotency_key = request_header (request, "Idempotency-Key"),
    .tokens = 1,
  };
  br_completion_head_t head = { 0 };
  br_error_t err;

  options.service = task_plain_service (task, evhttp_request_get_uri (request),
                                        &options.path, &err);
  if (options.service == NULL || !options_check_key (&options, &err)
      || !task_let_in (task, request, &options, &err))
    {
      err.key_unknown = options.idempotency_key.len > 0;
      task_refuse (task, request, &err);
      return;
    }
  br_readers_add (task->readers, request,
                  br_work_task_accept (task->node->works, &options), &head,
                  NULL);
}

/* Finds the work of CONTRACT, here or elsewhere, for ORGANISATION. */
static br_work_t *
task_find_contract (br_caller_task_t *task,
                    br_str_t text,
                    const br_name_t *organisation,
                    br_error_t *err)
{
  br_contract_id_t contract;
  br_work_t *work;

  if (!br_contract_id_parse (text, &contract))
    {
      br_error_set (err, BR_ERROR_NOT_FOUND, "find contract", "",
                    "this is not a contract id");
      return NULL;
    }
  work = br_work_task_find_contract (task->node->works, &contract);
  if (work == NULL || (work->followed && work->state == BR_WORK_FAILED))
    return br_work_task_follow (task->node->works, &contract, organisation);
  if (br_name_equal (&work->organisation, organisation))
    return work;
  br_error_set (err, BR_ERROR_FORBIDDEN, "authorise", "",
                "the contract belongs to another organisation");
  return NULL;
}

static void
task_on_contract (br_caller_task_t *task, struct evhttp_request *request)
{
  const char *text
      = evhttp_request_get_uri (request) + sizeof contracts_prefix - 1;
  br_completion_head_t head = { .stream = true };
  br_error_t err;
  const br_workload_t *workload = task_authenticate (task, request, &err);
  const br_organisation_t *organisation;
  br_event_id_t resume;
  br_work_t *work;

  if (workload == NULL)
    goto refuse;
  organisation
      = br_catalog_organisation_of (&task->node->catalog, workload, &err);
  if (organisation == NULL)
    goto refuse;
  if (!br_event_id_parse (request_header (request, "Last-Event-ID"), &resume))
    {
      br_error_set (&err, BR_ERROR_INVALID, "read request", "",
                    "Last-Event-ID: the id of an event is wanted");
      goto refuse;
    }
  work = task_find_contract (task, br_str_make (text, strcspn (text, "?")),
                             &organisation->name, &err);
  if (work == NULL)
    goto refuse;
  br_readers_add (task->readers, request, work, &head, &resume);
  return;
refuse:
  task_refuse (task, request, &err);
}

static void
task_on_models (br_caller_task_t *task, struct evhttp_request *request)
{
  const br_services_t *services = &task->node->catalog.services;
  br_buf_t out = { 0 };
  br_error_t err;
  bool first = true;

  if (task_authenticate (task, request, &err) == NULL)
    {
      task_refuse (task, request, &err);
      return;
    }
  br_buf_printf (&out, "{\"object\":\"list\",\"data\":[");
  for (size_t i = 0; i < services->len; i++)
    {
      if (services->items[i].kind != BR_SERVICE_MODEL)
        continue;
      br_buf_printf (&out, "%s{\"id\":\"%s\",\"object\":\"model\"}",
                     first ? "" : ",", services->items[i].name.data);
      first = false;
    }
  br_buf_printf (&out, "]}\n");
  br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&out));
  br_buf_free (&out);
}

static void
task_on_ready (br_caller_task_t *task, struct evhttp_request *request)
{
  br_error_t err;

  if (!task->node->draining && task->node->caught_up)
    {
      br_http_reply (request, HTTP_OK, "text/plain", br_str_from ("ready\n"));
      return;
    }
  br_error_set (
      &err, BR_ERROR_UNAVAILABLE, "ready", task->node->settings.vm.data,
      task->node->draining ? "this VM takes no new work" : NOT_CAUGHT_UP);
  br_http_reply_error (request, &err);
}

static bool
path_is (struct evhttp_request *request, const char *path)
{
  const char *uri = evhttp_request_get_uri (request);

  return strcspn (uri, "?") == strlen (path)
         && strncmp (uri, path, strlen (path)) == 0;
}

static bool
path_starts (struct evhttp_request *request, const char *prefix)
{
  return strncmp (evhttp_request_get_uri (request), prefix, strlen (prefix))
         == 0;
}

static bool
is_method (struct evhttp_request *request, enum evhttp_cmd_type method)
{
  return evhttp_request_get_command (request) == method;
}

static void
task_on_unknown (br_caller_task_t *task, struct evhttp_request *request)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_NOT_FOUND, "read request", "",
                "there is nothing at this path for this method");
  task_refuse (task, request, &err);
}

/* The head of a streamed reply and its first event are two writes; without
 * this the second waits for the caller's delayed acknowledgement. */
static void
request_send_at_once (struct evhttp_request *request)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  int on = 1;

  setsockopt (bufferevent_getfd (bev), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
}

static size_t
request_head_bytes (struct evhttp_request *request)
{
  size_t sum = strlen (evhttp_request_get_uri (request));
  struct evkeyval *header;

  TAILQ_FOREACH (header, evhttp_request_get_input_headers (request), next)
  sum += strlen (header->key) + strlen (header->value) + HEADER_PUNCTUATION;
  return sum;
}

static bool
task_check_limits (br_caller_task_t *task,
                   struct evhttp_request *request,
                   br_error_t *err)
{
  const br_settings_t *settings = &task->node->settings;
  size_t head = request_head_bytes (request);
  size_t body = br_http_body (request).len;

  if (head > (size_t)settings->header_max_bytes)
    return br_error_set (err, BR_ERROR_HEAD_TOO_LARGE, "read request", "",
                         "the head of %zu bytes is over "
                         "callers.header_max_bytes, %d",
                         head, (int)settings->header_max_bytes);
  if (body > (size_t)settings->body_max_bytes)
    return br_error_set (err, BR_ERROR_TOO_LARGE, "read request", "",
                         "the body of %zu bytes is over "
                         "callers.body_max_bytes, %d",
                         body, (int)settings->body_max_bytes);
  return true;
}

static void
task_on_request (struct evhttp_request *request, void *context)
{
  br_caller_task_t *task = context;
  br_error_t err;

  br_counters_add (&task->node->counters, BR_COUNTER_REQUESTS, 1);
  request_send_at_once (request);
  if (!task_check_limits (task, request, &err))
    {
      task_refuse (task, request, &err);
      return;
    }
  if (path_is (request, "/healthz"))
    br_http_reply (request, HTTP_OK, "text/plain", br_str_from ("alive\n"));
  else if (path_is (request, "/readyz"))
    task_on_ready (task, request);
  else if (!task->node->caught_up)
    {
      br_error_set (&err, BR_ERROR_UNAVAILABLE, "read request",
                    task->node->settings.vm.data, NOT_CAUGHT_UP);
      err.retry_after_ms = CATCHING_UP_MS;
      task_refuse (task, request, &err);
    }
  else if (path_is (request, "/v1/models")
           && is_method (request, EVHTTP_REQ_GET))
    task_on_models (task, request);
  else if (path_is (request, "/v1/chat/completions")
           && is_method (request, EVHTTP_REQ_POST))
    task_on_completion (task, request, true);
  else if (path_is (request, "/v1/completions")
           && is_method (request, EVHTTP_REQ_POST))
    task_on_completion (task, request, false);
  else if (path_starts (request, contracts_prefix)
           && is_method (request, EVHTTP_REQ_GET))
    task_on_contract (task, request);
  else if (path_starts (request, services_prefix))
    task_on_service (task, request);
  else
    task_on_unknown (task, request);
}

static struct evhttp_bound_socket *
task_listen (br_caller_task_t *task)
{
  const br_endpoint_t *endpoint = &task->node->settings.callers;
  struct sockaddr_storage address;
  int len;
  struct evconnlistener *listener;

  if (!br_endpoint_to_sockaddr (endpoint, &address, &len))
    return NULL;
  listener = evconnlistener_new_bind (
      task->node->base, NULL, NULL, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      LISTEN_BACKLOG, (struct sockaddr *)&address, len);
  if (listener == NULL)
    return NULL;
  return evhttp_bind_listener (task->http, listener);
}

br_caller_task_t *
br_caller_task_new (br_node_t *node, br_error_t *err)
{
  br_caller_task_t *task = br_alloc_zero (sizeof *task);
  const br_settings_t *settings = &node->settings;

  task->node = node;
  task->readers = br_readers_new (node);
  task->http = evhttp_new (node->base);
  evhttp_set_max_headers_size (task->http,
                               settings->header_max_bytes * HTTP_LIMIT_FACTOR);
  evhttp_set_max_body_size (task->http,
                            settings->body_max_bytes * HTTP_LIMIT_FACTOR);
  evhttp_set_timeout (task->http, IDLE_CONNECTION_S);
  evhttp_set_allowed_methods (task->http,
                              EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                  | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  evhttp_set_gencb (task->http, task_on_request, task);
  task->socket = task_listen (task);
  if (task->socket != NULL)
    return task;
  br_error_set (err, BR_ERROR_INTERNAL, "listen for callers", "",
                "%s port %d: %s", settings->callers.address,
                (int)settings->callers.port, strerror (errno));
  br_caller_task_free (task);
  return NULL;
}

void
br_caller_task_on_work (br_caller_task_t *task, uint64_t work)
{
  br_readers_on_work (task->readers, work);
}

void
br_caller_task_stop_accepting (br_caller_task_t *task)
{
  if (task->socket == NULL)
    return;
  evhttp_del_accept_socket (task->http, task->socket);
  task->socket = NULL;
}

size_t
br_caller_task_in_progress (const br_caller_task_t *task)
{
  return br_readers_count (task->readers);
}

void
br_caller_task_free (br_caller_task_t *task)
{
  if (task == NULL)
    return;
  br_readers_free (task->readers);
  evhttp_free (task->http);
  free (task);
}
