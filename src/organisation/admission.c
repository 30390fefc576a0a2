#include "organisation/admission.h"

#include <math.h>
#include <uthash.h>

#include "organisation/fair_queue.h"
#include "organisation/limits.h"

/* Weight of the latest request in the measured drain rate. */
#define DRAIN_SMOOTHING 0.05

/* Retry-after time before the drain rate has been measured. */
#define RETRY_AFTER_DEFAULT_MS 1000

/* The requests of one service on this VM. */
typedef struct
{
  br_name_t service;
  uint64_t capacity;   /* requests that may run; UINT64_MAX: unknown */
  uint64_t unreserved; /* of these, open to organisations above their share */
  uint64_t running;
  br_fair_queue_t queue;
  double done_tokens; /* smoothed tokens of a request that ended */
  double done_ms;     /* smoothed time that it ran */
} pool_t;

BR_VEC (pools, pool_t);

typedef struct
{
  uint64_t number;
  br_name_t organisation;
  size_t pool;
  uint64_t tokens;
  bool running;
  br_ms_t requested_ms;
  br_ms_t started_ms;
  UT_hash_handle hh;
} ticket_t;

struct br_admission
{
  br_limits_t limits;
  pools_t pools;
  ticket_t *tickets;
  size_t waiting;
  size_t running;
};

br_admission_t *
br_admission_new (const br_admission_options_t *options)
{
  br_admission_t *admission = br_alloc_zero (sizeof *admission);

  br_limits_init (&admission->limits, options);
  return admission;
}

void
br_admission_free (br_admission_t *admission)
{
  ticket_t *ticket;
  ticket_t *next;

  if (admission == NULL)
    return;
  HASH_ITER (hh, admission->tickets, ticket, next)
  {
    HASH_DEL (admission->tickets, ticket);
    free (ticket);
  }
  for (size_t i = 0; i < admission->pools.len; i++)
    br_fair_queue_release (&admission->pools.items[i].queue);
  pools_free (&admission->pools);
  br_limits_release (&admission->limits);
  free (admission);
}

static size_t
admission_pool (br_admission_t *admission, const br_name_t *service)
{
  pool_t added = { .service = *service,
                   .capacity = UINT64_MAX,
                   .unreserved = UINT64_MAX };

  for (size_t i = 0; i < admission->pools.len; i++)
    if (br_name_equal (&admission->pools.items[i].service, service))
      return i;
  pools_push (&admission->pools, added);
  return admission->pools.len - 1;
}

static ticket_t *
admission_ticket (br_admission_t *admission, uint64_t number)
{
  ticket_t *ticket;

  HASH_FIND (hh, admission->tickets, &number, sizeof number, ticket);
  return ticket;
}

/* Returns the measured time in which one queued token is served, or 0 before
 * the first measurement. */
static double
pool_token_ms (const pool_t *pool)
{
  double slots = (double)BR_MIN (pool->capacity, pool->running);

  if (pool->done_ms <= 0 || pool->done_tokens <= 0)
    return 0;
  return pool->done_ms / (pool->done_tokens * BR_MAX (slots, 1));
}

static br_ms_t
pool_drain_ms (const pool_t *pool, uint64_t tokens)
{
  return (br_ms_t)ceil ((double)tokens * pool_token_ms (pool));
}

static void
outbox_refuse (br_admission_outbox_t *outbox,
               uint64_t ticket,
               br_error_code_t code,
               const br_name_t *organisation,
               br_ms_t retry_after_ms,
               const char *text)
{
  br_admission_output_t *output = br_admission_outbox_push (
      outbox, (br_admission_output_t){ .kind = BR_ADMISSION_REFUSED,
                                       .ticket = ticket });

  br_error_set (&output->error, code, "admit", organisation->data, "%s", text);
  output->error.retry_after_ms
      = retry_after_ms > 0 ? retry_after_ms : RETRY_AFTER_DEFAULT_MS;
}

static void
admission_remove_ticket (br_admission_t *admission,
                         ticket_t *ticket,
                         br_ms_t now)
{
  br_limits_end (br_limits_find (&admission->limits, &ticket->organisation),
                 now - ticket->requested_ms);
  HASH_DEL (admission->tickets, ticket);
  free (ticket);
}

/* Returns whether one more request of ORGANISATION may run now. */
static bool
pool_has_capacity (pool_t *pool, const br_name_t *organisation)
{
  if (pool->running >= pool->capacity)
    return false;
  return pool->running < pool->unreserved
         || br_fair_queue_running (&pool->queue, organisation)
                < br_fair_queue_share (&pool->queue, organisation,
                                       pool->capacity);
}

