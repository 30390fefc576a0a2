/* A link between this VM and another: in which directions it carries, and its
 * delay.  Evidence comes from probes; a link has no timer of its own. */
#ifndef BR_LINK_LINK_H
#define BR_LINK_LINK_H

#include "base/clock.h"
#include "base/str.h"

BR_BEGIN_DECLS

/* X (id, name) */
#define BR_LINK_KIND_TABLE(X)                                                  \
  X (UNKNOWN, "unknown")                                                       \
  X (BOTH_WAYS, "both_ways")                                                   \
  X (INBOUND_ONLY, "inbound_only")                                             \
  X (OUTBOUND_ONLY, "outbound_only")                                           \
  X (DOWN, "silent")

typedef enum
{
#define X(id, name) BR_LINK_##id,
  BR_LINK_KIND_TABLE (X)
#undef X
      BR_LINK_KIND_COUNT
} br_link_kind_t;

/* An all-zero value is a link that nothing is known about. */
typedef struct
{
  br_link_kind_t kind;
  bool received;
  br_ms_t last_seen_ms; /* last message that came directly */
  br_ms_t delay_ms;     /* smoothed, one way */
} br_link_t;

const char *br_link_kind_name (br_link_kind_t kind);

/* A message came directly from the other VM. */
void br_link_on_receive (br_link_t *link, br_ms_t now);

/* The other VM answered, directly, a probe sent at SENT_MS. */
void br_link_on_ack (br_link_t *link, br_ms_t sent_ms, br_ms_t now);

/* A direct probe sent at SENT_MS was not answered.  RECEIVED_FROM_US says that
 * a third VM learned from the other one that it had heard from this VM since.
 */
void br_link_on_miss (br_link_t *link, br_ms_t sent_ms, bool received_from_us);

/* Whether anything came directly since SINCE_MS. */
bool br_link_received_since (const br_link_t *link, br_ms_t since_ms);

BR_END_DECLS

#endif
