/* Stores claims on work that may run at most once: for each key, the contract
 * that may send it, and its outcome. */
#ifndef BR_STATE_CLAIM_STORE_H
#define BR_STATE_CLAIM_STORE_H

#include "base/clock.h"
#include "state/message.h"

BR_BEGIN_DECLS

typedef struct br_claim_entry br_claim_entry_t;

/* An all-zero value is an empty store. */
typedef struct
{
  br_claim_entry_t *entries;
  br_claim_entry_t *bodies; /* entries that keep a body, oldest first */
  size_t body_bytes;
  br_ms_t now_ms; /* time of the last tick, in state time */
  uint64_t tick;  /* sequence of the last tick */
} br_claim_store_t;

/* Each command sets *RECORD to the claim after the command, or to NULL when
 * there is none.  It is valid until the next command. */
br_claim_outcome_t br_claim_store_take (br_claim_store_t *store,
                                        const Br__State__ClaimTake *take,
                                        const br_claim_record_t **record);
br_claim_outcome_t br_claim_store_sent (br_claim_store_t *store,
                                        const Br__State__ClaimSent *sent,
                                        const br_claim_record_t **record);
br_claim_outcome_t br_claim_store_end (br_claim_store_t *store,
                                       uint64_t index,
                                       const Br__State__ClaimEnd *end,
                                       const br_claim_record_t **record);
br_claim_outcome_t
br_claim_store_abandon (br_claim_store_t *store,
                        const Br__State__ClaimAbandon *abandon,
                        const br_claim_record_t **record);
br_claim_outcome_t br_claim_store_settle (br_claim_store_t *store,
                                          const Br__State__ClaimSettle *settle,
                                          const br_claim_record_t **record);

/* Advances the time when TICK is the next in sequence, and removes expired
 * claims. */
void br_claim_store_tick (br_claim_store_t *store, const Br__State__Tick *tick);

/* Returns the claim on KEY, or NULL. */
const br_claim_record_t *br_claim_store_find (const br_claim_store_t *store,
                                              br_str_t key);

/* Returns the first claim, or the one after RECORD, in a fixed order. */
const br_claim_record_t *br_claim_store_next (const br_claim_store_t *store,
                                              const br_claim_record_t *record);
size_t br_claim_store_count (const br_claim_store_t *store);

/* Adds a claim from a snapshot.  Returns false when it is not valid.  After
 * the last claim br_claim_store_sort_bodies() must be called; it sorts the kept
 * bodies by age. */
bool br_claim_store_add (br_claim_store_t *store,
                         const br_claim_record_t *record);
void br_claim_store_sort_bodies (br_claim_store_t *store);
void br_claim_store_release (br_claim_store_t *store);

BR_END_DECLS

#endif
