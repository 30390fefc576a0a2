#include "speed/pace.h"

/* Pace from which an upstream counts as slow, in percent. */
#define PACE_SLOW 150

bool
br_pace_receive (br_pace_t *pace, uint32_t percent, br_ms_t said_ms)
{
  if (percent < BR_PACE_MIN || percent > BR_PACE_MAX
      || (pace->percent != 0 && said_ms < pace->said_ms))
    return false;
  pace->percent = percent;
  pace->said_ms = said_ms;
  return true;
}

bool
br_pace_is_fresh (const br_pace_t *pace, br_ms_t now)
{
  return pace->percent != 0 && now - pace->said_ms < BR_PACE_LIFE_MS;
}

bool
br_pace_is_slow (const br_pace_t *pace, br_ms_t now)
{
  return br_pace_is_fresh (pace, now) && pace->percent >= PACE_SLOW;
}

double
br_pace_factor (const br_pace_t *pace, br_ms_t now)
{
  return br_pace_is_fresh (pace, now) ? pace->percent / (double)BR_PACE_USUAL
                                      : 1;
}

/* A spell that is seen at a random moment still lasts with a probability that
 * falls linearly to 0 at its full length, and then for half of the remaining
 * length on average.  Work that takes longer outlasts it. */
double
br_pace_expected_ms (const br_pace_t *pace, double work_ms, br_ms_t now)
{
  double factor = br_pace_factor (pace, now);
  double left_ms;
  double until_end_ms;
  double extra_ms;

  if (factor == 1)
    return work_ms;
  left_ms = (double)BR_PACE_LIFE_MS - (double)BR_MAX (now - pace->said_ms, 0);
  until_end_ms = (1 - 1 / factor) * left_ms / 2;
  extra_ms = (factor - 1) * work_ms;
  extra_ms = factor > 1 ? BR_MIN (extra_ms, until_end_ms)
                        : BR_MAX (extra_ms, until_end_ms);
  return work_ms + extra_ms * left_ms / BR_PACE_LIFE_MS;
}
