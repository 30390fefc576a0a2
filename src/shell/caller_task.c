#include "shell/caller_task.h"

#include <string.h>

#include "shell/admit_task.h"
#include "shell/caller_reply.h"
#include "shell/engine_body.h"
#include "shell/held_task.h"
#include "shell/reader.h"
#include "shell/work_task.h"

#define NOT_CAUGHT_UP "this VM has not loaded the declarations in force yet"

/* Retry-after of a VM that has just started.  It loads the declarations within
 * some tenths of a second. */
#define CATCHING_UP_RETRY_MS 500

/* Bytes of ": " and CR LF around each header. */
#define HEADER_PUNCTUATION_BYTES 4

/* The HTTP server closes a connection whose head exceeds its own limit.  It is
 * this many times the limit of the settings; a head between the two gets an
 * error reply that names its size. */
#define HTTP_HEAD_LIMIT_FACTOR 2

#define HTTP_STATUS_OK 200

static const char chat_path[] = "/v1/chat/completions";
static const char services_prefix[] = "/services/";
static const char contracts_prefix[] = "/v1/contracts/";

struct br_caller_task
{
  br_node_t *node;
  br_http_server_t *server;
  br_readers_t *readers;
};

static void
task_refuse (br_caller_task_t *task,
             br_http_conn_t *conn,
             const br_error_t *err)
{
  br_counters_add (&task->node->counters, BR_COUNTER_REQUESTS_REFUSED, 1);
  br_log_error (&task->node->log, "caller", "refused", err);
  br_caller_reply_error (conn, NULL, 0, err);
}

static const br_workload_t *
task_authenticate (br_caller_task_t *task,
                   br_http_conn_t *conn,
                   br_error_t *err)
{
  const br_workload_t *workload = br_catalog_workload_by_key (
      &task->node->catalog, br_caller_bearer_key (conn));

  if (workload != NULL)
    return workload;
  br_counters_add (&task->node->counters, BR_COUNTER_AUTH_FAILED, 1);
  br_error_set (err, BR_ERROR_UNAUTHORIZED, "authenticate", "",
                "no workload has this key");
  return NULL;
}

/* Checks that the caller may use the service, that this VM takes new work, and
 * that the limits of the organisation admit the request.  Fills the
 * organisation, the workload, and either the ticket or the work that is
 * resent. */
static bool
task_admit (br_caller_task_t *task,
            br_http_conn_t *conn,
            br_work_options_t *options,
            br_error_t *err)
{
  br_node_t *node = task->node;
  const br_service_t *service = options->service;
  const br_workload_t *workload = task_authenticate (task, conn, err);
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
        "the workloads selector of service %s does not match this workload",
        service->name.data);
  if (!node->draining
      && br_readers_count (task->readers) < (size_t)node->settings.requests_max)
    {
      options->workload = workload->name;
      options->resent = br_work_task_find_resend (node->works, options, err);
      if (options->resent != NULL || err->code == BR_ERROR_CONFLICT)
        return options->resent != NULL;
      options->ticket = br_admit_task_request (node->admits, organisation,
                                               service, options->tokens, err);
      return options->ticket != 0;
    }
  br_error_set (err, BR_ERROR_UNAVAILABLE, "admit", node->settings.vm.data,
                node->draining ? "this VM is stopping"
                               : "callers.requests_max is reached");
  err->retry_after_ms = 1000;
  return false;
}

static void
reply_ok (br_http_conn_t *conn, const char *content_type, br_str_t body)
{
  br_caller_reply_t reply
      = { .status = HTTP_STATUS_OK, .content_type = content_type };

  br_caller_reply (conn, &reply, body);
}

