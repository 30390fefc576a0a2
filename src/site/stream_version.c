#include "site/stream_version.h"

#include <string.h>

br_version_t
br_listing_version (const br_listing_t *listing)
{
  br_version_t version
      = br_str_hash (br_name_str (&listing->version),
                     br_str_hash (br_name_str (&listing->service), 0));

  return version != 0 ? version : 1;
}

br_stream_t
br_stream_from_id (br_str_t request_id)
{
  br_stream_t stream = br_str_hash (request_id, 0);

  return stream != 0 ? stream : 1;
}

/* --- records --- */

static br_stream_record_t *
table_bucket (const br_stream_table_t *table, br_stream_t stream)
{
  return &table->slots[stream % table->n_buckets * BR_STREAM_BUCKET_SIZE];
}

void
br_stream_table_add (br_stream_table_t *table, const br_stream_record_t *record)
{
  br_stream_record_t *bucket;
  br_stream_record_t *at;

  if (table->slots == NULL)
    table->slots = br_alloc_zero (table->n_buckets * BR_STREAM_BUCKET_SIZE
                                  * sizeof *table->slots);
  at = bucket = table_bucket (table, record->stream);
  for (size_t i = 0; i < BR_STREAM_BUCKET_SIZE; i++)
    if (bucket[i].stream == record->stream)
      {
        if (record->at_ms >= bucket[i].at_ms)
          bucket[i] = *record;
        return;
      }
    else if (bucket[i].stream == 0
             || (at->stream != 0 && bucket[i].at_ms < at->at_ms))
      at = &bucket[i];
  *at = *record;
}

br_version_t
br_stream_table_find (const br_stream_table_t *table,
                      br_stream_t stream,
                      br_ms_t now)
{
  const br_stream_record_t *bucket;

  if (table->slots == NULL)
    return 0;
  bucket = table_bucket (table, stream);
  for (size_t i = 0; i < BR_STREAM_BUCKET_SIZE; i++)
    if (bucket[i].stream == stream && now - bucket[i].at_ms < BR_STREAM_LIFE_MS)
      return bucket[i].version;
  return 0;
}

void
br_stream_table_free (br_stream_table_t *table)
{
  free (table->slots);
  table->slots = NULL;
}

/* --- versions that were listed --- */

static br_listed_version_t *
history_find (const br_version_history_t *history, br_version_t version)
{
  for (size_t i = 0; i < history->versions.len; i++)
    if (history->versions.items[i].version == version)
      return &history->versions.items[i];
  return NULL;
}

/* Drops the versions that no stream can be of any more. */
static void
history_trim (br_version_history_t *history, br_ms_t now)
{
  br_listed_versions_t *versions = &history->versions;

  for (size_t i = versions->len; i-- > 0;)
    if (!versions->items[i].is_listed
        && now - versions->items[i].last_listed_ms >= BR_STREAM_LIFE_MS)
      versions->items[i] = versions->items[--versions->len];
}

void
br_version_history_update (br_version_history_t *history,
                           const br_listings_t *listings,
                           br_ms_t now)
{
  if (!history->is_known)
    history->since_ms = now;
  history->is_known = true;
  for (size_t i = 0; i < history->versions.len; i++)
    {
      br_listed_version_t *each = &history->versions.items[i];

      if (each->is_listed)
        each->last_listed_ms = now;
      each->is_listed = false;
    }
  for (size_t i = 0; i < listings->len; i++)
    {
      const br_listing_t *listing = &listings->items[i];
      br_listed_version_t fresh = {
        .service = listing->service,
        .version = br_listing_version (listing),
      };
      br_listed_version_t *each = history_find (history, fresh.version);

      if (each == NULL)
        each = br_listed_versions_push (&history->versions, fresh);
      each->is_listed = true;
      each->last_listed_ms = now;
    }
  history_trim (history, now);
}

br_version_t
br_version_history_sole (const br_version_history_t *history,
                         const br_name_t *service,
                         br_ms_t now)
{
  br_version_t sole = 0;

  if (!history->is_known || now - history->since_ms < BR_STREAM_LIFE_MS)
    return 0;
  for (size_t i = 0; i < history->versions.len; i++)
    {
      const br_listed_version_t *each = &history->versions.items[i];

      if (!br_name_equal (&each->service, service)
          || (!each->is_listed
              && now - each->last_listed_ms >= BR_STREAM_LIFE_MS))
        continue;
      if (sole != 0)
        return 0;
      sole = each->version;
    }
  return sole;
}

void
br_version_history_clear (br_version_history_t *history)
{
  br_listed_versions_free (&history->versions);
  *history = (br_version_history_t){ 0 };
}
