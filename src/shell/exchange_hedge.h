/* A second run of an exchange beside its current attempt. */
#ifndef BR_SHELL_EXCHANGE_HEDGE_H
#define BR_SHELL_EXCHANGE_HEDGE_H

#include "hedge/hedge.h"
#include "http/http_client.h"
#include "platform/request_codec.h"
#include "site/choice.h"
#include "site/event_stream.h"

BR_BEGIN_DECLS

/* The copy of one exchange.  None of its bytes are forwarded before it becomes
 * the current attempt. */
typedef struct
{
  struct event *timer;           /* NULL: the request is never copied */
  br_fleet_upstream_t *upstream; /* NULL: no copy runs */
  br_http_client_t *client;
  br_choice_t choice;
  br_ms_t sent_ms;  /* of the copy */
  br_ms_t first_ms; /* when the attempt beside it was sent; 0: never copied */
  br_name_t beside; /* upstream of that attempt */
  bool head_seen;
  const char *framing;
  br_outcome_head_t outcome;
  br_http_head_t head; /* copied */
  br_buf_t answer;     /* bytes of the body so far */
  br_event_stream_t events;
} br_exchange_hedge_t;

/* Sets the time at which the current attempt, just sent, is copied. */
void br_exchange_hedge_arm (br_exchange_t *exchange);

/* Returns whether a copy runs. */
bool br_exchange_hedge_runs (const br_exchange_t *exchange);

/* The current attempt shows a first event or a whole answer: records its time
 * and ends the copy. */
void br_exchange_hedge_answered (br_exchange_t *exchange);

/* Ends the copy, if one runs, as the exchange ends or waits. */
void br_exchange_hedge_abandon (br_exchange_t *exchange);

/* The current attempt has failed and ended: the copy, if one runs, becomes the
 * current attempt.  Returns false if none runs. */
bool br_exchange_hedge_takes_over (br_exchange_t *exchange);

/* Frees what the exchange holds for copies. */
void br_exchange_hedge_release (br_exchange_t *exchange);

BR_END_DECLS

#endif
