/* SHA-256 digests, message authentication and constant-time comparison
 * (libcrypto). */
#ifndef BR_BASE_DIGEST_H
#define BR_BASE_DIGEST_H

#include "base/str.h"

BR_BEGIN_DECLS

#define BR_DIGEST_BYTES 32

/* Length of "sha256:" and 64 hexadecimal digits. */
#define BR_DIGEST_TEXT_LEN 71

typedef struct
{
  uint8_t bytes[BR_DIGEST_BYTES];
} br_digest_t;

br_digest_t br_digest_of (br_str_t data);

/* Returns HMAC-SHA-256 of DATA under KEY. */
br_digest_t br_digest_hmac (br_str_t key, br_str_t data);

/* Compares in constant time. */
bool br_digest_equal (const br_digest_t *a, const br_digest_t *b);

/* Parses "sha256:" and 64 hexadecimal digits. */
bool br_digest_parse (br_str_t text, br_digest_t *digest);

/* Appends the text that br_digest_parse() parses. */
void br_digest_print (const br_digest_t *digest, br_buf_t *out);

BR_END_DECLS

#endif
