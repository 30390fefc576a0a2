#include "shell/held_task.h"

#include <string.h>
#include <sys/resource.h>

#include "base/memory_size.h"

#define LOG_PERIOD_MS 1000

/* Share of the memory that may be held for callers.  100 callers with bodies of
 * 72 KB, three times that in a burst, and one body of 4 MiB hold 27 MB; a VM of
 * 120 MB has 36 MB for them, and as much again while they are sent on. */
#define MEMORY_SHARE 0.3

/* The least default, for four bodies of 4 MiB. */
#define HELD_MIN_BYTES (16 * 1024 * 1024)

/* Descriptors if the system names no limit. */
#define DESCRIPTORS_MAX 65536

struct br_held_task
{
  br_node_t *node;
  struct event *timer;
  br_held_account_t account;
  uint64_t logged[BR_HELD_COUNT];
};

static void
task_on_timer (evutil_socket_t fd, short what, void *context)
{
  br_held_task_t *task = context;
  const br_held_account_t *account = &task->account;
  uint64_t since[BR_HELD_COUNT];

  (void)fd;
  (void)what;
  if (memcmp (task->logged, account->counts, sizeof task->logged) == 0)
    return;
  for (size_t i = 0; i < BR_HELD_COUNT; i++)
    since[i] = account->counts[i] - task->logged[i];
  memcpy (task->logged, account->counts, sizeof task->logged);
  BR_LOG (&task->node->log, "held", "refused",
          br_field_int ("shed", (int64_t)since[BR_HELD_SHED]),
          br_field_int ("slow", (int64_t)since[BR_HELD_SLOW]),
          br_field_int ("silent", (int64_t)since[BR_HELD_SILENT]),
          br_field_int ("connections", (int64_t)since[BR_HELD_CONNECTIONS]),
          br_field_int ("from_head", (int64_t)since[BR_HELD_HEAD]),
          br_field_int ("excess", (int64_t)since[BR_HELD_EXCESS]),
          br_field_int ("held_bytes", (int64_t)account->bytes),
          br_field_int ("held_bytes_max", (int64_t)account->limit));
}

static size_t
descriptors_max (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return DESCRIPTORS_MAX;
  return (size_t)limit.rlim_cur;
}

static size_t
setting_or (int64_t setting, size_t fallback)
{
  return setting > 0 ? (size_t)setting : fallback;
}

br_held_task_t *
br_held_task_new (br_node_t *node)
{
  br_held_task_t *task = br_alloc_zero (sizeof *task);
  const br_settings_t *settings = &node->settings;
  br_held_account_t *account = &task->account;
  size_t share = (size_t)((double)br_memory_size () * MEMORY_SHARE);
  struct timeval period = { LOG_PERIOD_MS / 1000, 0 };

  task->node = node;
  account->limit = setting_or (settings->held_bytes_max,
                               BR_MAX (share, (size_t)HELD_MIN_BYTES));
  account->grace_ms = settings->body_grace_ms;
  account->rate_min = (size_t)settings->body_rate_min_bytes;
  account->connections_max
      = setting_or (settings->connections_max, descriptors_max () / 2);
  account->silent_max
      = setting_or (settings->silent_connections_max, descriptors_max () / 4);
  account->greeting_max
      = setting_or (settings->greeting_connections_max, descriptors_max () / 2);
  task->timer = event_new (node->base, -1, EV_PERSIST, task_on_timer, task);
  event_add (task->timer, &period);
  return task;
}

void
br_held_task_free (br_held_task_t *task)
{
  if (task == NULL)
    return;
  event_free (task->timer);
  free (task);
}

br_held_account_t *
br_held_task_account (br_held_task_t *task)
{
  return &task->account;
}
