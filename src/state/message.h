/* Short names for the messages of state.proto, and functions that pack, unpack
 * and compare them. */
#ifndef BR_STATE_MESSAGE_H
#define BR_STATE_MESSAGE_H

#include "base/digest.h"
#include "base/error.h"
#include "base/str.h"
#include "state/state.pb-c.h"

BR_BEGIN_DECLS

typedef Br__State__Command br_command_t;
typedef Br__State__Result br_result_t;
typedef Br__State__Declaration br_declaration_t;
typedef Br__State__Change br_change_t;
typedef Br__State__ChangeResult br_change_result_t;
typedef Br__State__Claim br_claim_record_t;
typedef Br__State__ClaimOwner br_claim_owner_t;
typedef Br__State__ClaimResult br_claim_result_t;

/* X (id, name) */
#define BR_CLAIM_STATE_TABLE(X)                                                \
  X (NONE, "none")                                                             \
  X (CLAIMED, "claimed")                                                       \
  X (SENT, "sent")                                                             \
  X (ANSWERED, "answered")                                                     \
  X (NOT_RUN, "not-run")                                                       \
  X (UNKNOWN, "unknown")

typedef Br__State__ClaimState br_claim_state_t;

#define BR_CLAIM_NONE BR__STATE__CLAIM_STATE__CLAIM_NONE
#define BR_CLAIM_CLAIMED BR__STATE__CLAIM_STATE__CLAIM_CLAIMED
#define BR_CLAIM_SENT BR__STATE__CLAIM_STATE__CLAIM_SENT
#define BR_CLAIM_ANSWERED BR__STATE__CLAIM_STATE__CLAIM_ANSWERED
#define BR_CLAIM_NOT_RUN BR__STATE__CLAIM_STATE__CLAIM_NOT_RUN
#define BR_CLAIM_UNKNOWN BR__STATE__CLAIM_STATE__CLAIM_UNKNOWN

/* X (id, name) */
#define BR_CLAIM_OUTCOME_TABLE(X)                                              \
  X (OK, "ok")                                                                 \
  X (EXISTS, "exists")                                                         \
  X (OTHER_BODY, "other-body")                                                 \
  X (STALE, "stale")                                                           \
  X (FULL, "full")                                                             \
  X (TOO_EARLY, "too-early")                                                   \
  X (INVALID, "invalid")

typedef Br__State__ClaimVerdict br_claim_outcome_t;

#define BR_CLAIM_OUTCOME_OK BR__STATE__CLAIM_VERDICT__CLAIM_OK
#define BR_CLAIM_OUTCOME_EXISTS BR__STATE__CLAIM_VERDICT__CLAIM_EXISTS
#define BR_CLAIM_OUTCOME_OTHER_BODY BR__STATE__CLAIM_VERDICT__CLAIM_OTHER_BODY
#define BR_CLAIM_OUTCOME_STALE BR__STATE__CLAIM_VERDICT__CLAIM_STALE
#define BR_CLAIM_OUTCOME_FULL BR__STATE__CLAIM_VERDICT__CLAIM_FULL
#define BR_CLAIM_OUTCOME_TOO_EARLY BR__STATE__CLAIM_VERDICT__CLAIM_TOO_EARLY
#define BR_CLAIM_OUTCOME_INVALID BR__STATE__CLAIM_VERDICT__CLAIM_INVALID

typedef Br__State__ChangeOutcome br_change_outcome_t;

#define BR_CHANGE_APPLIED BR__STATE__CHANGE_OUTCOME__CHANGE_APPLIED
#define BR_CHANGE_CONFLICT BR__STATE__CHANGE_OUTCOME__CHANGE_CONFLICT
#define BR_CHANGE_STALE BR__STATE__CHANGE_OUTCOME__CHANGE_STALE
#define BR_CHANGE_NOT_FOUND BR__STATE__CHANGE_OUTCOME__CHANGE_NOT_FOUND
#define BR_CHANGE_TOO_LARGE BR__STATE__CHANGE_OUTCOME__CHANGE_TOO_LARGE

const char *br_claim_state_name (br_claim_state_t state);
bool br_claim_state_parse (br_str_t text, br_claim_state_t *state);
const char *br_claim_outcome_name (br_claim_outcome_t outcome);

void br_command_pack (const br_command_t *command, br_buf_t *out);
void br_result_pack (const br_result_t *result, br_buf_t *out);

/* Returns NULL when DATA does not parse.  The caller frees the result with
 * br_result_free(). */
br_result_t *br_result_unpack (br_str_t data);
void br_result_free (br_result_t *result);

bool br_claim_owner_equal (const br_claim_owner_t *a,
                           const br_claim_owner_t *b);

/* Convert between a view and a protobuf byte field without a copy.  The bytes
 * must outlive what is returned. */
ProtobufCBinaryData br_message_bytes (br_str_t str);
br_str_t br_message_str (ProtobufCBinaryData bytes);

BR_END_DECLS

#endif
