/* Sends the answers of work owned here to the VMs that follow them. */
#ifndef BR_CONTRACT_FEED_H
#define BR_CONTRACT_FEED_H

#include "base/clock.h"
#include "contract/message.h"

BR_BEGIN_DECLS

typedef struct br_feeds br_feeds_t;

/* The present state of an answer.  Pointers are not owned. */
typedef struct
{
  br_contract_id_t contract;
  br_contract_epoch_t epoch;
  const br_answer_t *answer;
  uint32_t status;
  const br_error_t *failure; /* NULL while it has not failed */
} br_feed_source_t;

typedef struct
{
  br_name_t vm;
  br_contract_message_t message; /* views into the source's answer */
} br_feed_send_t;

BR_VEC (br_feed_outbox, br_feed_send_t);

/* A follower is removed if it sends no FOLLOW for EXPIRE_MS. */
br_feeds_t *br_feeds_new (br_ms_t expire_ms);
void br_feeds_free (br_feeds_t *feeds);

/* Returns the messages added since the outbox was cleared. */
br_feed_outbox_t *br_feeds_outbox (br_feeds_t *feeds);

/* Handles MESSAGE, a FOLLOW from the VM FROM for the answer of SOURCE.  Always
 * sends a FEED, also without new parts, which shows the follower that the owner
 * is up. */
void br_feeds_on_follow (br_feeds_t *feeds,
                         const br_name_t *from,
                         const br_contract_message_t *message,
                         const br_feed_source_t *source,
                         br_ms_t now);

/* Handles that the answer of SOURCE got more parts, became complete or
 * failed. */
void br_feeds_on_answer (br_feeds_t *feeds, const br_feed_source_t *source);

/* Returns whether there are followers, to which changes must be sent. */
bool br_feeds_has_followers (const br_feeds_t *feeds);
void br_feeds_on_tick (br_feeds_t *feeds, br_ms_t now);

BR_END_DECLS

#endif
