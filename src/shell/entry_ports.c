/* The ports of an entry VM: for callers, and for other entry VMs that relay
 * requests which they cannot serve. */
#include "shell/entry_private.h"
#include "shell/held_task.h"

/* What another entry VM adds to the head of a request that it relays, at most:
 * the fields between entry VMs, and the id of a stream and of its last event.
 */
#define RELAY_HEAD_BYTES 1024

static br_http_limits_t
relay_limits (const br_http_limits_t *limits)
{
  br_http_limits_t relay = *limits;

  relay.head_max_bytes += RELAY_HEAD_BYTES;
  return relay;
}

static void
task_on_request (void *context, br_http_conn_t *conn)
{
  br_exchange_begin (context, conn);
}

static bool
task_on_head (void *context, br_http_conn_t *conn)
{
  return br_exchange_may_serve (context, conn, false);
}

static bool
task_on_relayed_head (void *context, br_http_conn_t *conn)
{
  return br_exchange_may_serve (context, conn, true);
}

static void
task_on_relayed_request (void *context, br_http_conn_t *conn)
{
  br_exchange_begin_relayed (context, conn);
}

/* Returns NULL with *ERR set when it cannot listen at ENDPOINT, which the
 * setting NAME gives. */
static br_http_server_t *
task_listen (br_entry_task_t *task,
             const br_endpoint_t *endpoint,
             const char *name,
             bool (*on_head) (void *, br_http_conn_t *),
             void (*on_request) (void *, br_http_conn_t *),
             br_error_t *err)
{
  br_node_t *node = task->node;
  struct sockaddr_storage address;
  int len;
  br_http_server_options_t options = {
    .base = node->base,
    .address = (struct sockaddr *)&address,
    .limits = {
      .head_max_bytes = (size_t)node->settings.header_max_bytes,
      .body_max_bytes = (size_t)node->settings.body_max_bytes,
      .request_ms = node->settings.request_ms,
      .idle_ms = node->settings.idle_ms,
    },
    .account = br_held_task_account (node->held),
    .on_head = on_head,
    .on_request = on_request,
    .on_disconnect = br_exchange_on_disconnect,
    .on_drained = br_exchange_on_drained,
    .context = task,
  };

  if (!br_endpoint_to_sockaddr (endpoint, &address, &len))
    {
      br_error_set (err, BR_ERROR_SETTINGS, "listen", "", "%s is not valid",
                    name);
      return NULL;
    }
  options.address_len = len;
  return br_http_server_new (&options, err);
}

bool
br_entry_open_ports (br_entry_task_t *task, br_error_t *err)
{
  const br_settings_t *settings = &task->node->settings;
  br_endpoint_t relay = settings->callers;

  task->server = task_listen (task, &settings->callers, "callers.address",
                              task_on_head, task_on_request, err);
  if (task->server == NULL || settings->relay_port == 0)
    return task->server != NULL;
  relay.port = settings->relay_port;
  task->relay_server
      = task_listen (task, &relay, "callers.address", task_on_relayed_head,
                     task_on_relayed_request, err);
  if (task->relay_server == NULL)
    br_entry_close_ports (task);
  return task->relay_server != NULL;
}

void
br_entry_close_ports (br_entry_task_t *task)
{
  br_http_server_free (task->server);
  br_http_server_free (task->relay_server);
}

void
br_entry_set_limits (br_entry_task_t *task, const br_http_limits_t *limits)
{
  br_http_limits_t relay = relay_limits (limits);

  br_http_server_set_limits (task->server, limits);
  if (task->relay_server != NULL)
    br_http_server_set_limits (task->relay_server, &relay);
}

void
br_entry_task_stop_keep_alive (br_entry_task_t *task)
{
  br_http_server_close_after_answers (task->server);
  if (task->relay_server != NULL)
    br_http_server_close_after_answers (task->relay_server);
}

void
br_entry_task_stop_accepting (br_entry_task_t *task)
{
  br_http_server_stop (task->server);
  if (task->relay_server != NULL)
    br_http_server_stop (task->relay_server);
}

size_t
br_entry_task_in_progress (const br_entry_task_t *task)
{
  size_t relayed = task->relay_server != NULL
                       ? br_http_server_connections (task->relay_server)
                       : 0;

  return br_http_server_connections (task->server) + relayed;
}
