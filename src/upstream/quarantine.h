/* Quarantines requests that crash upstreams.  A request is identified by a
 * digest of its content, which a resend shares.  A request becomes a suspect
 * after one crash.  It is quarantined after two distinct crashes if it is the
 * only candidate for one of them.  Suspects run on different upstreams, to find
 * out which of several requests caused a crash. */
#ifndef BR_UPSTREAM_QUARANTINE_H
#define BR_UPSTREAM_QUARANTINE_H

#include "base/clock.h"
#include "base/label.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* How long a crash or a lost run is remembered, in milliseconds. */
#define BR_QUARANTINE_LIFE_MS (10 * 60 * 1000)

/* Crash records kept, one for each request that ran on a crashed upstream; the
 * oldest is dropped first. */
#define BR_CRASHES_MAX 2048

/* Crashes after which a request is quarantined, unless in each of them another
 * request ran that has as many crashes. */
#define BR_CRASHES_TO_QUARANTINE 3

/* Crashes after which a request is quarantined unconditionally.  Twice the
 * number above: it limits the crashes that suspects cause when they always run
 * together. */
#define BR_CRASHES_UNCONDITIONAL 6

/* With HAS_TRIALS, how long a request is blocked before a trial run, in
 * milliseconds.  A trial is needed because crashes that lie close together may
 * have one common cause that ended all running requests.  This is longer than
 * the start of an upstream. */
#define BR_QUARANTINE_TRIAL_MS 10000

/* Time between the first and the last of BR_CRASHES_TO_QUARANTINE crashes, in
 * milliseconds, from which on the last one counts as a failed trial: the
 * request is blocked for BR_QUARANTINE_LIFE_MS.  Half of the time above,
 * because VMs start to count it at different moments. */
#define BR_CRASHES_TRIAL_SPAN_MS (BR_QUARANTINE_TRIAL_MS / 2)

/* Slots of the table of recently answered contents, indexed by content.  A
 * content that many callers send stays in the table. */
#define BR_QUARANTINE_ANSWERED_SLOTS 1024

/* Bans and answered contents kept; the oldest is dropped first. */
#define BR_BANS_MAX 256
#define BR_ANSWERED_MAX 256

/* Lost runs, without proof that the upstream crashed, after which a request is
 * blocked until a trial.  A caller that sends a request twice, each time to two
 * upstreams, causes no more than these. */
#define BR_LOSSES_TO_QUARANTINE 4

/* Upstreams at which runs of one request were lost, after which the VM that
 * grants trials lets it run only one at a time.  They may have been lost to one
 * fault: an innocent request is answered in its first trial. */
#define BR_LOST_UPSTREAMS_TO_TRY 3

/* Losses of one request within this time, in milliseconds, count as one: a
 * fault ends all runs in progress, and many callers may send the same
 * request. */
#define BR_LOSSES_MERGE_MS 500

/* Trials are granted by the log's clock, crashes are dated by the VMs' own.  A
 * crash this much before the trial, in milliseconds, still counts as in it; the
 * crashes before the ban are far older. */
#define BR_QUARANTINE_SKEW_MS 1000

/* Runs that one crash ended are reported as lost within this time, in
 * milliseconds.  A run that was lost later was sent to an upstream that was
 * down. */
#define BR_SAME_CRASH_MS 100

/* How long a VM with a leader blocks a request after its trial run was lost, in
 * milliseconds.  The leader has decided by then. */
#define BR_QUARANTINE_DECISION_MS 2000

/* Lost runs kept; the oldest is dropped first. */
#define BR_LOSSES_MAX 512

/* How long an answer invalidates reports of earlier crashes, in milliseconds.
 * VMs repeat their reports for a shorter time. */
#define BR_ANSWERED_LIFE_MS 30000

/* One request that was running on an upstream when the upstream crashed. */
typedef struct
{
  uint64_t content;
  br_name_t upstream;
  uint64_t incarnation;
  br_ms_t expires_ms;
} br_crash_t;

/* One run that was disconnected or timed out before its answer. */
typedef struct
{
  uint64_t run; /* identifies the run on all VMs */
  uint64_t content;
  br_name_t upstream;
  uint64_t incarnation;
  br_ms_t at_ms;
} br_loss_t;

/* A suspect, or a request on trial, that runs now. */
typedef struct
{
  uint64_t content;
  br_name_t upstream;
} br_suspect_run_t;

/* Another VM's decision that a request must not run before UNTIL_MS.  Its
 * newest trial, granted at GRANTED_MS, may run earlier. */
typedef struct
{
  uint64_t content;
  br_ms_t until_ms;
  br_ms_t granted_ms; /* 0: none was granted */
} br_ban_t;

/* A request that was answered. */
typedef struct
{
  uint64_t content;
  br_ms_t at_ms;
} br_answered_t;

BR_VEC (br_bans, br_ban_t);
BR_VEC (br_answereds, br_answered_t);
BR_VEC (br_crashes, br_crash_t);
BR_VEC (br_losses, br_loss_t);
BR_VEC (br_suspect_runs, br_suspect_run_t);

/* An all-zero value is an empty quarantine. */
typedef struct
{
  br_crashes_t crashes;
  br_losses_t losses; /* includes those that a later crash report explains */
  br_suspect_runs_t runs;
  br_bans_t bans;
  br_answereds_t answered; /* in the order of their reports */
  uint64_t recently_answered[BR_QUARANTINE_ANSWERED_SLOTS];
  /* Another VM receives the reports of all crashes and decides on bans.  With
   * only its own reports, this VM blocks a request only if it failed its
   * trial. */
  bool has_leader;
  /* A request is tried again before it is blocked for long.  Many callers may
   * send the same request, and a wrong quarantine would affect all of them. */
  bool has_trials;
  /* Another VM grants the trials.  A request that this VM alone blames is
   * blocked until that VM decides. */
  bool trials_are_granted;
} br_quarantine_t;

