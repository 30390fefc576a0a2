#include "upstream/quarantine_private.h"

#include <string.h>

uint64_t
br_request_content (br_str_t caller, br_str_t path, br_str_t body)
{
  uint64_t digest = br_str_hash (caller, 0);

  digest = br_str_hash (path, digest);
  digest = br_str_hash (body, digest);
  return digest != 0 ? digest : 1;
}

static bool
crash_is_at (const br_crash_t *crash,
             const br_name_t *upstream,
             uint64_t incarnation)
{
  return crash->incarnation == incarnation
         && br_name_equal (&crash->upstream, upstream);
}

int
br_quarantine_count (const br_quarantine_t *quarantine, uint64_t content)
{
  int n = 0;

  for (size_t i = 0; i < quarantine->crashes.len; i++)
    n += quarantine->crashes.items[i].content == content;
  return n;
}

static void
quarantine_remove_crash (br_quarantine_t *quarantine, size_t at)
{
  br_crashes_t *crashes = &quarantine->crashes;

  crashes->len--;
  memmove (&crashes->items[at], &crashes->items[at + 1],
           (crashes->len - at) * sizeof *crashes->items);
}

static bool
quarantine_has_crash (const br_quarantine_t *quarantine,
                      uint64_t content,
                      const br_name_t *upstream,
                      uint64_t incarnation)
{
  for (size_t i = 0; i < quarantine->crashes.len; i++)
    if (quarantine->crashes.items[i].content == content
        && crash_is_at (&quarantine->crashes.items[i], upstream, incarnation))
      return true;
  return false;
}

static bool
quarantine_has_answered (const br_quarantine_t *quarantine,
                         uint64_t content,
                         br_ms_t after_ms)
{
  for (size_t i = 0; i < quarantine->answered.len; i++)
    if (quarantine->answered.items[i].content == content
        && quarantine->answered.items[i].at_ms >= after_ms)
      return true;
  return false;
}

bool
br_quarantine_report (br_quarantine_t *quarantine,
                      uint64_t content,
                      const br_name_t *upstream,
                      uint64_t incarnation,
                      br_ms_t now)
{
  br_crash_t crash = {
    .content = content,
    .upstream = *upstream,
    .incarnation = incarnation,
    .expires_ms = now + BR_QUARANTINE_LIFE_MS,
  };

  if (quarantine_has_crash (quarantine, content, upstream, incarnation)
      || quarantine_has_answered (quarantine, content, now))
    return false;
  if (quarantine->crashes.len == BR_CRASHES_MAX)
    quarantine_remove_crash (quarantine, 0);
  br_crashes_push (&quarantine->crashes, crash);
  return true;
}

static void
quarantine_remove_loss (br_quarantine_t *quarantine, size_t at)
{
  br_losses_t *losses = &quarantine->losses;

  losses->len--;
  memmove (&losses->items[at], &losses->items[at + 1],
           (losses->len - at) * sizeof *losses->items);
}

bool
br_quarantine_report_loss (br_quarantine_t *quarantine, const br_loss_t *loss)
{
  for (size_t i = 0; i < quarantine->losses.len; i++)
    if (quarantine->losses.items[i].run == loss->run)
      return false;
  if (quarantine_has_answered (quarantine, loss->content, loss->at_ms))
    return false;
  if (quarantine->losses.len == BR_LOSSES_MAX)
    quarantine_remove_loss (quarantine, 0);
  br_losses_push (&quarantine->losses, *loss);
  return true;
}

int
br_quarantine_losses (const br_quarantine_t *quarantine, uint64_t content)
{
  br_ms_t last_ms = -BR_LOSSES_MERGE_MS;
  int n = 0;

  for (size_t i = 0; i < quarantine->losses.len; i++)
    {
      const br_loss_t *loss = &quarantine->losses.items[i];

      if (loss->content != content
          || loss->at_ms < last_ms + BR_LOSSES_MERGE_MS)
        continue;
      last_ms = loss->at_ms;
      n++;
    }
  return n;
}

