/* Seeded pseudo-random numbers, which make a run repeatable. */
#ifndef BR_BASE_RANDOM_H
#define BR_BASE_RANDOM_H

#include <stdint.h>
#include <stdlib.h>

#include "base/macros.h"

BR_BEGIN_DECLS

typedef struct
{
  unsigned short state[3];
  struct drand48_data data;
} br_random_t;

void br_random_seed (br_random_t *random, uint64_t seed);

/* Returns a number in [0, 1). */
double br_random_unit (br_random_t *random);

/* Returns an integer in [0, BOUND); BOUND must be above 0. */
uint64_t br_random_below (br_random_t *random, uint64_t bound);

BR_END_DECLS

#endif
