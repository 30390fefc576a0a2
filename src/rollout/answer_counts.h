/* Counts of a service's answers for each route and version: what the old and
 * the new version of a rollout are compared by. */
#ifndef BR_ROLLOUT_ANSWER_COUNTS_H
#define BR_ROLLOUT_ANSWER_COUNTS_H

#include "base/vec.h"
#include "site/site.pb-c.h"

BR_BEGIN_DECLS

/* Buckets of the histogram of the relative time.  Bucket I covers
 * time / expected from 2^((I - 8) / 2) to 2^((I - 7) / 2); the first and the
 * last one have no outer end. */
#define BR_ANSWER_BUCKETS 24
#define BR_ANSWER_BUCKET_USUAL 8

/* Routes that are counted for one service.  What comes after them is counted
 * under an empty name, so that a message has a bound. */
#define BR_ANSWER_ROUTES_MAX 64

/* One route's answers by one version. */
typedef struct
{
  uint64_t answered; /* failed ones included */
  uint64_t failed;
  uint64_t paused; /* streams with a pause beyond the route's longest */
  uint64_t times[BR_ANSWER_BUCKETS];
} br_answer_counts_t;

typedef enum
{
  BR_VERSION_OLD,
  BR_VERSION_NEW,
  BR_VERSION_SIDES,
} br_version_side_t;

/* One route's answers by both versions. */
typedef struct
{
  br_name_t route;
  br_answer_counts_t of[BR_VERSION_SIDES];
} br_route_answers_t;

BR_VEC (br_answer_table, br_route_answers_t);

/* Returns the bucket of a time; EXPECTED_MS must be above 0. */
size_t br_answer_bucket (double time_ms, double expected_ms);

void br_answer_counts_add (br_answer_counts_t *sum,
                           const br_answer_counts_t *counts);

/* Subtracts COUNTS; a figure that would fall below 0 becomes 0. */
void br_answer_counts_subtract (br_answer_counts_t *from,
                                const br_answer_counts_t *counts);

/* Returns the counts of ROUTE and SIDE, which are added if they are missing.
 * The pointer is valid until the next call. */
br_answer_counts_t *br_answer_table_at (br_answer_table_t *table,
                                        br_str_t route,
                                        br_version_side_t side);

/* Returns the answers of ROUTE, or NULL. */
const br_route_answers_t *br_answer_table_find (const br_answer_table_t *table,
                                                br_str_t route);

/* Adds all counts of OTHER. */
void br_answer_table_merge (br_answer_table_t *table,
                            const br_answer_table_t *other);

/* Returns the answers of SIDE over all routes. */
uint64_t br_answer_table_answered (const br_answer_table_t *table,
                                   br_version_side_t side);

/* Adds the counts of a message.  Entries that are not valid are left out. */
void br_answer_table_read (br_answer_table_t *table,
                           Br__Site__VersionAnswers *const *answers,
                           size_t n_answers);

/* Sets the answers of COUNTS to those of TABLE; sides without an answer are
 * left out.  The names point into TABLE.  The caller frees them with
 * br_answer_table_free_message(). */
void br_answer_table_write (const br_answer_table_t *table,
                            Br__Site__RolloutCounts *counts);
void br_answer_table_free_message (Br__Site__RolloutCounts *counts);

BR_END_DECLS

#endif