/* Returns when the most recent lost run of CONTENT ended, or 0. */
static br_ms_t
quarantine_last_loss (const br_quarantine_t *quarantine, uint64_t content)
{
  br_ms_t last_ms = 0;

  for (size_t i = 0; i < quarantine->losses.len; i++)
    if (quarantine->losses.items[i].content == content)
      last_ms = BR_MAX (last_ms, quarantine->losses.items[i].at_ms);
  return last_ms;
}

/* Removes the losses at an upstream, of all its incarnations if INCARNATION is
 * NULL. */
static void
quarantine_discard_losses (br_quarantine_t *quarantine,
                           const br_name_t *upstream,
                           const uint64_t *incarnation)
{
  br_losses_t *losses = &quarantine->losses;
  size_t i = 0;

  while (i < losses->len)
    if (br_name_equal (&losses->items[i].upstream, upstream)
        && (incarnation == NULL
            || losses->items[i].incarnation == *incarnation))
      quarantine_remove_loss (quarantine, i);
    else
      i++;
}

void
br_quarantine_discard (br_quarantine_t *quarantine,
                       const br_name_t *upstream,
                       uint64_t incarnation)
{
  size_t i = 0;

  quarantine_discard_losses (quarantine, upstream, &incarnation);

  while (i < quarantine->crashes.len)
    if (crash_is_at (&quarantine->crashes.items[i], upstream, incarnation))
      quarantine_remove_crash (quarantine, i);
    else
      i++;
}

void
br_quarantine_discard_all (br_quarantine_t *quarantine,
                           const br_name_t *upstream)
{
  size_t i = 0;

  quarantine_discard_losses (quarantine, upstream, NULL);
  while (i < quarantine->crashes.len)
    if (br_name_equal (&quarantine->crashes.items[i].upstream, upstream))
      quarantine_remove_crash (quarantine, i);
    else
      i++;
}

void
br_quarantine_clear (br_quarantine_t *quarantine, uint64_t content)
{
  size_t i = 0;

  while (i < quarantine->crashes.len)
    if (quarantine->crashes.items[i].content == content)
      quarantine_remove_crash (quarantine, i);
    else
      i++;
  i = 0;
  while (i < quarantine->losses.len)
    if (quarantine->losses.items[i].content == content)
      quarantine_remove_loss (quarantine, i);
    else
      i++;
}

void
br_quarantine_answered (br_quarantine_t *quarantine,
                        uint64_t content,
                        br_ms_t at_ms)
{
  br_answered_t answered = { .content = content, .at_ms = at_ms };
  br_answereds_t *list = &quarantine->answered;

  if (quarantine_has_answered (quarantine, content, at_ms))
    return;
  br_quarantine_clear (quarantine, content);
  br_quarantine_end_trial (quarantine, content, at_ms);
  if (list->len == BR_ANSWERED_MAX
      || (list->len > 0 && at_ms - list->items[0].at_ms > BR_ANSWERED_LIFE_MS))
    memmove (list->items, list->items + 1, --list->len * sizeof *list->items);
  br_answereds_push (list, answered);
}

void
br_quarantine_note_recently_answered (br_quarantine_t *quarantine,
                                      uint64_t content)
{
  quarantine->recently_answered[content % BR_QUARANTINE_ANSWERED_SLOTS]
      = content;
}

bool
br_quarantine_is_recently_answered (const br_quarantine_t *quarantine,
                                    uint64_t content)
{
  return quarantine->recently_answered[content % BR_QUARANTINE_ANSWERED_SLOTS]
         == content;
}

bool
br_quarantine_is_empty (const br_quarantine_t *quarantine)
{
  return quarantine->crashes.len == 0 && quarantine->losses.len == 0
         && quarantine->bans.len == 0;
}