static bool
pool_next_has_capacity (pool_t *pool)
{
  const br_name_t *next = br_fair_queue_next (&pool->queue);

  return next != NULL && pool_has_capacity (pool, next);
}

static void
admission_start (br_admission_t *admission,
                 ticket_t *ticket,
                 br_ms_t now,
                 br_admission_outbox_t *outbox)
{
  br_admission_output_t output
      = { .kind = BR_ADMISSION_ADMITTED, .ticket = ticket->number };
  pool_t *pool = &admission->pools.items[ticket->pool];

  ticket->running = true;
  ticket->started_ms = now;
  pool->running++;
  br_fair_queue_started (&pool->queue, &ticket->organisation);
  admission->running++;
  br_admission_outbox_push (outbox, output);
}

/* Refuses a queued request that cannot start before its deadline. */
static void
admission_refuse_waiting (br_admission_t *admission,
                          pool_t *pool,
                          uint64_t number,
                          br_ms_t now,
                          br_admission_outbox_t *outbox)
{
  ticket_t *ticket = admission_ticket (admission, number);

  admission->waiting--;
  outbox_refuse (outbox, number, BR_ERROR_UNAVAILABLE, &ticket->organisation,
                 pool_drain_ms (pool, pool->queue.tokens),
                 "the latency target cannot be met any more");
  admission_remove_ticket (admission, ticket, now);
}

static void
admission_dispatch (br_admission_t *admission,
                    pool_t *pool,
                    br_ms_t now,
                    br_admission_outbox_t *outbox)
{
  br_fair_item_t item;

  while (br_fair_queue_pop_expired (&pool->queue, now, &item))
    admission_refuse_waiting (admission, pool, item.ticket, now, outbox);
  while (pool_next_has_capacity (pool))
    {
      br_fair_queue_pop (&pool->queue, &item);
      admission->waiting--;
      admission_start (admission, admission_ticket (admission, item.ticket),
                       now, outbox);
    }
  while (br_fair_queue_pop_infeasible (&pool->queue, now, pool_token_ms (pool),
                                       &item))
    admission_refuse_waiting (admission, pool, item.ticket, now, outbox);
}

static ticket_t *
admission_add_ticket (br_admission_t *admission,
                      const br_admission_request_t *request,
                      size_t pool,
                      br_ms_t now)
{
  ticket_t *ticket = br_alloc_zero (sizeof *ticket);

  ticket->number = request->ticket;
  ticket->organisation = request->organisation;
  ticket->pool = pool;
  ticket->tokens = BR_MAX (request->tokens, 1);
  ticket->requested_ms = now;
  HASH_ADD (hh, admission->tickets, number, sizeof ticket->number, ticket);
  return ticket;
}

/* Returns whether REQUEST can be queued.  Refuses it if the queue is full or it
 * would not start before its deadline. */
static bool
admission_can_wait (br_admission_t *admission,
                    const pool_t *pool,
                    const br_admission_request_t *request,
                    br_ms_t now,
                    br_admission_outbox_t *outbox)
{
  uint64_t ahead = br_fair_queue_ahead (&pool->queue, &request->organisation);
  br_ms_t wait_ms = pool_drain_ms (pool, ahead);
  br_ms_t remaining_ms = request->deadline_ms - now;

  if (admission->waiting >= BR_ADMISSION_QUEUE_MAX)
    {
      outbox_refuse (outbox, request->ticket, BR_ERROR_UNAVAILABLE,
                     &request->organisation,
                     pool_drain_ms (pool, pool->queue.tokens),
                     "the queue of this VM is full");
      return false;
    }
  if (wait_ms <= remaining_ms)
    return true;
  outbox_refuse (outbox, request->ticket, BR_ERROR_UNAVAILABLE,
                 &request->organisation, wait_ms - remaining_ms,
                 "the latency target cannot be met now");
  return false;
}

