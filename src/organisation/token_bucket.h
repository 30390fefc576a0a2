/* A token bucket, which admits requests at a rate with a limited burst. */
#ifndef BR_ORGANISATION_TOKEN_BUCKET_H
#define BR_ORGANISATION_TOKEN_BUCKET_H

#include <stdbool.h>

#include "base/clock.h"

BR_BEGIN_DECLS

/* A full bucket holds the requests of this time at its rate, in milliseconds,
 * and at least one request. */
#define BR_TOKEN_BUCKET_BURST_MS 1000

/* One request, in the unit of rates and levels (thousandths). */
#define BR_TOKEN_BUCKET_REQUEST 1000

/* An all-zero value is an empty bucket at rate 0. */
typedef struct
{
  uint64_t rate;      /* thousandths of a request per second */
  uint64_t level;     /* thousandths of a request */
  uint64_t remainder; /* thousandths of LEVEL's unit, not yet added to it */
  br_ms_t filled_ms;
} br_token_bucket_t;

/* Fills the bucket for the time since the last call, at the lower of the old
 * rate and RATE, and then sets RATE.  A new bucket starts with one request. */
void br_token_bucket_set_rate (br_token_bucket_t *bucket,
                               uint64_t rate,
                               br_ms_t now);

/* Takes one request.  Returns false when the bucket holds less than one. */
bool br_token_bucket_take (br_token_bucket_t *bucket, br_ms_t now);

/* Returns the time until the bucket holds one request; BR_MS_NEVER at rate
 * 0. */
br_ms_t br_token_bucket_wait (const br_token_bucket_t *bucket);

BR_END_DECLS

#endif
