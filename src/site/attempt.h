/* Decides what follows a failed attempt of a caller's request.  Does no input
 * or output and keeps no state. */
#ifndef BR_SITE_ATTEMPT_H
#define BR_SITE_ATTEMPT_H

#include "site/configuration.h"

BR_BEGIN_DECLS

/* Upstreams that may refuse one request, in addition to those that may run it.
 */
#define BR_ATTEMPT_REFUSALS_MAX 3

/* Shortest remaining time in which an attempt is made, in milliseconds: the
 * round trip and the shortest answer. */
#define BR_ATTEMPT_REMAINING_MIN_MS 30

typedef struct
{
  br_route_kind_t kind;
  bool resumable;
  int max_attempts;  /* upstreams that may run it */
  int ran;           /* attempts that may have run, the failed one included */
  int refused;       /* attempts that cannot have run, the failed one
                        included */
  bool may_have_run; /* the failed attempt may have run */
  bool begun;        /* the caller has part of the answer */
  br_ms_t remaining_ms; /* of the caller's time */
} br_attempt_query_t;

/* X (id, name) */
#define BR_ATTEMPT_NEXT_TABLE(X)                                               \
  X (AGAIN, "again")         /* send it to another upstream */                 \
  X (LATER, "later")         /* send it to another after a short wait */       \
  X (REFUSE, "refuse")       /* 503: no attempt ran */                         \
  X (FAIL, "fail")           /* 502: an attempt may have run */                \
  X (TIME_OUT, "time_out")   /* 504 */                                         \
  X (BREAK_OFF, "break_off") /* close without the answer's end */

typedef enum
{
#define X(id, name) BR_ATTEMPT_##id,
  BR_ATTEMPT_NEXT_TABLE (X)
#undef X
} br_attempt_next_t;

/* Returns what follows if the budget allows a repeat. */
br_attempt_next_t br_attempt_decide (const br_attempt_query_t *query);

/* Returns what follows when no further attempt is made. */
br_attempt_next_t br_attempt_give_up (const br_attempt_query_t *query);
const char *br_attempt_next_name (br_attempt_next_t next);

BR_END_DECLS

#endif
