#include "rollout/judge.h"

#include <math.h>
#include <string.h>

/* Time of one block.  Several reports of each entry VM fall into it. */
#define BLOCK_MS 250

/* Most that the blocks of one window add to the logarithm of the odds.  With
 * one more failure by chance (3.2) this stays below what the least limit needs
 * (8.4). */
#define WINDOW_LOG_MAX 4.5

/* Bad answers of one window that count for single looks, beside twice the
 * expected ones. */
#define WINDOW_BAD_MAX 2.0

/* Shares of the false alarms: the odds, each of two looks, and the last second.
 */
#define ODDS_SHARE 0.4
#define LOOK_SHARE 0.25
#define SECOND_SHARE 0.1

/* Shares of the measures in these. */
static const double measure_shares[BR_JUDGE_MEASURES] = { 0.5, 0.1, 0.2, 0.2 };

/* Routes whose old version fails less than this are looked at together. */
#define CLEAN_RATE 0.02

/* Odds beforehand of an effect: half that it is there from the first block, a
 * quarter that it begins in the next FIRST_SPAN blocks, an eighth in twice as
 * many after these, and so on. */
#define FIRST_SPAN 64

/* Buckets by which the new version's times are moved down before they are
 * compared; half of the last one counts, so the factor is 1.7.  A version is
 * bad only from three times as slow, and the few upstreams of a sample may be
 * slower than the mean by up to 1.67. */
#define SLOW_MARGIN 2

/* What the old version did counts half after so many more of its answers. */
#define HISTORY_ANSWERS 2000.0

/* Answers before the first one, so that no rate is 0: one failure in 200. */
#define PRIOR_ANSWERS 40.0
#define PRIOR_RATE 0.005

/* Added to the old version's rate where it is not compared at the same time. */
#define ALONE_MARGIN 0.005

/* Answers of the old version that a comparison with its past needs. */
#define ALONE_ANSWERS_MIN 50

/* Share of good answers that the hypotheses make bad. */
static const double effects[BR_JUDGE_EFFECTS] = { 0.04, 0.12, 0.35, 0.8 };

void
br_judge_init (br_judge_t *judge, double alpha)
{
  *judge = (br_judge_t){ .alpha = alpha };
}

void
br_judge_release (br_judge_t *judge)
{
  br_judge_routes_free (&judge->routes);
}

const char *
br_judge_measure_name (br_judge_measure_t measure)
{
  switch (measure)
    {
    case BR_JUDGE_FAILED:
      return "failed answers";
    case BR_JUDGE_PAUSED:
      return "paused streams";
    case BR_JUDGE_SLOW:
      return "median time";
    case BR_JUDGE_SLOWEST:
      return "time of the slowest fifth";
    default:
      return "";
    }
}

/* One block of one measure: of N answers of each side, BAD were bad. */
typedef struct
{
  double n[BR_VERSION_SIDES];
  double bad[BR_VERSION_SIDES];
  double rate; /* of the old version, as known before the block */
} br_judge_block_t;

static double
log_likelihood (double n, double bad, double rate)
{
  return bad * log (rate) + (n - bad) * log1p (-rate);
}

/* Returns the logarithm of the factor by which the block changes the odds of an
 * effect.  Its expected value is at most 1 if both sides have the same rate,
 * whatever that is; alone, if the new version's rate is at most the old one's.
 */
static double
block_log_factor (const br_judge_block_t *block, double effect, bool is_alone)
{
  double old_rate = block->rate;
  double new_rate = old_rate + effect * (1 - old_rate);
  double n_old = is_alone ? 0 : block->n[BR_VERSION_OLD];
  double n_new = block->n[BR_VERSION_NEW];
  double both;

  if (n_new <= 0 || (n_old <= 0 && !is_alone))
    return 0;
  both = is_alone ? old_rate
                  : (n_old * old_rate + n_new * new_rate) / (n_old + n_new);
  return log_likelihood (n_new, block->bad[BR_VERSION_NEW], new_rate)
         - log_likelihood (n_new, block->bad[BR_VERSION_NEW], both)
         + (is_alone
                ? 0
                : log_likelihood (n_old, block->bad[BR_VERSION_OLD], old_rate)
                      - log_likelihood (n_old, block->bad[BR_VERSION_OLD],
                                        both));
}

/* Returns the odds beforehand that an effect begins with block N, from 0 on. */
static double
odds_beforehand (uint64_t n)
{
  double mass = 0.25;
  uint64_t span = FIRST_SPAN;

  if (n == 0)
    return 0.5;
  for (n--; n >= span && mass > 1e-9; n -= span, span *= 2)
    mass /= 2;
  return mass / (double)span;
}

