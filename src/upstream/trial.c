#include "upstream/trial.h"

/* Blocks from the first, the second and each later trial on, in milliseconds.
 * A trial may be lost to a fault of its VM or upstream, so an innocent content
 * gets further ones. */
#define BLOCK_FIRST_MS (10 * 1000)
#define BLOCK_SECOND_MS (10 * 60 * 1000)
#define BLOCK_LATER_MS (24 * 60 * 60 * 1000)

static void
trials_expire (br_trials_t *trials, br_ms_t now)
{
  size_t i = 0;

  while (i < trials->len)
    if (now - trials->items[i].asked_ms > BR_TRIAL_VALID_MS)
      trials->items[i] = trials->items[--trials->len];
    else
      i++;
}

static br_trial_t *
trials_find (const br_trials_t *trials, uint64_t content)
{
  for (size_t i = 0; i < trials->len; i++)
    if (trials->items[i].content == content)
      return &trials->items[i];
  return NULL;
}

bool
br_trials_ask (br_trials_t *trials,
               uint64_t content,
               uint64_t ticket,
               br_ms_t now)
{
  br_trial_t trial = { .content = content, .ticket = ticket, .asked_ms = now };

  trials_expire (trials, now);
  if (trials_find (trials, content) != NULL || trials->len == BR_TRIALS_MAX)
    return false;
  br_trials_push (trials, trial);
  return true;
}

void
br_trials_grant (br_trials_t *trials,
                 uint64_t content,
                 uint64_t ticket,
                 br_ms_t now)
{
  br_trial_t *trial;

  trials_expire (trials, now);
  trial = trials_find (trials, content);
  if (trial != NULL && trial->ticket == ticket)
    trial->granted = true;
}

bool
br_trials_take (br_trials_t *trials, uint64_t content, br_ms_t now)
{
  br_trial_t *trial;

  trials_expire (trials, now);
  trial = trials_find (trials, content);
  if (trial == NULL || !trial->granted)
    return false;
  *trial = trials->items[--trials->len];
  return true;
}

br_ms_t
br_trial_block_ms (uint32_t number)
{
  switch (number)
    {
    case 0:
    case 1:
      return BLOCK_FIRST_MS;
    case 2:
      return BLOCK_SECOND_MS;
    default:
      return BLOCK_LATER_MS;
    }
}
