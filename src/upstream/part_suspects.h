/* Finds the part of a prompt that crashes upstreams.  Requests share the parts
 * of their prompts.  An upstream crashes when it begins to write an answer on
 * such a part, so the suspects of a crash are the shared parts of the runs
 * there that had not begun to answer, and an answer that begins clears the
 * parts of its prompt.
 *
 * Reports of several VMs about one crash are merged.  The VM that decides asks
 * all entry VMs when an answer last began on the suspects before it blames one.
 */
#ifndef BR_UPSTREAM_PART_SUSPECTS_H
#define BR_UPSTREAM_PART_SUSPECTS_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Crashes kept; the oldest is dropped first. */
#define BR_PART_CRASHES_MAX 64

/* Suspects of one crash; further ones are ignored. */
#define BR_PART_CRASH_SUSPECTS_MAX 128

/* How long a crash is remembered, in milliseconds. */
#define BR_PART_CRASH_LIFE_MS (2 * 60 * 1000)

/* Suspects that are examined at once: those of most crashes. */
#define BR_PART_CANDIDATES_MAX 32

/* Slots of the table of parts on which answers began, indexed by part. */
#define BR_BEGUN_PARTS_SLOTS 2048

/* A crash of one incarnation of an upstream. */
typedef struct
{
  br_name_t upstream;
  uint64_t incarnation;
  br_ms_t at_ms;
  size_t n;
  uint64_t suspects[BR_PART_CRASH_SUSPECTS_MAX];
} br_part_crash_t;

BR_VEC (br_part_crashes, br_part_crash_t);

/* An all-zero value is empty. */
typedef struct
{
  br_part_crashes_t crashes; /* in the order in which they were reported */
} br_part_suspects_t;

/* A part that may have caused crashes. */
typedef struct
{
  uint64_t part;
  bool has_begun;   /* an answer ever began on it */
  br_ms_t begun_ms; /* when the last one did */
} br_part_candidate_t;

typedef struct
{
  br_part_candidate_t items[BR_PART_CANDIDATES_MAX];
  size_t len;
} br_part_candidates_t;

/* Returns whether a part is known to crash upstreams; it explains the crashes
 * in which it is a suspect. */
typedef bool (*br_part_explains_fn) (const void *context, uint64_t part);

/* Returns the number by which the quarantine knows a prompt part.  Differs from
 * the digests of contents; never 0. */
uint64_t br_part_subject (uint64_t id);

/* Adds the suspects of a crash, and the crash if it was not reported before.
 * Returns whether anything was added. */
bool br_part_suspects_report (br_part_suspects_t *suspects,
                              const br_part_crash_t *crash);

/* Discards the crash of one incarnation, or of all if INCARNATION is NULL: its
 * VM was reclaimed. */
void br_part_suspects_discard (br_part_suspects_t *suspects,
                               const br_name_t *upstream,
                               const uint64_t *incarnation);

/* Discards the crashes that are too old at NOW. */
void br_part_suspects_expire (br_part_suspects_t *suspects, br_ms_t now);

/* Fills CANDIDATES with the suspects of enough crashes that no known part
 * explains. */
void br_part_suspects_candidates (const br_part_suspects_t *suspects,
                                  br_part_explains_fn explains,
                                  const void *context,
                                  br_part_candidates_t *candidates);

/* Records that an answer began on PART at AT_MS, if it is a candidate. */
void br_part_candidates_begun (br_part_candidates_t *candidates,
                               uint64_t part,
                               br_ms_t at_ms);

/* Appends to BLAMED the candidates that are assumed to have caused crashes up
 * to UNTIL_MS; returns their number.  CANDIDATES must say when answers began on
 * all VMs up to then. */
size_t br_part_suspects_blame (const br_part_suspects_t *suspects,
                               const br_part_candidates_t *candidates,
                               br_part_explains_fn explains,
                               const void *context,
                               br_ms_t until_ms,
                               uint64_t blamed[BR_PART_CANDIDATES_MAX]);

/* Returns the number of crashes in which PART is a suspect. */
int br_part_suspects_count (const br_part_suspects_t *suspects, uint64_t part);
void br_part_suspects_free (br_part_suspects_t *suspects);

/* --- parts on which answers began --- */

/* When an answer last began on recent parts, on one VM.  An all-zero value is
 * empty. */
typedef struct
{
  struct
  {
    uint64_t part;
    br_ms_t at_ms;
  } slots[BR_BEGUN_PARTS_SLOTS];
} br_begun_parts_t;

void br_begun_parts_add (br_begun_parts_t *begun, uint64_t part, br_ms_t now);

/* Returns whether an answer is known to have begun on PART; sets *AT_MS to the
 * last time. */
bool br_begun_parts_find (const br_begun_parts_t *begun,
                          uint64_t part,
                          br_ms_t *at_ms);

BR_END_DECLS

#endif
