/* Requests that crash upstreams.  A request is named by a digest of its
 * content, so that its resend has the same name.  It is a suspect after one
 * crash, and quarantined after two distinct ones when it alone explains one of
 * them; what crashed together is told apart by running suspects on different
 * upstreams. */
#ifndef BR_UPSTREAM_QUARANTINE_H
#define BR_UPSTREAM_QUARANTINE_H

#include "base/clock.h"
#include "base/label.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* After this time a crash is forgotten. */
#define BR_QUARANTINE_LIFE_MS (10 * 60 * 1000)

/* Crashes remembered, one for each request that ran; the oldest goes first. */
#define BR_CRASHES_MAX 2048

/* Crashes after which a request is quarantined, unless each of them had another
 * request that was at as many. */
#define BR_CRASHES_CERTAIN 3

/* Crashes after which a request is quarantined in any case.  Twice the number
 * above, which bounds what suspects cost that never run apart. */
#define BR_CRASHES_MOST 6

/* With TRIES_AGAIN a request is held for so long, in milliseconds, and may run
 * once more then: crashes that lie close together may have a cause of their own
 * that took all that ran.  This is more than an upstream takes to start. */
#define BR_QUARANTINE_TRIAL_MS 10000

/* With BR_CRASHES_CERTAIN crashes over at least this time, in milliseconds, it
 * was tried again: it is held for BR_QUARANTINE_LIFE_MS.  Half of the time
 * above, as VMs begin to count it at different moments. */
#define BR_CRASHES_SPREAD_MS (BR_QUARANTINE_TRIAL_MS / 2)

/* Contents that are remembered as answered lately, in a table by their name: a
 * content that many callers send stays in it. */
#define BR_QUARANTINE_GOOD_MAX 1024

/* Contents that are kept as banned, and as answered; the oldest goes first. */
#define BR_BANS_MAX 256
#define BR_ANSWERED_MAX 256

/* Times at which runs were lost, without a proof that the upstream crashed,
 * after which a request is held for a trial: a caller that tries twice, at two
 * upstreams each time, does not come to more. */
#define BR_LOSSES_CERTAIN 4

/* Losses of one request within this time, in milliseconds, count as one: a
 * fault takes all that is under way, and many callers may send the same. */
#define BR_LOSSES_APART_MS 500

/* After a run was lost in a trial, a VM that is led holds the request for so
 * long, in milliseconds: the leader has decided by then. */
#define BR_QUARANTINE_DECISION_MS 2000

/* Lost runs remembered that no crash explains yet; the oldest goes first. */
#define BR_LOSSES_MAX 512

/* An answer makes reports of earlier crashes void for this long, in
 * milliseconds: VMs repeat their reports for a shorter time. */
#define BR_ANSWERED_LIFE_MS 30000

/* One request that ran on an upstream when that crashed. */
typedef struct
{
  uint64_t content;
  br_name_t upstream;
  uint64_t incarnation;
  br_ms_t expires_ms;
} br_crash_t;

/* One run that broke off, or went silent, before its answer. */
typedef struct
{
  uint64_t run; /* names it on all VMs */
  uint64_t content;
  br_name_t upstream;
  uint64_t incarnation;
  br_ms_t at_ms;
} br_loss_t;

/* A suspect that runs now. */
typedef struct
{
  uint64_t content;
  br_name_t upstream;
} br_suspect_run_t;

/* A request that must not run until then, as another VM decided. */
typedef struct
{
  uint64_t content;
  br_ms_t until_ms;
} br_ban_t;

/* A request that ran to its end. */
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
  br_losses_t losses; /* also those that a crash explains by now */
  br_suspect_runs_t runs;
  br_bans_t bans;
  br_answereds_t answered; /* in the order in which they were told */
  uint64_t good[BR_QUARANTINE_GOOD_MAX];
  /* Another VM that hears of all crashes decides on bans: what this one saw
   * alone holds nothing but a request whose ban has just ended. */
  bool has_leader;
  /* Where many callers ask for the same, a request that was held wrongly is
   * missed by all of them: it is tried again before it is held for long. */
  bool tries_again;
} br_quarantine_t;

/* Names a request: a resend by the same caller has the same name, whatever its
 * id is.  Never 0. */
uint64_t br_request_content (br_str_t caller, br_str_t path, br_str_t body);

