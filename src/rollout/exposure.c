#include "rollout/exposure.h"

#include <string.h>

/* Rows of entry VMs; of the longest silent ones only the sums are kept. */
#define ROWS_MAX 2048

/* Time for which the rate is measured, in points of 100 ms. */
#define RATE_POINTS 10

void
br_exposure_release (br_exposure_t *exposure)
{
  for (size_t i = 0; i < exposure->rows.len; i++)
    br_answer_table_free (&exposure->rows.items[i].answers);
  br_exposure_rows_free (&exposure->rows);
  br_name_index_clear (&exposure->index);
  br_answer_table_free (&exposure->answers);
}

static br_exposure_row_t *
exposure_row (br_exposure_t *exposure, const br_name_t *vm)
{
  br_exposure_row_t fresh = { .vm = *vm };
  size_t at;

  if (br_name_index_find (&exposure->index, br_name_str (vm), &at))
    return &exposure->rows.items[at];
  if (exposure->rows.len >= ROWS_MAX)
    {
      at = 0;
      for (size_t i = 1; i < exposure->rows.len; i++)
        if (exposure->rows.items[i].last_ms < exposure->rows.items[at].last_ms)
          at = i;
      br_answer_table_free (&exposure->rows.items[at].answers);
      exposure->rows.items[at] = fresh;
      br_name_index_clear (&exposure->index);
      for (size_t i = 0; i < exposure->rows.len; i++)
        br_name_index_set (&exposure->index, &exposure->rows.items[i].vm, i);
      return &exposure->rows.items[at];
    }
  br_name_index_set (&exposure->index, vm, exposure->rows.len);
  return br_exposure_rows_push (&exposure->rows, fresh);
}

/* Replaces the counts of the row's process in the sums by NEWER. */
static void
exposure_replace_answers (br_exposure_t *exposure,
                          br_exposure_row_t *row,
                          br_answer_table_t newer)
{
  for (size_t i = 0; i < newer.len; i++)
    {
      const br_route_answers_t *route = &newer.items[i];
      const br_route_answers_t *before
          = br_answer_table_find (&row->answers, br_name_str (&route->route));

      for (size_t side = 0; side < BR_VERSION_SIDES; side++)
        {
          br_answer_counts_t more = route->of[side];

          if (before != NULL)
            br_answer_counts_subtract (&more, &before->of[side]);
          br_answer_counts_add (br_answer_table_at (&exposure->answers,
                                                    br_name_str (&route->route),
                                                    (br_version_side_t)side),
                                &more);
        }
    }
  br_answer_table_free (&row->answers);
  row->answers = newer;
}

void
br_exposure_receive (br_exposure_t *exposure,
                     const br_name_t *vm,
                     uint64_t incarnation,
                     const Br__Site__RolloutCounts *counts,
                     br_ms_t now)
{
  br_exposure_row_t *row = exposure_row (exposure, vm);
  br_answer_table_t answers = { 0 };

  if (incarnation < row->incarnation)
    return;
  if (incarnation > row->incarnation)
    {
      /* What the former process counted stays in the sums. */
      row->incarnation = incarnation;
      row->sent = row->sent_new = row->step = 0;
      br_answer_table_clear (&row->answers);
    }
  if (counts->sent < row->sent || counts->sent_new < row->sent_new)
    return;
  exposure->sent += counts->sent - row->sent;
  exposure->sent_new += counts->sent_new - row->sent_new;
  row->sent = counts->sent;
  row->sent_new = counts->sent_new;
  row->step = counts->step;
  row->stopped = counts->stopped;
  row->running_old = counts->running_old;
  row->last_ms = now;
  br_answer_table_read (&answers, counts->answers, counts->n_answers);
  exposure_replace_answers (exposure, row, answers);
}

const br_exposure_row_t *
br_exposure_find (const br_exposure_t *exposure,
                  const br_name_t *vm,
                  uint64_t incarnation)
{
  size_t at;

  if (!br_name_index_find (&exposure->index, br_name_str (vm), &at)
      || exposure->rows.items[at].incarnation != incarnation)
    return NULL;
  return &exposure->rows.items[at];
}

void
br_exposure_set_checkpoint (br_exposure_t *exposure,
                            uint64_t sent_new,
                            bool is_whole)
{
  if (exposure->is_whole)
    return;
  if (!exposure->has_checkpoint)
    {
      exposure->has_checkpoint = true;
      exposure->checkpoint = sent_new;
    }
  exposure->is_whole = is_whole;
  exposure->unreported = exposure->checkpoint > exposure->sent_new
                             ? exposure->checkpoint - exposure->sent_new
                             : 0;
}

void
br_exposure_tick (br_exposure_t *exposure, br_ms_t now)
{
  br_exposure_point_t *newest
      = &exposure->points[exposure->n_points % BR_EXPOSURE_POINTS];

  *newest = (br_exposure_point_t){ now, exposure->sent };
  exposure->n_points++;
}

double
br_exposure_rate (const br_exposure_t *exposure)
{
  size_t span = BR_MIN (RATE_POINTS,
                        exposure->n_points > 0 ? exposure->n_points - 1 : 0);
  const br_exposure_point_t *last;
  const br_exposure_point_t *first;

  if (span < RATE_POINTS)
    return -1;
  last = &exposure->points[(exposure->n_points - 1) % BR_EXPOSURE_POINTS];
  first
      = &exposure->points[(exposure->n_points - 1 - span) % BR_EXPOSURE_POINTS];
  return last->at_ms > first->at_ms ? (double)(last->sent - first->sent) * 1000
                                          / (double)(last->at_ms - first->at_ms)
                                    : 0;
}

double
br_exposure_new (const br_exposure_t *exposure, double share, br_ms_t now)
{
  double reported = (double)(exposure->sent_new + exposure->unreported);
  double rate = BR_MAX (br_exposure_rate (exposure), 0);
  double silent_ms = 0;

  for (size_t i = 0; i < exposure->rows.len; i++)
    silent_ms += (double)BR_MIN (now - exposure->rows.items[i].last_ms,
                                 BR_EXPOSURE_SILENT_MS);
  return reported
         + share * rate * silent_ms / 1000
               / (double)BR_MAX (exposure->rows.len, 1);
}
