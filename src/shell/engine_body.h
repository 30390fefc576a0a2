/* Reads callers' completion requests, writes the requests to model engines, and
 * converts the engines' events and answers. */
#ifndef BR_SHELL_ENGINE_BODY_H
#define BR_SHELL_ENGINE_BODY_H

#include "base/error.h"
#include "base/str.h"
#include "contract/answer.h"

BR_BEGIN_DECLS

/* The fields of a completion request that the entry VM uses. */
typedef struct
{
  br_name_t model;
  bool stream;
  bool chat;          /* /v1/chat/completions, otherwise /v1/completions */
  int64_t max_tokens; /* 0: not given */
} br_completion_head_t;

/* Checks and reads a completion request.  Returns false, with *ERR naming the
 * field, when it is not valid. */
bool br_completion_read (br_str_t body,
                         bool chat,
                         br_completion_head_t *head,
                         br_error_t *err);

/* Returns the estimated cost of BODY in tokens, prompt and answer. */
uint64_t br_completion_tokens (br_str_t body, const br_completion_head_t *head);

/* Appends BODY changed for an engine: it requests a stream that resumes after
 * the parts of ANSWER. */
void br_engine_body (br_str_t body, const br_answer_t *answer, br_buf_t *out);

typedef enum
{
  BR_ENGINE_EVENT_PART,  /* of the answer */
  BR_ENGINE_EVENT_ERROR, /* the engine reports that the answer has failed */
  BR_ENGINE_EVENT_BAD,   /* not a JSON object */
} br_engine_event_t;

/* Reads one event of an engine's stream.  A part with nothing but text becomes
 * BR_ANSWER_TEXT, and its text is appended to *TEXT; any other becomes
 * BR_ANSWER_RAW, and all of DATA is appended. */
br_engine_event_t
br_engine_event_read (br_str_t data, br_answer_kind_t *kind, br_buf_t *text);

/* Appends part OFFSET as one server-sent event.  The event id consists of the
 * offset after the part and the low half of DIGEST, which is br_answer_digest()
 * of the parts up to that offset.  A caller that reconnects with the id gets
 * only an answer that continues these parts. */
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

/* The position at which a caller resumes, from its Last-Event-ID. */
typedef struct
{
  size_t offset;
  bool has_digest;
  uint32_t digest; /* of the parts before OFFSET */
} br_event_id_t;

/* Parses "OFFSET" or "OFFSET-DIGEST".  Empty TEXT stands for the start. */
bool br_event_id_parse (br_str_t text, br_event_id_t *id);

BR_END_DECLS

#endif
