/* What an entry VM holds of an upstream's pace and speed. */
#ifndef BR_SPEED_SPEED_VIEW_H
#define BR_SPEED_SPEED_VIEW_H

#include "speed/pace.h"

BR_BEGIN_DECLS

/* Bounds of a speed relative to the service's. */
#define BR_SPEED_MIN 0.4
#define BR_SPEED_MAX 2.5

/* An all-zero value knows nothing and changes no time. */
typedef struct
{
  br_pace_t pace;
  bool pace_unsent;     /* this VM's own answer said it since it last sent */
  bool pace_unreadable; /* the last answer's was no valid figure */
  double speed;         /* as sent by the leader; 0: not in force */
  double sum;           /* of samples since the last report, weighted */
  double weight;
} br_speed_view_t;

/* Takes the speed that the leader sent; 0: it has none in force. */
void br_speed_view_receive (br_speed_view_t *view, double speed);

/* Returns whether the upstream's speed is in force or it ever stated a pace. */
bool br_speed_view_is_known (const br_speed_view_t *view);

/* Returns the speed relative to the service; exactly 1 when none is in force.
 */
double br_speed_view_speed (const br_speed_view_t *view);

/* Returns the expected time of work that takes WORK_MS at an upstream of speed
 * 1 and usual pace. */
double br_speed_view_expected_ms (const br_speed_view_t *view,
                                  double work_ms,
                                  br_ms_t now);

BR_END_DECLS

#endif