static double
log_add (double a, double b)
{
  return BR_MAX (a, b) + log1p (exp (BR_MIN (a, b) - BR_MAX (a, b)));
}

/* Takes the log factors of one block. */
static void
odds_add (br_judge_odds_t *odds,
          br_judge_measure_t measure,
          const double log_factors[BR_JUDGE_EFFECTS])
{
  uint64_t n = odds->blocks[measure]++;
  double beforehand = log (odds_beforehand (n));

  for (size_t i = 0; i < BR_JUDGE_EFFECTS; i++)
    {
      br_judge_effect_t *effect = &odds->of[measure][i];
      double gain = log_factors[i];
      double left = WINDOW_LOG_MAX;

      effect->gained[n % BR_JUDGE_WINDOW] = 0;
      for (size_t j = 0; j < BR_JUDGE_WINDOW; j++)
        left -= BR_MAX (effect->gained[j], 0);
      gain = BR_MIN (gain, left);
      effect->gained[n % BR_JUDGE_WINDOW] = gain;
      effect->log_begun
          = (n == 0 ? beforehand : log_add (effect->log_begun, beforehand))
            + gain;
      effect->recent[n % BR_JUDGE_RECENT] = log_factors[i];
    }
}

static void
excess_add (br_judge_excess_t *excess,
            uint64_t n,
            double answers,
            double bad,
            double expected)
{
  size_t at = n % BR_JUDGE_WINDOW;
  double left = WINDOW_BAD_MAX;

  excess->window_bad[at] = 0;
  excess->window_expected[at] = expected;
  for (size_t i = 0; i < BR_JUDGE_WINDOW; i++)
    left += 2 * excess->window_expected[i] - excess->window_bad[i];
  bad = BR_MIN (bad, BR_MAX (left, 0));
  excess->window_bad[at] = bad;
  excess->answers += answers;
  excess->bad += bad;
  excess->expected += expected;
}

/* Returns the probability of so many bad answers, by the binomial distribution
 * with the mean rate: that of any mix of rates is narrower. */
static double
excess_chance (const br_judge_excess_t *excess)
{
  double n = BR_MAX (excess->answers, 1);
  double rate = BR_MIN (BR_MAX (excess->expected, 0.1) / n, 0.98);
  double mean = n * rate;
  double term = exp (n * log1p (-rate));
  double below = 0;

  if (mean > 200)
    return 0.5
           * erfc ((excess->bad - 0.5 - mean) / sqrt (2 * mean * (1 - rate)));
  for (double i = 0; i < floor (excess->bad) && i <= n; i++)
    {
      below += term;
      term *= (n - i) / (i + 1) * rate / (1 - rate);
    }
  return BR_MAX (1 - below, 0);
}

/* Returns the logarithm of the mean over the effects. */
static double
odds_mean (const br_judge_odds_t *odds, size_t measure)
{
  double sum = 0;

  if (odds->blocks[measure] == 0)
    return 0;
  for (size_t i = 0; i < BR_JUDGE_EFFECTS; i++)
    sum += exp (odds->of[measure][i].log_begun);
  return log (sum / BR_JUDGE_EFFECTS);
}

/* The same for the last blocks alone. */
static double
odds_recent (const br_judge_odds_t *odds, size_t measure)
{
  double sum = 0;

  for (size_t i = 0; i < BR_JUDGE_EFFECTS; i++)
    {
      double log_odds = 0;

      for (size_t j = 0; j < BR_JUDGE_RECENT; j++)
        log_odds += odds->of[measure][i].recent[j];
      sum += exp (log_odds);
    }
  return log (sum / BR_JUDGE_EFFECTS);
}

/* Returns the part of the false alarms ALPHA that the N-th set of odds has for
 * a measure.  The parts of all sets sum to less than ALPHA, however many routes
 * come. */
static double
alpha_part (double alpha, size_t n, size_t measure)
{
  return alpha * measure_shares[measure] / ((double)n * (double)(n + 1));
}

/* Declares the version bad if the N-th set of odds is over its limit. */
static void
judge_check (br_judge_t *judge,
             const br_judge_odds_t *odds,
             size_t n,
             const br_name_t *route)
{
  for (size_t i = 0; i < BR_JUDGE_MEASURES && !judge->is_bad; i++)
    {
      double mean = odds_mean (odds, i);

      if (mean < -log (alpha_part (judge->alpha * ODDS_SHARE, n, i)))
        continue;
      judge->is_bad = true;
      judge->bad_route = *route;
      judge->bad_measure = (br_judge_measure_t)i;
      judge->bad_odds = mean;
    }
}

