#include "shell/work_task.h"

#include "route/resend.h"
#include "shell/admit_task.h"
#include "shell/claim_task.h"
#include "shell/contract_task.h"
#include "shell/engine_body.h"
#include "shell/retry_task.h"
#include "shell/route_task.h"
#include "shell/upstream_task.h"
#include "shell/work_private.h"
#include "shell/work_quarantine.h"

/* Time for which the answer of work without readers is kept, for callers that
 * reconnect. */
#define UNREAD_KEEP_MS 120000
#define SWEEP_PERIOD_MS 1000

/* Longest time that work with earlier attempts waits for a live upstream. */
#define UPSTREAM_WAIT_MAX_MS 30000

static void
work_changed (br_work_task_t *task, br_work_t *work)
{
  br_node_message_t message = { .kind = BR_NODE_WORK_CHANGED };

  message.work = work->number;
  br_node_post (task->node, message);
  br_contract_task_on_answer (task->node->contracts, work);
}

void
br_work_end (br_work_task_t *task, br_work_t *work, br_work_state_t state)
{
  work->state = state;
  work->unread_since_ms = br_node_now (task->node);
  if (!work->followed)
    task->in_progress--;
  if (state == BR_WORK_FAILED)
    br_counters_add (&task->node->counters, BR_COUNTER_REQUESTS_FAILED, 1);
  BR_LOG (&task->node->log, "work",
          state == BR_WORK_DONE ? "answered" : "failed",
          br_field_z ("contract", work->contract_text),
          br_field_int ("parts", (int64_t)work->answer.parts.len),
          br_field_int ("attempts", work->attempts),
          br_field_z ("step", work->error.step),
          br_field_z ("peer", work->error.peer),
          br_field_z ("text", work->error.text));
  work_changed (task, work);
  br_resends_drop (task->resends, work->number);
  br_admit_task_done (task->node->admits, work->ticket);
}

void
br_work_fail (br_work_task_t *task, br_work_t *work, const br_error_t *err)
{
  if (br_claim_task_on_failure (task->node->claims, work, err))
    return;
  work->error = *err;
  work->error.may_have_run |= work->may_have_run;
  br_work_end (task, work, BR_WORK_FAILED);
}

void
br_work_detach_attempt (br_work_task_t *task, br_work_t *work)
{
  br_upstream_t *upstream
      = br_registry_find (&task->node->registry, br_name_str (&work->upstream));

  if (work->attempt == 0)
    return;
  work->attempt = 0;
  br_route_task_ended (task->node->routes, work);
  br_work_note_end (task->node, work);
  if (upstream != NULL && upstream->in_flight > 0)
    upstream->in_flight--;
}

static void
work_send (br_work_task_t *task, br_work_t *work, br_upstream_t *upstream)
{
  bool is_model = work->kind == BR_SERVICE_MODEL;
  br_buf_t body = { 0 };
  br_attempt_options_t options = {
    .work = work->number,
    .upstream = upstream->name.data,
    .address = upstream->address,
    .port = upstream->port,
    .method = work->method,
    .path = work->path.data,
    .content_type = work->content_type.data,
    .contract = work->contract_text,
    .idempotency_key = work->idempotency_key.data,
    .stream = is_model,
    .content = br_work_content_digest (work),
    .fresh_connection = !work->repeatable || work->same_upstream,
    .not_after_ms = work->not_after_ms,
  };

  if (is_model)
    br_engine_body (br_buf_str (&work->body), &work->answer, &body);
  options.body = br_buf_str (is_model ? &body : &work->body);
  work->attempts++;
  work->upstream = upstream->name;
  work->same_upstream = false;
  br_work_note_start (task->node, work);
  work->base_offset = work->answer.parts.len;
  work->received = 0;
  if (!is_model)
    br_answer_free (&work->answer);
  upstream->in_flight++;
  BR_LOG (&task->node->log, "work", "attempt",
          br_field_z ("contract", work->contract_text),
          br_field_z ("step", "send"),
          br_field_str ("peer", br_name_str (&work->upstream)),
          br_field_int ("attempt", work->attempts),
          br_field_int ("offset", (int64_t)work->base_offset));
  work->attempt = br_upstream_task_start (task->node->upstreams, &options);
  br_buf_free (&body);
}