/* Returns the digest that identifies a request.  A resend by the same caller
 * has the same digest, whatever its id.  Never 0. */
uint64_t br_request_content (br_str_t caller, br_str_t path, br_str_t body);

/* Records that CONTENT was running on the upstream when it crashed, at NOW.
 * Ignores a repeated report and one from before CONTENT was answered.  Returns
 * whether the report was recorded. */
bool br_quarantine_report (br_quarantine_t *quarantine,
                           uint64_t content,
                           const br_name_t *upstream,
                           uint64_t incarnation,
                           br_ms_t now);

/* Records that a run was lost, whatever happened to its upstream.  Ignores a
 * repeated report and one from before the content was answered.  Returns
 * whether the report was recorded. */
bool br_quarantine_report_loss (br_quarantine_t *quarantine,
                                const br_loss_t *loss);

/* Returns how many runs of CONTENT were lost since it was last answered.
 * Losses within BR_LOSSES_MERGE_MS count as one. */
int br_quarantine_losses (const br_quarantine_t *quarantine, uint64_t content);

/* Discards the reports about one incarnation of an upstream: it did not crash,
 * its VM was reclaimed. */
void br_quarantine_discard (br_quarantine_t *quarantine,
                            const br_name_t *upstream,
                            uint64_t incarnation);

/* Discards the reports about all incarnations of an upstream.  Its VM was
 * removed from the VM list: the platform reclaimed it, with or without a
 * notice. */
void br_quarantine_discard_all (br_quarantine_t *quarantine,
                                const br_name_t *upstream);

/* Discards all reports about CONTENT, which was answered and crashes
 * nothing. */
void br_quarantine_clear (br_quarantine_t *quarantine, uint64_t content);

/* Records that CONTENT was answered at AT_MS.  Discards its reports, and
 * removes its ban if that has ended by then.  Reports of crashes before AT_MS
 * that arrive later are ignored. */
void br_quarantine_answered (br_quarantine_t *quarantine,
                             uint64_t content,
                             br_ms_t at_ms);

/* Records that CONTENT was answered, now or before it ran in a crash.  It is
 * then blamed only after BR_CRASHES_UNCONDITIONAL crashes with no answer
 * between them: a request that many callers send is in progress at every
 * upstream that crashes. */
void br_quarantine_note_recently_answered (br_quarantine_t *quarantine,
                                           uint64_t content);
bool br_quarantine_is_recently_answered (const br_quarantine_t *quarantine,
                                         uint64_t content);

/* Removes all bans before a new list of them is added. */
void br_quarantine_clear_bans (br_quarantine_t *quarantine);

/* Records another VM's decision that CONTENT must not run before UNTIL_MS. */
void br_quarantine_ban (br_quarantine_t *quarantine,
                        uint64_t content,
                        br_ms_t until_ms);

/* Records that a trial of a banned CONTENT was granted at GRANTED_MS. */
void br_quarantine_set_trial (br_quarantine_t *quarantine,
                              uint64_t content,
                              br_ms_t granted_ms);

/* Returns whether a trial of CONTENT was granted a moment ago, so that its
 * result may come soon. */
bool br_quarantine_trial_runs (const br_quarantine_t *quarantine,
                               uint64_t content,
                               br_ms_t now);

/* Returns whether there are no crashes, losses or bans, in which case no
 * request needs to be checked. */
bool br_quarantine_is_empty (const br_quarantine_t *quarantine);

/* Returns the number of crashes in which CONTENT was running. */
int br_quarantine_count (const br_quarantine_t *quarantine, uint64_t content);

/* Returns whether CONTENT must not run at NOW. */
bool br_quarantine_blocks (br_quarantine_t *quarantine,
                           uint64_t content,
                           br_ms_t now);

/* Returns the time until which a blocked CONTENT must not run. */
br_ms_t br_quarantine_until (const br_quarantine_t *quarantine,
                             uint64_t content);

/* Returns whether the ban of CONTENT has ended and no new ban replaced it: a
 * trial may be requested. */
bool br_quarantine_trial_is_due (const br_quarantine_t *quarantine,
                                 uint64_t content,
                                 br_ms_t now);

/* Returns whether CONTENT has a ban, which may have ended. */
bool br_quarantine_has_ban (const br_quarantine_t *quarantine,
                            uint64_t content);

/* Returns whether CONTENT is proved to have crashed an upstream again after it
 * was blocked for a trial.  A run lost in a trial is no such proof; it only
 * blocks CONTENT for BR_QUARANTINE_LIFE_MS. */
bool br_quarantine_is_certain (const br_quarantine_t *quarantine,
                               uint64_t content);

/* Returns whether CONTENT was running in at least one crash. */
bool br_quarantine_is_suspect (const br_quarantine_t *quarantine,
                               uint64_t content);

/* Records the start or the end of a run, if CONTENT is a suspect or on
 * trial. */
void br_quarantine_start (br_quarantine_t *quarantine,
                          uint64_t content,
                          const br_name_t *upstream);
void br_quarantine_end (br_quarantine_t *quarantine, uint64_t content);

/* Returns whether other suspects run on the upstream. */
bool br_quarantine_runs_at (const br_quarantine_t *quarantine,
                            uint64_t content,
                            const br_name_t *upstream);

/* Appends to NAMES the upstreams on which other suspects run, which CONTENT
 * should avoid. */
void br_quarantine_avoid (const br_quarantine_t *quarantine,
                          uint64_t content,
                          br_names_t *names);
void br_quarantine_free (br_quarantine_t *quarantine);

BR_END_DECLS

#endif
