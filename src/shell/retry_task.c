#include "shell/retry_task.h"

#include "shell/work_task.h"

#define MS_PER_S 1000
#define US_PER_MS 1000

/* How often work without an upstream looks for one. */
#define NO_UPSTREAM_MS 100

/* A retry that waits for its time. */
typedef struct waiting
{
  br_retry_task_t *task;
  uint64_t work;
  struct event *timer;
  struct waiting *next;
} waiting_t;

struct br_retry_task
{
  br_node_t *node;
  br_retry_budget_t budget;
  waiting_t *waiting;
};

static void
waiting_free (waiting_t *waiting)
{
  waiting_t **at = &waiting->task->waiting;

  while (*at != waiting)
    at = &(*at)->next;
  *at = waiting->next;
  event_free (waiting->timer);
  free (waiting);
}

static void
waiting_on_timer (evutil_socket_t fd, short what, void *context)
{
  waiting_t *waiting = context;
  br_work_task_t *works = waiting->task->node->works;
  uint64_t work = waiting->work;

  (void)fd;
  (void)what;
  waiting_free (waiting);
  br_work_task_retry (works, work);
}

static void
task_add (br_retry_task_t *task, uint64_t work, br_ms_t wait_ms)
{
  struct timeval delay = { wait_ms / MS_PER_S, wait_ms % MS_PER_S * US_PER_MS };
  waiting_t *waiting = br_alloc_zero (sizeof *waiting);

  waiting->task = task;
  waiting->work = work;
  waiting->timer = evtimer_new (task->node->base, waiting_on_timer, waiting);
  waiting->next = task->waiting;
  task->waiting = waiting;
  event_add (waiting->timer, &delay);
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
    task_add (task, work, decision.wait_ms);
  return decision.retry;
}

void
br_retry_task_wait (br_retry_task_t *task, uint64_t work)
{
  task_add (task, work, NO_UPSTREAM_MS);
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
  while (task->waiting != NULL)
    waiting_free (task->waiting);
  free (task);
}
