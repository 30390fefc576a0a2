#include "base/hlc.h"

int
br_hlc_compare (br_hlc_t a, br_hlc_t b)
{
  if (a.wall_ms != b.wall_ms)
    return a.wall_ms < b.wall_ms ? -1 : 1;
  return (a.count > b.count) - (a.count < b.count);
}

br_hlc_t
br_hlc_tick (br_hlc_t *hlc, br_ms_t wall_ms)
{
  if (wall_ms > hlc->wall_ms)
    *hlc = (br_hlc_t){ .wall_ms = wall_ms, .count = 0 };
  else
    hlc->count++;
  return *hlc;
}

br_hlc_t
br_hlc_receive (br_hlc_t *hlc, br_hlc_t remote, br_ms_t wall_ms)
{
  if (br_hlc_compare (remote, *hlc) > 0)
    *hlc = remote;
  return br_hlc_tick (hlc, wall_ms);
}
