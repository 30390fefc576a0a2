/* Takes operators' rollout orders and reads, and shows the orders' state. */
#include "shell/control_rollout.h"

#include <inttypes.h>
#include <string.h>

#include "shell/http_reply.h"
#include "shell/replica_task.h"
#include "state/command.h"

/* Retry-After sent to an operator, in milliseconds. */
#define RETRY_AFTER_MS 300

/* How long an order waits for its first step.  An operator is to be answered
 * within 5 s. */
#define FIRST_STEP_WAIT_MS 4000

br_control_rollouts_t *
br_control_rollouts_new (br_control_task_t *task)
{
  br_control_rollouts_t *rollouts = br_alloc_zero (sizeof *rollouts);

  rollouts->task = task;
  return rollouts;
}

void
br_control_rollouts_free (br_control_rollouts_t *rollouts)
{
  for (size_t i = 0; i < rollouts->rows.len; i++)
    if (rollouts->rows.items[i].has_plan)
      br_plan_release (&rollouts->rows.items[i].plan);
  br_rollout_rows_free (&rollouts->rows);
  br_rollout_waits_free (&rollouts->waits);
  free (rollouts);
}

bool
br_rollouts_in_force (const br_control_task_t *task)
{
  const br_site_settings_t *site = &task->node->settings.site;

  return site->rollout_share > 0 || site->rollout_slack > 0;
}

static const char *
order_state_name (const br_rollout_t *order)
{
  if (br_rollout_is_running (order->phase))
    return "running";
  return order->phase == BR_ROLLOUT_COMPLETED ? "completed" : "rolled_back";
}

/* --- replies --- */

static void
reply_unavailable (struct evhttp_request *request, const char *why)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNAVAILABLE, "ask the log", "", "%s", why);
  err.retry_after_ms = RETRY_AFTER_MS;
  br_http_reply_error (request, &err);
}

static void
reply_error (struct evhttp_request *request,
             br_error_code_t code,
             const br_name_t *service,
             const char *why)
{
  br_error_t err;

  br_error_set (&err, code, "roll out", service->data, "%s", why);
  br_http_reply_error (request, &err);
}

static void
reply_order (struct evhttp_request *request, const br_rollout_t *order)
{
  br_buf_t body = { 0 };

  br_platform_write_rollout (order_state_name (order), order->target, &body);
  br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&body));
  br_buf_free (&body);
}

/* --- calls that wait --- */

static void
wait_on_close (struct evhttp_connection *connection, void *context)
{
  br_control_rollouts_t *rollouts = context;

  for (size_t i = 0; i < rollouts->waits.len; i++)
    if (rollouts->waits.items[i].request != NULL
        && evhttp_request_get_connection (rollouts->waits.items[i].request)
               == connection)
      rollouts->waits.items[i].request = NULL;
}

static void
rollouts_add_wait (br_control_rollouts_t *rollouts, br_rollout_wait_t wait)
{
  br_rollout_waits_push (&rollouts->waits, wait);
  evhttp_connection_set_closecb (evhttp_request_get_connection (wait.request),
                                 wait_on_close, rollouts);
}

static bool
task_refuse_outside (const br_control_task_t *task,
                     struct evhttp_request *request)
{
  br_replica_standing_t standing
      = br_replica_task_standing (task->node->replica);

  if (standing == BR_STANDING_VOTER || standing == BR_STANDING_FOLLOWS)
    return false;
  reply_unavailable (request, br_replica_standing_text (standing));
  return true;
}

static bool
task_has_service (const br_control_task_t *task, const br_name_t *service)
{
  const br_configuration_t *configuration = task->configuration;

  for (size_t i = 0; configuration != NULL && i < configuration->services.len;
       i++)
    if (br_name_equal (&configuration->services.items[i].name, service))
      return true;
  return false;
}

static uint64_t
rollouts_propose (const br_control_rollouts_t *rollouts,
                  const br_rollout_request_t *order)
{
  br_control_task_t *task = rollouts->task;
  Br__State__RolloutStart start = BR__STATE__ROLLOUT_START__INIT;
  br_listing_t listing
      = { .service = order->service, .version = order->target };
  br_buf_t command = { 0 };
  uint64_t ticket;

  start.service = (char *)order->service.data;
  start.target = (char *)order->target.data;
  start.target_version = br_listing_version (&listing);
  start.start_ms
      = (uint64_t)br_site_clock_wall (&task->clock, br_node_now (task->node));
  start.duration_ms = (uint64_t)order->duration_ms;
  br_state_command_rollout_start (&start, &command);
  ticket = br_replica_task_propose (task->node->replica, br_buf_str (&command));
  br_buf_free (&command);
  BR_LOG (&task->node->log, "rollout", "order proposed",
          br_field_z ("service", order->service.data),
          br_field_z ("target", order->target.data),
          br_field_int ("duration_ms", order->duration_ms),
          br_field_int ("ticket", (int64_t)ticket));
  return ticket;
}

