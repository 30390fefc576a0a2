/* What all entry VMs sent for one order, over restarts, lost reports and a new
 * leader, and the sums of their answers. */
#ifndef BR_ROLLOUT_EXPOSURE_H
#define BR_ROLLOUT_EXPOSURE_H

#include "base/clock.h"
#include "base/name_index.h"
#include "rollout/answer_counts.h"

BR_BEGIN_DECLS

/* Counts this old are fresh: several reports may be lost. */
#define BR_EXPOSURE_FRESH_MS 600

/* How long a silent entry VM may go on sending to the target: the 1,500 ms for
 * which it follows the last policy, and the way. */
#define BR_EXPOSURE_SILENT_MS 1700

/* One entry VM.  The counts are those of its newest process. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  br_ms_t last_ms; /* when its counts last came */
  uint64_t step;
  bool stopped;
  uint32_t running_old;
  uint64_t sent;
  uint64_t sent_new;
  br_answer_table_t answers; /* owned */
} br_exposure_row_t;

BR_VEC (br_exposure_rows, br_exposure_row_t);

/* The sum of all requests at a time, for their rate. */
typedef struct
{
  br_ms_t at_ms;
  uint64_t sent;
} br_exposure_point_t;

#define BR_EXPOSURE_POINTS 16

/* An all-zero value is empty. */
typedef struct
{
  br_exposure_rows_t rows;
  br_name_index_t index;     /* into ROWS by VM */
  br_answer_table_t answers; /* of all processes; never fall */
  uint64_t sent;             /* of all processes that reported */
  uint64_t sent_new;
  uint64_t
      unreported; /* sent to the target by processes that ended unreported */
  uint64_t checkpoint; /* of the log when this VM first acted on it */
  bool has_checkpoint;
  bool is_whole;                                  /* UNREPORTED is settled */
  br_exposure_point_t points[BR_EXPOSURE_POINTS]; /* 100 ms apart */
  size_t n_points;
} br_exposure_t;

void br_exposure_release (br_exposure_t *exposure);

/* Takes the counts of an entry VM's process. */
void br_exposure_receive (br_exposure_t *exposure,
                          const br_name_t *vm,
                          uint64_t incarnation,
                          const Br__Site__RolloutCounts *counts,
                          br_ms_t now);

/* Returns the row of VM's process, or NULL if it sent no counts. */
const br_exposure_row_t *br_exposure_find (const br_exposure_t *exposure,
                                           const br_name_t *vm,
                                           uint64_t incarnation);

/* Takes the total of the last checkpoint.  What is missing in the sums there,
 * once the counts of all live entry VMs are in (IS_WHOLE), was sent by
 * processes that ended unreported. */
void br_exposure_set_checkpoint (br_exposure_t *exposure,
                                 uint64_t sent_new,
                                 bool is_whole);

/* Notes the sums for the rate.  Called each 100 ms. */
void br_exposure_tick (br_exposure_t *exposure, br_ms_t now);

/* Returns the requests a second of the last second; below 0 while it is not
 * known. */
double br_exposure_rate (const br_exposure_t *exposure);

/* Returns what may have been sent to the target so far: what was reported, and
 * at SHARE of the rate what was not reported yet. */
double
br_exposure_new (const br_exposure_t *exposure, double share, br_ms_t now);

BR_END_DECLS

#endif
