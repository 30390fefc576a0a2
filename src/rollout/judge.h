/* Judges the new version of a rollout by the answers of both versions, as they
 * come.  The leader judges the sums of all entry VMs, each entry VM its own
 * counts.
 *
 * For each route, and for all together, and for each measure, the judge holds
 * the odds that the new version is worse (an e-process).  The answers of one
 * span of time form a block.  Beside the hypothesis "worse by this much" stands
 * "both alike in this block, at whatever rate", so what hits both versions at
 * once is no evidence, and the odds of a good version reach 1 / ALPHA with a
 * probability of at most ALPHA over all looks. */
#ifndef BR_ROLLOUT_JUDGE_H
#define BR_ROLLOUT_JUDGE_H

#include "base/clock.h"
#include "rollout/answer_counts.h"

BR_BEGIN_DECLS

/* Most false alarms of the leader: rollouts of a good version that are found
 * bad, over all routes, looks and measures. */
#define BR_JUDGE_ALPHA 0.01

/* The same of one entry VM.  As up to some 300 of them judge, this keeps the
 * sum near BR_JUDGE_ALPHA. */
#define BR_JUDGE_ALPHA_ENTRY (BR_JUDGE_ALPHA / 300)

typedef enum
{
  BR_JUDGE_FAILED,  /* share of failed answers */
  BR_JUDGE_PAUSED,  /* share of streams with too long a pause */
  BR_JUDGE_SLOW,    /* relative time, at the old version's median */
  BR_JUDGE_SLOWEST, /* relative time, at its upper fifth */
  BR_JUDGE_MEASURES,
} br_judge_measure_t;

/* How much worse the new version may be: so many of the answers that were good
 * become bad. */
#define BR_JUDGE_EFFECTS 4

/* Blocks within which what one event does counts once: an upstream that crashes
 * breaks all that runs there, and the reports of it come within three blocks.
 */
#define BR_JUDGE_WINDOW 3

/* Blocks of the last second, for br_judge_is_doubtful(). */
#define BR_JUDGE_RECENT 4

/* The odds of one effect.  It may begin with any block, each of which has its
 * share of the odds beforehand. */
typedef struct
{
  double log_begun;               /* odds that it began, natural logarithm */
  double gained[BR_JUDGE_WINDOW]; /* by the last blocks, after the bound */
  double
      recent[BR_JUDGE_RECENT]; /* log factors of the last blocks, unbounded */
} br_judge_effect_t;

/* Bad answers of the new version, and how many the old one would have had, for
 * single looks.  Of one window only a bounded number counts. */
typedef struct
{
  double answers;
  double bad;
  double expected;
  double window_bad[BR_JUDGE_WINDOW];
  double window_expected[BR_JUDGE_WINDOW];
} br_judge_excess_t;

typedef struct
{
  uint64_t blocks[BR_JUDGE_MEASURES]; /* with answers of the new version */
  br_judge_effect_t of[BR_JUDGE_MEASURES][BR_JUDGE_EFFECTS];
  br_judge_excess_t excess[BR_JUDGE_MEASURES];
} br_judge_odds_t;

/* What the judge knows of one route. */
typedef struct
{
  br_name_t route;
  br_answer_counts_t seen[BR_VERSION_SIDES]; /* up to the last block */
  double old_answered; /* recent ones of the old version, decayed */
  double old_failed;
  double old_paused;
  double old_times[BR_ANSWER_BUCKETS];
  br_judge_odds_t odds;
} br_judge_route_t;

BR_VEC (br_judge_routes, br_judge_route_t);

typedef struct
{
  double alpha;
  br_judge_routes_t routes; /* in order of their first answer */
  br_judge_odds_t all;      /* all routes together */
  br_ms_t block_ms;         /* end of the last block; 0: none */
  bool is_bad;              /* for good */
  br_name_t bad_route;      /* empty: all together */
  br_judge_measure_t bad_measure;
  double bad_odds; /* natural logarithm */
} br_judge_t;

void br_judge_init (br_judge_t *judge, double alpha);
void br_judge_release (br_judge_t *judge);

/* Takes the counts so far, which never fall.  Does nothing until a block's time
 * has passed.  IS_ALONE: nearly all requests go to the new version, so it is
 * compared with what the old one did before.  Returns whether the new version
 * is bad. */
bool br_judge_look (br_judge_t *judge,
                    const br_answer_table_t *sums,
                    bool is_alone,
                    br_ms_t now);

/* Takes the counts so far without judging what came since the last block. */
void
br_judge_skip (br_judge_t *judge, const br_answer_table_t *sums, br_ms_t now);

/* Returns whether the counts so far speak against the new version by tests that
 * are meant for two looks in all: before all requests move to it, and, IS_LAST,
 * just before it is accepted for good. */
bool br_judge_is_doubtful (const br_judge_t *judge, bool is_last);

/* Returns the name of a measure for logs. */
const char *br_judge_measure_name (br_judge_measure_t measure);

BR_END_DECLS

#endif
