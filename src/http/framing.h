/* Limit on what an HTTP message has beside its body: chunk sizes, extensions
 * and the trailer; where evhttp reads it, heads and interim answers too. */
#ifndef BR_HTTP_FRAMING_H
#define BR_HTTP_FRAMING_H

#include <stdbool.h>
#include <stdint.h>

/* Bytes for a message, and more for each byte of its body: a chunk of one byte
 * has five. */
#define BR_HTTP_FRAMING_MAX (128 * 1024)
#define BR_HTTP_FRAMING_PER_BYTE 8

static inline bool
br_http_framing_is_excessive (uint64_t framing, uint64_t body)
{
  return framing > BR_HTTP_FRAMING_MAX + BR_HTTP_FRAMING_PER_BYTE * body;
}

#endif
