#include "site/site_clock.h"

#include <stdlib.h>

/* Age from which a sample is not used, in milliseconds: a few of the intervals
 * at which VMs send their time. */
#define SAMPLE_LIFE_MS 4000

void
br_site_clock_add_sample (br_site_clock_t *clock,
                          const br_name_t *vm,
                          br_ms_t wall_ms,
                          br_ms_t now)
{
  br_clock_sample_t sample
      = { .vm = *vm, .offset_ms = wall_ms - now, .last_seen_ms = now };

  for (size_t i = 0; i < clock->samples.len; i++)
    if (br_name_equal (&clock->samples.items[i].vm, vm))
      {
        clock->samples.items[i] = sample;
        return;
      }
  br_clock_samples_push (&clock->samples, sample);
}

void
br_site_clock_set (br_site_clock_t *clock, br_ms_t wall_ms, br_ms_t now)
{
  clock->offset_ms = wall_ms - now;
  clock->known = true;
}

static int
ms_compare (const void *a, const void *b)
{
  br_ms_t left = *(const br_ms_t *)a;
  br_ms_t right = *(const br_ms_t *)b;

  return (left > right) - (left < right);
}

void
br_site_clock_update (br_site_clock_t *clock, br_ms_t now)
{
  br_ms_t *offsets = br_alloc ((clock->samples.len + 1) * sizeof *offsets);
  size_t n = 0;

  for (size_t i = 0; i < clock->samples.len;)
    {
      const br_clock_sample_t *sample = &clock->samples.items[i];

      if (now - sample->last_seen_ms > SAMPLE_LIFE_MS)
        {
          clock->samples.items[i] = clock->samples.items[--clock->samples.len];
          continue;
        }
      offsets[n++] = sample->offset_ms;
      i++;
    }
  if (n > 0)
    {
      qsort (offsets, n, sizeof *offsets, ms_compare);
      clock->offset_ms = offsets[(n - 1) / 2];
      clock->known = true;
    }
  free (offsets);
}

br_ms_t
br_site_clock_wall (const br_site_clock_t *clock, br_ms_t now)
{
  return clock->known ? now + clock->offset_ms : br_clock_wall ();
}

void
br_site_clock_release (br_site_clock_t *clock)
{
  br_clock_samples_free (&clock->samples);
}
