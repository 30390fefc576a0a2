/* The limit that an upstream names: the requests a second that it takes from
 * all entry VMs together.  An entry VM sends it requests only with permits,
 * which the leading control VM issues at that rate.  Without a leader, each
 * entry VM issues itself a part of its share. */
#ifndef BR_SITE_UPSTREAM_LIMIT_H
#define BR_SITE_UPSTREAM_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

BR_BEGIN_DECLS

/* Time from the request for permits after which they expire, in milliseconds,
 * on the clock of the requesting VM.  It bounds how many requests can come at
 * once from VMs that kept their permits. */
#define BR_PERMIT_LIFE_MS 1000

/* Batches of permits that are kept; with more, the oldest is dropped. */
#define BR_PERMIT_BATCHES 12

/* Lowest limit that is used, in requests a second.  An upstream that names a
 * lower one gets a request now and then, as only its answers can say that the
 * limit has ended. */
#define BR_LIMIT_MIN_PER_S 0.1

/* What an upstream says about its limit. */
typedef struct
{
  bool named;
  double per_s;
  br_ms_t said_ms; /* when the answer came that says so */
} br_limit_statement_t;

typedef struct
{
  uint32_t permits;
  br_ms_t until_ms;
} br_permit_batch_t;

/* The limit of one upstream, as one entry VM knows it.  An all-zero value has
 * no limit. */
typedef struct
{
  br_limit_statement_t statement;
  bool was_named;  /* it had a limit at some time */
  bool unreadable; /* the last answer's limit was no number */
  br_permit_batch_t batches[BR_PERMIT_BATCHES];
  size_t n_batches;
  uint32_t requested;      /* permits, by the newest request for them */
  br_ms_t scarce_until_ms; /* the leader issued fewer than requested */
  bool is_alone;           /* it issued itself permits at ALONE_MS */
  br_ms_t alone_ms;
  double alone_permits; /* fraction of the next one */
} br_upstream_limit_t;

/* Takes a statement unless a newer one is known.  Permits that were issued for
 * another limit are dropped.  Returns whether the limit changed. */
bool br_upstream_limit_receive (br_upstream_limit_t *limit,
                                const br_limit_statement_t *statement);

/* Returns whether a request may be sent. */
bool br_upstream_limit_admits (const br_upstream_limit_t *limit, br_ms_t now);

/* Uses up the permit of a request that is sent. */
void br_upstream_limit_take (br_upstream_limit_t *limit, br_ms_t now);

/* Returns the average rate PER_S of requests, in requests a second, after a
 * tick of TICK_MS with REQUESTS of them; 0 when the last one is long ago. */
double br_upstream_limit_update_rate (double per_s,
                                      uint32_t requests,
                                      br_ms_t tick_ms);

/* What decides how many permits an entry VM needs. */
typedef struct
{
  double per_s;      /* rate of requests that could use the upstream */
  uint32_t waiting;  /* requests that wait for a permit */
  uint32_t entries;  /* entry VMs of the site */
  br_ms_t period_ms; /* between two calls */
  double draw;       /* from 0 to 1 */
} br_permit_need_t;

/* Returns how many permits this VM needs beyond those it holds, and records
 * that it requests them. */
uint32_t br_upstream_limit_request (br_upstream_limit_t *limit,
                                    const br_permit_need_t *need,
                                    br_ms_t now);

/* Takes PERMITS that the leader issued on the request made at REQUESTED_MS. */
void br_upstream_limit_grant (br_upstream_limit_t *limit,
                              uint32_t permits,
                              br_ms_t requested_ms,
                              br_ms_t now);

/* Issues permits while no leader does.  DRAW, from 0 to 1, spreads the VMs over
 * time; calls less than a second apart share the first one's. */
void br_upstream_limit_issue_alone (br_upstream_limit_t *limit,
                                    uint32_t entries,
                                    double draw,
                                    br_ms_t now);

/* Returns whether permits are too few for the requests that come. */
bool br_upstream_limit_is_scarce (const br_upstream_limit_t *limit,
                                  br_ms_t now);

BR_END_DECLS

#endif
