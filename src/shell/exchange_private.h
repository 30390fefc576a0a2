/* Types and functions shared by the files of the exchange: exchange_arrival.c
 * admits requests, exchange.c runs the attempts, exchange_quarantine.c
 * asks the quarantine, exchange_rollout.c keeps to the versions that a rollout
 * allows, exchange_send.c sends an attempt, exchange_hedge.c sends a copy of a
 * slow one, exchange_move.c goes on at another engine, exchange_answer.c
 * handles an upstream's answer, exchange_end.c writes the log and ends
 * exchanges. */
#ifndef BR_SHELL_EXCHANGE_PRIVATE_H
#define BR_SHELL_EXCHANGE_PRIVATE_H

#include "http/http_client.h"
#include "platform/request_codec.h"
#include "shell/entry_private.h"
#include "shell/exchange_hedge.h"
#include "shell/exchange_move.h"
#include "site/attempt.h"
#include "site/event_stream.h"
#include "site/relayed_answer.h"

BR_BEGIN_DECLS

/* Retry-After where no better estimate exists, in milliseconds. */
#define BR_EXCHANGE_RETRY_AFTER_MS 250

/* What the quarantine knows a request by: its content, or a part of its prompt
 * that other requests share. */
typedef struct
{
  uint64_t subject; /* digest of the content or part; 0: nothing */
  bool is_part;
  uint64_t part; /* id of the part */
} br_blocked_t;

/* What the rollout of its service means for an exchange. */
typedef struct
{
  bool is_decided;
  br_version_choice_t choice;
  const char *reason; /* of the choice, for the log; NULL: no rollout */
  uint64_t number;  /* of the order in force when the current attempt was sent;
                     * 0: none, or its result is recorded */
  bool paused;      /* the attempt paused for longer than its route allows */
  br_ms_t event_ms; /* when its events were last forwarded; 0: not since the
                     * caller was slow */
} br_exchange_rollout_t;

/* One caller's request until it is answered. */
struct br_exchange
{
  br_entry_task_t *task;
  br_http_conn_t *conn;              /* NULL after a disconnect or the answer */
  br_configuration_t *configuration; /* in force when it was admitted */
  const br_site_route_t *route;
  const br_site_organisation_t *organisation; /* NULL on an open route */
  const br_site_service_t *service;
  br_inbound_t inbound;
  br_ms_t began_ms;
  br_ms_t until_ms;     /* the caller's deadline or the route's timeout */
  double units;         /* taken from the quota */
  uint64_t content;     /* digest of what is requested; 0: not computed yet */
  bool is_relayed;      /* another entry VM sent it */
  bool waits_for_start; /* not admitted yet, nothing below is set */
  br_stream_t stream;   /* that it begins or takes up */
  br_version_t version; /* that began the stream; 0: none has */
  br_version_t recorded_version; /* of the last attempt; 0: none */
  size_t version_answers;        /* of control VMs, that it waits for */
  bool version_answered;         /* by one of them */
  br_version_t sole_version;     /* by an answer; 0: none */
  struct event *timer;

  /* the current attempt */
  br_fleet_upstream_t *upstream; /* NULL: none */
  br_http_client_t *client;
  br_choice_t choice;
  br_version_t attempt_version; /* of the upstream when it was chosen */
  bool suspect;                 /* the quarantine tracks the attempt */
  bool loss_recorded;           /* counted as a loss, unless an answer comes */
  br_ms_t sent_ms;
  br_ms_t last_byte_ms; /* when a part of its answer last came */
  bool paused;          /* the answer is not read, as the caller is slow */
  bool head_seen;
  const char *framing; /* of the answer; empty before its head */
  bool had_first_event;
  bool counted;     /* in the usage of its organisation */
  uint64_t window;  /* in which it is counted */
  int unconnected;  /* upstreams that accepted no connection */
  br_name_t helper; /* entry VM that CLIENT is connected to; empty: none */
  br_name_t last_helper;
  int helpers_tried;
  uint64_t relay_nonce;
  br_relayed_answer_t relayed; /* the helper's answer */
  br_http_client_t *end_check; /* connects while the end of an answer waits for
                                  it; NULL: none */
  br_ms_t end_check_until_ms;
  br_outcome_head_t outcome;
  br_http_head_t answer_head; /* copied */
  br_buf_t answer;            /* of a plain service, or part of an event */

