/* Polls the platform's VM list, which lags behind, and its reclaim notices, and
 * calls its cloud API, all as JSON over HTTP; see docs/design/membership.md. */
#ifndef BR_SHELL_PLATFORM_TASK_H
#define BR_SHELL_PLATFORM_TASK_H

#include "shell/node.h"
#include "upstream/vm_list.h"

BR_BEGIN_DECLS

/* The answer to an order to the cloud API.  The callback is called once. */
typedef struct
{
  int status; /* HTTP status; 0: no answer, the order may have taken effect */
  br_str_t body;
} br_platform_answer_t;

typedef void (*br_platform_cb_t) (void *context,
                                  const br_platform_answer_t *answer);

/* Returns NULL when the settings name no platform. */
br_platform_task_t *br_platform_task_new (br_node_t *node);
void br_platform_task_free (br_platform_task_t *task);

/* Returns the offers of the last poll, cheapest first. */
const br_offers_t *br_platform_task_offers (const br_platform_task_t *task);

/* Orders the start of a VM.  Status 409 means that the platform refused it.
 * DONE may be NULL. */
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
