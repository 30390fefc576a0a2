#include "speed/speed_pool.h"

#include <math.h>
#include <stdlib.h>

/* Weight of the samples that an estimate goes back over.  At one sample a
 * second this is some minutes. */
#define WEIGHT_MAX 300

/* Weight of the samples by which an estimate is shrunk towards the service. */
#define SHRINK_WEIGHT 3

/* Weight of the samples from which an upstream counts in the decision. */
#define DECIDE_WEIGHT 6

/* Samples of one report count as this many at most.  Those of a VM that is
 * itself slow are slow together. */
#define REPORT_WEIGHT_MAX 20

/* Standard deviation of the speeds' logarithms from which they come into
 * force, and below which they end. */
#define BEGIN_SPREAD 0.25
#define END_SPREAD 0.15

/* The same as multiples of the variance of the estimates: three standard
 * deviations, and somewhat less. */
#define BEGIN_NOISE 9
#define END_NOISE 3

/* Variance of a sample that is assumed before reports show it: a factor of 1.5
 * either way, and the number of reports that the assumption counts as. */
#define SAMPLE_VARIANCE 0.16
#define PRIOR_REPORTS 10

/* Standard deviation of a normal distribution as a multiple of the median
 * distance from its median. */
#define NORMAL_DEVIATION 1.4826

/* Upstreams that no report has named for this long are forgotten. */
#define FORGET_MS 600000

static br_pooled_speed_t *
pool_item (br_speed_pool_t *pool, const br_name_t *upstream)
{
  br_pooled_speed_t fresh = { .upstream = *upstream };
  size_t at;

  if (br_name_index_find (&pool->index, br_name_str (upstream), &at))
    return &pool->list.items[at];
  br_name_index_set (&pool->index, upstream, pool->list.len);
  return br_pooled_speeds_push (&pool->list, fresh);
}

static void
item_add (br_pooled_speed_t *item, double sum, double weight)
{
  double mean = sum / weight;
  double scale;

  weight = BR_MIN (weight, REPORT_WEIGHT_MAX);
  /* Against the last report and not the mean: a speed that has changed would
   * count as noise. */
  if (item->last_weight > 0)
    {
      double distance = mean - item->last_mean;

      item->scatter
          += distance * distance / (1 / weight + 1 / item->last_weight);
      item->reports++;
    }
  item->last_mean = mean;
  item->last_weight = weight;
  item->sum += mean * weight;
  item->weight += weight;
  if (item->weight <= WEIGHT_MAX)
    return;
  scale = WEIGHT_MAX / item->weight;
  item->sum *= scale;
  item->weight *= scale;
  item->scatter *= scale;
  item->reports *= scale;
}

void
br_speed_pool_receive (br_speed_pool_t *pool,
                       const br_speed_report_t *report,
                       br_ms_t now)
{
  bool has_samples = isfinite (report->sum) && isfinite (report->weight)
                     && report->weight > 0;
  br_pooled_speed_t *item;

  if (!has_samples && report->pace == 0)
    return;
  item = pool_item (pool, &report->upstream);
  item->seen_ms = now;
  if (report->pace_age_ms >= 0 && report->pace_age_ms < BR_PACE_LIFE_MS)
    br_pace_receive (&item->pace, report->pace, now - report->pace_age_ms);
  if (has_samples)
    item_add (item, report->sum, report->weight);
}

const br_pooled_speed_t *
br_speed_pool_find (const br_speed_pool_t *pool, const br_name_t *upstream)
{
  size_t at;

  return br_name_index_find (&pool->index, br_name_str (upstream), &at)
             ? &pool->list.items[at]
             : NULL;
}

static br_pooled_service_t *
pool_service (br_speed_pool_t *pool, const br_name_t *service)
{
  br_pooled_service_t fresh = { .service = *service };

  for (size_t i = 0; i < pool->services.len; i++)
    if (br_name_equal (&pool->services.items[i].service, service))
      return &pool->services.items[i];
  return br_pooled_services_push (&pool->services, fresh);
}

/* The estimates of one service's upstreams. */
typedef struct
{
  size_t n; /* upstreams with enough samples */
  double mean;
  double spread; /* variance over the upstreams, by their median distance */
  double noise;  /* mean variance of the estimates */
} estimates_t;

static bool
item_counts (const br_pooled_speed_t *item)
{
  return item != NULL && item->weight >= DECIDE_WEIGHT;
}

static int
double_compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

