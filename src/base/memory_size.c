#include "base/memory_size.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

/* Used if the machine does not tell its memory. */
#define MEMORY_UNKNOWN_BYTES ((size_t)120 * 1024 * 1024)

#define KILOBYTE 1024

static size_t
machine_bytes (void)
{
  unsigned long long kb = 0;
  char line[128];
  FILE *file = fopen ("/proc/meminfo", "r");

  if (file == NULL)
    return MEMORY_UNKNOWN_BYTES;
  while (kb == 0 && fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "MemTotal: %llu kB", &kb) != 1)
      kb = 0;
  fclose (file);
  return kb > 0 ? (size_t)kb * KILOBYTE : MEMORY_UNKNOWN_BYTES;
}

/* Returns the number in the file, or SIZE_MAX if it holds none ("max"). */
static size_t
file_bytes (const char *path)
{
  unsigned long long bytes = 0;
  FILE *file = fopen (path, "r");
  bool ok;

  if (file == NULL)
    return SIZE_MAX;
  ok = fscanf (file, "%llu", &bytes) == 1 && bytes > 0;
  fclose (file);
  return ok ? (size_t)bytes : SIZE_MAX;
}

/* Returns the least limit of the process's control groups of version 2, and
 * that of version 1 as seen from inside a container. */
static size_t
group_bytes (void)
{
  size_t least = file_bytes ("/sys/fs/cgroup/memory/memory.limit_in_bytes");
  char line[512];
  char path[640];
  FILE *file = fopen ("/proc/self/cgroup", "r");

  least = BR_MIN (least, file_bytes ("/sys/fs/cgroup/memory.max"));
  if (file == NULL)
    return least;
  while (fgets (line, sizeof line, file) != NULL)
    {
      char *group = line + 3;

      if (strncmp (line, "0::/", 4) != 0)
        continue;
      group[strcspn (group, "\n")] = '\0';
      for (; *group != '\0'; *strrchr (group, '/') = '\0')
        {
          snprintf (path, sizeof path, "/sys/fs/cgroup%s/memory.max", group);
          least = BR_MIN (least, file_bytes (path));
        }
    }
  fclose (file);
  return least;
}

size_t
br_memory_size (void)
{
  struct rlimit limit;
  size_t bytes = BR_MIN (machine_bytes (), group_bytes ());

  if (getrlimit (RLIMIT_AS, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
    bytes = BR_MIN (bytes, (size_t)limit.rlim_cur);
  return bytes;
}
