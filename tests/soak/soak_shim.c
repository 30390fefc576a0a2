/* A library that the soak preloads into control VMs.  It shifts their time of
 * day, in whole seconds, delays each sync and lets writes to files fail as on a
 * full disk.  The environment variable SOAK_SHIM names a file that holds the
 * values in force: "SHIFT_MS SYNC_MS FULL", the last one the sum of what the
 * full disk refuses (refusal_t).  Connections to loopback addresses come from
 * the address in SOAK_ADDRESS, by which the relay tells the VMs apart. SHIM_CUT
 * names a file "MODE FIRST LAST PORT": new connections to the ports FIRST to
 * LAST of 127.0.0.1 are refused, or hang at PORT, which accepts none.
 * SHIM_SUSPENDED names a file with the milliseconds that the steady clock has
 * not counted, as on a machine that was suspended. */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The file is read at most once in this time, in milliseconds. */
#define READ_PERIOD_MS 50

#define REAL(name) ((__typeof__ (&(name)))dlsym (RTLD_NEXT, #name))

/* What a full disk refuses. */
typedef enum
{
  REFUSE_WRITES = 1,
  REFUSE_RESERVATIONS = 2,
  REFUSE_SYNCS = 4,
  REFUSE_NEW_FILES = 8,
  REFUSE_TRUNCATIONS = 16,
  REFUSE_RENAMES = 32,
} refusal_t;

static long long shift_ms;
static long long sync_ms;
static int disk_full; /* sum of refusal_t */

static void
read_shim_file (void)
{
  static long long last_read_ms = -READ_PERIOD_MS;
  const char *path = getenv ("SOAK_SHIM");
  struct timespec now;
  long long now_ms;
  FILE *file;

  REAL (clock_gettime) (CLOCK_MONOTONIC, &now);
  now_ms = now.tv_sec * 1000LL + now.tv_nsec / 1000000;
  if (path == NULL || now_ms - last_read_ms < READ_PERIOD_MS)
    return;
  last_read_ms = now_ms;
  file = fopen (path, "r");
  if (file == NULL)
    return;
  if (fscanf (file, "%lld %lld %d", &shift_ms, &sync_ms, &disk_full) != 3)
    shift_ms = sync_ms = disk_full = 0;
  fclose (file);
}

/* Takes from TIME what the file of SHIM_SUSPENDED says. */
static void
subtract_suspended (struct timespec *time)
{
  const char *path = getenv ("SHIM_SUSPENDED");
  FILE *file = path != NULL ? fopen (path, "r") : NULL;
  long long ms = 0;

  if (file == NULL)
    return;
  if (fscanf (file, "%lld", &ms) != 1)
    ms = 0;
  fclose (file);
  ms = time->tv_sec * 1000LL + time->tv_nsec / 1000000 - ms;
  time->tv_nsec = ms % 1000 * 1000000 + time->tv_nsec % 1000000;
  time->tv_sec = ms / 1000;
}

int
clock_gettime (clockid_t clock, struct timespec *time)
{
  int rc = REAL (clock_gettime) (clock, time);

  if (clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_COARSE)
    subtract_suspended (time);
  if (rc != 0 || clock != CLOCK_REALTIME)
    return rc;
  read_shim_file ();
  time->tv_sec += shift_ms / 1000;
  return 0;
}

int
gettimeofday (struct timeval *restrict time, void *restrict zone)
{
  int rc = REAL (gettimeofday) (time, zone);

  read_shim_file ();
  time->tv_sec += shift_ms / 1000;
  return rc;
}

static void
delay_sync (void)
{
  struct timespec wait = { sync_ms / 1000, sync_ms % 1000 * 1000000 };

  read_shim_file ();
  if (sync_ms > 0)
    nanosleep (&wait, NULL);
}

/* Returns whether the full disk refuses WHAT, and sets errno. */
static int
disk_refuses (refusal_t what)
{
  read_shim_file ();
  if (!(disk_full & (int)what))
    return 0;
  errno = ENOSPC;
  return 1;
}

/* The same for FD.  Only regular files are affected, standard streams never
 * are. */
