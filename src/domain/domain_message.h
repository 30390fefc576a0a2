/* The messages of the membership protocol and their form on the wire
 * (src/domain/domain.proto). */
#ifndef BR_DOMAIN_DOMAIN_MESSAGE_H
#define BR_DOMAIN_DOMAIN_MESSAGE_H

#include "base/error.h"
#include "domain/notice.h"
#include "vm/vm.h"

BR_BEGIN_DECLS

/* Bounds on one message, so that its size does not grow with the system. */
#define BR_DOMAIN_VMS_MAX 6
#define BR_DOMAIN_NOTICES_MAX 32

/* X (id, name) */
#define BR_DOMAIN_MESSAGE_TABLE(X)                                             \
  X (PING, "ping")                                                             \
  X (ACK, "ack")                                                               \
  X (PING_REQUEST, "ping_request")                                             \
  X (NOTICES, "notices")

typedef enum
{
#define X(id, name) BR_DOMAIN_##id,
  BR_DOMAIN_MESSAGE_TABLE (X)
#undef X
      BR_DOMAIN_MESSAGE_COUNT
} br_domain_message_kind_t;

typedef struct
{
  br_domain_message_kind_t kind;
  uint64_t sequence;
  uint64_t incarnation;     /* of the sender */
  uint32_t version;         /* of the sender */
  br_name_t target;         /* empty: the receiver itself */
  br_name_t origin;         /* empty: the sender itself */
  bool origin_heard;        /* of an ack: the origin was heard directly */
  uint32_t origin_heard_ms; /* how long ago */
  uint64_t notices_digest;  /* of all the notices that the sender knows */
  size_t n_vms;
  br_vm_t vms[BR_DOMAIN_VMS_MAX];
  size_t n_notices;
  br_notice_t notices[BR_DOMAIN_NOTICES_MAX];
} br_domain_message_t;

const char *br_domain_message_name (br_domain_message_kind_t kind);

/* Appends MESSAGE to OUT.  Times of notices travel as what remains at NOW. */
void br_domain_message_pack (const br_domain_message_t *message,
                             br_ms_t now,
                             br_buf_t *out);

/* Reads a message from the VM PEER and checks every bound. */
bool br_domain_message_unpack (br_str_t bytes,
                               const char *peer,
                               br_ms_t now,
                               br_domain_message_t *message,
                               br_error_t *err);

BR_END_DECLS

#endif
