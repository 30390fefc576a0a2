/* Keeps a stream at the software version that began it. */
#include "shell/exchange_private.h"

/* How long a take-up waits for control VMs to answer, in milliseconds. */
#define ANSWER_WAIT_MS 200

/* A list of upstreams that is older than this, in milliseconds, may lack a
 * version. */
#define LIST_AGE_MAX_MS 2000

/* Retry-After while the version is not known, in milliseconds: its record may
 * be on the way. */
#define UNKNOWN_RETRY_AFTER_MS 250

/* Retry-After while a rollout does not allow the version, in milliseconds: it
 * may allow it again. */
#define NOT_ALLOWED_RETRY_AFTER_MS 1000

/* Retry-After once the version has left, in milliseconds. */
#define LEFT_RETRY_AFTER_MS 60000

bool
br_exchange_is_take_up (const br_exchange_t *exchange)
{
  return exchange->route->kind == BR_ROUTE_STREAM
         && exchange->inbound.last_event_id.len > 0;
}

static bool
route_has_service (const br_site_route_t *route, const br_name_t *service)
{
  for (size_t i = 0; i < route->splits.len; i++)
    if (route->splits.items[i].weight > 0
        && br_name_equal (&route->splits.items[i].service, service))
      return true;
  return false;
}

static void
exchange_log_version (const br_exchange_t *exchange, const char *from)
{
  const br_entry_task_t *task = exchange->task;
  br_version_count_t count
      = br_choice_count_version (&task->fleet, exchange->version);

  BR_LOG (&task->node->log, "request", "take-up",
          br_field_str ("id", exchange->inbound.id),
          br_field_str ("resumes", exchange->inbound.resumes),
          br_field_str ("after", exchange->inbound.last_event_id),
          br_field_z ("version_from", from),
          br_field_z ("service", exchange->service->name.data),
          br_field_int ("serving", (int64_t)count.serving),
          br_field_int ("draining", (int64_t)count.draining),
          br_field_int ("list_age_ms",
                        br_exchange_now (exchange) - task->fleet.read_ms));
}

/* Starts the request at VERSION, or refuses it if the version has left.  A
 * take-up that cannot go on takes nothing from the quota, which would let fewer
 * other requests through.  The service of the route that has the version
 * replaces the one drawn for the request. */
static void
exchange_resume_at (br_exchange_t *exchange,
                    br_version_t version,
                    const char *from)
{
  const br_name_t *service
      = br_choice_version_service (&exchange->task->fleet, version);

  exchange->version_answers = 0;
  exchange->version = version;
  if (service != NULL && route_has_service (exchange->route, service))
    exchange->service = br_configuration_service (exchange->configuration,
                                                  br_name_str (service));
  exchange_log_version (exchange, from);
  if (br_exchange_version_left (exchange))
    br_exchange_end_stream (exchange);
  else
    br_exchange_start (exchange);
}

/* Returns the only version that the service had, as far as this VM's lists
 * tell, or 0.  While no control VM answers, they may be older than they look:
 * the steady clock does not count the time in which a VM is suspended. */
static br_version_t
exchange_sole_version (const br_exchange_t *exchange)
{
  const br_fleet_t *fleet = &exchange->task->fleet;
  br_ms_t now = br_exchange_now (exchange);

  if (!exchange->version_answered || now - fleet->read_ms > LIST_AGE_MAX_MS)
    return 0;
  return br_version_history_sole (&fleet->history, &exchange->service->name,
                                  now);
}

void
br_exchange_end_version_wait (br_exchange_t *exchange)
{
  br_version_t sole = exchange->sole_version != 0
                          ? exchange->sole_version
                          : exchange_sole_version (exchange);

  exchange->version_answers = 0;
  if (sole != 0)
    {
      exchange_resume_at (exchange, sole, "only version");
      return;
    }
  exchange_log_version (exchange, "unknown");
  br_exchange_refuse (exchange,
                      "it is not known which version began the stream",
                      UNKNOWN_RETRY_AFTER_MS);
}

void
br_exchange_take_up (br_exchange_t *exchange)
{
  br_entry_task_t *task = exchange->task;
  br_ms_t now = br_exchange_now (exchange);
  br_version_t version;

  exchange->stream = br_stream_from_id (exchange->inbound.resumes);
  version = br_stream_table_find (&task->streams, exchange->stream, now);
  if (version != 0 && exchange->inbound.resumes.len > 0)
    {
      exchange_resume_at (exchange, version, "own record");
      return;
    }
  exchange->version_answers
      = br_entry_ask_stream (task, exchange->stream, &exchange->service->name);
  if (exchange->version_answers == 0)
    br_exchange_end_version_wait (exchange);
  else
    br_exchange_set_timer (exchange, now + ANSWER_WAIT_MS);
}

void
br_exchanges_on_stream_answer (br_entry_task_t *task,
                               const Br__Site__StreamAnswer *answer)
{
  br_exchange_t *exchange = task->exchanges;
  br_exchange_t *next;

  for (; exchange != NULL; exchange = next)
    {
      next = exchange->next;
      if (exchange->version_answers == 0 || exchange->stream != answer->stream)
        continue;
      exchange->version_answered = true;
      if (answer->sole != 0)
        exchange->sole_version = answer->sole;
      if (answer->version != 0 && exchange->inbound.resumes.len > 0)
        exchange_resume_at (exchange, answer->version, "record");
      else if (--exchange->version_answers == 0)
        br_exchange_end_version_wait (exchange);
    }
}

void
br_exchange_record_stream (br_exchange_t *exchange)
{
  br_version_t before = exchange->recorded_version;

  if (exchange->route->kind != BR_ROUTE_STREAM || !exchange->route->resumable
      || exchange->attempt_version == before)
    return;
  if (exchange->stream == 0)
    exchange->stream = br_stream_from_id (exchange->inbound.id);
  exchange->recorded_version = exchange->attempt_version;
  br_entry_record_stream (exchange->task, exchange->stream,
                          exchange->attempt_version);
  /* The record of the attempt before would be wrong from the first event on. */
  if (before != 0)
    br_entry_report_loads (exchange->task);
}

bool
br_exchange_version_left (const br_exchange_t *exchange)
{
  const br_name_t *service;

  if (exchange->version == 0)
    return false;
  if (!br_exchange_version_is_allowed (exchange))
    return true;
  service
      = br_choice_version_service (&exchange->task->fleet, exchange->version);
  return service == NULL || !br_name_equal (service, &exchange->service->name);
}

void
br_exchange_end_stream (br_exchange_t *exchange)
{
  bool is_allowed = br_exchange_version_is_allowed (exchange);
  const char *why
      = is_allowed ? "the version that began the stream has left"
                   : "the rollout does not allow the version that began the "
                     "stream";
  br_attempt_query_t query = {
    .ran = exchange->ran,
    .begun = exchange->begun,
    .remaining_ms = exchange->until_ms - br_exchange_now (exchange),
  };
  br_attempt_next_t next = br_attempt_give_up (&query);

  if (next == BR_ATTEMPT_REFUSE)
    br_exchange_refuse (exchange, why,
                        is_allowed ? LEFT_RETRY_AFTER_MS
                                   : NOT_ALLOWED_RETRY_AFTER_MS);
  else
    br_exchange_end (exchange, next, why);
}
