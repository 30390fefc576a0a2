/* Tracks the link between this VM and another: the directions in which it
 * works, and its delay.  It is updated by messages and probes, and has no
 * timer of its own. */
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

/* An all-zero value is a link of unknown state. */
typedef struct
{
  br_link_kind_t kind;
  bool received;
  br_ms_t last_seen_ms; /* last message received directly */
  br_ms_t delay_ms;     /* smoothed, one way */
} br_link_t;

const char *br_link_kind_name (br_link_kind_t kind);

/* Records a message received directly from the other VM. */
void br_link_on_receive (br_link_t *link, br_ms_t now);

/* Records a direct answer to a probe that was sent at SENT_MS. */
void br_link_on_ack (br_link_t *link, br_ms_t sent_ms, br_ms_t now);

/* Records that a direct probe sent at SENT_MS was not answered.
 * RECEIVED_FROM_US is true when the other VM reported, through a third one, a
 * message that it has received from this VM since. */
void br_link_on_miss (br_link_t *link, br_ms_t sent_ms, bool received_from_us);

/* Returns whether a message was received directly since SINCE_MS. */
bool br_link_received_since (const br_link_t *link, br_ms_t since_ms);

BR_END_DECLS

#endif
