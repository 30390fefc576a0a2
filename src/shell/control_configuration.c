/* Takes changes and reads of the configuration from operators, and sends the
 * configuration in force to entry VMs. */
#include <inttypes.h>

#include "base/deflate.h"
#include "platform/configuration_codec.h"
#include "shell/control_private.h"
#include "shell/http_reply.h"
#include "shell/replica_task.h"
#include "state/command.h"

/* Retry-After sent to an operator, in milliseconds. */
#define RETRY_AFTER_MS 300

/* --- operators --- */

static void
wait_on_close (struct evhttp_connection *connection, void *context)
{
  br_control_task_t *task = context;

  for (size_t i = 0; i < task->waits.len; i++)
    if (task->waits.items[i].request != NULL
        && evhttp_request_get_connection (task->waits.items[i].request)
               == connection)
      task->waits.items[i].request = NULL;
}

static void
task_add_wait (br_control_task_t *task, br_control_wait_t wait)
{
  br_control_waits_push (&task->waits, wait);
  evhttp_connection_set_closecb (evhttp_request_get_connection (wait.request),
                                 wait_on_close, task);
}

static void
reply_unavailable (struct evhttp_request *request, const char *why)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNAVAILABLE, "ask the log", "", "%s", why);
  err.retry_after_ms = RETRY_AFTER_MS;
  br_http_reply_error (request, &err);
}

static void
reply_version (struct evhttp_request *request, uint64_t version)
{
  br_buf_t body = { 0 };

  br_buf_printf (&body, "{\"version\":%" PRIu64 "}\n", version);
  br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&body));
  br_buf_free (&body);
}

/* Refuses REQUEST at once while this VM has no part in the log: neither a vote
 * nor a leader that it follows. */
static bool
task_refuse_outside (br_control_task_t *task, struct evhttp_request *request)
{
  br_replica_standing_t standing
      = br_replica_task_standing (task->node->replica);

  if (standing == BR_STANDING_VOTER || standing == BR_STANDING_FOLLOWS)
    return false;
  reply_unavailable (request, br_replica_standing_text (standing));
  return true;
}

void
br_control_task_put (br_control_task_t *task, struct evhttp_request *request)
{
  br_node_t *node = task->node;
  br_str_t body = br_http_body (request);
  br_configuration_t *configuration;
  br_control_wait_t wait = { .request = request };
  br_buf_t command = { 0 };
  br_error_t err;

  configuration = br_platform_read_configuration (body, &err);
  if (configuration == NULL)
    {
      br_log_error (&node->log, "site", "configuration_refused", &err);
      br_http_reply_error (request, &err);
      return;
    }
  wait.version = configuration->version;
  br_configuration_unref (configuration);
  if (wait.version <= br_state_site_version (node->state))
    {
      reply_version (request, br_state_site_version (node->state));
      return;
    }
  if (task_refuse_outside (task, request))
    return;
  br_state_command_site (wait.version, body, &command);
  wait.ticket = br_replica_task_propose (node->replica, br_buf_str (&command));
  br_buf_free (&command);
  BR_LOG (&node->log, "site", "configuration proposed",
          br_field_int ("version", (int64_t)wait.version),
          br_field_int ("ticket", (int64_t)wait.ticket));
  task_add_wait (task, wait);
}

void
br_control_task_get (br_control_task_t *task, struct evhttp_request *request)
{
  br_control_wait_t wait = { .is_read = true, .request = request };

  if (task_refuse_outside (task, request))
    return;
  wait.ticket = br_replica_task_read (task->node->replica);
  task_add_wait (task, wait);
}

static void
wait_reply (br_control_task_t *task,
            const br_control_wait_t *wait,
            const br_proposal_message_t *proposal)
{
  const br_state_t *state = task->node->state;

  if (wait->request == NULL)
    return;
  evhttp_connection_set_closecb (evhttp_request_get_connection (wait->request),
                                 NULL, NULL);
  if (proposal->outcome != BR_PROPOSAL_COMMITTED)
    reply_unavailable (wait->request, proposal->error.text);
  else if (!wait->is_read)
    reply_version (wait->request, br_state_site_version (state));
  else if (br_state_site_version (state) == 0)
    reply_unavailable (wait->request, "there is no configuration yet");
  else
    br_http_reply (wait->request, HTTP_OK, "application/json",
                   br_state_site_text (state));
}

void
br_control_task_on_proposal (br_control_task_t *task,
                             const br_proposal_message_t *proposal)
{
  if (br_control_duties_on_proposal (task->duties, proposal)
      || br_control_rollouts_on_proposal (task, proposal))
    return;
  for (size_t i = 0; i < task->waits.len; i++)
    {
      br_control_wait_t wait = task->waits.items[i];

      if (wait.ticket != proposal->ticket)
        continue;
      task->waits.items[i] = task->waits.items[--task->waits.len];
      if (!wait.is_read)
        BR_LOG (&task->node->log, "site", "configuration proposal ended",
                br_field_int ("version", (int64_t)wait.version),
                br_field_int ("outcome", proposal->outcome));
      wait_reply (task, &wait, proposal);
      return;
    }
}

/* Compresses the text in force, once per version for all entry VMs. */
static bool
task_pack_text (br_control_task_t *task)
{
  const br_state_t *state = task->node->state;
  br_str_t text = br_state_site_text (state);
  br_error_t err;

  if (task->packed_version == br_state_site_version (state))
    return true;
  br_buf_clear (&task->packed);
  if (!br_deflate (text, &task->packed, &err))
    {
      br_log_error (&task->node->log, "site", "configuration_not_packed", &err);
      return false;
    }
  task->packed_version = br_state_site_version (state);
  task->unpacked_len = text.len;
  return true;
}

void
br_control_send_text (br_control_task_t *task,
                      const br_name_t *vm,
                      uint64_t version)
{
  Br__Site__ConfigurationText text = BR__SITE__CONFIGURATION_TEXT__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;

  if (br_state_site_version (task->node->state) < version
      || !task_pack_text (task))
    return;
  text.version = task->packed_version;
  text.packed.data = (uint8_t *)task->packed.data;
  text.packed.len = task->packed.len;
  text.len = task->unpacked_len;
  message.body_case = BR__SITE__MESSAGE__BODY_TEXT;
  message.text = &text;
  br_site_send (task->node, vm, &message);
}

/* --- the configuration in force --- */

void
br_control_read_configuration (br_control_task_t *task)
{
  const br_state_t *state = task->node->state;
  br_error_t err;

  if (task->configuration != NULL
      && task->configuration->version == br_state_site_version (state))
    return;
  br_configuration_unref (task->configuration);
  task->configuration
      = br_platform_read_configuration (br_state_site_text (state), &err);
  if (task->configuration == NULL)
    br_log_error (&task->node->log, "site", "configuration_unreadable", &err);
}

void
br_control_task_on_applied (br_control_task_t *task)
{
  uint64_t version = br_state_site_version (task->node->state);
  uint64_t bans = br_state_bans_made (task->node->state);

  br_control_read_streams (task, br_node_now (task->node));
  if (bans != task->last_sent_bans)
    {
      task->last_sent_bans = bans;
      br_control_read_bans (task, br_node_now (task->node));
      br_control_send_heartbeat (task, br_node_now (task->node));
    }
  if (version == task->last_sent_version)
    return;
  task->last_sent_version = version;
  br_control_read_configuration (task);
  BR_LOG (&task->node->log, "site", "configuration in force",
          br_field_int ("version", (int64_t)version));
  br_control_send_heartbeat (task, br_node_now (task->node));
}
