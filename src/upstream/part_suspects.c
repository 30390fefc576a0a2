#include "upstream/part_suspects.h"

#include <string.h>

/* Crashes within this time, in milliseconds, count as one: a fault may end
 * several upstreams at once, and a request that waited on one of them is
 * retried on the next. */
#define SAME_MOMENT_MS 250

/* Crashes after which a part is blamed: one on which no answer ever began, and
 * one that had been answered before. */
#define CRASHES_UNKNOWN 2
#define CRASHES_ANSWERED 4

/* Further crashes after which parts that are suspects in the same crashes are
 * blamed together. */
#define CRASHES_TOGETHER 2

uint64_t
br_part_subject (uint64_t id)
{
  static const uint64_t seed = 0x70726f6d707470ULL;
  uint64_t subject
      = br_str_hash (br_str_make ((const char *)&id, sizeof id), seed);

  return subject != 0 ? subject : 1;
}

static bool
crash_has (const br_part_crash_t *crash, uint64_t part)
{
  for (size_t i = 0; i < crash->n; i++)
    if (crash->suspects[i] == part)
      return true;
  return false;
}

/* Returns whether anything was added. */
static bool
crash_merge (br_part_crash_t *crash, const br_part_crash_t *from)
{
  size_t before = crash->n;

  for (size_t i = 0; i < from->n && crash->n < BR_PART_CRASH_SUSPECTS_MAX; i++)
    if (!crash_has (crash, from->suspects[i]))
      crash->suspects[crash->n++] = from->suspects[i];
  return crash->n > before;
}

static void
suspects_remove (br_part_suspects_t *suspects, size_t at)
{
  br_part_crashes_t *crashes = &suspects->crashes;

  crashes->len--;
  memmove (&crashes->items[at], &crashes->items[at + 1],
           (crashes->len - at) * sizeof *crashes->items);
}

bool
br_part_suspects_report (br_part_suspects_t *suspects,
                         const br_part_crash_t *crash)
{
  br_part_crashes_t *crashes = &suspects->crashes;
  br_part_crash_t fresh = { 0 };

  for (size_t i = 0; i < crashes->len; i++)
    if (crashes->items[i].incarnation == crash->incarnation
        && br_name_equal (&crashes->items[i].upstream, &crash->upstream))
      return crash_merge (&crashes->items[i], crash);
  if (crashes->len == BR_PART_CRASHES_MAX)
    suspects_remove (suspects, 0);
  fresh.upstream = crash->upstream;
  fresh.incarnation = crash->incarnation;
  fresh.at_ms = crash->at_ms;
  crash_merge (&fresh, crash);
  br_part_crashes_push (crashes, fresh);
  return true;
}

void
br_part_suspects_discard (br_part_suspects_t *suspects,
                          const br_name_t *upstream,
                          const uint64_t *incarnation)
{
  br_part_crashes_t *crashes = &suspects->crashes;

  for (size_t i = crashes->len; i-- > 0;)
    if (br_name_equal (&crashes->items[i].upstream, upstream)
        && (incarnation == NULL
            || crashes->items[i].incarnation == *incarnation))
      suspects_remove (suspects, i);
}

void
br_part_suspects_expire (br_part_suspects_t *suspects, br_ms_t now)
{
  br_part_crashes_t *crashes = &suspects->crashes;

  for (size_t i = crashes->len; i-- > 0;)
    if (now - crashes->items[i].at_ms >= BR_PART_CRASH_LIFE_MS)
      suspects_remove (suspects, i);
}

int
br_part_suspects_count (const br_part_suspects_t *suspects, uint64_t part)
{
  int n = 0;

  for (size_t i = 0; i < suspects->crashes.len; i++)
    n += crash_has (&suspects->crashes.items[i], part);
  return n;
}

void
br_part_suspects_free (br_part_suspects_t *suspects)
{
  br_part_crashes_free (&suspects->crashes);
}

/* --- candidates --- */

