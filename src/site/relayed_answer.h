/* Decides what becomes of a helper's answer to a relayed request.  The helper
 * may have written it itself or forwarded it from an upstream.  Does no input
 * or output and keeps no state. */
#ifndef BR_SITE_RELAYED_ANSWER_H
#define BR_SITE_RELAYED_ANSWER_H

#include <stdbool.h>

#include "base/macros.h"

BR_BEGIN_DECLS

typedef struct
{
  int status;
  bool has_signature; /* an upstream made the answer */
  bool is_stated;     /* the helper states RAN, with the right proof */
  int ran;            /* upstreams that may have run the request */
  int attempts;       /* upstreams that the helper was allowed */
} br_relayed_answer_t;

/* X (id, name) */
#define BR_RELAYED_USE_TABLE(X)                                                \
  X (FORWARD, "forward") /* to the caller */                                   \
  X (NOT_RUN, "not_run") /* the request may go elsewhere or be refused */      \
  X (UNKNOWN, "unknown") /* the request may have run; the answer is dropped */

typedef enum
{
#define X(id, name) BR_RELAYED_##id,
  BR_RELAYED_USE_TABLE (X)
#undef X
} br_relayed_use_t;

br_relayed_use_t br_relayed_answer_use (const br_relayed_answer_t *answer);
const char *br_relayed_use_name (br_relayed_use_t use);

/* Returns how many upstreams may have run the request: all that the helper was
 * allowed, unless it states a number. */
int br_relayed_answer_ran (const br_relayed_answer_t *answer);

/* Returns whether STATUS promises a caller that the request did not run. */
bool br_status_means_not_run (int status);

BR_END_DECLS

#endif
