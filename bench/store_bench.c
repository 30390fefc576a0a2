/* Measures the records a second that a disk stores with one sync for each
 * record and with one sync for each group of records (group commit).
 *
 * Usage: store_bench FOLDER [COUNT [BYTES]] */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "store/store.h"

#define GROUP_RECORDS_MAX 256

static double
now_s (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static bool
measure_group (br_store_t *store, size_t count, size_t group, br_str_t record)
{
  br_str_t records[GROUP_RECORDS_MAX];
  double start = now_s ();
  br_error_t err;

  for (size_t i = 0; i < group; i++)
    records[i] = record;
  for (size_t i = 0; i < count; i += group)
    if (!br_store_append (store, records, group, &err))
      {
        fprintf (stderr, "%s: %s\n", err.step, err.text);
        return false;
      }
  printf ("%8zu %12.0f %12.0f\n", group, (double)count / (now_s () - start),
          (now_s () - start) * 1e6 * (double)group / (double)count);
  return true;
}

int
main (int argc, char **argv)
{
  br_store_options_t options = { .segment_max_bytes = 8 << 20, .new_disk = 1 };
  br_store_loaded_t loaded;
  br_error_t err;
  br_store_t *store;
  char record[4096];
  size_t count = argc > 2 ? strtoull (argv[2], NULL, 10) : 4096;
  size_t bytes = argc > 3 ? strtoull (argv[3], NULL, 10) : 200;
  bool ok = true;

  if (argc < 2)
    {
      fprintf (stderr, "usage: store_bench FOLDER [COUNT [BYTES]]\n");
      return 2;
    }
  options.folder = argv[1];
  store = br_store_open (&options, &loaded, &err);
  if (store == NULL)
    {
      fprintf (stderr, "%s: %s\n", err.step, err.text);
      return br_error_exit_code (err.code);
    }
  memset (record, 'x', sizeof record);
  printf ("%8s %12s %12s\n", "a sync", "records/s", "us a sync");
  for (size_t group = 1; ok && group <= GROUP_RECORDS_MAX; group *= 4)
    ok = measure_group (store, count, group,
                        br_str_make (record, BR_MIN (bytes, sizeof record)));
  br_store_loaded_release (&loaded);
  br_store_close (store);
  return ok ? 0 : 1;
}
