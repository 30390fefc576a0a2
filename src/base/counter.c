#include "base/counter.h"

#include <inttypes.h>

typedef struct
{
  const char *name;
  const char *help;
} counter_row_t;

static const counter_row_t counter_rows[] = {
#define X(id, name, help) { name, help },
  BR_COUNTER_TABLE (X)
#undef X
};

void
br_counters_add (br_counters_t *counters, br_counter_id_t id, uint64_t n)
{
  counters->values[id] += n;
}

uint64_t
br_counters_get (const br_counters_t *counters, br_counter_id_t id)
{
  return counters->values[id];
}

void
br_counters_print (const br_counters_t *counters, br_buf_t *out)
{
  for (size_t i = 0; i < BR_COUNTER_COUNT; i++)
    {
      const counter_row_t *row = &counter_rows[i];

      br_buf_printf (out, "# HELP briarrack_%s %s\n", row->name, row->help);
      br_buf_printf (out, "# TYPE briarrack_%s counter\n", row->name);
      br_buf_printf (out, "briarrack_%s %" PRIu64 "\n", row->name,
                     counters->values[i]);
    }
}
