/* Tracks upstreams that announced leaving to entry VMs before the platform's
 * list shows it.  The leader marks them as draining in the list. */
#include "shell/control_private.h"

/* Incarnations kept at most; a site has a few hundred upstreams. */
#define LEAVING_MAX 1024

static bool
listing_is_leaving (const br_control_task_t *task, const br_listing_t *listing)
{
  for (size_t i = 0; i < task->leaving.len; i++)
    if (task->leaving.items[i].incarnation == listing->started_ms
        && br_name_equal (&task->leaving.items[i].id, &listing->id))
      return true;
  return false;
}

static bool
listings_contain (const br_listings_t *listings,
                  const br_control_leaving_t *upstream)
{
  for (size_t i = 0; i < listings->len; i++)
    if (listings->items[i].started_ms == upstream->incarnation
        && br_name_equal (&listings->items[i].id, &upstream->id))
      return true;
  return false;
}

bool
br_control_mark_leaving (const br_control_task_t *task, br_listings_t *listings)
{
  bool changed = false;

  for (size_t i = 0; task->leaving.len > 0 && i < listings->len; i++)
    if (!listings->items[i].draining
        && listing_is_leaving (task, &listings->items[i]))
      {
        listings->items[i].draining = true;
        changed = true;
      }
  return changed;
}

void
br_control_drop_removed (br_control_task_t *task, const br_listings_t *listings)
{
  size_t kept = 0;

  for (size_t i = 0; i < task->leaving.len; i++)
    if (listings_contain (listings, &task->leaving.items[i]))
      task->leaving.items[kept++] = task->leaving.items[i];
  task->leaving.len = kept;
}

static void
task_add_leaving (br_control_task_t *task, const Br__Site__Leaving *reported)
{
  br_control_leaving_t upstream = { .incarnation = reported->incarnation };

  if (!br_name_set (&upstream.id, br_str_from (reported->id)))
    return;
  for (size_t i = 0; i < task->leaving.len; i++)
    if (task->leaving.items[i].incarnation == upstream.incarnation
        && br_name_equal (&task->leaving.items[i].id, &upstream.id))
      return;
  if (task->leaving.len < LEAVING_MAX)
    br_control_leavings_push (&task->leaving, upstream);
}

void
br_control_receive_leaving (br_control_task_t *task,
                            const Br__Site__EntryReport *report,
                            br_ms_t now)
{
  for (size_t i = 0; i < report->n_leaving; i++)
    task_add_leaving (task, report->leaving[i]);
  if (task->leads_term == 0 || task->list_term != task->leads_term
      || !br_control_mark_leaving (task, &task->listings))
    return;
  task->list_sequence++;
  br_control_discard_leaving (task);
  BR_LOG (&task->node->log, "site", "upstreams leave by their word",
          br_field_int ("sequence", (int64_t)task->list_sequence),
          br_field_int ("known", (int64_t)task->leaving.len));
  br_control_send_heartbeat (task, now);
}