static void
quarantine_expire (br_quarantine_t *quarantine, br_ms_t now)
{
  while (quarantine->crashes.len > 0
         && quarantine->crashes.items[0].expires_ms <= now)
    quarantine_remove_crash (quarantine, 0);
  while (quarantine->losses.len > 0
         && quarantine->losses.items[0].at_ms + BR_QUARANTINE_LIFE_MS <= now)
    quarantine_remove_loss (quarantine, 0);
}

/* Returns whether no other content that ran in the crash has THRESHOLD crashes
 * or more.  Recently answered contents are no candidates. */
static bool
quarantine_is_sole_suspect (const br_quarantine_t *quarantine,
                            uint64_t content,
                            const br_crash_t *crash,
                            int threshold)
{
  for (size_t i = 0; i < quarantine->crashes.len; i++)
    {
      const br_crash_t *each = &quarantine->crashes.items[i];

      if (each->content != content
          && !br_quarantine_is_recently_answered (quarantine, each->content)
          && crash_is_at (each, &crash->upstream, crash->incarnation)
          && br_quarantine_count (quarantine, each->content) >= threshold)
        return false;
    }
  return true;
}

/* Sets the times of the first and the last crash of CONTENT. */
static void
quarantine_span (const br_quarantine_t *quarantine,
                 uint64_t content,
                 br_ms_t *first_ms,
                 br_ms_t *last_ms)
{
  *first_ms = BR_MS_NEVER;
  *last_ms = 0;
  for (size_t i = 0; i < quarantine->crashes.len; i++)
    {
      const br_crash_t *crash = &quarantine->crashes.items[i];
      br_ms_t at_ms = crash->expires_ms - BR_QUARANTINE_LIFE_MS;

      if (crash->content != content)
        continue;
      *first_ms = BR_MIN (*first_ms, at_ms);
      *last_ms = BR_MAX (*last_ms, at_ms);
    }
}

/* Returns whether the upstream was down before the run of CRASH was lost: the
 * same crash ended another run much earlier. */
static bool
quarantine_was_down (const br_quarantine_t *quarantine, const br_crash_t *crash)
{
  for (size_t i = 0; i < quarantine->crashes.len; i++)
    {
      const br_crash_t *each = &quarantine->crashes.items[i];

      if (crash_is_at (each, &crash->upstream, crash->incarnation)
          && each->expires_ms < crash->expires_ms - BR_SAME_CRASH_MS)
        return true;
    }
  return false;
}

/* Returns whether CONTENT was running in a crash in a trial. */
static bool
quarantine_crashed_in_trial (const br_quarantine_t *quarantine,
                             uint64_t content)
{
  const br_ban_t *ban = br_quarantine_find_ban (quarantine, content);

  for (size_t i = 0; ban != NULL && i < quarantine->crashes.len; i++)
    {
      const br_crash_t *crash = &quarantine->crashes.items[i];

      if (crash->content == content
          && crash->expires_ms - BR_QUARANTINE_LIFE_MS >= br_ban_trial_ms (ban)
          && !quarantine_was_down (quarantine, crash))
        return true;
    }
  return false;
}

/* Returns whether CONTENT was running in a crash or was lost in a trial.  Only
 * an answer clears it; a missing proof of the crash does not. */
static bool
quarantine_failed_trial (const br_quarantine_t *quarantine, uint64_t content)
{
  const br_ban_t *ban = br_quarantine_find_ban (quarantine, content);
  br_ms_t last_ms = quarantine_last_loss (quarantine, content);

  return quarantine_crashed_in_trial (quarantine, content)
         || (ban != NULL && last_ms >= br_ban_trial_ms (ban) && last_ms > 0
             && !br_quarantine_is_recently_answered (quarantine, content));
}

bool
br_quarantine_is_certain (const br_quarantine_t *quarantine, uint64_t content)
{
  br_ms_t first_ms;
  br_ms_t last_ms;

  if (quarantine_crashed_in_trial (quarantine, content))
    return true;
  quarantine_span (quarantine, content, &first_ms, &last_ms);
  return br_quarantine_count (quarantine, content) >= BR_CRASHES_TO_QUARANTINE
         && last_ms - first_ms >= BR_CRASHES_TRIAL_SPAN_MS;
}

