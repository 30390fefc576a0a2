/* What follows a failed attempt of a caller's request.  A function of what
 * happened: no input, no output. */
#ifndef BR_SITE_ATTEMPT_H
#define BR_SITE_ATTEMPT_H

#include "site/configuration.h"

BR_BEGIN_DECLS

/* Upstreams that may refuse one request, beside those that may run it. */
#define BR_ATTEMPT_REFUSALS_MAX 3

/* Less time than this, in milliseconds, is not worth an attempt: the way there
 * and back and the shortest answer. */
#define BR_ATTEMPT_REMAINING_MIN_MS 30

typedef struct
{
  br_route_kind_t kind;
  bool resumable;
  int max_attempts;  /* upstreams that may run it */
  int ran;           /* attempts that may have run, the failed one included */
  int refused;       /* attempts that surely did not run, likewise */
  bool may_have_run; /* the failed one */
  bool begun;        /* the caller has part of the answer */
  br_ms_t remaining_ms; /* of the caller's time */
} br_attempt_query_t;

/* X (id, name) */
#define BR_ATTEMPT_NEXT_TABLE(X)                                               \
  X (AGAIN, "again")         /* send it to another upstream */                 \
  X (LATER, "later")         /* the same after a short wait */                 \
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

/* Says what follows if a repeat is within the budget. */
br_attempt_next_t br_attempt_decide (const br_attempt_query_t *query);

/* Says what follows when no further attempt is made. */
br_attempt_next_t br_attempt_give_up (const br_attempt_query_t *query);
const char *br_attempt_next_name (br_attempt_next_t next);

BR_END_DECLS

#endif