  /* all attempts */
  const br_fleet_upstream_t *tried[BR_CHOICE_TRIED_MAX];
  size_t n_tried;
  int max_attempts; /* upstreams that may run it */
  int ran;
  int refused;
  bool end_unproved; /* the last attempt closed between two events */
  bool was_slow;     /* an attempt was given up without an answer */
  br_event_stream_t events;
  bool begun; /* the caller has received part of a stream */
  br_ms_t first_ms;
  br_ms_t last_event_ms;        /* when events were last forwarded */
  br_ms_t attempt_first_ms;     /* first event of the current attempt */
  uint64_t attempt_first_event; /* events forwarded before it */
  br_ms_t longest_gap_ms;       /* between two events that were forwarded */
  int arrived;                  /* attempts that reached an upstream */
  bool repeat_granted;          /* the budget allows the next attempt */
  br_ms_t permit_until_ms; /* it waits for a permit until then; 0: not yet */
  bool asked_trial;        /* it waits, or has waited, for a trial */
  br_blocked_t trial;      /* what the trial is of */
  bool on_trial; /* it has the right to a trial until TRIAL_UNTIL_MS */
  br_ms_t trial_until_ms;
  const char *cause; /* of the last failure */
  br_exchange_move_t move;
  br_exchange_rollout_t rollout;
  br_exchange_hedge_t hedge;

  br_exchange_t *prev;
  br_exchange_t *next;
};

br_ms_t br_exchange_now (const br_exchange_t *exchange);

/* Returns a digest of what the exchange requests; a resend has the same one. */
uint64_t br_exchange_content (br_exchange_t *exchange);

/* --- exchange_arrival.c --- */

/* Refuses a request because this VM has no configuration or list of upstreams
 * yet. */
void br_exchange_refuse_not_ready (br_exchange_t *exchange);

/* Takes the request's units from the quota and attempts or refuses it.  May
 * free the exchange. */
void br_exchange_start (br_exchange_t *exchange);

/* --- exchange_version.c --- */

/* Returns whether the request takes up a stream that another one began. */
bool br_exchange_is_take_up (const br_exchange_t *exchange);

/* Finds out which version began the stream that the request takes up, and then
 * starts or refuses it.  May free the exchange. */
void br_exchange_take_up (br_exchange_t *exchange);

/* Ends the wait for control VMs that have not answered.  May free the
 * exchange. */
void br_exchange_end_version_wait (br_exchange_t *exchange);

/* Records the version of the attempt that is sent.  Its first event comes
 * later, so that the record is usually known elsewhere by then. */
void br_exchange_record_stream (br_exchange_t *exchange);

/* Returns whether no upstream of the stream's version is left. */
bool br_exchange_version_left (const br_exchange_t *exchange);

/* Ends a request whose stream cannot go on because its version has left.  Frees
 * the exchange. */
void br_exchange_end_stream (br_exchange_t *exchange);

/* --- exchange_rollout.c --- */

/* Returns the versions that the next attempt may use.  The first call decides
 * whether the request is one of a running rollout's share. */
br_version_filter_t br_exchange_versions (br_exchange_t *exchange);

/* Returns the versions that a request other than a first attempt may use. */
br_version_filter_t br_exchange_later_versions (const br_exchange_t *exchange);

/* Returns whether a rollout lets the stream go on at the version that began
 * it. */
bool br_exchange_version_is_allowed (const br_exchange_t *exchange);

/* Chooses an upstream.  A request of the running target's share that no
 * upstream of it can take uses the old versions.  If the upstream that should
 * replace a slow one did not run the request and there is no other, the slow
 * one is a candidate again. */
br_choice_t br_exchange_choose (br_exchange_t *exchange,
                                br_choice_query_t *query,
                                br_ms_t now);

/* Returns whether a rollout of the service runs. */
bool br_exchange_rollout_runs (const br_exchange_t *exchange);

/* Returns whether a rollout lets the current run go on at another upstream of
 * its version.  A running target gets first attempts alone. */
bool br_exchange_rollout_lets_move (const br_exchange_t *exchange);

/* Record for the rollout that the current attempt was sent, that its first
 * event came, that events were forwarded, that it was answered, that it failed
 * with RESULT, and that the request's time ended it. */
