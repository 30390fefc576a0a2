#include "store/file.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define TEMPORARY_SUFFIX ".tmp"

static int
file_reserve (int fd, off_t offset, off_t len)
{
  return fallocate (fd, FALLOC_FL_KEEP_SIZE, offset, len);
}

const br_file_ops_t br_file_system_ops = {
  .pwrite = pwrite,
  .fsync = fsync,
  .ftruncate = ftruncate,
  .rename = rename,
  .reserve = file_reserve,
};

bool
br_file_fail (br_error_t *err, const char *step, const char *file)
{
  return br_error_set (err, BR_ERROR_STORAGE, step, file, "%s",
                       strerror (errno));
}

bool
br_file_write (const br_file_ops_t *ops, int fd, br_str_t data, uint64_t offset)
{
  while (data.len > 0)
    {
      ssize_t n = ops->pwrite (fd, data.data, data.len, (off_t)offset);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return false;
      data.data += n;
      data.len -= (size_t)n;
      offset += (uint64_t)n;
    }
  return true;
}

bool
br_file_read (const char *path, br_buf_t *out, br_error_t *err)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  struct stat info;
  bool ok = false;

  if (fd < 0)
    return br_file_fail (err, "open", path);
  if (fstat (fd, &info) != 0)
    goto out;
  br_buf_reserve (out, (size_t)info.st_size);
  while (out->len < (size_t)info.st_size)
    {
      ssize_t n
          = read (fd, out->data + out->len, (size_t)info.st_size - out->len);

      if (n < 0)
        goto out;
      if (n == 0)
        break;
      out->len += (size_t)n;
    }
  out->data[out->len] = '\0';
  ok = true;
out:
  if (!ok)
    br_file_fail (err, "read", path);
  close (fd);
  return ok;
}

bool
br_file_sync_folder (const br_file_ops_t *ops,
                     const char *folder,
                     br_error_t *err)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool ok = fd >= 0 && ops->fsync (fd) == 0;

  if (!ok)
    br_file_fail (err, "fsync folder", folder);
  if (fd >= 0)
    close (fd);
  return ok;
}

static bool
file_write_and_sync (const br_file_ops_t *ops,
                     const char *path,
                     br_str_t content)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  bool ok;

  if (fd < 0)
    return false;
  ok = br_file_write (ops, fd, content, 0) && ops->fsync (fd) == 0;
  close (fd);
  return ok;
}

bool
br_file_replace (const br_file_ops_t *ops,
                 const char *folder,
                 const char *name,
                 br_str_t content,
                 bool *replaced,
                 br_error_t *err)
{
  char path[PATH_MAX];
  char temporary[PATH_MAX + sizeof TEMPORARY_SUFFIX];

  if (replaced != NULL)
    *replaced = false;
  snprintf (path, sizeof path, "%s/%s", folder, name);
  snprintf (temporary, sizeof temporary, "%s" TEMPORARY_SUFFIX, path);
  if (!file_write_and_sync (ops, temporary, content)
      || ops->rename (temporary, path) != 0)
    {
      br_file_fail (err, "write", path);
      unlink (temporary);
      return false;
    }
  if (replaced != NULL)
    *replaced = true;
  return br_file_sync_folder (ops, folder, err);
}

static void
file_put (br_buf_t *out, uint64_t value, int bytes)
{
  for (int i = 0; i < bytes; i++)
    br_buf_append_char (out, (char)(value >> (8 * i)));
}

static uint64_t
file_get (const char *data, int bytes)
{
  uint64_t value = 0;

  for (int i = bytes - 1; i >= 0; i--)
    value = value << 8 | (uint8_t)data[i];
  return value;
}

void
br_file_put_u32 (br_buf_t *out, uint32_t value)
{
  file_put (out, value, 4);
}

void
br_file_put_u64 (br_buf_t *out, uint64_t value)
{
  file_put (out, value, 8);
}

uint32_t
br_file_get_u32 (const char *data)
{
  return (uint32_t)file_get (data, 4);
}

uint64_t
br_file_get_u64 (const char *data)
{
  return file_get (data, 8);
}
