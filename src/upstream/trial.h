/* Trials of contents that crashed upstreams.  All entry VMs of a site together
 * run a blocked content once more, to find out whether it is innocent.  The
 * leading control VM grants that right to one of them through the log; a right
 * that is not used in time is lost, and counts as used. */
#ifndef BR_UPSTREAM_TRIAL_H
#define BR_UPSTREAM_TRIAL_H

#include "base/clock.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Time from the request for a trial within which the granted trial must begin,
 * in milliseconds, on the clock of the requesting VM.  A VM that was frozen in
 * between therefore drops it. */
#define BR_TRIAL_VALID_MS 1000

/* Requests for trials that one VM keeps; one more is refused. */
#define BR_TRIALS_MAX 64

/* One request of this VM for a trial. */
typedef struct
{
  uint64_t content;
  uint64_t ticket; /* identifies the request on all VMs */
  br_ms_t asked_ms;
  bool granted;
} br_trial_t;

BR_VEC (br_trials, br_trial_t);

/* Records that this VM requests a trial of CONTENT.  Returns false if it has
 * requested one already, or too many. */
bool br_trials_ask (br_trials_t *trials,
                    uint64_t content,
                    uint64_t ticket,
                    br_ms_t now);

/* Records that the request with TICKET was granted.  Does nothing if it is not
 * this VM's, or was made too long ago. */
void br_trials_grant (br_trials_t *trials,
                      uint64_t content,
                      uint64_t ticket,
                      br_ms_t now);

/* Uses up the granted trial of CONTENT; returns false if there is none. */
bool br_trials_take (br_trials_t *trials, uint64_t content, br_ms_t now);

/* Returns for how long a content is blocked from its trial NUMBER on, counted
 * from 1 since its last answer, in milliseconds.  An answer ends the block. */
br_ms_t br_trial_block_ms (uint32_t number);

BR_END_DECLS

#endif
