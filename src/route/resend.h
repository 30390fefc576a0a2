/* Detects that a caller sent a request again while the first one still runs.
 * Such requests have the same workload, service and path, and the same
 * idempotency key or, without a key, the same body. */
#ifndef BR_ROUTE_RESEND_H
#define BR_ROUTE_RESEND_H

#include "base/digest.h"
#include "base/error.h"

BR_BEGIN_DECLS

typedef struct br_resends br_resends_t;

typedef struct
{
  br_str_t workload;
  br_str_t service;
  br_str_t path;
  br_str_t idempotency_key; /* empty when there is none */
  br_str_t body;
} br_resend_query_t;

br_resends_t *br_resends_new (void);
void br_resends_free (br_resends_t *resends);

/* Returns the number of the running work that this request repeats, or 0 when
 * there is none.  Returns 0 with *ERR set to BR_ERROR_CONFLICT when the work
 * with this key has another body. */
uint64_t br_resends_find (const br_resends_t *resends,
                          const br_resend_query_t *query,
                          br_error_t *err);

/* Stores WORK, which must not be 0, until br_resends_drop(). */
void br_resends_put (br_resends_t *resends,
                     const br_resend_query_t *query,
                     uint64_t work);
void br_resends_drop (br_resends_t *resends, uint64_t work);

BR_END_DECLS

#endif