/* Returns when CONTENT, which is blocked for its crashes, may run again. */
static br_ms_t
quarantine_blocked_until (const br_quarantine_t *quarantine, uint64_t content)
{
  br_ms_t first_ms;
  br_ms_t last_ms;

  quarantine_span (quarantine, content, &first_ms, &last_ms);
  last_ms = BR_MAX (last_ms, quarantine_last_loss (quarantine, content));
  return last_ms
         + (!quarantine->has_trials || quarantine->trials_are_granted
                    || br_quarantine_is_certain (quarantine, content)
                    || quarantine_failed_trial (quarantine, content)
                ? BR_QUARANTINE_LIFE_MS
                : BR_QUARANTINE_TRIAL_MS);
}

/* Returns whether another content that was lost together with LOSS has more
 * than COUNT losses. */
static bool
quarantine_other_lost_more (const br_quarantine_t *quarantine,
                            const br_loss_t *loss,
                            int count)
{
  for (size_t i = 0; i < quarantine->losses.len; i++)
    {
      const br_loss_t *each = &quarantine->losses.items[i];

      if (each->content != loss->content
          && br_name_equal (&each->upstream, &loss->upstream)
          && each->at_ms < loss->at_ms + BR_LOSSES_MERGE_MS
          && loss->at_ms < each->at_ms + BR_LOSSES_MERGE_MS
          && !br_quarantine_is_recently_answered (quarantine, each->content)
          && br_quarantine_losses (quarantine, each->content) > count)
        return true;
    }
  return false;
}

/* Returns whether the loss at index AT is the first of its content at that
 * incarnation of an upstream. */
static bool
quarantine_is_first_loss (const br_quarantine_t *quarantine, size_t at)
{
  const br_loss_t *loss = &quarantine->losses.items[at];

  for (size_t i = 0; i < at; i++)
    {
      const br_loss_t *each = &quarantine->losses.items[i];

      if (each->content == loss->content
          && each->incarnation == loss->incarnation
          && br_name_equal (&each->upstream, &loss->upstream))
        return false;
    }
  return true;
}

/* Returns the number of upstreams, counted by incarnation, at which runs of
 * CONTENT were lost. */
static int
quarantine_lost_upstreams (const br_quarantine_t *quarantine, uint64_t content)
{
  int n = 0;

  for (size_t i = 0; i < quarantine->losses.len; i++)
    n += quarantine->losses.items[i].content == content
         && quarantine_is_first_loss (quarantine, i);
  return n;
}

/* Returns whether CONTENT has lost enough runs to be blamed for it. */
static bool
quarantine_has_lost_enough (const br_quarantine_t *quarantine, uint64_t content)
{
  bool grants_trials
      = quarantine->has_trials && !quarantine->trials_are_granted;

  return br_quarantine_losses (quarantine, content) >= BR_LOSSES_TO_QUARANTINE
         || (grants_trials
             && quarantine_lost_upstreams (quarantine, content)
                    >= BR_LOST_UPSTREAMS_TO_TRY);
}

/* Returns whether CONTENT is assumed to cause the loss of its runs, whether or
 * not a crash was reported.  A content that was answered recently is not
 * blamed: losses without proof have many causes, and callers that send the same
 * content lose their runs together. */
static bool
quarantine_blames_losses (const br_quarantine_t *quarantine, uint64_t content)
{
  int n = br_quarantine_losses (quarantine, content);

  if (!quarantine_has_lost_enough (quarantine, content)
      || br_quarantine_is_recently_answered (quarantine, content))
    return false;
  for (size_t i = 0; i < quarantine->losses.len; i++)
    if (quarantine->losses.items[i].content == content
        && !quarantine_other_lost_more (quarantine,
                                        &quarantine->losses.items[i], n))
      return true;
  return false;
}

