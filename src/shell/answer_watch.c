#include "shell/answer_watch.h"

#include "http/framing.h"

/* Most bytes of all answers that are being received.  An answer up to
 * ANSWER_SMALL_BYTES is received in any case. */
#define ANSWERS_MAX_BYTES (8 * 1024 * 1024)
#define ANSWER_SMALL_BYTES (128 * 1024)

void
br_answer_watch_init (br_answer_watch_t *watch, uint64_t *total)
{
  *watch = (br_answer_watch_t){ .total = total };
  watch->head = br_http_head_check_new (BR_ANSWER_HEAD_MAX_BYTES);
}

void
br_answer_watch_release (br_answer_watch_t *watch)
{
  *watch->total -= watch->received;
  br_http_head_check_free (watch->head);
  *watch = (br_answer_watch_t){ 0 };
}

/* Returns which limit of what was received is exceeded, or NULL.  evhttp has
 * not read UNREAD bytes yet, as they are a part of a chunk or of a line. */
static const char *
watch_excess (const br_answer_watch_t *watch, size_t unread)
{
  uint64_t framing = watch->received - unread - watch->body;

  if (unread > BR_ANSWER_BODY_MAX_BYTES)
    return "a chunk of the answer is too long";
  if (br_http_framing_is_excessive (framing, watch->body))
    return "the answer has too much beside its body";
  if (watch->received > ANSWER_SMALL_BYTES && *watch->total > ANSWERS_MAX_BYTES)
    return "the answers of all requests are too long";
  return NULL;
}

br_answer_fault_t
br_answer_watch_take (br_answer_watch_t *watch,
                      struct evbuffer *input,
                      size_t n_added)
{
  br_answer_fault_t fault = { .code = BR_ERROR_UPSTREAM };

  watch->received += n_added;
  *watch->total += n_added;
  fault.text = watch_excess (watch, evbuffer_get_length (input));
  if (fault.text == NULL
      && !br_http_head_check_take (watch->head, input, n_added,
                                   &watch->head_error))
    fault = (br_answer_fault_t){ BR_ERROR_PROTOCOL, watch->head_error.text };
  return fault;
}
