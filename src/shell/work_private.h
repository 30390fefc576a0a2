/* Declarations that the files of the work task share. */
#ifndef BR_SHELL_WORK_PRIVATE_H
#define BR_SHELL_WORK_PRIVATE_H

#include "route/resend.h"
#include "shell/work_table.h"

BR_BEGIN_DECLS

struct br_work_task
{
  br_node_t *node;
  br_work_table_t *table;
  br_resends_t *resends;
  uint64_t last_number;
  size_t in_progress;
  struct event *sweep;
};

/* Adds empty work.  When CONTRACT is NULL, the work gets a new contract of this
 * VM. */
br_work_t *br_work_add (br_work_task_t *task, const br_contract_id_t *contract);

/* Chooses an upstream and sends WORK to it.  Schedules a retry, starts the
 * claim of work that runs once, or fails the work. */
void br_work_try (br_work_task_t *task, br_work_t *work);
void br_work_end (br_work_task_t *task, br_work_t *work, br_work_state_t state);
void
br_work_fail (br_work_task_t *task, br_work_t *work, const br_error_t *err);

/* Ends the accounting of the last attempt of WORK in routing, quarantine and
 * registry.  Does not cancel the attempt. */
void br_work_detach_attempt (br_work_task_t *task, br_work_t *work);

BR_END_DECLS

#endif