/* Returns 0 for an unsupported method. */
static enum evhttp_cmd_type
request_method (const br_http_conn_t *conn)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type method;
  } methods[] = {
    { "GET", EVHTTP_REQ_GET },     { "POST", EVHTTP_REQ_POST },
    { "PUT", EVHTTP_REQ_PUT },     { "DELETE", EVHTTP_REQ_DELETE },
    { "PATCH", EVHTTP_REQ_PATCH },
  };

  for (size_t i = 0; i < BR_N_ELEMENTS (methods); i++)
    if (br_str_equal (br_http_conn_head (conn)->method,
                      br_str_from (methods[i].name)))
      return methods[i].method;
  return (enum evhttp_cmd_type)0;
}

static br_str_t
request_header (br_http_conn_t *conn, const char *name)
{
  return br_http_head_find (br_http_conn_head (conn), name);
}

/* Finds the model service that the body names. */
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
task_on_completion (br_caller_task_t *task, br_http_conn_t *conn, bool chat)
{
  br_work_options_t options = {
    .method = EVHTTP_REQ_POST,
    .path = br_str_from (chat ? chat_path : "/v1/completions"),
    .body = br_http_conn_body (conn),
    .content_type = br_str_from ("application/json"),
  };
  br_completion_head_t head;
  br_error_t err;

  if (task_authenticate (task, conn, &err) == NULL
      || !br_completion_read (options.body, chat, &head, &err))
    goto refuse;
  options.service = task_model_service (task, &head, &err);
  options.tokens = br_completion_tokens (options.body, &head);
  options.max_tokens = (uint64_t)head.max_tokens;
  if (options.service == NULL || !task_admit (task, conn, &options, &err))
    goto refuse;
  br_readers_add (task->readers, conn,
                  br_work_task_accept (task->node->works, &options), &head,
                  NULL);
  return;
refuse:
  task_refuse (task, conn, &err);
}

/* Returns the length of TEXT before the first of the characters in STOPS. */
static size_t
str_span (br_str_t text, const char *stops)
{
  size_t len = 0;

  while (len < text.len && strchr (stops, text.data[len]) == NULL)
    len++;
  return len;
}

static br_str_t
str_skip (br_str_t text, size_t len)
{
  return br_str_make (text.data + len, text.len - len);
}

/* Splits "/services/NAME/REST" into the service, which is returned, and
 * "/REST".  *REST is "/" when no "/" follows NAME. */