void br_exchange_rollout_sent (br_exchange_t *exchange);
void br_exchange_rollout_begun (br_exchange_t *exchange);
void br_exchange_rollout_event (br_exchange_t *exchange);
void br_exchange_rollout_answered (br_exchange_t *exchange);
void br_exchange_rollout_failed (br_exchange_t *exchange,
                                 br_result_kind_t result);
void br_exchange_rollout_timed_out (br_exchange_t *exchange);

/* --- exchange.c --- */

/* Connect timeout, in milliseconds, after which another upstream is tried.  A
 * connection usually takes a few milliseconds. */
#define BR_EXCHANGE_CONNECT_MS 250

/* Checks the current attempt for timeouts; an event_callback_fn. */
void br_exchange_on_timer (evutil_socket_t fd, short what, void *context);

/* Chooses an upstream and sends the request there.  May free the exchange. */
void br_exchange_attempt (br_exchange_t *exchange);

/* Returns the query for the upstream of the next attempt. */
br_choice_query_t br_exchange_choice_query (br_exchange_t *exchange);

/* Returns when the current attempt is checked for a timeout next. */
br_ms_t br_exchange_next_check_ms (const br_exchange_t *exchange);

/* Ends the current attempt as failed for CAUSE and decides what follows.  May
 * free the exchange. */
void br_exchange_fail_attempt (br_exchange_t *exchange,
                               const char *cause,
                               bool may_have_run,
                               br_result_kind_t result);

/* Returns whether another attempt may run the request: its route lets it run
 * more than once, and its stream, if it has begun, can be resumed. */
bool br_exchange_may_repeat (const br_exchange_t *exchange);

/* Sets the timer to AT_MS, or to the end of the exchange's time if that is
 * earlier. */
void br_exchange_set_timer (br_exchange_t *exchange, br_ms_t at_ms);

/* Sets the timer to the next check of the current attempt. */
void br_exchange_check_later (br_exchange_t *exchange);

/* Counts the request in its organisation's usage.  It counts once, however
 * often it runs. */
void br_exchange_count_usage (br_exchange_t *exchange);

/* --- exchange_send.c --- */

/* Sends the request to the upstream of the exchange's choice.  SUSPECT says
 * whether the quarantine tracks the attempt.  May free the exchange. */
void br_exchange_send (br_exchange_t *exchange, bool suspect);

/* Writes the caller's request for UPSTREAM to CLIENT. */
void br_exchange_write_request (br_exchange_t *exchange,
                                const br_fleet_upstream_t *upstream,
                                const br_choice_t *choice,
                                br_ms_t sent_ms,
                                br_http_client_t *client);

/* --- exchange_quarantine.c --- */

typedef enum
{
  BR_PERMISSION_GIVEN,
  BR_PERMISSION_ASKED, /* the request waits for a trial */
  BR_PERMISSION_DENIED,
} br_permission_t;

/* Returns whether the quarantine lets the request run now. */
br_permission_t br_exchange_ask_quarantine (br_exchange_t *exchange);

/* Returns whether the quarantine tracks the request's runs. */
bool br_exchange_is_suspect (br_exchange_t *exchange);

/* Logs that a request that had been blocked is sent, if it is. */
void br_exchange_log_trial (br_exchange_t *exchange);

/* Answers a request that the quarantine blocks, and frees the exchange. */
void br_exchange_end_quarantined (br_exchange_t *exchange);

/* Records that an answer has begun, which clears the parts of the prompt. */
void br_exchange_record_begun (br_exchange_t *exchange);

/* Describes the current attempt, which was lost, to the fleet. */
br_lost_run_t br_exchange_lost_run (br_exchange_t *exchange);

/* Records that the attempt ran to its end without a crash. */
void br_exchange_record_answered (br_exchange_t *exchange);

/* Records a loss for an attempt that is given up without a byte of an answer:
 * its upstream may have crashed without breaking the connection. */
void br_exchange_record_unanswered (br_exchange_t *exchange);

/* --- exchange_answer.c --- */

/* Counts an answer that failed for FAULT and returns the result of its
 * attempt. */
br_result_kind_t br_exchange_count_fault (br_entry_task_t *task,
                                          br_client_fault_t fault);

/* --- exchange_end.c --- */

