#include "organisation/token_bucket.h"

#define MS_PER_S 1000

/* Longest time for which a bucket is filled.  It fills any bucket, and its
 * product with a rate does not overflow. */
#define SPAN_MAX_MS 10000000

static uint64_t
bucket_capacity (uint64_t rate)
{
  uint64_t burst = rate * BR_TOKEN_BUCKET_BURST_MS / MS_PER_S;

  return BR_MAX (burst, BR_TOKEN_BUCKET_REQUEST);
}

static void
bucket_fill (br_token_bucket_t *bucket, br_ms_t now)
{
  br_ms_t span = BR_MIN (now - bucket->filled_ms, SPAN_MAX_MS);
  uint64_t gained;

  if (span <= 0)
    return;
  gained = bucket->remainder + bucket->rate * (uint64_t)span;
  bucket->level += gained / MS_PER_S;
  bucket->remainder = gained % MS_PER_S;
  bucket->level = BR_MIN (bucket->level, bucket_capacity (bucket->rate));
  bucket->filled_ms = now;
}

void
br_token_bucket_set_rate (br_token_bucket_t *bucket, uint64_t rate, br_ms_t now)
{
  bool is_new = bucket->filled_ms == 0 && bucket->rate == 0;

  /* The lower rate applies to the whole time, because the moment of the change
   * is unknown here. */
  bucket->rate = BR_MIN (bucket->rate, rate);
  bucket_fill (bucket, now);
  bucket->filled_ms = now;
  bucket->rate = rate;
  if (is_new && rate > 0)
    bucket->level = BR_TOKEN_BUCKET_REQUEST;
  bucket->level = BR_MIN (bucket->level, bucket_capacity (rate));
}

bool
br_token_bucket_take (br_token_bucket_t *bucket, br_ms_t now)
{
  bucket_fill (bucket, now);
  if (bucket->level < BR_TOKEN_BUCKET_REQUEST)
    return false;
  bucket->level -= BR_TOKEN_BUCKET_REQUEST;
  return true;
}

br_ms_t
br_token_bucket_wait (const br_token_bucket_t *bucket)
{
  uint64_t missing;

  if (bucket->level >= BR_TOKEN_BUCKET_REQUEST)
    return 0;
  if (bucket->rate == 0)
    return BR_MS_NEVER;
  missing = BR_TOKEN_BUCKET_REQUEST - bucket->level;
  return (br_ms_t)((missing * MS_PER_S + bucket->rate - 1) / bucket->rate);
}
