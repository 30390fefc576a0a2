/* The software version that began a stream.  What two versions generate does
 * not fit together, so a stream goes on only at the version that began it.
 *
 * Entry VMs record the version of each stream that may begin with all control
 * VMs, as soon as an attempt is sent; the record of a later attempt replaces
 * it. A take-up that reaches an entry VM without the record asks them.  Without
 * a record, the version is known only if the service had no other one in the
 * lifetime of a stream. */
#ifndef BR_SITE_STREAM_VERSION_H
#define BR_SITE_STREAM_VERSION_H

#include "site/listing.h"

BR_BEGIN_DECLS

/* Longest time from the attempt that begins a stream to a request that takes it
 * up, in milliseconds.  Callers give up earlier. */
#define BR_STREAM_LIFE_MS 20000

/* Records in one bucket of the table; the oldest is replaced. */
#define BR_STREAM_BUCKET_SIZE 4

/* Buckets of an entry VM's table, and of a control VM's, which has the streams
 * of all of them: 16 times as many as 250 streams a second need. */
#define BR_STREAM_BUCKETS_ENTRY 1024
#define BR_STREAM_BUCKETS_CONTROL 16384

/* Identifies a version of a service's software; 0: none. */
typedef uint64_t br_version_t;

/* Identifies a stream by the id of the request that began it; 0: none. */
typedef uint64_t br_stream_t;

br_version_t br_listing_version (const br_listing_t *listing);
br_stream_t br_stream_from_id (br_str_t request_id);

/* --- records --- */

typedef struct
{
  br_stream_t stream;
  br_version_t version;
  br_ms_t at_ms; /* when the attempt that began or took it up was sent */
} br_stream_record_t;

BR_VEC (br_stream_records, br_stream_record_t);

/* A table of records.  Memory is allocated with the first one. */
typedef struct
{
  size_t n_buckets; /* set by the owner */
  br_stream_record_t *slots;
} br_stream_table_t;

void br_stream_table_add (br_stream_table_t *table,
                          const br_stream_record_t *record);

/* Returns the version of the stream, or 0 when it is not known or too old. */
br_version_t br_stream_table_find (const br_stream_table_t *table,
                                   br_stream_t stream,
                                   br_ms_t now);
void br_stream_table_free (br_stream_table_t *table);

/* --- versions that were listed --- */

typedef struct
{
  br_name_t service;
  br_version_t version;
  bool is_listed;
  br_ms_t last_listed_ms;
} br_listed_version_t;

BR_VEC (br_listed_versions, br_listed_version_t);

/* The versions of recent lists.  An all-zero value knows none. */
typedef struct
{
  br_listed_versions_t versions;
  bool is_known;
  br_ms_t since_ms; /* of the first list */
} br_version_history_t;

void br_version_history_update (br_version_history_t *history,
                                const br_listings_t *listings,
                                br_ms_t now);

/* Returns the only version that the service had for BR_STREAM_LIFE_MS, or 0
 * when it had several or this is not known for so long. */
br_version_t br_version_history_sole (const br_version_history_t *history,
                                      const br_name_t *service,
                                      br_ms_t now);

/* Forgets all lists. */
void br_version_history_clear (br_version_history_t *history);

BR_END_DECLS

#endif
