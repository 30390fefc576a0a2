/* The inside of one exchange, which its files share: exchange_arrival.c
 * has the arrival, exchange.c the attempts, exchange_end.c the log and the
 * ends, exchange_answer.c what an upstream sends. */
#ifndef BR_SHELL_EXCHANGE_PRIVATE_H
#define BR_SHELL_EXCHANGE_PRIVATE_H

#include "http/http_client.h"
#include "platform/request_codec.h"
#include "shell/entry_private.h"
#include "site/attempt.h"
#include "site/event_stream.h"

BR_BEGIN_DECLS

/* When to come back where nothing better is known, in milliseconds. */
#define BR_EXCHANGE_RETRY_AFTER_MS 250

struct br_exchange
{
  br_entry_task_t *task;
  br_http_conn_t *conn; /* NULL once the caller has gone or is answered */
  br_configuration_t *configuration; /* in force when the request came */
  const br_site_route_t *route;
  const br_site_organisation_t *organisation; /* NULL on an open route */
  const br_site_service_t *service;
  br_inbound_t inbound;
  br_ms_t began_ms;
  br_ms_t until_ms; /* end of the caller's patience or the route's timeout */
  double units;     /* taken from the quota */
  uint64_t content; /* names what is asked for; 0: not computed yet */
  bool waits_for_start; /* nothing below is known yet */
  struct event *timer;

  /* the attempt under way */
  br_fleet_upstream_t *upstream; /* NULL: none */
  br_http_client_t *client;
  br_choice_t choice;
  bool suspect; /* the attempt is told to the quarantine */
  bool is_loss; /* it counts as lost, unless an answer comes */
  br_ms_t sent_ms;
  br_ms_t last_byte_ms; /* last byte of the answer */
  bool head_seen;
  bool had_first;
  bool counted;    /* in the usage of its organisation */
  uint64_t window; /* in which it is counted */
  br_outcome_head_t outcome;
  br_http_head_t answer_head; /* copied */
  br_buf_t answer;            /* of a plain service, or part of an event */

  /* all attempts */
  const br_fleet_upstream_t *tried[BR_CHOICE_TRIED_MAX];
  size_t n_tried;
  int ran;
  int refused;
  br_event_stream_t events;
  bool begun; /* the caller has part of a stream */
  br_ms_t first_ms;
  br_ms_t passed_ms;      /* when events were last passed on */
  br_ms_t longest_gap_ms; /* between two events that the caller got */
  int arrived;            /* attempts that reached an upstream */
  bool has_repeat;        /* the next attempt is within the budget */
  const char *cause;      /* of the last failure */

  br_exchange_t *prev;
  br_exchange_t *next;
};

br_ms_t br_exchange_now (const br_exchange_t *exchange);

/* The name of what the exchange asks for, the same for a resend. */
uint64_t br_exchange_content (br_exchange_t *exchange);

/* --- exchange_arrival.c --- */

/* Refuses a request that came before this VM knew what is in force. */
void br_exchange_refuse_not_ready (br_exchange_t *exchange);

/* --- exchange.c --- */

/* Looks at the attempt under way; an event_callback_fn. */
void br_exchange_on_timer (evutil_socket_t fd, short what, void *context);

/* Chooses an upstream and sends the request there; the exchange may be
 * freed. */
void br_exchange_attempt (br_exchange_t *exchange);

/* The attempt under way has failed for CAUSE; decides what follows.  The
 * exchange may be freed. */
void br_exchange_failed (br_exchange_t *exchange,
                         const char *cause,
                         bool may_have_run,
                         br_result_kind_t result);

/* Whether the route lets a request run more than once. */
bool br_exchange_may_repeat (const br_exchange_t *exchange);

/* Looks at the exchange again at AT_MS, or when its time is over. */
void br_exchange_set_timer (br_exchange_t *exchange, br_ms_t at_ms);

/* The attempt ran to its end: the request crashes nothing. */
void br_exchange_note_answered (br_exchange_t *exchange);

/* The attempt is given up.  When its upstream has not answered it by a byte, it
 * may have crashed without a sign. */
void br_exchange_note_unanswered (br_exchange_t *exchange);

/* The attempt has begun to run: it counts in its organisation's usage. */
void br_exchange_count_usage (br_exchange_t *exchange);

/* --- exchange_end.c --- */

/* Writes the line that explains the request: its end, and the status that the
 * caller got, or 0. */
void br_exchange_log (const br_exchange_t *exchange,
                      const char *outcome,
                      int status);

/* Writes the line of an attempt that did not end in an answer. */
void br_exchange_log_attempt (br_exchange_t *exchange,
                              const char *cause,
                              bool may_have_run,
                              const char *next);

/* Forgets the head and the body that were received. */
void br_exchange_drop_head (br_exchange_t *exchange);

/* The attempt is over; its connection is kept, or closed. */
void br_exchange_leave_upstream (br_exchange_t *exchange, bool keep);

/* Each answers the caller and frees the exchange, but for br_exchange_end()
 * with a further attempt. */
void br_exchange_answer_error (br_exchange_t *exchange, const br_error_t *err);
void br_exchange_refuse (br_exchange_t *exchange,
                         const char *why,
                         br_ms_t retry_after_ms);
void br_exchange_end (br_exchange_t *exchange,
                      br_attempt_next_t next,
                      const char *why);

/* --- exchange_answer.c --- */

/* A br_client_fn: what the upstream sends. */
void br_exchange_on_client (void *context,
                            br_http_client_t *client,
                            const br_client_event_t *event);

BR_END_DECLS

#endif
