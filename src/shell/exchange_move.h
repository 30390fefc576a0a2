/* Moves an exchange's run to another engine: orders the copy of its memory at
 * the engine that leaves, and goes on at the other one in the same answer. */
#ifndef BR_SHELL_EXCHANGE_MOVE_H
#define BR_SHELL_EXCHANGE_MOVE_H

#include "http/http_client.h"
#include "move/plan.h"
#include "move/target.h"
#include "platform/move_codec.h"

BR_BEGIN_DECLS

typedef struct br_exchange br_exchange_t;
typedef struct br_move_call br_move_call_t;

/* Moves of one run at most.  Each stops the caller's stream for a time. */
#define BR_EXCHANGE_MOVES_MAX 3

typedef enum
{
  BR_MOVE_NONE,
  BR_MOVE_CALLING,    /* the engine was asked to copy the run */
  BR_MOVE_CONTINUING, /* the request was sent with the copy, no event yet */
} br_move_phase_t;

/* All-zero before the first move. */
typedef struct
{
  br_move_phase_t phase;
  br_move_call_t *call; /* in progress; NULL: none */
  br_choice_t choice;   /* the target; its UPSTREAM counts a request of this
                         * VM if HOLDS_TARGET */
  bool holds_target;
  br_name_t refused;   /* target of the call before; empty: none */
  br_move_step_t step; /* as planned */
  br_move_time_t left;
  br_name_t source; /* id of the engine that leaves */
  br_name_t source_address;
  uint16_t source_port;
  br_name_t source_domain;
  char handle[BR_MOVE_HANDLE_MAX + 1]; /* of the stopped run; empty: the run is
                                        * not known to have stopped */
  uint32_t made;                       /* events, by the engine's answer */
  br_ms_t called_ms;
  int calls;       /* for this move */
  int moves;       /* of the run, that were made */
  uint64_t events; /* passed on when it went on */
  bool settled;    /* the run stays at this upstream */
  bool unknown;    /* the run may have stopped */
  bool no_target;  /* none had room before */
  bool closed;     /* the source closed the stream, END is held */
  br_client_event_t end;
  br_ms_t closed_until_ms;
} br_exchange_move_t;

/* --- exchange_move.c --- */

/* Orders the move that the exchange's MOVE describes to CHOICE. */
void br_exchange_move_begin (br_exchange_t *exchange,
                             const br_choice_t *choice);

/* Returns whether the current attempt goes on with a run's copy. */
bool br_exchange_goes_on (const br_exchange_t *exchange);

/* Returns whether the run has stopped without an attempt to show for it. */
bool br_exchange_move_has_run (const br_exchange_t *exchange);

/* Prepares for a new attempt. */
void br_exchange_move_reset (br_exchange_t *exchange);

/* Drops the call and the target; called when an attempt or the exchange ends.
 */
void br_exchange_move_detach (br_exchange_t *exchange);

/* Takes the end of the source's stream if it may be due to the move.  Returns
 * false if it is to be handled as usual.  May free the exchange if true. */
bool br_exchange_move_holds_end (br_exchange_t *exchange,
                                 const br_client_event_t *event);

/* Handles the timer while the exchange waits for the answer to its call.
 * Returns false if it does not.  May free the exchange if true. */
bool br_exchange_move_on_timer (br_exchange_t *exchange);

/* Records that the answer goes on. */
void br_exchange_move_went_on (br_exchange_t *exchange);

/* Handles the failure of an attempt that goes on with a run's copy.  Returns
 * false if it ends as any other.  May free the exchange if true. */
bool br_exchange_move_failed (br_exchange_t *exchange,
                              const char *cause,
                              bool may_have_run,
                              br_result_kind_t result);

/* Logs the move with its inputs and its outcome. */
void br_exchange_log_move (const br_exchange_t *exchange,
                           const char *outcome,
                           int status);

/* --- exchange_move_plan.c --- */

/* Chooses the engine that the exchange's run moves to. */
br_choice_t br_exchange_move_target (const br_exchange_t *exchange);

BR_END_DECLS

#endif