static bool
odds_are_doubtful (const br_judge_t *judge,
                   const br_judge_odds_t *odds,
                   size_t n,
                   bool is_last)
{
  for (size_t i = 0; i < BR_JUDGE_MEASURES; i++)
    {
      const br_judge_excess_t *excess = &odds->excess[i];

      if (excess_chance (excess)
          <= alpha_part (judge->alpha * LOOK_SHARE, n, i))
        return true;
      if (is_last
          && odds_recent (odds, i)
                 >= -log (alpha_part (judge->alpha * SECOND_SHARE, n, i)))
        return true;
    }
  return false;
}

bool
br_judge_is_doubtful (const br_judge_t *judge, bool is_last)
{
  if (odds_are_doubtful (judge, &judge->all, 1, is_last))
    return true;
  for (size_t i = 0; i < judge->routes.len; i++)
    if (odds_are_doubtful (judge, &judge->routes.items[i].odds, i + 2, is_last))
      return true;
  return false;
}

/* Returns the bad answers that the new version would have if it were like the
 * old one: at the rate of both in this block or at the usual one, if that is
 * higher. */
static double
block_expected (const br_judge_block_t *block, bool is_alone)
{
  double n = block->n[BR_VERSION_OLD] + block->n[BR_VERSION_NEW];
  double bad = block->bad[BR_VERSION_OLD] + block->bad[BR_VERSION_NEW];
  double rate = block->rate;

  /* A few answers don't show a rate. */
  if (!is_alone && block->n[BR_VERSION_OLD] >= 8
      && block->n[BR_VERSION_NEW] > 0)
    rate = BR_MAX (rate, bad / n);
  return rate * block->n[BR_VERSION_NEW];
}

static br_judge_route_t *
judge_route (br_judge_t *judge, const br_name_t *name)
{
  br_judge_route_t fresh = { .route = *name };

  for (size_t i = 0; i < judge->routes.len; i++)
    if (br_name_equal (&judge->routes.items[i].route, name))
      return &judge->routes.items[i];
  return br_judge_routes_push (&judge->routes, fresh);
}

static double
sum_from (const double *times, size_t from)
{
  double sum = 0;

  for (size_t i = from; i < BR_ANSWER_BUCKETS; i++)
    sum += times[i];
  return sum;
}

static double
count_from (const uint64_t *times, size_t from)
{
  double sum = 0;

  for (size_t i = from; i < BR_ANSWER_BUCKETS; i++)
    sum += (double)times[i];
  return sum;
}

/* Fills BLOCK with the answers slower than all but SHARE of the old version's.
 * Returns false if too little is known of these. */
static bool
block_of_times (const br_judge_route_t *route,
                const br_answer_counts_t counts[BR_VERSION_SIDES],
                double share,
                br_judge_block_t *block)
{
  double total = sum_from (route->old_times, 0);
  size_t from = 1;

  if (total < 20)
    return false;
  while (from + SLOW_MARGIN < BR_ANSWER_BUCKETS - 1
         && sum_from (route->old_times, from) > share * total)
    from++;
  block->rate = (sum_from (route->old_times, from) + 0.5) / (total + 1);
  for (size_t side = 0; side < BR_VERSION_SIDES; side++)
    {
      const uint64_t *times = counts[side].times;

      block->n[side] = count_from (times, 0);
      block->bad[side]
          = side == BR_VERSION_OLD
                ? count_from (times, from)
                : count_from (times, from + SLOW_MARGIN)
                      + 0.5 * (double)times[from + SLOW_MARGIN - 1];
    }
  return true;
}

static bool
block_fill (const br_judge_route_t *route,
            const br_answer_counts_t counts[BR_VERSION_SIDES],
            br_judge_measure_t measure,
            br_judge_block_t *block)
{
  double bad
      = measure == BR_JUDGE_FAILED ? route->old_failed : route->old_paused;

  if (measure == BR_JUDGE_SLOW)
    return block_of_times (route, counts, 0.5, block);
  if (measure == BR_JUDGE_SLOWEST)
    return block_of_times (route, counts, 0.2, block);
  block->rate = (bad + PRIOR_RATE * PRIOR_ANSWERS)
                / (route->old_answered + PRIOR_ANSWERS);
  for (size_t side = 0; side < BR_VERSION_SIDES; side++)
    {
      block->n[side] = (double)counts[side].answered;
      block->bad[side]
          = (double)(measure == BR_JUDGE_FAILED ? counts[side].failed
                                                : counts[side].paused);
    }
  return true;
}

/* Adds the old version's answers of a block to what is known of it. */
static void
route_learn (br_judge_route_t *route, const br_answer_counts_t *old)
{
  double keep = exp2 (-(double)old->answered / HISTORY_ANSWERS);

  route->old_answered = route->old_answered * keep + (double)old->answered;
  route->old_failed = route->old_failed * keep + (double)old->failed;
  route->old_paused = route->old_paused * keep + (double)old->paused;
  for (size_t i = 0; i < BR_ANSWER_BUCKETS; i++)
    route->old_times[i] = route->old_times[i] * keep + (double)old->times[i];
}

