/* Sending the answer of work owned here to the VMs that follow it. */
#ifndef BR_CONTRACT_FEED_H
#define BR_CONTRACT_FEED_H

#include "base/clock.h"
#include "contract/message.h"

BR_BEGIN_DECLS

typedef struct br_feeds br_feeds_t;

/* What there is of the answer now; views. */
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

/* Followers that do not renew for EXPIRE_MS are forgotten. */
br_feeds_t *br_feeds_new (br_ms_t expire_ms);
void br_feeds_free (br_feeds_t *feeds);

/* The messages to send since it was cleared last. */
br_feed_outbox_t *br_feeds_outbox (br_feeds_t *feeds);

/* FROM wants the answer of SOURCE as MESSAGE, a FOLLOW, says.  Always
 * answered, so that the follower knows that the owner is there. */
void br_feeds_on_follow (br_feeds_t *feeds,
                         const br_name_t *from,
                         const br_contract_message_t *message,
                         const br_feed_source_t *source,
                         br_ms_t now);

/* The answer of SOURCE grew, became whole or failed. */
void br_feeds_on_answer (br_feeds_t *feeds, const br_feed_source_t *source);

/* Whether anyone follows anything: then changes must be told. */
bool br_feeds_any (const br_feeds_t *feeds);
void br_feeds_on_tick (br_feeds_t *feeds, br_ms_t now);

BR_END_DECLS

#endif
