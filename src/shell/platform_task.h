/* The platform: its VM list, which lags, its reclaim notices, and its cloud
 * API.  Published over HTTP and JSON; see docs/design/membership.md. */
#ifndef BR_SHELL_PLATFORM_TASK_H
#define BR_SHELL_PLATFORM_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

/* One kind of VM that can be had. */
typedef struct
{
  br_name_t machine_class;
  br_name_t failure_domain;
  bool reclaimable;
  uint32_t price; /* cost units for an hour */
} br_offer_t;

BR_VEC (br_offers, br_offer_t);

/* Outcome of an order to the cloud API.  DONE is called once. */
typedef struct
{
  int status; /* of HTTP; 0: no answer, so it may have been done */
  br_str_t body;
} br_platform_answer_t;

typedef void (*br_platform_cb_t) (void *context,
                                  const br_platform_answer_t *answer);

/* Returns NULL when the settings name no platform. */
br_platform_task_t *br_platform_task_new (br_node_t *node);
void br_platform_task_free (br_platform_task_t *task);

/* The offers of the last reading, cheapest first. */
const br_offers_t *br_platform_task_offers (const br_platform_task_t *task);

/* Asks for a VM; 409 means that the start was refused.  DONE may be NULL. */
void br_platform_task_start_vm (br_platform_task_t *task,
                                const br_offer_t *offer,
                                br_platform_cb_t done,
                                void *context);
void br_platform_task_stop_vm (br_platform_task_t *task,
                               const br_name_t *vm,
                               br_platform_cb_t done,
                               void *context);

BR_END_DECLS

#endif
