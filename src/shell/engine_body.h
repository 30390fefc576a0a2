/* The JSON that goes to a model engine and the events that come back. */
#ifndef BR_SHELL_ENGINE_BODY_H
#define BR_SHELL_ENGINE_BODY_H

#include "base/error.h"
#include "base/str.h"
#include "contract/answer.h"

BR_BEGIN_DECLS

/* What the entry VM needs to know of a caller's completion request. */
typedef struct
{
  br_name_t model;
  bool stream;
  bool chat;          /* /v1/chat/completions, otherwise /v1/completions */
  int64_t max_tokens; /* 0: not said */
} br_completion_head_t;

/* Checks a completion request; *ERR names the field. */
bool br_completion_read (br_str_t body,
                         bool chat,
                         br_completion_head_t *head,
                         br_error_t *err);

/* Returns the estimated cost of BODY in tokens, prompt and answer. */
uint64_t br_completion_tokens (br_str_t body, const br_completion_head_t *head);

/* Appends BODY as it goes to an engine: streamed, and resumed behind the
 * parts that ANSWER has. */
void br_engine_body (br_str_t body, const br_answer_t *answer, br_buf_t *out);

/* Reads one event of an engine's stream: an event that carries only text is
 * BR_ANSWER_TEXT and *TEXT gets the text.  False when it is not JSON. */
bool
br_engine_event_read (br_str_t data, br_answer_kind_t *kind, br_buf_t *text);

/* Appends part OFFSET as one server-sent event.  Its id is the offset behind
 * it and the low half of DIGEST, br_answer_digest() of the parts up to there;
 * a caller that comes back with it is served only what continues them. */
void br_engine_event_write (const br_answer_t *answer,
                            size_t offset,
                            uint64_t digest,
                            const char *contract,
                            const br_name_t *model,
                            bool chat,
                            br_buf_t *out);

/* Appends a whole answer as one completion object. */
void br_completion_write (const br_answer_t *answer,
                          const char *contract,
                          const br_name_t *model,
                          bool chat,
                          br_buf_t *out);

/* Where a caller wants to go on, from its Last-Event-ID. */
typedef struct
{
  size_t offset;
  bool has_digest;
  uint32_t digest; /* of the parts before OFFSET */
} br_event_id_t;

/* Reads "OFFSET" or "OFFSET-DIGEST"; empty TEXT is the start. */
bool br_event_id_parse (br_str_t text, br_event_id_t *id);

BR_END_DECLS

#endif
