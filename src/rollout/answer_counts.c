#include "rollout/answer_counts.h"

#include <math.h>
#include <string.h>

size_t
br_answer_bucket (double time_ms, double expected_ms)
{
  double at;

  if (time_ms <= 0 || expected_ms <= 0)
    return 0;
  at = floor (2 * log2 (time_ms / expected_ms)) + BR_ANSWER_BUCKET_USUAL;
  if (at < 0)
    return 0;
  return at >= BR_ANSWER_BUCKETS ? BR_ANSWER_BUCKETS - 1 : (size_t)at;
}

void
br_answer_counts_add (br_answer_counts_t *sum, const br_answer_counts_t *counts)
{
  sum->answered += counts->answered;
  sum->failed += counts->failed;
  sum->paused += counts->paused;
  for (size_t i = 0; i < BR_ANSWER_BUCKETS; i++)
    sum->times[i] += counts->times[i];
}

static uint64_t
less (uint64_t a, uint64_t b)
{
  return a > b ? a - b : 0;
}

void
br_answer_counts_subtract (br_answer_counts_t *from,
                           const br_answer_counts_t *counts)
{
  from->answered = less (from->answered, counts->answered);
  from->failed = less (from->failed, counts->failed);
  from->paused = less (from->paused, counts->paused);
  for (size_t i = 0; i < BR_ANSWER_BUCKETS; i++)
    from->times[i] = less (from->times[i], counts->times[i]);
}

const br_route_answers_t *
br_answer_table_find (const br_answer_table_t *table, br_str_t route)
{
  for (size_t i = 0; i < table->len; i++)
    if (br_str_equal (br_name_str (&table->items[i].route), route))
      return &table->items[i];
  return NULL;
}

br_answer_counts_t *
br_answer_table_at (br_answer_table_t *table,
                    br_str_t route,
                    br_version_side_t side)
{
  br_route_answers_t *found
      = (br_route_answers_t *)br_answer_table_find (table, route);
  br_route_answers_t fresh = { 0 };

  if (found != NULL)
    return &found->of[side];
  if ((table->len >= BR_ANSWER_ROUTES_MAX || !br_name_set (&fresh.route, route))
      && route.len > 0)
    return br_answer_table_at (table, br_str_from (""), side);
  return &br_answer_table_push (table, fresh)->of[side];
}

void
br_answer_table_merge (br_answer_table_t *table, const br_answer_table_t *other)
{
  for (size_t i = 0; i < other->len; i++)
    for (size_t side = 0; side < BR_VERSION_SIDES; side++)
      br_answer_counts_add (
          br_answer_table_at (table, br_name_str (&other->items[i].route),
                              (br_version_side_t)side),
          &other->items[i].of[side]);
}

uint64_t
br_answer_table_answered (const br_answer_table_t *table,
                          br_version_side_t side)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < table->len; i++)
    sum += table->items[i].of[side].answered;
  return sum;
}

void
br_answer_table_read (br_answer_table_t *table,
                      Br__Site__VersionAnswers *const *answers,
                      size_t n_answers)
{
  for (size_t i = 0; i < n_answers; i++)
    {
      const Br__Site__VersionAnswers *from = answers[i];
      br_answer_counts_t counts = { 0 };

      if (from->failed > from->answered || from->paused > from->answered)
        continue;
      counts.answered = from->answered;
      counts.failed = from->failed;
      counts.paused = from->paused;
      for (size_t j = 0; j < from->n_times && j < BR_ANSWER_BUCKETS; j++)
        counts.times[j] = from->times[j];
      br_answer_counts_add (
          br_answer_table_at (table, br_str_from (from->route),
                              from->is_new ? BR_VERSION_NEW : BR_VERSION_OLD),
          &counts);
    }
}

/* Fills TO and its histogram TIMES. */
static void
counts_write (const br_answer_counts_t *counts,
              Br__Site__VersionAnswers *to,
              uint32_t *times)
{
  to->answered = counts->answered;
  to->failed = counts->failed;
  to->paused = counts->paused;
  to->n_times = BR_ANSWER_BUCKETS;
  to->times = times;
  for (size_t i = 0; i < BR_ANSWER_BUCKETS; i++)
    times[i] = (uint32_t)BR_MIN (counts->times[i], UINT32_MAX);
}

void
br_answer_table_write (const br_answer_table_t *table,
                       Br__Site__RolloutCounts *counts)
{
  size_t max = table->len * BR_VERSION_SIDES;
  /* One block each, so that the message is freed by its three pointers. */
  Br__Site__VersionAnswers *wire = br_alloc ((max + 1) * sizeof *wire);
  uint32_t *times = br_alloc ((max + 1) * BR_ANSWER_BUCKETS * sizeof *times);
  size_t n = 0;

  counts->answers = br_alloc ((max + 1) * sizeof *counts->answers);
  counts->answers[0] = wire;
  wire[0].times = times;
  for (size_t i = 0; i < table->len; i++)
    for (size_t side = 0; side < BR_VERSION_SIDES; side++)
      {
        if (table->items[i].of[side].answered == 0)
          continue;
        wire[n] = (Br__Site__VersionAnswers)BR__SITE__VERSION_ANSWERS__INIT;
        wire[n].route = (char *)table->items[i].route.data;
        wire[n].is_new = side == BR_VERSION_NEW;
        counts_write (&table->items[i].of[side], &wire[n],
                      times + n * BR_ANSWER_BUCKETS);
        counts->answers[n] = &wire[n];
        n++;
      }
  counts->n_answers = n;
}

void
br_answer_table_free_message (Br__Site__RolloutCounts *counts)
{
  if (counts->answers == NULL)
    return;
  free (counts->answers[0]->times);
  free (counts->answers[0]);
  free (counts->answers);
  counts->answers = NULL;
  counts->n_answers = 0;
}