/* The crashes that a decision takes into account, one bit each. */
typedef uint64_t crash_set_t;

/* Returns the crashes up to UNTIL_MS in which no known part is a suspect. */
static crash_set_t
suspects_unexplained (const br_part_suspects_t *suspects,
                      br_part_explains_fn explains,
                      const void *context,
                      br_ms_t until_ms)
{
  crash_set_t set = 0;

  for (size_t i = 0; i < suspects->crashes.len; i++)
    {
      const br_part_crash_t *crash = &suspects->crashes.items[i];
      bool explained = crash->at_ms > until_ms;

      for (size_t j = 0; j < crash->n && !explained; j++)
        explained = explains (context, crash->suspects[j]);
      set |= (crash_set_t)!explained << i;
    }
  return set;
}

/* Returns those crashes of AMONG in which the candidate is a suspect and after
 * which no answer began on it. */
static crash_set_t
candidate_crashes (const br_part_suspects_t *suspects,
                   const br_part_candidate_t *candidate,
                   crash_set_t among)
{
  crash_set_t set = 0;

  for (size_t i = 0; i < suspects->crashes.len; i++)
    {
      const br_part_crash_t *crash = &suspects->crashes.items[i];
      bool cleared
          = candidate->has_begun && candidate->begun_ms >= crash->at_ms;

      if ((among >> i & 1) != 0 && !cleared
          && crash_has (crash, candidate->part))
        set |= (crash_set_t)1 << i;
    }
  return set;
}

/* Returns the number of crashes in SET that are not of the same moment. */
static int
set_moments (const br_part_suspects_t *suspects, crash_set_t set)
{
  br_ms_t last_ms = -SAME_MOMENT_MS;
  int n = 0;

  for (;;)
    {
      br_ms_t next_ms = BR_MS_NEVER;

      for (size_t i = 0; i < suspects->crashes.len; i++)
        {
          br_ms_t at_ms = suspects->crashes.items[i].at_ms;

          if ((set >> i & 1) != 0 && at_ms >= last_ms + SAME_MOMENT_MS)
            next_ms = BR_MIN (next_ms, at_ms);
        }
      if (next_ms == BR_MS_NEVER)
        return n;
      last_ms = next_ms;
      n++;
    }
}

static bool
candidates_have (const br_part_candidates_t *candidates, uint64_t part)
{
  for (size_t i = 0; i < candidates->len; i++)
    if (candidates->items[i].part == part)
      return true;
  return false;
}

/* Adds PART; replaces the one with the fewest crashes when CANDIDATES are full.
 * COUNTS has the number of crashes of each. */
static void
candidates_add (br_part_candidates_t *candidates,
                int counts[BR_PART_CANDIDATES_MAX],
                uint64_t part,
                int count)
{
  size_t at = 0;

  if (candidates->len < BR_PART_CANDIDATES_MAX)
    at = candidates->len++;
  else
    {
      for (size_t i = 1; i < candidates->len; i++)
        if (counts[i] < counts[at])
          at = i;
      if (counts[at] >= count)
        return;
    }
  candidates->items[at] = (br_part_candidate_t){ .part = part };
  counts[at] = count;
}

void
br_part_suspects_candidates (const br_part_suspects_t *suspects,
                             br_part_explains_fn explains,
                             const void *context,
                             br_part_candidates_t *candidates)
{
  crash_set_t among
      = suspects_unexplained (suspects, explains, context, BR_MS_NEVER);
  int counts[BR_PART_CANDIDATES_MAX];

  candidates->len = 0;
  for (size_t i = 0; i < suspects->crashes.len; i++)
    {
      const br_part_crash_t *crash = &suspects->crashes.items[i];

      for (size_t j = 0; (among >> i & 1) != 0 && j < crash->n; j++)
        {
          br_part_candidate_t candidate = { .part = crash->suspects[j] };
          crash_set_t set = candidate_crashes (suspects, &candidate, among);

          if (!candidates_have (candidates, candidate.part)
              && set_moments (suspects, set) >= CRASHES_UNKNOWN)
            candidates_add (candidates, counts, candidate.part,
                            __builtin_popcountll (set));
        }
    }
}

