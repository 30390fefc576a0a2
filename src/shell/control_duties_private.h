/* Types and functions shared by control_duties.c and control_sizing.c. */
#ifndef BR_SHELL_CONTROL_DUTIES_PRIVATE_H
#define BR_SHELL_CONTROL_DUTIES_PRIVATE_H

#include "shell/control_private.h"
#include "site/sizing.h"

BR_BEGIN_DECLS

/* Time before a failed call is repeated, in milliseconds. */
#define CALL_RETRY_MS 600

typedef enum
{
  BR_CALL_NONE,
  BR_CALL_DECIDING,   /* the counts are being committed to the log */
  BR_CALL_CONFIRMING, /* a log round confirms the term */
  BR_CALL_POSTING,
} call_state_t;

/* The last order for one kind of VM in one failure domain. */
typedef struct
{
  int desired_count; /* number ordered; -1: no order yet */
  br_ms_t refused_until_ms;
  br_ms_t retry_ms; /* earliest time of the next order */
} order_state_t;

/* The upstreams of one service in one failure domain. */
typedef struct
{
  br_name_t service;
  br_name_t failure_domain;
  order_state_t spot;
  order_state_t on_demand;
  br_ms_t shrunk_ms;    /* when fewer reclaimable VMs were last ordered */
  br_ms_t reclaimed_ms; /* when its reclaimable VMs were last reclaimed */
} upstream_group_t;

BR_VEC (upstream_groups, upstream_group_t);

/* The smoothed load of one service. */
typedef struct
{
  br_name_t service;
  br_sizing_load_t load;
  int needed;
  int needed_now;  /* by the current load alone */
  int needed_peak; /* highest need since PEAK_MS */
  br_ms_t peak_ms;
  double requests_per_s; /* moving average */
} service_load_t;

BR_VEC (service_loads, service_load_t);

/* The order in progress. */
typedef struct
{
  upstream_group_t group; /* copy; only the names are used */
  bool spot;
  int desired_count;
} order_t;

struct br_control_duties
{
  br_control_task_t *task;
  br_ms_t last_check_ms;
  br_ms_t last_sizing_ms;
  uint64_t last_call_term; /* term in which this VM last made a call */
  bool has_called_before;  /* made a call in an earlier term */
  uint64_t term;           /* term of the state below */

  call_state_t usage_state;
  uint64_t usage_ticket;
  uint64_t usage_window; /* being reported */
  uint64_t reported;     /* newest window that the platform accepted */
  br_ms_t usage_retry_ms;

  call_state_t order_state;
  uint64_t order_ticket;
  order_t order;
  upstream_groups_t groups;
  service_loads_t loads;
};

/* Returns the holder that is sent with each call to the platform. */
br_duty_holder_t br_duties_holder (const br_control_duties_t *duties);

/* Returns whether this VM still leads the term of the duties' state. */
bool br_duties_is_current (const br_control_duties_t *duties);

/* --- control_sizing.c --- */

/* Decides how many upstreams are needed and starts an order if one is due. */
void br_duties_size_tick (br_control_duties_t *duties, br_ms_t now);

/* Sends the pending order after the log has confirmed the term. */
void br_duties_order_post (br_control_duties_t *duties);

BR_END_DECLS

#endif
