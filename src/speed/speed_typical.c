#include "speed/speed_typical.h"

#include <math.h>
#include <stdlib.h>

/* Observations that make an average a typical value. */
#define TYPICAL_MIN 10

/* Observations that an average goes back over. */
#define TYPICAL_MAX 200

/* Steps of load that are averaged apart.  Time grows a little with the share of
 * slots taken. */
#define LOAD_STEPS 4

/* Bound of one sample, as a logarithm: a factor of 4. */
#define SAMPLE_MAX 1.3863

static uint64_t
observation_key (const br_observation_t *observation)
{
  uint32_t slots = BR_MAX (observation->slots, 1);
  uint64_t step = BR_MIN ((uint64_t)observation->load * LOAD_STEPS / slots,
                          (uint64_t)LOAD_STEPS);
  uint64_t seed = (uint64_t)observation->kind * (LOAD_STEPS + 1) + step + 1;
  uint64_t key = br_str_hash (observation->route,
                              br_str_hash (observation->service, seed));

  return key != 0 ? key : 1;
}

/* The key of all answers of a plain service. */
static uint64_t
plain_key (br_str_t service)
{
  uint64_t key = br_str_hash (service, 0);

  return key != 0 ? key : 1;
}

static br_typical_t *
typicals_item (br_typicals_t *typicals, uint64_t key)
{
  br_typical_t *typical;

  if (typicals->items == NULL)
    typicals->items = br_alloc_zero (BR_TYPICALS_MAX * sizeof *typicals->items);
  typical = &typicals->items[key % BR_TYPICALS_MAX];
  if (typical->key != key)
    *typical = (br_typical_t){ .key = key };
  return typical;
}

static void
typical_add (br_typical_t *typical, double log_value)
{
  typical->n = BR_MIN (typical->n + 1, (double)TYPICAL_MAX);
  typical->log_mean += (log_value - typical->log_mean) / typical->n;
}

void
br_typicals_observe (br_typicals_t *typicals,
                     br_speed_view_t *view,
                     const br_observation_t *observation)
{
  br_typical_t *typical;
  double log_value;
  double at_usual_speed;

  if (!(observation->value > 0) || !isfinite (observation->value)
      || !(observation->weight > 0))
    return;
  log_value = log (observation->value);
  if (observation->kind == BR_OBSERVED_STEP)
    {
      view->sum -= observation->weight * log_value;
      view->weight += observation->weight;
      return;
    }
  typical = typicals_item (typicals, observation_key (observation));
  if (typical->n >= TYPICAL_MIN)
    {
      double sample = typical->log_mean - log_value;

      sample = BR_MIN (BR_MAX (sample, -SAMPLE_MAX), SAMPLE_MAX);
      view->sum += observation->weight * sample;
      view->weight += observation->weight;
    }
  at_usual_speed = log_value + log (br_speed_view_speed (view));
  typical_add (typical, at_usual_speed);
  typical_add (typicals_item (typicals, plain_key (observation->service)),
               at_usual_speed);
}

double
br_typicals_plain_ms (const br_typicals_t *typicals, const br_name_t *service)
{
  uint64_t key = plain_key (br_name_str (service));
  const br_typical_t *typical;

  if (typicals->items == NULL)
    return 0;
  typical = &typicals->items[key % BR_TYPICALS_MAX];
  return typical->key == key && typical->n >= TYPICAL_MIN
             ? exp (typical->log_mean)
             : 0;
}

void
br_typicals_release (br_typicals_t *typicals)
{
  free (typicals->items);
  typicals->items = NULL;
}
