/* Error values: a code, the step and the peer at which the error occurred, and
 * a message. */
#ifndef BR_BASE_ERROR_H
#define BR_BASE_ERROR_H

#include <stdbool.h>

#include "base/str.h"

BR_BEGIN_DECLS

/* X (id, name, exit code of a command, HTTP status for a caller) */
#define BR_ERROR_TABLE(X)                                                      \
  X (OK, "ok", 0, 200)                                                         \
  X (INTERNAL, "internal", 1, 500)                                             \
  X (USAGE, "usage", 2, 400)                                                   \
  X (SETTINGS, "settings", 3, 400)                                             \
  X (INVALID, "invalid_request", 4, 400)                                       \
  X (UNAUTHORIZED, "unauthorized", 5, 401)                                     \
  X (FORBIDDEN, "forbidden", 5, 403)                                           \
  X (NOT_FOUND, "not_found", 6, 404)                                           \
  X (CONFLICT, "conflict", 7, 409)                                             \
  X (REQUEST_TIMEOUT, "request_timeout", 4, 408)                               \
  X (GONE, "gone", 6, 410)                                                     \
  X (TOO_LARGE, "too_large", 4, 413)                                           \
  X (HEAD_TOO_LARGE, "head_too_large", 4, 431)                                 \
  X (QUARANTINED, "quarantined", 4, 422)                                       \
  X (LIMITED, "limited", 8, 429)                                               \
  X (UPSTREAM, "upstream_failed", 9, 502)                                      \
  X (UNAVAILABLE, "unavailable", 8, 503)                                       \
  X (TIMEOUT, "timeout", 9, 504)                                               \
  X (UNKNOWN_OUTCOME, "unknown_outcome", 10, 502)                              \
  X (ANSWER_GONE, "answer_gone", 10, 410)                                      \
  X (PEER, "peer", 9, 502)                                                     \
  X (PROTOCOL, "protocol", 9, 502)                                             \
  X (STORAGE, "storage", 11, 503)                                              \
  X (CORRUPT, "corrupt", 12, 500)

typedef enum
{
#define X(id, name, exit_code, http) BR_ERROR_##id,
  BR_ERROR_TABLE (X)
#undef X
} br_error_code_t;

#define BR_ERROR_STEP_MAX 40
#define BR_ERROR_TEXT_MAX 240

/* STEP names the failed operation ("connect", "append"), PEER the VM, upstream
 * or file that it concerned, empty if none.  RETRY_AFTER_MS is 0 when a retry
 * would not help. */
typedef struct
{
  br_error_code_t code;
  int64_t retry_after_ms;
  bool may_have_run; /* the request may have run, in part or completely */
  bool key_unknown;  /* another request with its idempotency key may have run */
  char step[BR_ERROR_STEP_MAX];
  char peer[BR_NAME_MAX + 1];
  char text[BR_ERROR_TEXT_MAX];
} br_error_t;

const char *br_error_name (br_error_code_t code);
int br_error_exit_code (br_error_code_t code);
int br_error_http_status (br_error_code_t code);

/* Fills *ERR, which may be NULL.  Returns false, which allows a function to end
 * with `return br_error_set (...)`. */
bool br_error_set (br_error_t *err,
                   br_error_code_t code,
                   const char *step,
                   const char *peer,
                   const char *format,
                   ...) BR_PRINTF (5, 6);

/* Appends "STEP at PEER: TEXT" to OUT, or "STEP: TEXT" without a peer. */
void br_error_print (const br_error_t *err, br_buf_t *out);

BR_END_DECLS

#endif
