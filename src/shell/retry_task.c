#include "shell/retry_task.h"

#include "shell/work_task.h"

#define MS_PER_S 1000
#define US_PER_MS 1000

/* Period in which work without an upstream is retried. */
#define NO_UPSTREAM_RETRY_MS 100

/* A retry that is scheduled. */
typedef struct pending
{
  br_retry_task_t *task;
  uint64_t work;
  struct event *timer;
  struct pending *next;
} pending_t;

struct br_retry_task
{
  br_node_t *node;
  br_retry_budget_t budget;
  pending_t *pending;
};

static void
pending_free (pending_t *pending)
{
  pending_t **at = &pending->task->pending;

  while (*at != pending)
    at = &(*at)->next;
  *at = pending->next;
  event_free (pending->timer);
  free (pending);
}

static void
pending_on_timer (evutil_socket_t fd, short what, void *context)
{
  pending_t *pending = context;
  br_work_task_t *works = pending->task->node->works;
  uint64_t work = pending->work;

  (void)fd;
  (void)what;
  pending_free (pending);
  br_work_task_retry (works, work);
}

static void
task_schedule (br_retry_task_t *task, uint64_t work, br_ms_t wait_ms)
{
  struct timeval delay = { wait_ms / MS_PER_S, wait_ms % MS_PER_S * US_PER_MS };
  pending_t *pending = br_alloc_zero (sizeof *pending);

  pending->task = task;
  pending->work = work;
  pending->timer = evtimer_new (task->node->base, pending_on_timer, pending);
  pending->next = task->pending;
  task->pending = pending;
  event_add (pending->timer, &delay);
}

bool
br_retry_task_failed (br_retry_task_t *task,
                      uint64_t work,
                      const br_retry_query_t *query)
{
  br_node_t *node = task->node;
  br_retry_decision_t decision = br_retry_decide (
      &task->budget, query, &node->random, br_node_now (node));

  if (decision.retry)
    task_schedule (task, work, decision.wait_ms);
  return decision.retry;
}

void
br_retry_task_wait (br_retry_task_t *task, uint64_t work)
{
  task_schedule (task, work, NO_UPSTREAM_RETRY_MS);
}

void
br_retry_task_success (br_retry_task_t *task)
{
  br_retry_budget_success (&task->budget, br_node_now (task->node));
}

br_retry_task_t *
br_retry_task_new (br_node_t *node)
{
  br_retry_task_t *task = br_alloc_zero (sizeof *task);

  task->node = node;
  br_retry_budget_init (&task->budget, br_node_now (node));
  return task;
}

void
br_retry_task_free (br_retry_task_t *task)
{
  if (task == NULL)
    return;
  while (task->pending != NULL)
    pending_free (task->pending);
  free (task);
}
