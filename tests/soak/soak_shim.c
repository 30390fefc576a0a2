/* Preloaded into processes of the soak only: shifts their time of day and makes
 * their disk slow or full, as the file that SOAK_SHIM names says at the moment:
 * "SHIFT_MS SYNC_MS FULL". */
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The file is looked at this often, in milliseconds. */
#define CHECK_PERIOD_MS 50

#define REAL(name) ((__typeof__ (&(name)))dlsym (RTLD_NEXT, #name))

static long long shift_ms;
static long long sync_ms;
static int full;

static void
look (void)
{
  static long long looked_ms = -CHECK_PERIOD_MS;
  const char *path = getenv ("SOAK_SHIM");
  struct timespec now;
  long long now_ms;
  FILE *file;

  REAL (clock_gettime) (CLOCK_MONOTONIC, &now);
  now_ms = now.tv_sec * 1000LL + now.tv_nsec / 1000000;
  if (path == NULL || now_ms - looked_ms < CHECK_PERIOD_MS)
    return;
  looked_ms = now_ms;
  file = fopen (path, "r");
  if (file == NULL)
    return;
  if (fscanf (file, "%lld %lld %d", &shift_ms, &sync_ms, &full) != 3)
    shift_ms = sync_ms = full = 0;
  fclose (file);
}

int
clock_gettime (clockid_t clock, struct timespec *time)
{
  int rc = REAL (clock_gettime) (clock, time);

  if (rc != 0 || clock != CLOCK_REALTIME)
    return rc;
  look ();
  time->tv_sec += shift_ms / 1000;
  return 0;
}

int
gettimeofday (struct timeval *restrict time, void *restrict zone)
{
  int rc = REAL (gettimeofday) (time, zone);

  look ();
  time->tv_sec += shift_ms / 1000;
  return rc;
}

static void
wait_for_disk (void)
{
  struct timespec wait = { sync_ms / 1000, sync_ms % 1000 * 1000000 };

  look ();
  if (sync_ms > 0)
    nanosleep (&wait, NULL);
}

int
fsync (int fd)
{
  wait_for_disk ();
  return REAL (fsync) (fd);
}

int
fdatasync (int fd)
{
  wait_for_disk ();
  return REAL (fdatasync) (fd);
}

static int
refuses (int fd)
{
  struct stat what;

  look ();
  if (!full || fd <= STDERR_FILENO || fstat (fd, &what) != 0
      || !S_ISREG (what.st_mode))
    return 0;
  errno = ENOSPC;
  return 1;
}

ssize_t
write (int fd, const void *bytes, size_t len)
{
  return refuses (fd) ? -1 : REAL (write) (fd, bytes, len);
}

ssize_t
pwrite (int fd, const void *bytes, size_t len, off_t at)
{
  return refuses (fd) ? -1 : REAL (pwrite) (fd, bytes, len, at);
}

ssize_t
writev (int fd, const struct iovec *parts, int n)
{
  return refuses (fd) ? -1 : REAL (writev) (fd, parts, n);
}
