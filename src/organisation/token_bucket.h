/* A token bucket: admits requests at a rate, with a bounded burst. */
#ifndef BR_ORGANISATION_TOKEN_BUCKET_H
#define BR_ORGANISATION_TOKEN_BUCKET_H

#include <stdbool.h>

#include "base/clock.h"

BR_BEGIN_DECLS

/* A bucket holds what its rate gives in this time, and at least one
 * request. */
#define BR_TOKEN_BUCKET_BURST_MS 1000

/* One request, in the unit of rates and levels. */
#define BR_TOKEN_BUCKET_REQUEST 1000

/* An all-zero value is an empty bucket that is not filled. */
typedef struct
{
  uint64_t rate;  /* thousandths of a request per second */
  uint64_t level; /* thousandths of a request */
  uint64_t rest;  /* thousandths of LEVEL's unit, not yet counted in it */
  br_ms_t filled_ms;
} br_token_bucket_t;

/* Fills for the time since the last call at the lower of the old rate and RATE,
 * and then goes on at RATE.  A bucket that is new starts with one request. */
void br_token_bucket_set_rate (br_token_bucket_t *bucket,
                               uint64_t rate,
                               br_ms_t now);

/* Takes one request; false when there is none. */
bool br_token_bucket_take (br_token_bucket_t *bucket, br_ms_t now);

/* Returns how long until one request is there; BR_MS_NEVER at rate 0. */
br_ms_t br_token_bucket_wait (const br_token_bucket_t *bucket);

BR_END_DECLS

#endif