bool
br_control_task_post_rollout (br_control_task_t *task,
                              struct evhttp_request *request)
{
  br_control_rollouts_t *rollouts = task->rollouts;
  br_rollout_wait_t wait
      = { .request = request, .since_ms = br_node_now (task->node) };
  br_error_t err;

  if (!br_rollouts_in_force (task))
    return false;
  if (!br_platform_read_rollout (br_http_body (request), &wait.order, &err))
    {
      br_log_error (&task->node->log, "rollout", "order_refused", &err);
      br_http_reply_error (request, &err);
      return true;
    }
  if (task_refuse_outside (task, request))
    return true;
  /* A configuration with the service may be in force that is not applied here
   * yet. */
  wait.is_known = task_has_service (task, &wait.order.service);
  wait.ticket = wait.is_known ? rollouts_propose (rollouts, &wait.order)
                              : br_replica_task_read (task->node->replica);
  rollouts_add_wait (rollouts, wait);
  return true;
}

bool
br_control_task_get_rollout (br_control_task_t *task,
                             struct evhttp_request *request,
                             br_str_t service)
{
  br_rollout_wait_t wait = { .is_read = true,
                             .request = request,
                             .since_ms = br_node_now (task->node) };

  if (!br_rollouts_in_force (task))
    return false;
  if (task_refuse_outside (task, request))
    return true;
  /* No service has a name that is too long: it stays empty. */
  br_name_set (&wait.order.service, service);
  wait.ticket = br_replica_task_read (task->node->replica);
  rollouts_add_wait (task->rollouts, wait);
  return true;
}

static void
rollouts_answer_read (const br_control_task_t *task,
                      const br_rollout_wait_t *wait)
{
  const br_rollout_t *order = br_state_find_rollout (
      task->node->state, br_name_str (&wait->order.service));

  if (task->configuration == NULL)
    reply_unavailable (wait->request, "there is no configuration yet");
  else if (!task_has_service (task, &wait->order.service))
    reply_error (wait->request, BR_ERROR_NOT_FOUND, &wait->order.service,
                 "the configuration has no such service");
  else if (order == NULL)
    reply_error (wait->request, BR_ERROR_NOT_FOUND, &wait->order.service,
                 "the service never had a rollout");
  else
    reply_order (wait->request, order);
}

/* Answers an order that is decided in the log.  Returns false while its first
 * step is missing. */
static bool
rollouts_answer_order (const br_control_task_t *task,
                       const br_rollout_wait_t *wait,
                       br_ms_t now)
{
  const br_rollout_t *order = br_state_find_rollout (
      task->node->state, br_name_str (&wait->order.service));
  bool is_same = order != NULL
                 && br_str_equal (br_str_from (order->target),
                                  br_name_str (&wait->order.target));

  /* A committed order is never refused, even if the platform's list is missing.
   */
  if (is_same && order->phase == BR_ROLLOUT_ORDERED
      && now - wait->since_ms < FIRST_STEP_WAIT_MS)
    return false;
  if (is_same)
    reply_order (wait->request, order);
  else if (order != NULL && br_rollout_is_running (order->phase))
    reply_error (wait->request, BR_ERROR_CONFLICT, &wait->order.service,
                 "a rollout to another target runs");
  else
    reply_unavailable (wait->request, "another rollout ran until now");
  return true;
}

/* Goes on with a wait whose ticket is decided.  Returns whether it is answered.
 */
static bool
rollouts_continue (br_control_rollouts_t *rollouts,
                   br_rollout_wait_t *wait,
                   const br_proposal_message_t *proposal)
{
  br_control_task_t *task = rollouts->task;

  if (wait->request == NULL)
    return true;
  if (proposal->outcome != BR_PROPOSAL_COMMITTED)
    {
      reply_unavailable (wait->request, proposal->error.text);
      return true;
    }
  br_control_read_configuration (task);
  if (wait->is_read)
    {
      rollouts_answer_read (task, wait);
      return true;
    }
  if (!wait->is_known)
    {
      if (!task_has_service (task, &wait->order.service))
        {
          if (br_state_site_version (task->node->state) == 0)
            reply_unavailable (wait->request, "there is no configuration yet");
          else
            reply_error (wait->request, BR_ERROR_NOT_FOUND,
                         &wait->order.service,
                         "the configuration has no such service");
          return true;
        }
      wait->is_known = true;
      wait->ticket = rollouts_propose (rollouts, &wait->order);
      return false;
    }
  wait->ticket = 0;
  return rollouts_answer_order (task, wait, br_node_now (task->node));
}

