/* Messages between entry VMs about accepted work, and their packed form
 * (src/contract/contract.proto). */
#ifndef BR_CONTRACT_MESSAGE_H
#define BR_CONTRACT_MESSAGE_H

#include "base/error.h"
#include "contract/answer.h"
#include "contract/contract_id.h"
#include "contract/request.h"

BR_BEGIN_DECLS

/* X (id, name) */
#define BR_CONTRACT_MESSAGE_TABLE(X)                                           \
  X (KEEP, "keep")             /* owner: keep this request for me */           \
  X (KEPT, "kept")             /* backup: the request is kept */               \
  X (CHECKPOINT, "checkpoint") /* owner: these parts were generated */         \
  X (HELD, "held")             /* backup: parts held so far */                 \
  X (RELEASE, "release")       /* owner: the copy is not needed any more */    \
  X (HAND_OVER, "hand_over")   /* owner: become the owner now */               \
  X (SUPERSEDED, "superseded") /* a higher epoch has another owner */          \
  X (UNKNOWN, "unknown")       /* no copy of this contract here */             \
  X (LEAVING, "leaving")       /* the sender stops: give it no copies */       \
  X (LOCATE, "locate")         /* who owns this contract? */                   \
  X (LOCATED, "located")       /* what the asked VM knows */                   \
  X (FOLLOW, "follow")         /* send me the answer from this offset */       \
  X (FEED, "feed")             /* owner: parts for a follower */

typedef enum
{
#define X(id, name) BR_CONTRACT_##id,
  BR_CONTRACT_MESSAGE_TABLE (X)
#undef X
      BR_CONTRACT_MESSAGE_COUNT
} br_contract_message_kind_t;

/* The order of ownership: a higher number wins, then the higher name. */
typedef struct
{
  uint64_t number;
  br_name_t owner;
  uint64_t owner_incarnation;
} br_contract_epoch_t;

/* Negative, zero or positive as A is before, equal to or after B. */
int br_contract_epoch_compare (const br_contract_epoch_t *a,
                               const br_contract_epoch_t *b);

/* Parts OFFSET and following of an answer.  The ends in PARTS count from
 * BASE, which stands at the first byte of BYTES.  A view. */
typedef struct
{
  size_t offset;
  const br_answer_part_t *parts;
  size_t n_parts;
  size_t base;
  br_str_t bytes;
} br_contract_slice_t;

/* Returns parts FROM and following of ANSWER, as many as fit one message. */
br_contract_slice_t br_contract_slice (const br_answer_t *answer, size_t from);

/* Adds the parts of SLICE that follow on what ANSWER has.  Returns false when
 * a part before SLICE is missing. */
bool br_contract_slice_add (const br_contract_slice_t *slice,
                            br_answer_t *answer);

/* What a VM knows of a contract. */
typedef enum
{
  BR_CONTRACT_ROLE_NONE,
  BR_CONTRACT_ROLE_OWNER,
  BR_CONTRACT_ROLE_BACKUP,
} br_contract_role_t;

/* A message.  After unpacking, all views live until
 * br_contract_message_release(). */
typedef struct
{
  br_contract_message_kind_t kind;
  br_contract_id_t contract;
  br_contract_epoch_t epoch;
  union
  {
    struct
    {
      br_contract_request_t request;
      const br_name_t *stale; /* VMs that have copies of older epochs */
      size_t n_stale;
    } keep; /* KEEP */
    struct
    {
      br_contract_slice_t slice;
      bool complete;
      uint32_t status;
    } checkpoint; /* CHECKPOINT */
    struct
    {
      size_t offset;
      bool complete;
    } held; /* KEPT, HELD */
    struct
    {
      br_contract_role_t role;
      br_name_t organisation;
      br_name_t service;
      bool streamed;
      br_str_t path;
    } located; /* LOCATED */
    struct
    {
      size_t offset;
      uint64_t digest; /* br_answer_digest() of the parts before OFFSET */
    } follow;          /* FOLLOW */
    struct
    {
      br_contract_slice_t slice;
      bool complete;
      uint32_t status;
      br_error_t failure; /* code BR_ERROR_OK: none */
    } feed;               /* FEED */
  };
  void *unpacked; /* owned; NULL for a message that was not unpacked */
} br_contract_message_t;

const char *br_contract_message_name (br_contract_message_kind_t kind);

/* Appends the packed MESSAGE to OUT. */
void br_contract_message_pack (const br_contract_message_t *message,
                               br_buf_t *out);

/* Reads a message that PEER sent; every field is checked.  Released with
 * br_contract_message_release() in either case. */
bool br_contract_message_unpack (br_str_t packed,
                                 const char *peer,
                                 br_contract_message_t *message,
                                 br_error_t *err);
void br_contract_message_release (br_contract_message_t *message);

BR_END_DECLS

#endif
