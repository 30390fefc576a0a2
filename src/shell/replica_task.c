#include "shell/replica_task.h"

#include "state/state.h"

struct br_replica_task
{
  br_node_t *node;
  uint64_t last_ticket;
  uint64_t last_index;
};

br_replica_task_t *
br_replica_task_new (br_node_t *node, br_error_t *err)
{
  br_replica_task_t *task = br_alloc_zero (sizeof *task);

  (void)err;
  task->node = node;
  return task;
}

void
br_replica_task_free (br_replica_task_t *task)
{
  free (task);
}

static void
task_answer (br_replica_task_t *task, uint64_t ticket, br_buf_t result)
{
  br_node_message_t message = { .kind = BR_NODE_PROPOSAL };

  message.proposal.ticket = ticket;
  message.proposal.outcome = BR_PROPOSAL_COMMITTED;
  message.proposal.result = result;
  br_node_post (task->node, message);
}

uint64_t
br_replica_task_propose (br_replica_task_t *task, br_str_t command)
{
  br_node_message_t applied = { .kind = BR_NODE_APPLIED };
  br_buf_t result = { 0 };

  br_state_apply (task->node->state, ++task->last_index, command, &result);
  applied.index = task->last_index;
  br_node_post (task->node, applied);
  task_answer (task, ++task->last_ticket, result);
  return task->last_ticket;
}

uint64_t
br_replica_task_read (br_replica_task_t *task)
{
  task_answer (task, ++task->last_ticket, (br_buf_t){ 0 });
  return task->last_ticket;
}
