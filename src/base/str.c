#include "base/str.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BUF_MIN_CAP 64

static void *
alloc_check (void *ptr)
{
  if (ptr == NULL)
    abort ();
  return ptr;
}

void *
br_alloc (size_t size)
{
  return alloc_check (malloc (size > 0 ? size : 1));
}

void *
br_alloc_zero (size_t size)
{
  return alloc_check (calloc (1, size > 0 ? size : 1));
}

void *
br_realloc (void *ptr, size_t size)
{
  return alloc_check (realloc (ptr, size > 0 ? size : 1));
}

br_str_t
br_str_make (const char *data, size_t len)
{
  br_str_t str = { data, len };

  return str;
}

br_str_t
br_str_from (const char *z)
{
  return br_str_make (z, z != NULL ? strlen (z) : 0);
}

bool
br_str_equal (br_str_t a, br_str_t b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

int
br_str_compare (br_str_t a, br_str_t b)
{
  size_t common = BR_MIN (a.len, b.len);
  int order = common > 0 ? memcmp (a.data, b.data, common) : 0;

  if (order != 0)
    return order;
  return (a.len > b.len) - (a.len < b.len);
}

bool
br_str_starts_with (br_str_t str, br_str_t prefix)
{
  return str.len >= prefix.len
         && br_str_equal (br_str_make (str.data, prefix.len), prefix);
}

bool
br_str_has_control (br_str_t str)
{
  for (size_t i = 0; i < str.len; i++)
    if ((unsigned char)str.data[i] < ' ' || str.data[i] == '\x7f')
      return true;
  return false;
}

uint64_t
br_str_hash (br_str_t str, uint64_t seed)
{
  return XXH3_64bits_withSeed (str.data, str.len, seed);
}

char *
br_str_dup (br_str_t str)
{
  char *copy = br_alloc (str.len + 1);

  if (str.len > 0)
    memcpy (copy, str.data, str.len);
  copy[str.len] = '\0';
  return copy;
}

bool
br_str_to_u64 (br_str_t str, uint64_t *value)
{
  uint64_t sum = 0;

  if (str.len == 0)
    return false;
  for (size_t i = 0; i < str.len; i++)
    {
      unsigned digit = (unsigned char)str.data[i] - (unsigned)'0';

      if (digit > 9 || sum > (UINT64_MAX - digit) / 10)
        return false;
      sum = sum * 10 + digit;
    }
  *value = sum;
  return true;
}

void
br_buf_reserve (br_buf_t *buf, size_t extra)
{
  size_t need = buf->len + extra + 1;
  size_t cap = BR_MAX (buf->cap, BUF_MIN_CAP);

  if (need <= buf->cap)
    return;
  while (cap < need)
    cap *= 2;
  buf->data = br_realloc (buf->data, cap);
  buf->cap = cap;
}

void
br_buf_reserve_exactly (br_buf_t *buf, size_t need)
{
  if (need + 1 <= buf->cap)
    return;
  buf->data = br_realloc (buf->data, need + 1);
  buf->cap = need + 1;
}

void
br_buf_append (br_buf_t *buf, br_str_t str)
{
  br_buf_reserve (buf, str.len);
  if (str.len > 0)
    memcpy (buf->data + buf->len, str.data, str.len);
  buf->len += str.len;
  buf->data[buf->len] = '\0';
}

void
br_buf_append_char (br_buf_t *buf, char c)
{
  br_buf_append (buf, br_str_make (&c, 1));
}

void
br_buf_printf (br_buf_t *buf, const char *format, ...)
{
  va_list args;
  va_list args_copy;
  int len;

  va_start (args, format);
  va_copy (args_copy, args);
  len = vsnprintf (NULL, 0, format, args);
  va_end (args);
  assert (len >= 0);
  br_buf_reserve (buf, (size_t)len);
  vsnprintf (buf->data + buf->len, (size_t)len + 1, format, args_copy);
  va_end (args_copy);
  buf->len += (size_t)len;
}

void
br_buf_clear (br_buf_t *buf)
{
  buf->len = 0;
  if (buf->data != NULL)
    buf->data[0] = '\0';
}

void
br_buf_free (br_buf_t *buf)
{
  free (buf->data);
  *buf = (br_buf_t){ 0 };
}

void
br_buf_consume (br_buf_t *buf, size_t n)
{
  assert (n <= buf->len);
  if (n == 0)
    return;
  memmove (buf->data, buf->data + n, buf->len - n);
  buf->len -= n;
  buf->data[buf->len] = '\0';
}

br_str_t
br_buf_str (const br_buf_t *buf)
{
  return br_str_make (buf->data, buf->len);
}

bool
br_name_set (br_name_t *name, br_str_t str)
{
  *name = (br_name_t){ 0 };
  if (str.len > BR_NAME_MAX)
    return false;
  if (str.len > 0)
    memcpy (name->data, str.data, str.len);
  name->len = (uint8_t)str.len;
  return true;
}

br_name_t
br_name_from (const char *z)
{
  br_name_t name;
  bool fits = br_name_set (&name, br_str_from (z));

  assert (fits);
  (void)fits;
  return name;
}

br_str_t
br_name_str (const br_name_t *name)
{
  return br_str_make (name->data, name->len);
}

bool
br_name_equal (const br_name_t *a, const br_name_t *b)
{
  return br_str_equal (br_name_str (a), br_name_str (b));
}