/* Notes that CONTENT ran on the upstream when that crashed, at NOW; a report
 * that came before, or of a time before CONTENT was answered, changes nothing.
 * Returns whether it is new. */
bool br_quarantine_report (br_quarantine_t *quarantine,
                           uint64_t content,
                           const br_name_t *upstream,
                           uint64_t incarnation,
                           br_ms_t now);

/* Notes that a run of a content was lost, whatever became of its upstream.  A
 * report that came before, or of a time before the content was answered,
 * changes nothing.  Returns whether it is new. */
bool br_quarantine_report_loss (br_quarantine_t *quarantine,
                                const br_loss_t *loss);

/* How often CONTENT was lost since it was last answered, at times that lie
 * apart. */
int br_quarantine_losses (const br_quarantine_t *quarantine, uint64_t content);

/* The upstream did not crash: its VM was reclaimed in this incarnation. */
void br_quarantine_discard (br_quarantine_t *quarantine,
                            const br_name_t *upstream,
                            uint64_t incarnation);

/* The VM of that name is gone from the VM list: it was taken back, with or
 * without a notice. */
void br_quarantine_discard_all (br_quarantine_t *quarantine,
                                const br_name_t *upstream);

/* CONTENT ran to its end: it crashes nothing. */
void br_quarantine_clear (br_quarantine_t *quarantine, uint64_t content);

/* The same at AT_MS; reports of earlier crashes are void, and so is a ban that
 * has ended by then. */
void br_quarantine_answered (br_quarantine_t *quarantine,
                             uint64_t content,
                             br_ms_t at_ms);

/* CONTENT was answered, now or before it ran in a crash.  It is blamed for
 * BR_CRASHES_MOST crashes only, without an answer between: one that many
 * callers send is under way at every upstream that ends. */
void br_quarantine_note_good (br_quarantine_t *quarantine, uint64_t content);
bool br_quarantine_is_good (const br_quarantine_t *quarantine,
                            uint64_t content);

/* Forgets all bans: new ones are about to be told. */
void br_quarantine_clear_bans (br_quarantine_t *quarantine);

/* Another VM decided that CONTENT must not run until UNTIL_MS. */
void br_quarantine_ban (br_quarantine_t *quarantine,
                        uint64_t content,
                        br_ms_t until_ms);

/* Whether anything is remembered: else no request needs to be looked at. */
bool br_quarantine_is_empty (const br_quarantine_t *quarantine);

/* Crashes in which CONTENT ran. */
int br_quarantine_count (const br_quarantine_t *quarantine, uint64_t content);

/* Whether CONTENT must not run again. */
bool br_quarantine_blocks (br_quarantine_t *quarantine,
                           uint64_t content,
                           br_ms_t now);

/* Until when a CONTENT that is held does not run. */
br_ms_t br_quarantine_until (const br_quarantine_t *quarantine,
                             uint64_t content);

/* Whether its ban has ended, and it has not been banned since. */
bool br_quarantine_is_on_trial (const br_quarantine_t *quarantine,
                                uint64_t content,
                                br_ms_t now);

/* Whether it surely crashed upstreams again after it had been held for a trial:
 * a run that was lost in a trial holds it for BR_QUARANTINE_LIFE_MS only. */
bool br_quarantine_is_certain (const br_quarantine_t *quarantine,
                               uint64_t content);

/* Whether CONTENT ran in a crash. */
bool br_quarantine_is_suspect (const br_quarantine_t *quarantine,
                               uint64_t content);

/* A suspect, or a request on trial, starts to run, or its run has ended. */
void br_quarantine_start (br_quarantine_t *quarantine,
                          uint64_t content,
                          const br_name_t *upstream);
void br_quarantine_end (br_quarantine_t *quarantine, uint64_t content);

/* Whether a trial of CONTENT is under way: the rest waits for its end. */
bool br_quarantine_has_trial (const br_quarantine_t *quarantine,
                              uint64_t content,
                              br_ms_t now);

/* Whether other suspects run on the upstream. */
bool br_quarantine_runs_at (const br_quarantine_t *quarantine,
                            uint64_t content,
                            const br_name_t *upstream);

/* Appends to NAMES the upstreams on which other suspects run: CONTENT had
 * better run elsewhere. */
void br_quarantine_avoid (const br_quarantine_t *quarantine,
                          uint64_t content,
                          br_names_t *names);
void br_quarantine_free (br_quarantine_t *quarantine);

BR_END_DECLS

#endif
