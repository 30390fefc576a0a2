#include "speed/speed_view.h"

#include <math.h>

void
br_speed_view_receive (br_speed_view_t *view, double speed)
{
  if (!isfinite (speed) || speed <= 0)
    view->speed = 0;
  else
    view->speed = BR_MIN (BR_MAX (speed, BR_SPEED_MIN), BR_SPEED_MAX);
}

bool
br_speed_view_is_known (const br_speed_view_t *view)
{
  return view->speed > 0 || view->pace.percent != 0;
}

double
br_speed_view_speed (const br_speed_view_t *view)
{
  return view->speed > 0 ? view->speed : 1;
}

double
br_speed_view_expected_ms (const br_speed_view_t *view,
                           double work_ms,
                           br_ms_t now)
{
  return br_pace_expected_ms (&view->pace, work_ms / br_speed_view_speed (view),
                              now);
}
