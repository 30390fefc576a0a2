/* The messages of the membership protocol, and their conversion to and from the
 * wire format (src/domain/domain.proto). */
#ifndef BR_DOMAIN_DOMAIN_MESSAGE_H
#define BR_DOMAIN_DOMAIN_MESSAGE_H

#include "base/error.h"
#include "domain/notice.h"
#include "vm/vm.h"

BR_BEGIN_DECLS

/* Maximum number of views and notices in one message.  They keep its size
 * independent of the number of VMs. */
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
  uint64_t incarnation; /* of the sender */
  uint32_t version;     /* of the sender */
  br_name_t target;     /* empty: the receiver */
  br_name_t origin;     /* empty: the sender */
  bool origin_seen;     /* in an ack: the origin sent a message directly */
  uint32_t origin_seen_ms_ago; /* time since that message */
  uint64_t notices_digest;     /* of all notices that the sender has */
  size_t n_vms;
  br_vm_t vms[BR_DOMAIN_VMS_MAX];
  size_t n_notices;
  br_notice_t notices[BR_DOMAIN_NOTICES_MAX];
} br_domain_message_t;

const char *br_domain_message_name (br_domain_message_kind_t kind);

/* Appends MESSAGE to OUT.  A notice carries the life that remains at NOW
 * instead of the time at which it expires. */
void br_domain_message_pack (const br_domain_message_t *message,
                             br_ms_t now,
                             br_buf_t *out);

/* Parses a message from the VM PEER and checks every bound. */
bool br_domain_message_unpack (br_str_t bytes,
                               const char *peer,
                               br_ms_t now,
                               br_domain_message_t *message,
                               br_error_t *err);

BR_END_DECLS

#endif
