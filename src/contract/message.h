/* Messages between entry VMs about accepted work, and their packing
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
  X (KEEP, "keep")             /* owner: asks the backup to keep a request */  \
  X (KEPT, "kept")             /* backup: the request is kept */               \
  X (CHECKPOINT, "checkpoint") /* owner: parts that were generated */          \
  X (HELD, "held")             /* backup: number of parts held */              \
  X (RELEASE, "release")       /* owner: the copy is no longer needed */       \
  X (HAND_OVER, "hand_over")   /* owner: the backup becomes the owner now */   \
  X (SUPERSEDED, "superseded") /* there is a higher epoch */                   \
  X (UNKNOWN, "unknown")       /* the sender has no copy */                    \
  X (LEAVING, "leaving")       /* the sender stops and accepts no copies */    \
  X (LOCATE, "locate")         /* asks for the receiver's role */              \
  X (LOCATED, "located")       /* the sender's role */                         \
  X (FOLLOW, "follow")         /* asks for the answer from an offset */        \
  X (FEED, "feed")             /* owner: parts for a follower */

typedef enum
{
#define X(id, name) BR_CONTRACT_##id,
  BR_CONTRACT_MESSAGE_TABLE (X)
#undef X
      BR_CONTRACT_MESSAGE_COUNT
} br_contract_message_kind_t;

/* Orders the owners of a contract: by number, then by the owner's name. */
typedef struct
{
  uint64_t number;
  br_name_t owner;
  uint64_t owner_incarnation;
} br_contract_epoch_t;

/* Returns a negative value, 0 or a positive value if A is lower than, equal to
 * or higher than B. */
int br_contract_epoch_compare (const br_contract_epoch_t *a,
                               const br_contract_epoch_t *b);

/* Consecutive parts of an answer, from part OFFSET on.  The ends in PARTS are
 * relative to the answer; BASE is the offset of the first byte of BYTES there.
 * PARTS and BYTES are not owned. */
typedef struct
{
  size_t offset;
  const br_answer_part_t *parts;
  size_t n_parts;
  size_t base;
  br_str_t bytes;
} br_contract_slice_t;

/* Returns the parts of ANSWER from part FROM on, as many as fit one message. */
br_contract_slice_t br_contract_slice (const br_answer_t *answer, size_t from);

/* Adds the parts of SLICE that ANSWER does not have.  Returns false when a part
 * before SLICE is missing. */
bool br_contract_slice_add (const br_contract_slice_t *slice,
                            br_answer_t *answer);

/* A VM's role for a contract. */
typedef enum
{
  BR_CONTRACT_ROLE_NONE,
  BR_CONTRACT_ROLE_OWNER,
  BR_CONTRACT_ROLE_BACKUP,
} br_contract_role_t;

/* A message.  After unpacking, all pointers are valid until
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
      const br_name_t *stale; /* VMs that may have copies of older epochs */
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

/* Parses a message from PEER and checks every field.  The caller releases
 * MESSAGE in either case. */
bool br_contract_message_unpack (br_str_t packed,
                                 const char *peer,
                                 br_contract_message_t *message,
                                 br_error_t *err);
void br_contract_message_release (br_contract_message_t *message);

BR_END_DECLS

#endif
