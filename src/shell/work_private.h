/* Inside of the work task: what its files share. */
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

/* Adds empty work; without CONTRACT it gets one of this VM. */
br_work_t *br_work_add (br_work_task_t *task, const br_contract_id_t *contract);

/* Looks for an upstream and sends WORK to it, or fails it. */
void br_work_try (br_work_task_t *task, br_work_t *work);
void br_work_end (br_work_task_t *task, br_work_t *work, br_work_state_t state);
void
br_work_fail (br_work_task_t *task, br_work_t *work, const br_error_t *err);

/* Forgets the attempt that runs, or ran. */
void br_work_drop_attempt (br_work_task_t *task, br_work_t *work);

BR_END_DECLS

#endif
