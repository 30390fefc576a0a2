/* Sends a caller's request to the upstream that was chosen. */
#include "shell/exchange_private.h"

#include "platform/move_codec.h"
#include "shell/upstream_pool.h"

/* The deadline sent to the upstream is this much before the caller's, in
 * milliseconds, because the answer takes time to arrive. */
#define DEADLINE_MARGIN_MS 10

/* A request that must not be repeated reuses a connection only if it was used
 * within this time, in milliseconds.  The upstream may be about to close an
 * older one, which would lose the request. */
#define NO_REPEAT_IDLE_MAX_MS 1500

void
br_exchange_write_request (br_exchange_t *exchange,
                           const br_fleet_upstream_t *upstream,
                           const br_choice_t *choice,
                           br_ms_t sent_ms,
                           br_http_client_t *client)
{
  const br_http_head_t *head = br_http_conn_head (exchange->conn);
  br_ms_t remaining_ms = exchange->until_ms - sent_ms - DEADLINE_MARGIN_MS;
  br_outbound_t outbound = {
    .upstream_id = br_name_str (&upstream->listing.id),
    .deadline_ms = BR_MAX (remaining_ms, 1),
    .last_event_id = exchange->begun ? br_event_stream_last (&exchange->events)
                                     : exchange->inbound.last_event_id,
    .urgency = -1,
  };
  br_buf_t request = { 0 };
  br_buf_t copy = { 0 };

  if (br_exchange_goes_on (exchange))
    br_platform_write_copy (exchange->move.source_address.data,
                            exchange->move.source_port, exchange->move.handle,
                            &copy);
  outbound.copy = br_buf_str (&copy);
  if (exchange->organisation != NULL)
    outbound.organisation = br_name_str (&exchange->organisation->name);
  if (exchange->service->has_engine)
    outbound.urgency
        = br_choice_urgency (exchange->route->priority, choice->uncached);
  br_platform_write_request (head, br_http_conn_body (exchange->conn),
                             &outbound, &request);
  br_http_client_send (client, br_buf_str (&request));
  br_buf_free (&request);
  br_buf_free (&copy);
}

static void
exchange_record_sent (br_exchange_t *exchange)
{
  br_entry_task_t *task = exchange->task;
  br_entry_service_t *service
      = br_entry_service (task, br_name_str (&exchange->service->name));

  br_fleet_sent (exchange->upstream, &exchange->inbound,
                 exchange->choice.uncached, exchange->sent_ms);
  if (exchange->n_tried < BR_CHOICE_TRIED_MAX)
    exchange->tried[exchange->n_tried++] = exchange->upstream;
  service->in_flight++;
  /* A repeated attempt is not counted as demand; otherwise failing engines
   * would raise the demand without bound. */
  if (exchange->ran + exchange->refused == 0)
    service->prefill_tokens += exchange->choice.uncached;
  br_counters_add (&task->node->counters, BR_COUNTER_ATTEMPTS, 1);
}

/* Returns how long a connection may have been idle to be reused.  A request
 * without an id gets a new one, on which no answer can be another request's. */
static br_ms_t
exchange_idle_max_ms (const br_exchange_t *exchange)
{
  /* A connection that isn't accepted shows that the run has not gone on. */
  if (exchange->inbound.id.len == 0 || br_exchange_goes_on (exchange))
    return BR_UPSTREAM_POOL_NEW;
  return br_exchange_may_repeat (exchange) ? BR_MS_NEVER
                                           : NO_REPEAT_IDLE_MAX_MS;
}

void
br_exchange_send (br_exchange_t *exchange, bool suspect)
{
  br_entry_task_t *task = exchange->task;
  br_ms_t now = br_exchange_now (exchange);
  br_upstream_pool_options_t options = {
    .on_event = br_exchange_on_client,
    .context = exchange,
    .idle_max_ms = exchange_idle_max_ms (exchange),
  };
  bool is_new;

  br_exchange_clear_answer (exchange);
  exchange->repeat_granted = false;
  exchange->had_first_event = false;
  exchange->sent_ms = exchange->last_byte_ms = now;
  br_exchange_move_reset (exchange);
  exchange->upstream = exchange->choice.upstream;
  exchange->attempt_version = br_listing_version (&exchange->upstream->listing);
  exchange->client = br_upstream_pool_take (
      task->node->base, exchange->upstream, &options, now, &is_new);
  exchange_record_sent (exchange);
  exchange->suspect = suspect;
  exchange->loss_recorded = false;
  br_exchange_log_trial (exchange);
  if (suspect)
    br_quarantine_start (&task->node->quarantine, exchange->content,
                         &exchange->upstream->listing.id);
  if (exchange->client == NULL)
    {
      br_exchange_fail_attempt (exchange, "bad_address", false,
                                BR_RESULT_UNREACHABLE);
      return;
    }
  br_exchange_rollout_sent (exchange);
  br_exchange_write_request (exchange, exchange->upstream, &exchange->choice,
                             now, exchange->client);
  br_exchange_record_stream (exchange);
  if (!exchange->service->has_engine)
    br_exchange_count_usage (exchange);
  br_exchange_set_timer (exchange, br_exchange_next_check_ms (exchange));
  br_exchange_hedge_arm (exchange);
}