static void
rollouts_drop_wait (br_control_rollouts_t *rollouts, size_t at)
{
  br_rollout_wait_t *wait = &rollouts->waits.items[at];

  *wait = rollouts->waits.items[--rollouts->waits.len];
}

/* Before a reply, as the connection may be closed with it. */
static void
wait_detach (const br_rollout_wait_t *wait)
{
  if (wait->request != NULL)
    evhttp_connection_set_closecb (
        evhttp_request_get_connection (wait->request), NULL, NULL);
}

static void
wait_attach (br_control_rollouts_t *rollouts, const br_rollout_wait_t *wait)
{
  evhttp_connection_set_closecb (evhttp_request_get_connection (wait->request),
                                 wait_on_close, rollouts);
}

bool
br_control_rollouts_on_proposal (br_control_task_t *task,
                                 const br_proposal_message_t *proposal)
{
  br_control_rollouts_t *rollouts = task->rollouts;

  for (size_t i = 0; i < rollouts->waits.len; i++)
    {
      br_rollout_wait_t wait = rollouts->waits.items[i];

      if (wait.ticket == 0 || wait.ticket != proposal->ticket)
        continue;
      wait_detach (&wait);
      if (rollouts_continue (rollouts, &wait, proposal))
        rollouts_drop_wait (rollouts, i);
      else
        {
          rollouts->waits.items[i] = wait;
          wait_attach (rollouts, &wait);
        }
      return true;
    }
  return false;
}

void
br_rollouts_answer_waits (br_control_rollouts_t *rollouts, br_ms_t now)
{
  for (size_t i = 0; i < rollouts->waits.len;)
    {
      br_rollout_wait_t wait = rollouts->waits.items[i];

      if (wait.ticket != 0)
        {
          i++;
          continue;
        }
      wait_detach (&wait);
      if (wait.request == NULL
          || rollouts_answer_order (rollouts->task, &wait, now))
        rollouts_drop_wait (rollouts, i);
      else
        {
          wait_attach (rollouts, &wait);
          i++;
        }
    }
}

/* --- metrics --- */

static void
row_print (const br_rollout_t *order,
           const br_rollout_row_t *row,
           br_buf_t *out)
{
  static const char *const sides[BR_VERSION_SIDES] = { "old", "new" };
  const br_answer_table_t *answers = &row->plan.exposure.answers;

  br_buf_printf (out, "briarrack_rollout_share_ppm{service=\"%s\"} %u\n",
                 order->service, row->plan.share_ppm);
  br_buf_printf (out,
                 "briarrack_rollout_requests{service=\"%s\"} %" PRIu64 "\n",
                 order->service, row->plan.exposure.sent);
  br_buf_printf (out,
                 "briarrack_rollout_requests_new{service=\"%s\"} %" PRIu64 "\n",
                 order->service,
                 row->plan.exposure.sent_new + row->plan.exposure.unreported);
  for (size_t i = 0; i < answers->len; i++)
    for (size_t side = 0; side < BR_VERSION_SIDES; side++)
      {
        const br_answer_counts_t *counts = &answers->items[i].of[side];
        const uint64_t values[]
            = { counts->answered, counts->failed, counts->paused };
        static const char *const names[] = { "answers", "failed", "paused" };

        for (size_t j = 0; j < BR_N_ELEMENTS (values); j++)
          br_buf_printf (out,
                         "briarrack_rollout_%s{service=\"%s\",route=\"%s\","
                         "version=\"%s\"} %" PRIu64 "\n",
                         names[j], order->service, answers->items[i].route.data,
                         sides[side], values[j]);
      }
}

void
br_control_print_rollouts (const br_control_task_t *task, br_buf_t *out)
{
  const br_control_rollouts_t *rollouts = task->rollouts;

  for (size_t i = 0; i < rollouts->rows.len; i++)
    {
      const br_rollout_row_t *row = &rollouts->rows.items[i];
      const br_rollout_t *order = br_state_find_rollout (
          task->node->state, br_name_str (&row->service));

      if (order == NULL)
        continue;
      br_buf_printf (out, "briarrack_rollout_phase{service=\"%s\"} %u\n",
                     order->service, order->phase);
      if (row->has_plan)
        row_print (order, row, out);
    }
}
