#include "deputy/deputy.h"

#include <string.h>

/* Age from which an offer does not count, in milliseconds: three of the
 * intervals at which sums come. */
#define SOURCE_LIFE_MS 1500

/* Sums must include this share of the known entry VMs: 3 of 4. */
#define COVERED_PART 3
#define COVERED_WHOLE 4

bool
br_deputy_has_no_leader (const br_deputy_t *deputy, br_ms_t now)
{
  return now - deputy->leader_ms >= BR_DEPUTY_LEADER_TIMEOUT_MS;
}

void
br_deputy_on_leader (br_deputy_t *deputy, br_ms_t now)
{
  deputy->leader_ms = now;
  deputy->in_use = false;
  br_deputy_sources_clear (&deputy->sources);
}

static void
deputy_record (br_deputy_t *deputy, const br_deputy_source_t *source)
{
  for (size_t i = 0; i < deputy->sources.len; i++)
    if (br_name_equal (&deputy->sources.items[i].vm, &source->vm))
      {
        deputy->sources.items[i] = *source;
        return;
      }
  br_deputy_sources_push (&deputy->sources, *source);
}

static void
deputy_choose (br_deputy_t *deputy, uint32_t known, br_ms_t now)
{
  const br_deputy_source_t *best = NULL;

  for (size_t i = 0; i < deputy->sources.len; i++)
    {
      const br_deputy_source_t *source = &deputy->sources.items[i];

      if (now - source->received_ms < SOURCE_LIFE_MS
          && (uint64_t)source->entries * COVERED_WHOLE
                 >= (uint64_t)known * COVERED_PART
          && (best == NULL || strcmp (source->vm.data, best->vm.data) < 0))
        best = source;
    }
  deputy->in_use = best != NULL && br_deputy_has_no_leader (deputy, now);
  if (deputy->in_use)
    deputy->vm = best->vm;
}

bool
br_deputy_on_sums (br_deputy_t *deputy,
                   const br_name_t *vm,
                   uint32_t entries,
                   uint32_t known,
                   br_ms_t now)
{
  br_deputy_source_t source
      = { .vm = *vm, .entries = entries, .received_ms = now };

  if (!br_deputy_has_no_leader (deputy, now))
    return false;
  deputy_record (deputy, &source);
  deputy_choose (deputy, known, now);
  return deputy->in_use && br_name_equal (&deputy->vm, vm);
}

void
br_deputy_tick (br_deputy_t *deputy, uint32_t known, br_ms_t now)
{
  if (deputy->in_use)
    deputy_choose (deputy, known, now);
}

void
br_deputy_release (br_deputy_t *deputy)
{
  br_deputy_sources_free (&deputy->sources);
}