static int
file_refuses (int fd, refusal_t what)
{
  struct stat status;

  return fd > STDERR_FILENO && fstat (fd, &status) == 0
         && (S_ISREG (status.st_mode) || S_ISDIR (status.st_mode))
         && disk_refuses (what);
}

int
fsync (int fd)
{
  delay_sync ();
  return file_refuses (fd, REFUSE_SYNCS) ? -1 : REAL (fsync) (fd);
}

int
fdatasync (int fd)
{
  delay_sync ();
  return file_refuses (fd, REFUSE_SYNCS) ? -1 : REAL (fdatasync) (fd);
}

int
fallocate (int fd, int mode, off_t from, off_t len)
{
  return file_refuses (fd, REFUSE_RESERVATIONS)
             ? -1
             : REAL (fallocate) (fd, mode, from, len);
}

int
ftruncate (int fd, off_t len)
{
  return file_refuses (fd, REFUSE_TRUNCATIONS) ? -1
                                               : REAL (ftruncate) (fd, len);
}

int
rename (const char *from, const char *to)
{
  return disk_refuses (REFUSE_RENAMES) ? -1 : REAL (rename) (from, to);
}

int
open (const char *path, int flags, ...)
{
  va_list rest;
  mode_t mode = 0;

  va_start (rest, flags);
  if (flags & O_CREAT)
    mode = va_arg (rest, mode_t);
  va_end (rest);
  if (flags & O_CREAT && disk_refuses (REFUSE_NEW_FILES))
    return -1;
  return REAL (open) (path, flags, mode);
}

ssize_t
write (int fd, const void *bytes, size_t len)
{
  return file_refuses (fd, REFUSE_WRITES) ? -1 : REAL (write) (fd, bytes, len);
}

ssize_t
pwrite (int fd, const void *bytes, size_t len, off_t at)
{
  return file_refuses (fd, REFUSE_WRITES) ? -1
                                          : REAL (pwrite) (fd, bytes, len, at);
}

ssize_t
writev (int fd, const struct iovec *parts, int n)
{
  return file_refuses (fd, REFUSE_WRITES) ? -1 : REAL (writev) (fd, parts, n);
}

/* Returns whether the connection to TARGET is refused, or changes *TARGET to a
 * port where it hangs, as the file of SHIM_CUT says. */
static int
cut_refuses (struct sockaddr_in *target)
{
  const char *path = getenv ("SHIM_CUT");
  FILE *file = path != NULL ? fopen (path, "r") : NULL;
  char mode[16] = "";
  int first = 0;
  int last = -1;
  int hang_port = 0;
  int port = ntohs (target->sin_port);

  if (file == NULL)
    return 0;
  if (fscanf (file, "%15s %d %d %d", mode, &first, &last, &hang_port) != 4)
    mode[0] = '\0';
  fclose (file);
  if (target->sin_addr.s_addr != htonl (INADDR_LOOPBACK) || port < first
      || port > last)
    return 0;
  if (strcmp (mode, "hang") == 0)
    target->sin_port = htons ((uint16_t)hang_port);
  return strcmp (mode, "refuse") == 0;
}

int
connect (int fd, const struct sockaddr *to, socklen_t len)
{
  struct sockaddr_in *target = (struct sockaddr_in *)to;
  struct sockaddr_in cut_to;
  const char *text = getenv ("SOAK_ADDRESS");
  struct sockaddr_in from = { .sin_family = AF_INET };
  int on = 1;

  if (text != NULL && target->sin_family == AF_INET
      && target->sin_addr.s_addr != htonl (INADDR_LOOPBACK)
      && inet_pton (AF_INET, text, &from.sin_addr) == 1)
    {
      setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
      (void)bind (fd, (const struct sockaddr *)&from, sizeof from);
    }
  if (target->sin_family == AF_INET && len == sizeof cut_to)
    {
      cut_to = *target;
      to = (const struct sockaddr *)&cut_to;
      if (cut_refuses (&cut_to))
        {
          errno = ECONNREFUSED;
          return -1;
        }
    }
  return REAL (connect) (fd, to, len);
}