/* Sorts the N values and returns their median. */
static double
median (double *values, size_t n)
{
  qsort (values, n, sizeof *values, double_compare);
  return n % 2 == 1 ? values[n / 2] : (values[n / 2 - 1] + values[n / 2]) / 2;
}

/* Returns the variance of the N values by their median distance from the
 * median.  A few engines that are busier than the rest, and therefore slower,
 * do not raise it. */
static double
median_variance (double *values, size_t n)
{
  double middle = median (values, n);
  double distance;

  for (size_t i = 0; i < n; i++)
    values[i] = fabs (values[i] - middle);
  distance = NORMAL_DEVIATION * median (values, n);
  return distance * distance;
}

static estimates_t
pool_estimate (const br_speed_pool_t *pool,
               const br_name_t *const *upstreams,
               size_t n)
{
  estimates_t estimates = { 0 };
  double *means = br_alloc_zero ((n + 1) * sizeof *means);
  double scatter = 0;
  double reports = 0;
  double per_weight = 0;

  for (size_t i = 0; i < n; i++)
    {
      const br_pooled_speed_t *item = br_speed_pool_find (pool, upstreams[i]);

      if (!item_counts (item))
        continue;
      means[estimates.n] = item->sum / item->weight;
      estimates.mean += means[estimates.n++];
      per_weight += 1 / item->weight;
      scatter += item->scatter;
      reports += item->reports;
    }
  if (estimates.n > 0)
    {
      double variance = (scatter + PRIOR_REPORTS * SAMPLE_VARIANCE)
                        / (reports + PRIOR_REPORTS);

      estimates.mean /= (double)estimates.n;
      estimates.noise = variance * per_weight / (double)estimates.n;
      estimates.spread = median_variance (means, estimates.n);
    }
  free (means);
  return estimates;
}

static bool
estimates_differ (const estimates_t *estimates, bool in_force)
{
  double spread = in_force ? END_SPREAD : BEGIN_SPREAD;
  double noise = in_force ? END_NOISE : BEGIN_NOISE;

  return estimates->n >= 2 && estimates->spread > spread * spread
         && estimates->spread > noise * estimates->noise;
}

static double
item_speed (const br_pooled_speed_t *item, double mean)
{
  double estimate = item->weight > 0 ? item->sum / item->weight - mean : 0;
  double speed = exp (estimate * item->weight / (item->weight + SHRINK_WEIGHT));

  return BR_MIN (BR_MAX (speed, BR_SPEED_MIN), BR_SPEED_MAX);
}

br_speeds_change_t
br_speed_pool_decide (br_speed_pool_t *pool,
                      const br_name_t *service,
                      const br_name_t *const *upstreams,
                      size_t n)
{
  br_pooled_service_t *state = pool_service (pool, service);
  estimates_t estimates = pool_estimate (pool, upstreams, n);
  bool was_in_force = state->in_force;

  state->in_force
      = estimates.n * 2 >= n && estimates_differ (&estimates, was_in_force);
  for (size_t i = 0; i < n; i++)
    {
      size_t at;

      if (br_name_index_find (&pool->index, br_name_str (upstreams[i]), &at))
        pool->list.items[at].speed
            = state->in_force
                  ? item_speed (&pool->list.items[at], estimates.mean)
                  : 0;
    }
  if (state->in_force == was_in_force)
    return BR_SPEEDS_UNCHANGED;
  return state->in_force ? BR_SPEEDS_BEGAN : BR_SPEEDS_ENDED;
}

size_t
br_speed_pool_n_in_force (const br_speed_pool_t *pool)
{
  size_t n = 0;

  for (size_t i = 0; i < pool->services.len; i++)
    n += pool->services.items[i].in_force ? 1 : 0;
  return n;
}

void
br_speed_pool_trim (br_speed_pool_t *pool, br_ms_t now)
{
  size_t kept = 0;

  for (size_t i = 0; i < pool->list.len; i++)
    if (now - pool->list.items[i].seen_ms < FORGET_MS)
      pool->list.items[kept++] = pool->list.items[i];
  if (kept == pool->list.len)
    return;
  pool->list.len = kept;
  br_name_index_clear (&pool->index);
  for (size_t i = 0; i < kept; i++)
    br_name_index_set (&pool->index, &pool->list.items[i].upstream, i);
}

void
br_speed_pool_release (br_speed_pool_t *pool)
{
  br_name_index_clear (&pool->index);
  br_pooled_speeds_free (&pool->list);
  br_pooled_services_free (&pool->services);
}
