/* The inside of the duties, which control_duties.c and control_sizing.c
 * share. */
#ifndef BR_SHELL_CONTROL_DUTIES_PRIVATE_H
#define BR_SHELL_CONTROL_DUTIES_PRIVATE_H

#include "shell/control_private.h"
#include "site/sizing.h"

BR_BEGIN_DECLS

/* A call that failed is made again after this time, in milliseconds. */
#define CALL_AGAIN_MS 600

typedef enum
{
  BR_CALL_NONE,
  BR_CALL_DECIDING,   /* the counts are being fixed in the log */
  BR_CALL_CONFIRMING, /* a round of the log confirms the term */
  BR_CALL_POSTING,
} call_state_t;

/* What was ordered in one failure domain, of one kind. */
typedef struct
{
  int wanted; /* -1: nothing yet */
  br_ms_t refused_until_ms;
  br_ms_t retry_ms; /* no order before */
} order_state_t;

typedef struct
{
  br_name_t service;
  br_name_t failure_domain;
  order_state_t spot;
  order_state_t on_demand;
  br_ms_t shrunk_ms;    /* when fewer reclaimable VMs were last ordered */
  br_ms_t reclaimed_ms; /* when its reclaimable VMs were last seen leaving */
} place_t;

BR_VEC (places, place_t);

/* The load of one service, averaged. */
typedef struct
{
  br_name_t service;
  br_sizing_load_t load;
  int needed;
  int needed_now;  /* without foresight */
  int needed_peak; /* of the time since PEAK_MS */
  br_ms_t peak_ms;
} service_load_t;

BR_VEC (service_loads, service_load_t);

/* An order that is under way. */
typedef struct
{
  place_t place; /* copy of its names */
  bool spot;
  int wanted;
} order_t;

struct br_control_duties
{
  br_control_task_t *task;
  br_ms_t last_check_ms;
  br_ms_t size_ms;
  uint64_t acted_term; /* in which this VM last made a call */
  bool has_acted;      /* in a term before this one */
  uint64_t term;       /* for which the state below holds */

  call_state_t usage_state;
  uint64_t usage_ticket;
  uint64_t usage_window; /* being reported */
  uint64_t reported;     /* newest window that was accepted */
  br_ms_t usage_retry_ms;

  call_state_t order_state;
  uint64_t order_ticket;
  order_t order;
  places_t places;
  service_loads_t loads;
};

/* Who acts, for the platform. */
br_duty_holder_t br_duties_holder (const br_control_duties_t *duties);

/* Whether this VM still leads in the term that a call was begun in. */
bool br_duties_is_current (const br_control_duties_t *duties);

/* --- control_sizing.c --- */

/* Decides how many upstreams are needed, and begins an order. */
void br_duties_size_tick (br_control_duties_t *duties, br_ms_t now);

/* The log has confirmed the term: sends the order that waits for it. */
void br_duties_order_post (br_control_duties_t *duties);

BR_END_DECLS

#endif
