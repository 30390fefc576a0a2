/* The platform's list of upstreams. */
#ifndef BR_SITE_LISTING_H
#define BR_SITE_LISTING_H

#include "base/clock.h"
#include "base/error.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t id; /* usually changes when the upstream restarts */
  br_name_t service;
  br_name_t address;
  uint16_t port;
  br_name_t failure_domain;
  br_name_t version; /* of its software; empty when not given */
  bool draining;
  bool spot;           /* on a reclaimable VM */
  uint64_t started_ms; /* Unix time of its start; 0 when not given */
  uint32_t slots;      /* requests that it runs at once */
  br_ms_t warmup_ms;   /* remaining time in which it is slow after its start */
} br_listing_t;

BR_VEC (br_listings, br_listing_t);

/* Number of skipped entries of one list that are described. */
#define BR_LIST_FAULTS_MAX 8

/* Why an entry of the list is not used. */
typedef struct
{
  int64_t position;            /* in the list, from 0 */
  br_name_t id;                /* empty when it has none that can be read */
  char why[BR_ERROR_TEXT_MAX]; /* printable */
} br_list_fault_t;

/* A list that was read.  Its entries are owned. */
typedef struct
{
  br_listings_t entries;
  size_t n_pages;
  size_t n_skipped;
  size_t n_faults;
  br_list_fault_t faults[BR_LIST_FAULTS_MAX]; /* of the first skipped ones */
} br_site_list_t;

/* Counts an entry that is not used, and describes it if there is room. */
void br_site_list_skip (br_site_list_t *list,
                        int64_t position,
                        const br_name_t *id,
                        const br_error_t *why);

/* Leaves one entry of those with the same id: the one that started last, then
 * the one that is in KNOWN, the list in force, then the first.  The others are
 * skipped.  Of equal entries the last is left, and none counts as skipped. */
void br_site_list_drop_repeats (br_site_list_t *list,
                                const br_listings_t *known);

BR_END_DECLS

#endif
