#include "http/held_bytes.h"

#include <inttypes.h>

/* Progress counts over the current window and the one before. */
#define WINDOW_MS 1000

/* The least age that progress is divided by, in milliseconds. */
#define AGE_MIN_MS 100

/* Blocks and read buffers beside a body. */
#define LONGEST_SLACK_BYTES (128 * 1024)

static size_t
account_limit (const br_held_account_t *account)
{
  return BR_MAX (account->limit,
                 account->longest + account->longest / 4 + LONGEST_SLACK_BYTES);
}

void
br_held_join (br_held_t *held, br_held_account_t *account, br_ms_t now)
{
  held->account = account;
  held->prev = NULL;
  held->next = account->first;
  if (account->first != NULL)
    account->first->prev = held;
  account->first = held;
  br_held_begin (held, now);
}

void
br_held_leave (br_held_t *held)
{
  if (held->account == NULL)
    return;
  held->account->bytes -= held->bytes;
  if (held->prev != NULL)
    held->prev->next = held->next;
  else
    held->account->first = held->next;
  if (held->next != NULL)
    held->next->prev = held->prev;
  held->account = NULL;
}

void
br_held_begin (br_held_t *held, br_ms_t now)
{
  held->since_ms = held->progress_ms = held->window_ms = now;
  held->window_bytes = held->previous_bytes = 0;
}

void
br_held_set (br_held_t *held, size_t bytes, bool may_be_shed)
{
  br_held_account_t *account = held->account;

  account->bytes += bytes - held->bytes;
  held->bytes = bytes;
  held->may_be_shed = may_be_shed;
  account->most = BR_MAX (account->most, account->bytes);
}

void
br_held_progress (br_held_t *held, size_t n, br_ms_t now)
{
  br_ms_t windows = (now - held->window_ms) / WINDOW_MS;

  if (windows > 0)
    {
      held->previous_bytes = windows == 1 ? held->window_bytes : 0;
      held->window_bytes = 0;
      held->window_ms += windows * WINDOW_MS;
    }
  held->window_bytes += n;
  held->progress_ms = now;
}

double
br_held_rate (const br_held_t *held, br_ms_t now)
{
  br_ms_t elapsed_ms = now - held->window_ms;
  br_ms_t age_ms = BR_MAX (now - held->since_ms, AGE_MIN_MS);
  size_t bytes = held->window_bytes;

  if (elapsed_ms < WINDOW_MS)
    bytes += held->previous_bytes;
  else if (elapsed_ms >= 2 * WINDOW_MS)
    bytes = 0;
  return (double)bytes * 1000
         / (double)BR_MIN (age_ms, WINDOW_MS + BR_MIN (elapsed_ms, WINDOW_MS));
}

bool
br_held_is_slow (const br_held_account_t *account,
                 uint64_t received,
                 br_ms_t since_ms,
                 br_ms_t now)
{
  br_ms_t due_ms = now - since_ms - account->grace_ms;

  return due_ms > 0 && received < (uint64_t)due_ms * account->rate_min / 1000;
}

bool
br_held_is_over (const br_held_account_t *account)
{
  return account->bytes > account_limit (account);
}

/* Returns whether A goes before B. */
static bool
held_goes_before (const br_held_t *a, const br_held_t *b, br_ms_t now)
{
  br_ms_t grace_ms = a->account->grace_ms;
  bool a_is_old = now - a->since_ms >= grace_ms;
  bool b_is_old = now - b->since_ms >= grace_ms;
  double a_rate;
  double b_rate;

  if (a_is_old != b_is_old)
    return a_is_old;
  if (!a_is_old)
    return a->bytes > b->bytes;
  a_rate = br_held_rate (a, now);
  b_rate = br_held_rate (b, now);
  return a_rate < b_rate || (a_rate <= b_rate && a->bytes > b->bytes);
}

br_held_t *
br_held_first_to_go (const br_held_account_t *account, br_ms_t now)
{
  br_held_t *first = NULL;

  for (br_held_t *held = account->first; held != NULL; held = held->next)
    if (held->may_be_shed && held->bytes > 0
        && (first == NULL || held_goes_before (held, first, now)))
      first = held;
  return first;
}

void
br_held_shed (br_held_account_t *account, br_ms_t now)
{
  br_held_t *held;

  while (br_held_is_over (account)
         && (held = br_held_first_to_go (account, now)) != NULL)
    {
      account->counts[BR_HELD_SHED]++;
      br_held_set (held, 0, false);
      held->shed (held->owner);
    }
}

void
br_held_print (const br_held_account_t *account, br_buf_t *out)
{
  static const struct
  {
    const char *name;
    const char *help;
  } rows[] = {
#define X(id, name, help) { name, help },
    BR_HELD_COUNT_TABLE (X)
#undef X
  };

  for (size_t i = 0; i < BR_HELD_COUNT; i++)
    br_buf_printf (out,
                   "# HELP briarrack_%s %s\n# TYPE briarrack_%s counter\n"
                   "briarrack_%s %" PRIu64 "\n",
                   rows[i].name, rows[i].help, rows[i].name, rows[i].name,
                   account->counts[i]);
  br_buf_printf (out,
                 "briarrack_held_bytes %zu\nbriarrack_held_bytes_most %zu\n"
                 "briarrack_held_bytes_max %zu\n",
                 account->bytes, account->most, account_limit (account));
}