void
br_work_try (br_work_task_t *task, br_work_t *work)
{
  br_upstream_t *upstream;
  br_error_t err;

  if (br_work_is_quarantined (task->node, work, &err))
    {
      br_work_fail (task, work, &err);
      return;
    }
  if (!work->repeatable && work->not_after_ms == 0)
    {
      br_claim_task_start (task->node->claims, work);
      return;
    }
  upstream = br_work_choose (task->node, work);
  if (upstream != NULL)
    {
      work_send (task, work, upstream);
      return;
    }
  if ((work->may_have_run || (work->accepted && work->attempts > 0))
      && br_node_now (task->node) - BR_MAX (work->failed_ms, work->accepted_ms)
             < UPSTREAM_WAIT_MAX_MS)
    {
      br_retry_task_wait (task->node->retries, work->number);
      return;
    }
  br_error_set (&err, BR_ERROR_UNAVAILABLE, "choose upstream",
                work->service.data, "no upstream of the service is live");
  err.retry_after_ms = 1000;
  br_work_fail (task, work, &err);
}

static void
work_on_failure (br_work_task_t *task,
                 br_work_t *work,
                 br_error_t *err,
                 bool may_have_run)
{
  br_retry_query_t query = {
    .attempts = work->attempts,
    .repeatable = work->repeatable,
    .may_have_run = may_have_run,
  };

  br_log_error (&task->node->log, "work", "attempt_failed", err);
  /* A stalled connection is replaced once at the same upstream.  An upstream
   * that answers health checks but stalls again is not tried again. */
  work->same_upstream = work->same_upstream
                        && !br_name_equal (&work->stalled_at, &work->upstream);
  if (!work->same_upstream)
    br_names_push (&work->tried, work->upstream);
  else
    work->stalled_at = work->upstream;
  work->failed_ms = br_node_now (task->node);
  if (br_retry_task_failed (task->node->retries, work->number, &query))
    return;
  if (may_have_run && !work->repeatable)
    err->code = BR_ERROR_UNKNOWN_OUTCOME;
  br_work_fail (task, work, err);
}

void
br_work_task_retry (br_work_task_t *task, uint64_t number)
{
  br_work_t *work = br_work_task_find (task, number);

  if (work != NULL && work->state == BR_WORK_RUNNING && !work->followed
      && work->attempt == 0)
    br_work_try (task, work);
}

static void
work_on_answered (br_work_task_t *task, br_work_t *work)
{
  work->answer.complete = true;
  br_work_note_answered (task->node, work);
  br_claim_task_on_answer (task->node->claims, work);
  br_retry_task_success (task->node->retries);
  br_work_end (task, work, BR_WORK_DONE);
}

static void
work_on_failed_attempt (br_work_task_t *task,
                        br_work_t *work,
                        br_attempt_message_t *message)
{
  work->may_have_run |= message->may_have_run;
  if (work->answer.complete)
    {
      /* The connection broke behind the end of the stream. */
      br_log_error (&task->node->log, "work", "failed_after_end",
                    &message->error);
      work_on_answered (task, work);
      return;
    }
  work->same_upstream = message->upstream_answers;
  work_on_failure (task, work, &message->error, message->may_have_run);
}

/* Fails the attempt: after an error, or data that is not an event, the rest of
 * the engine's stream cannot be trusted. */
