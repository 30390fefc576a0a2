#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

static const char digest_prefix[] = "sha256:";

br_digest_t
br_digest_of (br_str_t data)
{
  br_digest_t digest;

  EVP_Digest (data.data, data.len, digest.bytes, NULL, EVP_sha256 (), NULL);
  return digest;
}

br_digest_t
br_digest_hmac (br_str_t key, br_str_t data)
{
  br_digest_t digest;

  HMAC (EVP_sha256 (), key.data, (int)key.len, (const unsigned char *)data.data,
        data.len, digest.bytes, NULL);
  return digest;
}

bool
br_digest_equal (const br_digest_t *a, const br_digest_t *b)
{
  return CRYPTO_memcmp (a->bytes, b->bytes, BR_DIGEST_BYTES) == 0;
}

static int
digest_hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

bool
br_digest_parse (br_str_t text, br_digest_t *digest)
{
  br_str_t prefix = br_str_from (digest_prefix);
  const char *hex = text.data + prefix.len;

  if (text.len != BR_DIGEST_TEXT_LEN || !br_str_starts_with (text, prefix))
    return false;
  for (size_t i = 0; i < BR_DIGEST_BYTES; i++)
    {
      int high = digest_hex_value (hex[2 * i]);
      int low = digest_hex_value (hex[2 * i + 1]);

      if (high < 0 || low < 0)
        return false;
      digest->bytes[i] = (uint8_t)(high << 4 | low);
    }
  return true;
}

void
br_digest_print (const br_digest_t *digest, br_buf_t *out)
{
  br_buf_printf (out, "%s", digest_prefix);
  for (size_t i = 0; i < BR_DIGEST_BYTES; i++)
    br_buf_printf (out, "%02x", digest->bytes[i]);
}