static const br_service_t *
task_plain_service (br_caller_task_t *task,
                    br_str_t target,
                    br_str_t *rest,
                    br_error_t *err)
{
  br_str_t name = str_skip (target, sizeof services_prefix - 1);
  size_t len = str_span (name, "/?");
  const br_service_t *service
      = br_catalog_service (&task->node->catalog, br_str_make (name.data, len));

  *rest = len < name.len && name.data[len] == '/' ? str_skip (name, len)
                                                  : br_str_from ("/");
  if (service != NULL && service->kind == BR_SERVICE_PLAIN)
    return service;
  br_error_set (err, BR_ERROR_NOT_FOUND, "find service", "",
                "there is no plain service %.*s", (int)BR_MIN (len, 62),
                name.data);
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
task_on_service (br_caller_task_t *task, br_http_conn_t *conn)
{
  br_work_options_t options = {
    .method = request_method (conn),
    .body = br_http_conn_body (conn),
    .content_type = request_header (conn, "Content-Type"),
    .idempotency_key = request_header (conn, "Idempotency-Key"),
    .tokens = 1,
  };
  br_completion_head_t head = { 0 };
  br_error_t err;

  options.service = task_plain_service (task, br_http_conn_head (conn)->target,
                                        &options.path, &err);
  if (options.service == NULL || !options_check_key (&options, &err)
      || !task_admit (task, conn, &options, &err))
    {
      err.key_unknown = options.idempotency_key.len > 0;
      task_refuse (task, conn, &err);
      return;
    }
  br_readers_add (task->readers, conn,
                  br_work_task_accept (task->node->works, &options), &head,
                  NULL);
}

/* Finds the work of the contract that TEXT names, on this VM or another one.
 * Fails when it belongs to another organisation than ORGANISATION. */
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
task_on_contract (br_caller_task_t *task, br_http_conn_t *conn)
{
  br_str_t text = str_skip (br_http_conn_head (conn)->target,
                            sizeof contracts_prefix - 1);
  br_completion_head_t head = { .stream = true };
  br_error_t err;
  const br_workload_t *workload = task_authenticate (task, conn, &err);
  const br_organisation_t *organisation;
  br_event_id_t resume;
  br_work_t *work;

  if (workload == NULL)
    goto refuse;
  organisation
      = br_catalog_organisation_of (&task->node->catalog, workload, &err);
  if (organisation == NULL)
    goto refuse;
  if (!br_event_id_parse (request_header (conn, "Last-Event-ID"), &resume))
    {
      br_error_set (&err, BR_ERROR_INVALID, "read request", "",
                    "Last-Event-ID: expected the id of an event");
      goto refuse;
    }
  work
      = task_find_contract (task, br_str_make (text.data, str_span (text, "?")),
                            &organisation->name, &err);
  if (work == NULL)
    goto refuse;
  br_readers_add (task->readers, conn, work, &head, &resume);
  return;
refuse:
  task_refuse (task, conn, &err);
}

static void
task_on_models (br_caller_task_t *task, br_http_conn_t *conn)
{
  const br_services_t *services = &task->node->catalog.services;
  br_buf_t out = { 0 };
  br_error_t err;
  bool first = true;

  if (task_authenticate (task, conn, &err) == NULL)
    {
      task_refuse (task, conn, &err);
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
  reply_ok (conn, "application/json", br_buf_str (&out));
  br_buf_free (&out);
}

static void
task_on_ready (br_caller_task_t *task, br_http_conn_t *conn)
{
  br_error_t err;

  if (!task->node->draining && task->node->caught_up)
    {
      reply_ok (conn, "text/plain", br_str_from ("ready\n"));
      return;
    }
  br_error_set (
      &err, BR_ERROR_UNAVAILABLE, "ready", task->node->settings.vm.data,
      task->node->draining ? "this VM takes no new work" : NOT_CAUGHT_UP);
  br_caller_reply_error (conn, NULL, 0, &err);
}

static bool
path_is (const br_http_conn_t *conn, const char *path)
{
  br_str_t target = br_http_conn_head (conn)->target;

  return br_str_equal (br_str_make (target.data, str_span (target, "?")),
                       br_str_from (path));
}

static bool
path_starts (const br_http_conn_t *conn, const char *prefix)
{
  return br_str_starts_with (br_http_conn_head (conn)->target,
                             br_str_from (prefix));
}

static bool
is_method (const br_http_conn_t *conn, enum evhttp_cmd_type method)
{
  return request_method (conn) == method;
}

static void
task_on_unknown (br_caller_task_t *task, br_http_conn_t *conn)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_NOT_FOUND, "read request", "",
                "there is nothing at this path for this method");
  task_refuse (task, conn, &err);
}

static size_t
request_head_bytes (const br_http_conn_t *conn)
{
  const br_http_head_t *head = br_http_conn_head (conn);
  size_t sum = head->target.len;

  for (size_t i = 0; i < head->headers.len; i++)
    sum += head->headers.items[i].name.len + head->headers.items[i].value.len
           + HEADER_PUNCTUATION_BYTES;
  return sum;
}