/* Size of a content's digest as text. */
#define BR_CONTENT_DIGITS 17

/* Writes the digest to TEXT, or an empty string if CONTENT is 0; returns
 * TEXT. */
const char *br_content_text (uint64_t content, char text[BR_CONTENT_DIGITS]);

/* Writes the request's log line with its outcome and the status that the caller
 * got, or 0, and before it that of a move under way, which ends. */
void br_exchange_log (br_exchange_t *exchange, const char *outcome, int status);

/* Writes the log line of a failed attempt. */
void br_exchange_log_attempt (br_exchange_t *exchange,
                              const char *cause,
                              bool may_have_run,
                              const char *next);

/* Clears the head and the body received so far. */
void br_exchange_clear_answer (br_exchange_t *exchange);

/* Ends the attempt; keeps its connection for reuse or closes it. */
void br_exchange_end_attempt (br_exchange_t *exchange, bool keep);

/* Each answers the caller and frees the exchange.  br_exchange_end() does not
 * if NEXT is another attempt. */
void br_exchange_answer_error (br_exchange_t *exchange, const br_error_t *err);
void br_exchange_refuse (br_exchange_t *exchange,
                         const char *why,
                         br_ms_t retry_after_ms);
void br_exchange_end (br_exchange_t *exchange,
                      br_attempt_next_t next,
                      const char *why);

/* --- exchange_relay.c --- */

/* Sends the request to another entry VM if this one has lost its service.
 * Returns false if it has not, or no other VM may help. */
bool br_exchange_relay (br_exchange_t *exchange);

/* Refuses a request that has not run if its service is lost, and frees the
 * exchange.  Returns false if the request may be attempted. */
bool br_exchange_refuse_lost (br_exchange_t *exchange);

/* Handles a helper that has not accepted a connection.  May free the
 * exchange. */
void br_exchange_helper_unconnected (br_exchange_t *exchange);

/* Returns whether the proof of a relayed request is right. */
bool br_exchange_is_relay_proved (const br_exchange_t *exchange);

/* Fills *HEADER with the statement for the entry VM that relayed the request;
 * its value is appended to VALUE.  Returns false if that VM reads none. */
bool br_exchange_state_ran (const br_exchange_t *exchange,
                            br_http_header_t *header,
                            br_buf_t *value);

/* Returns whether the entry VM that relayed the request would take the answer
 * for a refusal: it reads no statement, and no upstream has signed it. */
bool br_exchange_looks_refused (const br_exchange_t *exchange);

/* --- exchange_answer.c --- */

/* Copies the head, which lives in the connection, for the answer. */
void br_exchange_copy_head (br_exchange_t *exchange,
                            const br_http_head_t *head);

/* Takes what the upstream states about itself in an answer to this request. */
void br_exchange_take_signals (br_exchange_t *exchange,
                               br_fleet_upstream_t *upstream,
                               const br_outcome_head_t *outcome);

/* An answer's head that is forwarded. */
typedef struct
{
  br_http_answer_t answer; /* points into the rest */
  br_http_headers_t headers;
  br_buf_t statement; /* for the entry VM that relayed the request */
} br_forwarded_head_t;

/* Fills *FORWARDED from the copied head. */
void br_exchange_forward_head (br_exchange_t *exchange,
                               br_forwarded_head_t *forwarded);
void br_forwarded_head_release (br_forwarded_head_t *forwarded);

/* Forwards BYTES of a stream.  While its caller is slow, no more of the answer
 * is read. */
void br_exchange_forward_bytes (br_exchange_t *exchange, br_str_t bytes);

/* Keeps BYTES of a plain answer.  Returns false if it is too long. */
bool br_exchange_keep_bytes (br_exchange_t *exchange, br_str_t bytes);

/* The upstream has not accepted a connection after the end of its answer.  May
 * free the exchange. */
void br_exchange_end_unproved (br_exchange_t *exchange);

/* Handles the end of the answer, or of the connection.  May free the
 * exchange. */
void br_exchange_on_end (br_exchange_t *exchange,
                         const br_client_event_t *event);

/* Handles an event of the upstream's connection; a br_client_fn. */
void br_exchange_on_client (void *context,
                            br_http_client_t *client,
                            const br_client_event_t *event);

BR_END_DECLS

#endif