/* Returns whether CONTENT is assumed to have caused one of its crashes. */
static bool
quarantine_blames (const br_quarantine_t *quarantine, uint64_t content)
{
  int n = br_quarantine_count (quarantine, content);
  int threshold = n >= BR_CRASHES_TO_QUARANTINE ? n : 2;

  if (n < 2 || n >= BR_CRASHES_UNCONDITIONAL
      || br_quarantine_is_recently_answered (quarantine, content))
    return n >= BR_CRASHES_UNCONDITIONAL;
  for (size_t i = 0; i < quarantine->crashes.len; i++)
    if (quarantine->crashes.items[i].content == content
        && quarantine_is_sole_suspect (
            quarantine, content, &quarantine->crashes.items[i], threshold))
      return true;
  return false;
}

bool
br_quarantine_blocks (br_quarantine_t *quarantine,
                      uint64_t content,
                      br_ms_t now)
{
  const br_ban_t *ban = br_quarantine_find_ban (quarantine, content);

  if (ban != NULL && now < ban->until_ms)
    return true;
  quarantine_expire (quarantine, now);
  if (quarantine_crashed_in_trial (quarantine, content))
    return now < quarantine_blocked_until (quarantine, content);
  if (quarantine->has_leader)
    return quarantine_failed_trial (quarantine, content)
           && now < quarantine_last_loss (quarantine, content)
                        + BR_QUARANTINE_DECISION_MS;
  return (quarantine_failed_trial (quarantine, content)
          || quarantine_blames (quarantine, content)
          || quarantine_blames_losses (quarantine, content))
         && now < quarantine_blocked_until (quarantine, content);
}

br_ms_t
br_quarantine_until (const br_quarantine_t *quarantine, uint64_t content)
{
  const br_ban_t *ban = br_quarantine_find_ban (quarantine, content);
  br_ms_t until_ms = ban != NULL ? ban->until_ms : 0;

  if (br_quarantine_count (quarantine, content) > 0
      || br_quarantine_losses (quarantine, content) > 0)
    until_ms
        = BR_MAX (until_ms, quarantine_blocked_until (quarantine, content));
  return until_ms;
}

bool
br_quarantine_is_suspect (const br_quarantine_t *quarantine, uint64_t content)
{
  return br_quarantine_count (quarantine, content) > 0;
}

void
br_quarantine_start (br_quarantine_t *quarantine,
                     uint64_t content,
                     const br_name_t *upstream)
{
  br_suspect_run_t run = { .content = content, .upstream = *upstream };

  if (br_quarantine_is_suspect (quarantine, content)
      || br_quarantine_find_ban (quarantine, content) != NULL)
    br_suspect_runs_push (&quarantine->runs, run);
}

void
br_quarantine_end (br_quarantine_t *quarantine, uint64_t content)
{
  br_suspect_runs_t *runs = &quarantine->runs;

  for (size_t i = 0; i < runs->len; i++)
    if (runs->items[i].content == content)
      {
        runs->items[i] = runs->items[--runs->len];
        return;
      }
}

bool
br_quarantine_runs_at (const br_quarantine_t *quarantine,
                       uint64_t content,
                       const br_name_t *upstream)
{
  for (size_t i = 0; i < quarantine->runs.len; i++)
    if (quarantine->runs.items[i].content != content
        && br_name_equal (&quarantine->runs.items[i].upstream, upstream))
      return true;
  return false;
}

void
br_quarantine_avoid (const br_quarantine_t *quarantine,
                     uint64_t content,
                     br_names_t *names)
{
  for (size_t i = 0; i < quarantine->runs.len; i++)
    if (quarantine->runs.items[i].content != content)
      br_names_push (names, quarantine->runs.items[i].upstream);
}

void
br_quarantine_free (br_quarantine_t *quarantine)
{
  br_crashes_free (&quarantine->crashes);
  br_losses_free (&quarantine->losses);
  br_suspect_runs_free (&quarantine->runs);
  br_bans_free (&quarantine->bans);
  br_answereds_free (&quarantine->answered);
}
