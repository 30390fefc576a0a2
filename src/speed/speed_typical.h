/* What observations of upstreams typically take at one entry VM, and the
 * samples of relative speed that follow from them. */
#ifndef BR_SPEED_SPEED_TYPICAL_H
#define BR_SPEED_SPEED_TYPICAL_H

#include "base/str.h"
#include "speed/speed_view.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_OBSERVED_STEP,  /* mean gap between the events of an answer */
  BR_OBSERVED_PLAIN, /* time of a plain service's answer */
} br_observed_kind_t;

typedef struct
{
  br_observed_kind_t kind;
  br_str_t service;
  br_str_t route;
  uint32_t load; /* requests at the upstream */
  uint32_t slots;
  double value;  /* above 0; times in milliseconds */
  double weight; /* of the sample, up to 1 */
} br_observation_t;

/* One average.  All-zero: none. */
typedef struct
{
  uint64_t key;
  double log_mean; /* of value times speed */
  double n;
} br_typical_t;

/* Averages kept.  One that another one displaces begins anew, which delays its
 * samples only. */
#define BR_TYPICALS_MAX 1024

typedef struct
{
  br_typical_t *items; /* owned, BR_TYPICALS_MAX; NULL before the first */
} br_typicals_t;

/* Adds the observation's sample to VIEW.  A step is a sample by itself, as the
 * leader divides by the service's mean.  The time of a plain answer depends on
 * its route and is a sample once the typical time is known, which it updates.
 */
void br_typicals_observe (br_typicals_t *typicals,
                          br_speed_view_t *view,
                          const br_observation_t *observation);

/* Returns the typical time of a plain service's answers at usual speed, in
 * milliseconds; 0 when none is known. */
double br_typicals_plain_ms (const br_typicals_t *typicals,
                             const br_name_t *service);
void br_typicals_release (br_typicals_t *typicals);

BR_END_DECLS

#endif
