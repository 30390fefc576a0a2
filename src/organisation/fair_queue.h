/* Start-time fair queueing between organisations, by estimated tokens: over any
 * time in which two organisations wait, each is served in proportion to its
 * weight, whatever the number or size of its requests. */
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

/* The requests of one organisation that wait, the oldest first. */
typedef struct
{
  br_name_t organisation;
  int64_t weight;
  uint64_t finish; /* virtual time at which its last request ends */
  br_fair_items_t items;
  size_t head;      /* first of ITEMS that still waits */
  uint64_t tokens;  /* of all that wait */
  uint64_t running; /* requests that were taken and have not ended */
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

/* Sets the weight of an organisation, which must be above 0. */
void br_fair_queue_set_weight (br_fair_queue_t *queue,
                               const br_name_t *organisation,
                               int64_t weight);
/* Counts a request of ORGANISATION that runs, or has ended. */
void br_fair_queue_started (br_fair_queue_t *queue,
                            const br_name_t *organisation);
void br_fair_queue_ended (br_fair_queue_t *queue,
                          const br_name_t *organisation);

/* Returns how many of CAPACITY requests that run are ORGANISATION's part, by
 * its weight among those that wait or run, itself included. */
uint64_t br_fair_queue_part (br_fair_queue_t *queue,
                             const br_name_t *organisation,
                             uint64_t capacity);

/* Returns the organisation whose turn it is, or NULL when none waits; valid
 * until the queue changes. */
const br_name_t *br_fair_queue_next (const br_fair_queue_t *queue);

/* Returns how many requests of ORGANISATION run. */
uint64_t br_fair_queue_running (br_fair_queue_t *queue,
                                const br_name_t *organisation);
void br_fair_queue_push (br_fair_queue_t *queue,
                         const br_name_t *organisation,
                         br_fair_item_t item);

/* Takes the request whose turn it is; false when none waits. */
bool br_fair_queue_pop (br_fair_queue_t *queue, br_fair_item_t *item);

/* Takes out a request whose deadline is at or before NOW; false when there is
 * none. */
bool br_fair_queue_pop_late (br_fair_queue_t *queue,
                             br_ms_t now,
                             br_fair_item_t *item);

/* Takes out the newest request of an organisation that will not get its turn
 * before its deadline when one token takes TOKEN_MS; false when all will. */
bool br_fair_queue_pop_hopeless (br_fair_queue_t *queue,
                                 br_ms_t now,
                                 double token_ms,
                                 br_fair_item_t *item);

/* Takes out TICKET; false when it does not wait. */
bool br_fair_queue_remove (br_fair_queue_t *queue, uint64_t ticket);

/* Returns how many tokens are served before a new request of ORGANISATION
 * gets its turn, when nobody else comes. */
uint64_t br_fair_queue_ahead (const br_fair_queue_t *queue,
                              const br_name_t *organisation);

BR_END_DECLS

#endif
