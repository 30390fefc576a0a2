/* Length-counted strings: views, growable buffers and short names. */
#ifndef BR_BASE_STR_H
#define BR_BASE_STR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/macros.h"

BR_BEGIN_DECLS

/* Longest name of a VM, failure domain, organisation, upstream or service. */
#define BR_NAME_MAX 62

/* A view of bytes that it does not own; not NUL-terminated. */
typedef struct
{
  const char *data;
  size_t len;
} br_str_t;

/* A growable byte buffer that owns its bytes.  If DATA is not NULL, a NUL byte
 * follows the LEN bytes.  An all-zero value is an empty buffer. */
typedef struct
{
  char *data;
  size_t len;
  size_t cap;
} br_buf_t;

/* A short name, stored by value; DATA is NUL-terminated as well. */
typedef struct
{
  uint8_t len;
  char data[BR_NAME_MAX + 1];
} br_name_t;

/* Allocate memory, and abort the process when there is none. */
void *br_alloc (size_t size) __attribute__ ((returns_nonnull));
void *br_alloc_zero (size_t size) __attribute__ ((returns_nonnull));
void *br_realloc (void *ptr, size_t size) __attribute__ ((returns_nonnull));

/* Returns a view of the NUL-terminated Z, which must outlive the view, or an
 * empty view if Z is NULL. */
br_str_t br_str_from (const char *z);
br_str_t br_str_make (const char *data, size_t len);
bool br_str_equal (br_str_t a, br_str_t b);
int br_str_compare (br_str_t a, br_str_t b);
bool br_str_starts_with (br_str_t str, br_str_t prefix);

/* Returns whether STR holds an ASCII control character. */
bool br_str_has_control (br_str_t str);
uint64_t br_str_hash (br_str_t str, uint64_t seed);

/* Returns a NUL-terminated copy; the caller frees it with free(). */
char *br_str_dup (br_str_t str);

/* Parses an unsigned decimal number.  Returns false when STR holds anything
 * else or the number does not fit. */
bool br_str_to_u64 (br_str_t str, uint64_t *value);

void br_buf_append (br_buf_t *buf, br_str_t str);
void br_buf_append_char (br_buf_t *buf, char c);
void br_buf_printf (br_buf_t *buf, const char *format, ...) BR_PRINTF (2, 3);
void br_buf_reserve (br_buf_t *buf, size_t extra);

/* Makes room for NEED bytes and the NUL behind them; allocates no more. */
void br_buf_reserve_exactly (br_buf_t *buf, size_t need);
void br_buf_clear (br_buf_t *buf);
void br_buf_free (br_buf_t *buf);

/* Removes the first N bytes; N must not exceed the length. */
void br_buf_consume (br_buf_t *buf, size_t n);
br_str_t br_buf_str (const br_buf_t *buf);

/* Copies STR.  Returns false and sets an empty name when STR is longer than
 * BR_NAME_MAX. */
bool br_name_set (br_name_t *name, br_str_t str);

/* Returns the name Z, which must not be longer than BR_NAME_MAX. */
br_name_t br_name_from (const char *z);
br_str_t br_name_str (const br_name_t *name);
bool br_name_equal (const br_name_t *a, const br_name_t *b);

BR_END_DECLS

#endif
