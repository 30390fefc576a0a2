/* An upstream's entry in the platform's list of VMs. */
#ifndef BR_SITE_LISTING_H
#define BR_SITE_LISTING_H

#include "base/clock.h"
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

BR_END_DECLS

#endif
