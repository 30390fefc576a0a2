#include "base/clock.h"

#include <time.h>

static br_ms_t
clock_read (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (br_ms_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

br_ms_t
br_clock_now (const br_clock_t *clock)
{
  switch (clock->kind)
    {
    case BR_CLOCK_MONOTONIC:
      return clock_read (CLOCK_MONOTONIC);
    case BR_CLOCK_MANUAL:
      return clock->manual_ms;
    }
  return 0;
}

br_ms_t
br_clock_cpu (void)
{
  return clock_read (CLOCK_THREAD_CPUTIME_ID);
}

br_ms_t
br_clock_wall (void)
{
  return clock_read (CLOCK_REALTIME);
}