static void
admission_on_request (br_admission_t *admission,
                      const br_admission_request_t *request,
                      br_ms_t now,
                      br_admission_outbox_t *outbox)
{
  br_organisation_usage_t *organisation
      = br_limits_find (&admission->limits, &request->organisation);
  size_t index = admission_pool (admission, &request->service);
  pool_t *pool = &admission->pools.items[index];
  br_ms_t limit_wait_ms = br_limits_request (organisation, now);
  bool must_wait;
  ticket_t *ticket;

  assert (admission_ticket (admission, request->ticket) == NULL);
  br_fair_queue_set_weight (&pool->queue, &request->organisation,
                            organisation->declared.weight);
  must_wait = pool->queue.len > 0
              || !pool_has_capacity (pool, &request->organisation);
  if (limit_wait_ms > 0)
    {
      outbox_refuse (outbox, request->ticket, BR_ERROR_LIMITED,
                     &request->organisation, limit_wait_ms,
                     "a limit of the organisation is reached");
      return;
    }
  if (must_wait && !admission_can_wait (admission, pool, request, now, outbox))
    return;
  br_limits_take (organisation, now);
  ticket = admission_add_ticket (admission, request, index, now);
  if (!must_wait)
    {
      admission_start (admission, ticket, now, outbox);
      return;
    }
  br_fair_queue_push (&pool->queue, &request->organisation,
                      (br_fair_item_t){ .ticket = request->ticket,
                                        .tokens = ticket->tokens,
                                        .deadline_ms = request->deadline_ms });
  admission->waiting++;
  admission_dispatch (admission, pool, now, outbox);
}

static void
pool_measure (pool_t *pool, uint64_t tokens, br_ms_t span_ms)
{
  double ms = (double)BR_MAX (span_ms, 1);

  if (pool->done_ms <= 0)
    {
      pool->done_tokens = (double)tokens;
      pool->done_ms = ms;
      return;
    }
  pool->done_tokens += DRAIN_SMOOTHING * ((double)tokens - pool->done_tokens);
  pool->done_ms += DRAIN_SMOOTHING * (ms - pool->done_ms);
}

/* Removes a request that ended or whose caller disconnected.  MEASURE is set if
 * it ran to its end, so that its time counts in the measured drain rate. */
static void
admission_end (br_admission_t *admission,
               uint64_t number,
               bool measure,
               br_ms_t now,
               br_admission_outbox_t *outbox)
{
  ticket_t *ticket = admission_ticket (admission, number);
  pool_t *pool;

  if (ticket == NULL)
    return;
  pool = &admission->pools.items[ticket->pool];
  if (ticket->running)
    {
      pool->running--;
      br_fair_queue_ended (&pool->queue, &ticket->organisation);
      admission->running--;
      if (measure)
        pool_measure (pool, ticket->tokens, now - ticket->started_ms);
    }
  else
    {
      br_fair_queue_remove (&pool->queue, number);
      admission->waiting--;
    }
  admission_remove_ticket (admission, ticket, now);
  admission_dispatch (admission, pool, now, outbox);
}

static void
admission_on_tick (br_admission_t *admission,
                   br_ms_t now,
                   br_admission_outbox_t *outbox)
{
  for (size_t i = 0; i < admission->pools.len; i++)
    admission_dispatch (admission, &admission->pools.items[i], now, outbox);
  br_limits_tick (&admission->limits, now, outbox);
}

void
br_admission_handle (br_admission_t *admission,
                     const br_admission_input_t *input,
                     br_ms_t now,
                     br_admission_outbox_t *outbox)
{
  size_t index;
  pool_t *pool;

  switch (input->kind)
    {
    case BR_ADMISSION_LIMITS:
      br_limits_declare (&admission->limits, &input->limits, now);
      break;
    case BR_ADMISSION_REMOVE:
      br_limits_remove (&admission->limits, &input->remove);
      break;
    case BR_ADMISSION_CAPACITY:
      index = admission_pool (admission, &input->capacity.service);
      pool = &admission->pools.items[index];
      pool->capacity = input->capacity.max;
      pool->unreserved = input->capacity.unreserved;
      admission_dispatch (admission, pool, now, outbox);
      break;
    case BR_ADMISSION_REQUEST:
      admission_on_request (admission, &input->request, now, outbox);
      break;
    case BR_ADMISSION_DISCONNECT:
      admission_end (admission, input->disconnect, false, now, outbox);
      break;
    case BR_ADMISSION_DONE:
      admission_end (admission, input->done, true, now, outbox);
      break;
    case BR_ADMISSION_DIGEST:
      br_limits_on_digest (&admission->limits, input->digest);
      break;
    case BR_ADMISSION_TICK:
      admission_on_tick (admission, now, outbox);
      break;
    }
}

void
br_admission_outbox_reset (br_admission_outbox_t *outbox)
{
  for (size_t i = 0; i < outbox->len; i++)
    br_admission_demands_free (&outbox->items[i].digest.demands);
  outbox->len = 0;
}

size_t
br_admission_waiting (const br_admission_t *admission)
{
  return admission->waiting;
}

size_t
br_admission_running (const br_admission_t *admission)
{
  return admission->running;
}
