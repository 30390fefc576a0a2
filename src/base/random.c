#include "base/random.h"

#include <assert.h>
#include <string.h>

void
br_random_seed (br_random_t *random, uint64_t seed)
{
  memset (random, 0, sizeof *random);
  random->state[0] = (unsigned short)seed;
  random->state[1] = (unsigned short)(seed >> 16);
  random->state[2] = (unsigned short)(seed >> 32);
  br_random_unit (random);
}

double
br_random_unit (br_random_t *random)
{
  double value;

  erand48_r (random->state, &random->data, &value);
  return value;
}

uint64_t
br_random_below (br_random_t *random, uint64_t bound)
{
  assert (bound > 0);
  return (uint64_t)(br_random_unit (random) * (double)bound);
}