static void
work_on_bad_event (br_work_task_t *task,
                   br_work_t *work,
                   br_engine_event_t event,
                   br_str_t data)
{
  br_attempt_message_t failed = { .may_have_run = true };

  if (event == BR_ENGINE_EVENT_ERROR)
    br_error_set (
        &failed.error, BR_ERROR_UPSTREAM, "read event", work->upstream.data,
        "the engine reports an error, in an event of %zu bytes", data.len);
  else
    {
      br_counters_add (&task->node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
      br_error_set (&failed.error, BR_ERROR_PROTOCOL, "read event",
                    work->upstream.data,
                    "event of %zu bytes is not JSON in valid UTF-8", data.len);
    }
  br_upstream_task_cancel (task->node->upstreams, work->attempt);
  br_work_detach_attempt (task, work);
  work_on_failed_attempt (task, work, &failed);
}

static void
work_on_event (br_work_task_t *task, br_work_t *work, br_str_t data)
{
  size_t offset = work->base_offset + work->received;
  br_answer_kind_t kind;
  br_engine_event_t event;
  br_buf_t text = { 0 };

  if (work->answer.complete)
    return;
  if (br_str_equal (data, br_str_from ("[DONE]")))
    {
      work->answer.complete = true;
      return;
    }
  event = br_engine_event_read (data, &kind, &text);
  if (event != BR_ENGINE_EVENT_PART)
    {
      br_buf_free (&text);
      work_on_bad_event (task, work, event, data);
      return;
    }
  if (work->received++ == 0)
    br_route_task_first_token (task->node->routes, work);
  if (br_answer_add (&work->answer, offset, kind, br_buf_str (&text))
      == BR_ANSWER_ADDED)
    work_changed (task, work);
  br_buf_free (&text);
}

static void
work_on_done (br_work_task_t *task, br_work_t *work, int status)
{
  br_error_t err;

  work->status = status;
  work->may_have_run = true;
  if (work->kind == BR_SERVICE_PLAIN || work->answer.complete)
    {
      work_on_answered (task, work);
      return;
    }
  br_error_set (&err, BR_ERROR_UPSTREAM, "read answer", work->upstream.data,
                "status %d, and no end of the answer", status);
  work_on_failure (task, work, &err, true);
}

void
br_work_task_on_attempt (br_work_task_t *task, br_attempt_message_t *message)
{
  br_work_t *work = br_work_task_find (task, message->work);

  if (work == NULL || work->attempt != message->attempt)
    return;
  switch (message->event)
    {
    case BR_ATTEMPT_OPENED:
      work->status = message->status;
      break;
    case BR_ATTEMPT_EVENT:
      work_on_event (task, work, br_buf_str (&message->data));
      break;
    case BR_ATTEMPT_BODY:
      if (work->kind == BR_SERVICE_PLAIN)
        br_answer_add (&work->answer, work->answer.parts.len, BR_ANSWER_RAW,
                       br_buf_str (&message->data));
      break;
    case BR_ATTEMPT_DONE:
      br_work_detach_attempt (task, work);
      work_on_done (task, work, message->status);
      break;
    case BR_ATTEMPT_FAILED:
      br_work_detach_attempt (task, work);
      work_on_failed_attempt (task, work, message);
      break;
    }
}

bool
br_work_task_may_send (br_work_task_t *task,
                       uint64_t number,
                       br_ms_t not_after_ms)
{
  br_work_t *work = br_work_task_find (task, number);

  if (work == NULL || work->state != BR_WORK_RUNNING)
    return false;
  work->not_after_ms = not_after_ms;
  br_work_try (task, work);
  return true;
}

void
br_work_task_answered (br_work_task_t *task,
                       uint64_t number,
                       int status,
                       br_str_t body)
{
  br_work_t *work = br_work_task_find (task, number);

  if (work == NULL || work->state != BR_WORK_RUNNING)
    return;
  work->status = status;
  br_answer_add (&work->answer, 0, BR_ANSWER_RAW, body);
  work->answer.complete = true;
  br_work_end (task, work, BR_WORK_DONE);
}

void
br_work_task_failed (br_work_task_t *task,
                     uint64_t number,
                     const br_error_t *err)
{
  br_work_t *work = br_work_task_find (task, number);

  if (work == NULL || work->state != BR_WORK_RUNNING)
    return;
  work->error = *err;
  br_work_end (task, work, BR_WORK_FAILED);
}

br_work_t *
br_work_add (br_work_task_t *task, const br_contract_id_t *contract)
{
  br_contract_id_t own = {
    .vm = task->node->settings.vm,
    .incarnation = task->node->incarnation,
    .number = ++task->last_number,
  };
  br_work_t *work = br_work_table_add (task->table, own.number,
                                       contract != NULL ? contract : &own);

  work->accepted_ms = work->unread_since_ms = br_node_now (task->node);
  return work;
}

static br_resend_query_t
options_resend (const br_work_options_t *options)
{
  return (br_resend_query_t){
    .workload = br_name_str (&options->workload),
    .service = br_name_str (&options->service->name),
    .path = options->path,
    .idempotency_key = options->idempotency_key,
    .body = options->body,
  };
}

br_work_t *
br_work_task_find_resend (br_work_task_t *task,
                          const br_work_options_t *options,
                          br_error_t *err)
{
  br_resend_query_t query = options_resend (options);

  return br_work_task_find (task, br_resends_find (task->resends, &query, err));
}

br_work_t *
br_work_task_accept (br_work_task_t *task, const br_work_options_t *options)
{
  br_resend_query_t resend = options_resend (options);
  br_work_t *work;

  if (options->resent != NULL)
    return options->resent;
  work = br_work_add (task, NULL);
  work->organisation = options->organisation;
  work->service = options->service->name;
  work->kind = options->service->kind;
  work->repeatable
      = options->service->repeatable || options->method == EVHTTP_REQ_GET;
  work->method = options->method;
  work->ticket = options->ticket;
  work->max_tokens = options->max_tokens;
  br_resends_put (task->resends, &resend, work->number);
  br_buf_append (&work->path, options->path);
  br_buf_append (&work->body, options->body);
  br_buf_append (&work->content_type, options->content_type);
  if (options->idempotency_key.len > 0)
    br_buf_append (&work->idempotency_key, options->idempotency_key);
  task->in_progress++;
  BR_LOG (&task->node->log, "work", "accepted",
          br_field_z ("contract", work->contract_text),
          br_field_str ("service", br_name_str (&work->service)));
  br_contract_task_accept (task->node->contracts, work);
  work->queued = !br_admit_task_may_start (task->node->admits, work->ticket,
                                           work->number);
  if (!work->queued)
    br_work_try (task, work);
  return work;
}

void
br_work_task_admitted (br_work_task_t *task, uint64_t number)
{
  br_work_t *work = br_work_task_find (task, number);

  if (work == NULL || work->state != BR_WORK_RUNNING || work->followed)
    return;
  work->queued = false;
  br_work_try (task, work);
}

void
br_work_task_refused (br_work_task_t *task,
                      uint64_t number,
                      const br_error_t *err)
{
  br_work_t *work = br_work_task_find (task, number);
  br_error_t why = *err;

  if (work == NULL || work->state != BR_WORK_RUNNING)
    return;
  why.key_unknown = work->idempotency_key.len > 0;
  br_work_fail (task, work, &why);
}

br_work_t *
br_work_task_find (br_work_task_t *task, uint64_t number)
{
  return br_work_table_find (task->table, number);
}

br_work_t *
br_work_task_find_contract (br_work_task_t *task,
                            const br_contract_id_t *contract)
{
  return br_work_table_find_contract (task->table, contract);
}

void
br_work_add_reader (br_work_t *work)
{
  work->readers++;
}

void
br_work_remove_reader (br_work_task_t *task, br_work_t *work)
{
  work->readers--;
  work->unread_since_ms = br_node_now (task->node);
}

size_t
br_work_task_in_progress (const br_work_task_t *task)
{
  return task->in_progress;
}

/* Fails queued work whose caller disconnected before acceptance was reported
 * to it. */
static void
work_abandon_queued (br_work_task_t *task, br_work_t *work)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNAVAILABLE, "admit", work->service.data,
                "the caller disconnected before the work was admitted");
  br_work_fail (task, work, &err);
}

