#include "shell/work_quarantine.h"

#include "shell/route_task.h"

uint64_t
br_work_content_digest (const br_work_t *work)
{
  return br_request_content (br_name_str (&work->service),
                             br_buf_str (&work->path),
                             br_buf_str (&work->body));
}

bool
br_work_is_quarantined (br_node_t *node, const br_work_t *work, br_error_t *err)
{
  if (node->quarantine.crashes.len == 0
      || !br_quarantine_blocks (
          &node->quarantine, br_work_content_digest (work), br_node_now (node)))
    return false;
  br_counters_add (&node->counters, BR_COUNTER_QUARANTINED, 1);
  br_error_set (err, BR_ERROR_QUARANTINED, "choose upstream",
                work->service.data,
                "this request crashed several upstreams; it runs no more for "
                "%d minutes",
                BR_QUARANTINE_LIFE_MS / 60000);
  return true;
}

static br_upstream_t *
work_same_upstream (br_node_t *node, br_work_t *work)
{
  br_upstream_t *upstream;

  if (!work->same_upstream)
    return NULL;
  upstream = br_registry_find (&node->registry, br_name_str (&work->upstream));
  return upstream != NULL && upstream->state == BR_UPSTREAM_LIVE ? upstream
                                                                 : NULL;
}

static void
names_add_busy (const br_registry_t *registry, br_names_t *names)
{
  for (size_t i = 0; i < registry->upstreams.len; i++)
    if (registry->upstreams.items[i].in_flight > 0)
      br_names_push (names, registry->upstreams.items[i].name);
}

/* Returns an upstream that the quarantine does not avoid for WORK; with IDLE
 * one without requests in flight.  Returns NULL when there is none. */
static br_upstream_t *
work_choose_isolated (br_node_t *node, br_work_t *work, bool idle)
{
  br_names_t tried = { 0 };
  br_upstream_t *upstream;

  for (size_t i = 0; i < work->tried.len; i++)
    br_names_push (&tried, work->tried.items[i]);
  br_quarantine_avoid (&node->quarantine, br_work_content_digest (work),
                       &tried);
  if (idle)
    names_add_busy (&node->registry, &tried);
  upstream = br_route_task_take (node->routes, work, &tried);
  br_names_free (&tried);
  return upstream;
}

br_upstream_t *
br_work_choose (br_node_t *node, br_work_t *work)
{
  br_upstream_t *upstream = work_same_upstream (node, work);

  if (upstream != NULL)
    {
      br_route_task_take_again (node->routes, work);
      return upstream;
    }
  work->same_upstream = false;
  if (node->quarantine.crashes.len > 0
      && br_quarantine_is_suspect (&node->quarantine,
                                   br_work_content_digest (work)))
    upstream = work_choose_isolated (node, work, true);
  if (upstream == NULL && node->quarantine.runs.len > 0)
    upstream = work_choose_isolated (node, work, false);
  if (upstream != NULL)
    return upstream;
  return br_route_task_take (node->routes, work, &work->tried);
}

void
br_work_note_start (br_node_t *node, const br_work_t *work)
{
  if (node->quarantine.crashes.len > 0)
    br_quarantine_start (&node->quarantine, br_work_content_digest (work),
                         &work->upstream);
}

void
br_work_note_end (br_node_t *node, const br_work_t *work)
{
  if (node->quarantine.runs.len > 0)
    br_quarantine_end (&node->quarantine, br_work_content_digest (work));
}

void
br_work_note_answered (br_node_t *node, const br_work_t *work)
{
  if (node->quarantine.crashes.len > 0)
    br_quarantine_clear (&node->quarantine, br_work_content_digest (work));
}
