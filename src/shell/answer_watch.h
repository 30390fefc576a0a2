/* Watches the bytes of an answer that evhttp reads.  evhttp limits neither
 * interim answers nor the framing of a body, and accepts invalid heads. */
#ifndef BR_SHELL_ANSWER_WATCH_H
#define BR_SHELL_ANSWER_WATCH_H

#include <event2/buffer.h>

#include "http/head_check.h"

BR_BEGIN_DECLS

/* Limits on the head and the body of an answer, in bytes.  The whole answer is
 * kept in memory until its caller has read it.  The longest answers of engines
 * are about 100 KB. */
#define BR_ANSWER_HEAD_MAX_BYTES 65536
#define BR_ANSWER_BODY_MAX_BYTES (4 * 1024 * 1024)

typedef struct
{
  uint64_t received; /* bytes of the answer */
  uint64_t body;     /* those of its body */
  uint64_t *total;   /* bytes of all answers that are being received */
  br_http_head_check_t *head;
  br_error_t head_error;
} br_answer_watch_t;

typedef struct
{
  br_error_code_t code;
  const char *text; /* valid as long as the watch; NULL: no fault */
} br_answer_fault_t;

/* TOTAL must outlive the watch, which adds to it what it receives. */
void br_answer_watch_init (br_answer_watch_t *watch, uint64_t *total);
void br_answer_watch_release (br_answer_watch_t *watch);

/* Takes the last N_ADDED bytes of INPUT, the bytes that evhttp has not read.
 * Must be called before evhttp reads them. */
br_answer_fault_t br_answer_watch_take (br_answer_watch_t *watch,
                                        struct evbuffer *input,
                                        size_t n_added);

BR_END_DECLS

#endif
