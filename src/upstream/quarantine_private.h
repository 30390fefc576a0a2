/* Functions shared by the files of the quarantine: quarantine.c keeps crashes
 * and losses and decides whom to blame, quarantine_bans.c keeps the bans. */
#ifndef BR_UPSTREAM_QUARANTINE_PRIVATE_H
#define BR_UPSTREAM_QUARANTINE_PRIVATE_H

#include "upstream/quarantine.h"

BR_BEGIN_DECLS

/* Returns the ban of CONTENT, which may have ended, or NULL. */
const br_ban_t *br_quarantine_find_ban (const br_quarantine_t *quarantine,
                                        uint64_t content);

/* Returns from when on a run of a banned content was a trial. */
br_ms_t br_ban_trial_ms (const br_ban_t *ban);

/* Removes the ban of CONTENT if its answer at AT_MS was that of a trial. */
void br_quarantine_end_trial (br_quarantine_t *quarantine,
                              uint64_t content,
                              br_ms_t at_ms);

BR_END_DECLS

#endif
