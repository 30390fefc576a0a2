/* Start-time fair queueing between organisations, by estimated tokens.  While
 * several organisations have requests in the queue, each is served in
 * proportion to its weight, whatever the number or size of its requests. */
#ifndef BR_ORGANISATION_FAIR_QUEUE_H
#define BR_ORGANISATION_FAIR_QUEUE_H

#include <stdbool.h>

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef struct
{
  uint64_t ticket;
  uint64_t tokens; /* estimated cost */
  br_ms_t deadline_ms;
} br_fair_item_t;

BR_VEC (br_fair_items, br_fair_item_t);

/* The queued requests of one organisation, the oldest first. */
typedef struct
{
  br_name_t organisation;
  int64_t weight;
  uint64_t finish; /* virtual time at which its last queued request ends */
  br_fair_items_t items;
  size_t head;      /* index in ITEMS of the oldest queued request */
  uint64_t tokens;  /* of all queued requests */
  uint64_t running; /* requests that have started and not ended */
} br_fair_flow_t;

BR_VEC (br_fair_flows, br_fair_flow_t);

/* An all-zero value is an empty queue. */
typedef struct
{
  br_fair_flows_t flows;
  uint64_t virtual_time;
  size_t len;
  uint64_t tokens;
} br_fair_queue_t;

void br_fair_queue_release (br_fair_queue_t *queue);

/* Sets the weight of an organisation.  WEIGHT must be above 0. */
void br_fair_queue_set_weight (br_fair_queue_t *queue,
                               const br_name_t *organisation,
                               int64_t weight);
/* Counts a request of ORGANISATION that has started or ended. */
void br_fair_queue_started (br_fair_queue_t *queue,
                            const br_name_t *organisation);
void br_fair_queue_ended (br_fair_queue_t *queue,
                          const br_name_t *organisation);

/* Returns ORGANISATION's share of CAPACITY running requests, by its weight
 * among the organisations that have requests queued or running, itself
 * included. */
uint64_t br_fair_queue_share (br_fair_queue_t *queue,
                              const br_name_t *organisation,
                              uint64_t capacity);

/* Returns the organisation that is served next, or NULL when the queue is
 * empty; valid until the queue changes. */
const br_name_t *br_fair_queue_next (const br_fair_queue_t *queue);

/* Returns how many requests of ORGANISATION run. */
uint64_t br_fair_queue_running (br_fair_queue_t *queue,
                                const br_name_t *organisation);
void br_fair_queue_push (br_fair_queue_t *queue,
                         const br_name_t *organisation,
                         br_fair_item_t item);

/* Takes the request that is served next.  Returns false when the queue is
 * empty. */
bool br_fair_queue_pop (br_fair_queue_t *queue, br_fair_item_t *item);

/* Removes a request whose deadline is at or before NOW.  Returns false when
 * there is none. */
bool br_fair_queue_pop_expired (br_fair_queue_t *queue,
                                br_ms_t now,
                                br_fair_item_t *item);

/* Removes the newest request of an organisation if it cannot be served before
 * its deadline when one token takes TOKEN_MS.  Returns false when all newest
 * requests can be. */
bool br_fair_queue_pop_infeasible (br_fair_queue_t *queue,
                                   br_ms_t now,
                                   double token_ms,
                                   br_fair_item_t *item);

/* Removes TICKET.  Returns false when it is not in the queue. */
bool br_fair_queue_remove (br_fair_queue_t *queue, uint64_t ticket);

/* Returns how many tokens are served before a new request of ORGANISATION, if
 * no other requests are added. */
uint64_t br_fair_queue_ahead (const br_fair_queue_t *queue,
                              const br_name_t *organisation);

BR_END_DECLS

#endif
