/* Stores the replicated state of a site: its configuration in force, the
 * request counts of the newest accounting windows, and the banned requests. */
#ifndef BR_STATE_SITE_STORE_H
#define BR_STATE_SITE_STORE_H

#include "base/vec.h"
#include "state/message.h"

BR_BEGIN_DECLS

/* Number of windows whose counts are kept.  They cover several times the span
 * in which a report may still be due. */
#define BR_SITE_WINDOWS_MAX 32

typedef Br__State__UsageDecision br_usage_decision_t;

/* Maximum number of bans that are kept; the oldest is removed first. */
#define BR_SITE_BANS_MAX 256

typedef Br__State__Ban br_site_ban_t;

/* How long batches of streams are kept after the newest, in milliseconds, and
 * how many at most. */
#define BR_SITE_STREAMS_LIFE_MS 20000
#define BR_SITE_STREAMS_MAX 256

typedef Br__State__Streams br_site_streams_t;

BR_VEC (br_usage_decisions, br_usage_decision_t *);
BR_VEC (br_site_bans, br_site_ban_t);
BR_VEC (br_site_stream_batches, br_site_streams_t *);

/* An all-zero value is an empty store. */
typedef struct
{
  uint64_t version;                 /* 0: no configuration yet */
  br_buf_t text;                    /* configuration text; owned */
  br_usage_decisions_t usage;       /* owned, oldest first */
  br_site_bans_t bans;              /* owned, oldest first */
  uint64_t bans_made;               /* number of ban commands applied so far */
  br_site_stream_batches_t streams; /* owned, oldest first */
  uint64_t streams_made;            /* number of batches applied so far */
} br_site_store_t;

/* Stores the configuration when its version is the highest so far.  Returns
 * whether it did. */
bool br_site_store_change (br_site_store_t *store,
                           const Br__State__SiteChange *change);

/* Fixes the counts of a window.  Returns them, or those that were fixed
 * earlier. */
const br_usage_decision_t *
br_site_store_decide (br_site_store_t *store,
                      const br_usage_decision_t *decision);

/* Returns the counts of WINDOW, or NULL when none are fixed or they are no
 * longer kept. */
const br_usage_decision_t *br_site_store_usage (const br_site_store_t *store,
                                                uint64_t window);

/* Bans a request until BAN->until_ms, or removes its ban when that is 0.  The
 * trials granted before are kept unless BAN has its own, as in a snapshot. */
void br_site_store_ban (br_site_store_t *store, const br_site_ban_t *ban);

/* Grants a trial.  Returns false if the request is not banned, or TRIAL has not
 * the next number. */
bool br_site_store_grant_trial (br_site_store_t *store,
                                const Br__State__Trial *trial);

/* Returns the ban of a request, or NULL when there is none or it is no longer
 * kept. */
const br_site_ban_t *br_site_store_find_ban (const br_site_store_t *store,
                                             uint64_t content);

/* Keeps a batch of streams.  Returns false if it is not valid. */
bool br_site_store_streams (br_site_store_t *store,
                            const br_site_streams_t *streams);
void br_site_store_release (br_site_store_t *store);

BR_END_DECLS

#endif
