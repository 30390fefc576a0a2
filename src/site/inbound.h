/* A caller's request as described by the platform's headers. */
#ifndef BR_SITE_INBOUND_H
#define BR_SITE_INBOUND_H

#include "base/clock.h"
#include "base/str.h"

BR_BEGIN_DECLS

/* Prompt parts kept for one request; everything after them counts as one more
 * part, which no other request shares. */
#define BR_PROMPT_PARTS_MAX 16

/* A part of a prompt that other requests may share. */
typedef struct
{
  uint64_t id;
  uint32_t tokens;
} br_prompt_part_t;

/* All strings are views into the request's head. */
typedef struct
{
  br_str_t id;
  br_str_t host;
  br_str_t target;
  br_str_t key;           /* of the caller; empty without one */
  br_str_t last_event_id; /* where a stream resumes; empty: at its start */
  br_str_t resumes;       /* id of the request that began the stream */
  br_str_t relay_proof;   /* that another entry VM relays it; empty without */
  int relay_attempts;     /* upstreams that may run it then */
  br_str_t relay_nonce;   /* for the statement in the answer; empty: the other
                             entry VM reads no statement */
  uint64_t relay_version; /* of the configuration that the other entry VM
                             applies; 0: not given */
  br_ms_t deadline_ms;    /* how long the caller waits; 0: not given */
  bool has_tokens;
  uint32_t prompt_tokens;
  uint32_t output_tokens; /* at most */
  uint32_t length_hint;   /* output tokens that the caller expects; 0: none */
  bool has_more_parts;    /* than PARTS */
  size_t n_parts;
  br_prompt_part_t parts[BR_PROMPT_PARTS_MAX]; /* in the prompt's order */
} br_inbound_t;

/* Returns the number of parts, from the first, that other requests may share:
 * the prompt's last part is the request's own. */
static inline size_t
br_inbound_shared_parts (const br_inbound_t *inbound)
{
  return inbound->n_parts > 0 && !inbound->has_more_parts ? inbound->n_parts - 1
                                                          : inbound->n_parts;
}

BR_END_DECLS

#endif