void
br_part_candidates_begun (br_part_candidates_t *candidates,
                          uint64_t part,
                          br_ms_t at_ms)
{
  for (size_t i = 0; i < candidates->len; i++)
    {
      br_part_candidate_t *candidate = &candidates->items[i];

      if (candidate->part != part)
        continue;
      candidate->begun_ms
          = candidate->has_begun ? BR_MAX (candidate->begun_ms, at_ms) : at_ms;
      candidate->has_begun = true;
    }
}

/* --- the decision --- */

/* Returns whether A is the likelier cause than B: parts on which no answer ever
 * began go first, then those of more crashes. */
static bool
is_likelier (const br_part_candidate_t *a,
             crash_set_t a_set,
             const br_part_candidate_t *b,
             crash_set_t b_set)
{
  if (a->has_begun != b->has_begun)
    return !a->has_begun;
  return __builtin_popcountll (a_set) > __builtin_popcountll (b_set);
}

/* Returns whether another candidate explains all crashes in SET, those of the
 * candidate at AT, just as well. */
static bool
has_rival (const br_part_suspects_t *suspects,
           const br_part_candidates_t *candidates,
           size_t at,
           crash_set_t set,
           crash_set_t among)
{
  for (size_t i = 0; i < candidates->len; i++)
    if (i != at
        && candidates->items[i].has_begun == candidates->items[at].has_begun
        && (set & ~candidate_crashes (suspects, &candidates->items[i], among))
               == 0)
      return true;
  return false;
}

/* Returns the likeliest cause of crashes in AMONG that can be blamed, or NULL;
 * sets *SET to its crashes. */
static const br_part_candidate_t *
likeliest (const br_part_suspects_t *suspects,
           const br_part_candidates_t *candidates,
           crash_set_t among,
           crash_set_t *set)
{
  const br_part_candidate_t *best = NULL;

  for (size_t i = 0; i < candidates->len; i++)
    {
      const br_part_candidate_t *each = &candidates->items[i];
      crash_set_t each_set = candidate_crashes (suspects, each, among);
      int need = each->has_begun ? CRASHES_ANSWERED : CRASHES_UNKNOWN;

      if (has_rival (suspects, candidates, i, each_set, among))
        need += CRASHES_TOGETHER;
      if (set_moments (suspects, each_set) < need
          || (best != NULL && !is_likelier (each, each_set, best, *set)))
        continue;
      best = each;
      *set = each_set;
    }
  return best;
}

size_t
br_part_suspects_blame (const br_part_suspects_t *suspects,
                        const br_part_candidates_t *candidates,
                        br_part_explains_fn explains,
                        const void *context,
                        br_ms_t until_ms,
                        uint64_t blamed[BR_PART_CANDIDATES_MAX])
{
  crash_set_t among
      = suspects_unexplained (suspects, explains, context, until_ms);
  const br_part_candidate_t *best;
  crash_set_t set;
  size_t n = 0;

  while ((best = likeliest (suspects, candidates, among, &set)) != NULL)
    {
      blamed[n++] = best->part;
      among &= ~set;
    }
  return n;
}

/* --- parts on which answers began --- */

void
br_begun_parts_add (br_begun_parts_t *begun, uint64_t part, br_ms_t now)
{
  begun->slots[part % BR_BEGUN_PARTS_SLOTS].part = part;
  begun->slots[part % BR_BEGUN_PARTS_SLOTS].at_ms = now;
}

bool
br_begun_parts_find (const br_begun_parts_t *begun,
                     uint64_t part,
                     br_ms_t *at_ms)
{
  if (begun->slots[part % BR_BEGUN_PARTS_SLOTS].part != part)
    return false;
  *at_ms = begun->slots[part % BR_BEGUN_PARTS_SLOTS].at_ms;
  return true;
}