static void
work_sweep (br_work_t *work, void *context)
{
  br_work_task_t *task = context;
  br_ms_t unread_ms = br_node_now (task->node) - work->unread_since_ms;

  if (work->readers > 0)
    return;
  if (work->state == BR_WORK_RUNNING && work->queued)
    {
      work_abandon_queued (task, work);
      return;
    }
  /* Accepted work continues without a reader. */
  if (work->state == BR_WORK_RUNNING && !work->followed)
    return;
  if (unread_ms < UNREAD_KEEP_MS)
    return;
  br_contract_task_remove (task->node->contracts, work);
  br_work_table_remove (task->table, work);
}

static void
task_on_sweep (evutil_socket_t fd, short what, void *context)
{
  br_work_task_t *task = context;

  (void)fd;
  (void)what;
  br_work_table_each (task->table, work_sweep, task);
}

br_work_task_t *
br_work_task_new (br_node_t *node)
{
  br_work_task_t *task = br_alloc_zero (sizeof *task);
  struct timeval period = { SWEEP_PERIOD_MS / 1000, 0 };

  task->node = node;
  task->resends = br_resends_new ();
  task->table = br_work_table_new ();
  task->sweep = event_new (node->base, -1, EV_PERSIST, task_on_sweep, task);
  event_add (task->sweep, &period);
  return task;
}

void
br_work_task_free (br_work_task_t *task)
{
  if (task == NULL)
    return;
  br_resends_free (task->resends);
  br_work_table_free (task->table);
  event_free (task->sweep);
  free (task);
}