static bool
task_check_limits (br_caller_task_t *task,
                   br_http_conn_t *conn,
                   br_error_t *err)
{
  const br_settings_t *settings = &task->node->settings;
  size_t head = request_head_bytes (conn);
  int64_t announced = br_http_conn_head (conn)->content_length;
  size_t body = (size_t)BR_MAX (announced, 0);

  body = BR_MAX (body, br_http_conn_body (conn).len);
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

/* Returns whether TARGET names a plain service, and the request a key if that
 * needs one. */
static bool
task_may_call (br_caller_task_t *task, br_http_conn_t *conn)
{
  br_work_options_t options = {
    .method = request_method (conn),
    .idempotency_key = request_header (conn, "Idempotency-Key"),
  };
  br_error_t err;

  options.service = task_plain_service (task, br_http_conn_head (conn)->target,
                                        &options.path, &err);
  return options.service != NULL && options_check_key (&options, &err);
}

/* Returns false if task_on_request() will refuse the request whatever its body
 * is, so that the body need not be held. */
static bool
task_on_head (void *context, br_http_conn_t *conn)
{
  br_caller_task_t *task = context;
  bool is_post = is_method (conn, EVHTTP_REQ_POST);
  br_error_t err;

  if (!task_check_limits (task, conn, &err) || !task->node->caught_up
      || br_catalog_workload_by_key (&task->node->catalog,
                                     br_caller_bearer_key (conn))
             == NULL)
    return false;
  if (path_is (conn, "/v1/chat/completions")
      || path_is (conn, "/v1/completions"))
    return is_post;
  if (path_starts (conn, services_prefix) && request_method (conn) != 0)
    return task_may_call (task, conn);
  return false;
}

static void
task_on_request (void *context, br_http_conn_t *conn)
{
  br_caller_task_t *task = context;
  br_error_t err;

  br_counters_add (&task->node->counters, BR_COUNTER_REQUESTS, 1);
  if (!task_check_limits (task, conn, &err))
    {
      task_refuse (task, conn, &err);
      return;
    }
  if (path_is (conn, "/healthz"))
    reply_ok (conn, "text/plain", br_str_from ("alive\n"));
  else if (path_is (conn, "/readyz"))
    task_on_ready (task, conn);
  else if (!task->node->caught_up)
    {
      br_error_set (&err, BR_ERROR_UNAVAILABLE, "read request",
                    task->node->settings.vm.data, NOT_CAUGHT_UP);
      err.retry_after_ms = CATCHING_UP_RETRY_MS;
      task_refuse (task, conn, &err);
    }
  else if (path_is (conn, "/v1/models") && is_method (conn, EVHTTP_REQ_GET))
    task_on_models (task, conn);
  else if (path_is (conn, "/v1/chat/completions")
           && is_method (conn, EVHTTP_REQ_POST))
    task_on_completion (task, conn, true);
  else if (path_is (conn, "/v1/completions")
           && is_method (conn, EVHTTP_REQ_POST))
    task_on_completion (task, conn, false);
  else if (path_starts (conn, contracts_prefix)
           && is_method (conn, EVHTTP_REQ_GET))
    task_on_contract (task, conn);
  else if (path_starts (conn, services_prefix) && request_method (conn) != 0)
    task_on_service (task, conn);
  else
    task_on_unknown (task, conn);
}

static void
task_on_disconnect (void *context, br_http_conn_t *conn)
{
  (void)context;
  br_readers_on_disconnect (conn);
}

br_caller_task_t *
br_caller_task_new (br_node_t *node, br_error_t *err)
{
  br_caller_task_t *task = br_alloc_zero (sizeof *task);
  const br_settings_t *settings = &node->settings;
  struct sockaddr_storage address;
  br_http_server_options_t options = {
    .base = node->base,
    .address = (struct sockaddr *)&address,
    .limits = {
      .head_max_bytes
      = (size_t)settings->header_max_bytes * HTTP_HEAD_LIMIT_FACTOR,
      .body_max_bytes = (size_t)settings->body_max_bytes,
      .request_ms = settings->request_ms,
      .idle_ms = settings->idle_ms,
    },
    .account = br_held_task_account (node->held),
    .on_head = task_on_head,
    .on_request = task_on_request,
    .on_disconnect = task_on_disconnect,
    .context = task,
  };

  task->node = node;
  task->readers = br_readers_new (node);
  if (br_endpoint_to_sockaddr (&settings->callers, &address,
                               &options.address_len))
    task->server = br_http_server_new (&options, err);
  else
    br_error_set (err, BR_ERROR_SETTINGS, "listen for callers", "",
                  "callers.address is not valid");
  if (task->server != NULL)
    return task;
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
  br_http_server_stop_listening (task->server);
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
  br_http_server_free (task->server);
  free (task);
}