/* Sums of the logarithms over all routes in one block. */
typedef struct
{
  bool has_answers[BR_JUDGE_MEASURES];
  double log_factors[BR_JUDGE_MEASURES][BR_JUDGE_EFFECTS];
  double answers[BR_JUDGE_MEASURES]; /* on clean routes */
  double bad[BR_JUDGE_MEASURES];
  double expected[BR_JUDGE_MEASURES];
} br_judge_sums_t;

/* Sets COUNTS to the answers since the last block. */
static void
route_take (br_judge_route_t *route,
            const br_route_answers_t *answers,
            br_answer_counts_t counts[BR_VERSION_SIDES])
{
  for (size_t side = 0; side < BR_VERSION_SIDES; side++)
    {
      counts[side] = answers->of[side];
      br_answer_counts_subtract (&counts[side], &route->seen[side]);
      route->seen[side] = answers->of[side];
    }
}

static void
judge_look_at_route (br_judge_t *judge,
                     const br_route_answers_t *answers,
                     bool is_alone,
                     br_judge_sums_t *all)
{
  br_judge_route_t *route = judge_route (judge, &answers->route);
  br_answer_counts_t counts[BR_VERSION_SIDES];

  route_take (route, answers, counts);
  if (is_alone && route->old_answered < ALONE_ANSWERS_MIN)
    return;
  for (size_t i = 0; i < BR_JUDGE_MEASURES; i++)
    {
      br_judge_block_t block = { 0 };

      double log_factors[BR_JUDGE_EFFECTS];
      double expected;

      if (!block_fill (route, counts, (br_judge_measure_t)i, &block)
          || block.n[BR_VERSION_NEW] <= 0)
        continue;
      /* The rate before is not known exactly: one standard error more. */
      if (is_alone)
        block.rate
            += ALONE_MARGIN
               + sqrt (block.rate / (route->old_answered + PRIOR_ANSWERS));
      block.rate = BR_MIN (block.rate, 0.98);
      for (size_t j = 0; j < BR_JUDGE_EFFECTS; j++)
        {
          log_factors[j] = block_log_factor (&block, effects[j], is_alone);
          all->log_factors[i][j] += log_factors[j];
        }
      all->has_answers[i] = true;
      expected = block_expected (&block, is_alone);
      excess_add (&route->odds.excess[i], route->odds.blocks[i],
                  block.n[BR_VERSION_NEW], block.bad[BR_VERSION_NEW], expected);
      if (block.rate < CLEAN_RATE || i >= BR_JUDGE_SLOW)
        {
          all->answers[i] += block.n[BR_VERSION_NEW];
          all->bad[i] += block.bad[BR_VERSION_NEW];
          all->expected[i] += expected;
        }
      odds_add (&route->odds, (br_judge_measure_t)i, log_factors);
    }
  route_learn (route, &counts[BR_VERSION_OLD]);
}

bool
br_judge_look (br_judge_t *judge,
               const br_answer_table_t *sums,
               bool is_alone,
               br_ms_t now)
{
  static const br_name_t all_routes = { 0 };
  br_judge_sums_t all = { 0 };

  if (judge->is_bad
      || (judge->block_ms != 0 && now - judge->block_ms < BLOCK_MS))
    return judge->is_bad;
  judge->block_ms = now;
  for (size_t i = 0; i < sums->len; i++)
    judge_look_at_route (judge, &sums->items[i], is_alone, &all);
  for (size_t i = 0; i < BR_JUDGE_MEASURES; i++)
    if (all.has_answers[i])
      {
        excess_add (&judge->all.excess[i], judge->all.blocks[i], all.answers[i],
                    all.bad[i], all.expected[i]);
        odds_add (&judge->all, (br_judge_measure_t)i, all.log_factors[i]);
      }
  judge_check (judge, &judge->all, 1, &all_routes);
  for (size_t i = 0; i < judge->routes.len; i++)
    judge_check (judge, &judge->routes.items[i].odds, i + 2,
                 &judge->routes.items[i].route);
  return judge->is_bad;
}

void
br_judge_skip (br_judge_t *judge, const br_answer_table_t *sums, br_ms_t now)
{
  br_answer_counts_t counts[BR_VERSION_SIDES];

  judge->block_ms = now;
  for (size_t i = 0; i < sums->len; i++)
    route_take (judge_route (judge, &sums->items[i].route), &sums->items[i],
                counts);
}
