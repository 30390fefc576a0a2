/* The paces and speeds of all upstreams at a control VM, out of the reports of
 * all entry VMs.  The leader decides from them which speeds are in force. */
#ifndef BR_SPEED_SPEED_POOL_H
#define BR_SPEED_SPEED_POOL_H

#include "base/name_index.h"
#include "base/vec.h"
#include "speed/speed_view.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t upstream;
  br_pace_t pace;
  double sum;     /* of samples, weighted; logarithms */
  double weight;  /* of them */
  double scatter; /* sum of the variances of a sample that pairs of successive
                   * reports show */
  double reports; /* pairs that SCATTER is over */
  double last_mean;
  double last_weight; /* of the last report; 0: none */
  double speed;       /* in force; 0: none */
  br_ms_t seen_ms;
} br_pooled_speed_t;

typedef struct
{
  br_name_t service;
  bool in_force; /* its upstreams' speeds differ by more than noise */
} br_pooled_service_t;

BR_VEC (br_pooled_speeds, br_pooled_speed_t);
BR_VEC (br_pooled_services, br_pooled_service_t);

/* An all-zero value is empty. */
typedef struct
{
  br_pooled_speeds_t list;
  br_name_index_t index;
  br_pooled_services_t services;
} br_speed_pool_t;

/* What an entry VM reports of one upstream. */
typedef struct
{
  br_name_t upstream;
  uint32_t pace; /* in percent; 0: none */
  br_ms_t pace_age_ms;
  double sum;
  double weight;
} br_speed_report_t;

void br_speed_pool_receive (br_speed_pool_t *pool,
                            const br_speed_report_t *report,
                            br_ms_t now);

/* Returns what is known of the upstream, or NULL. */
const br_pooled_speed_t *br_speed_pool_find (const br_speed_pool_t *pool,
                                             const br_name_t *upstream);

typedef enum
{
  BR_SPEEDS_UNCHANGED,
  BR_SPEEDS_BEGAN, /* the service's speeds are in force from now on */
  BR_SPEEDS_ENDED,
} br_speeds_change_t;

/* Decides whether the speeds of the service's N listed upstreams are in force,
 * and sets them. */
br_speeds_change_t br_speed_pool_decide (br_speed_pool_t *pool,
                                         const br_name_t *service,
                                         const br_name_t *const *upstreams,
                                         size_t n);

/* Returns the number of services whose speeds are in force. */
size_t br_speed_pool_n_in_force (const br_speed_pool_t *pool);

/* Forgets upstreams that no report has named for a long time. */
void br_speed_pool_trim (br_speed_pool_t *pool, br_ms_t now);
void br_speed_pool_release (br_speed_pool_t *pool);

BR_END_DECLS

#endif
