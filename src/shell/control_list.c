/* Handles the platform's list of upstreams on the leading control VM. */
#include "shell/control_private.h"
#include "shell/list_log.h"

static bool
listing_equal (const br_listing_t *a, const br_listing_t *b)
{
  return br_name_equal (&a->id, &b->id)
         && br_name_equal (&a->service, &b->service)
         && br_name_equal (&a->address, &b->address) && a->port == b->port
         && a->draining == b->draining && a->started_ms == b->started_ms
         && a->spot == b->spot && br_name_equal (&a->version, &b->version);
}

static bool
listings_equal (const br_listings_t *a, const br_listings_t *b)
{
  if (a->len != b->len)
    return false;
  for (size_t i = 0; i < a->len; i++)
    if (!listing_equal (&a->items[i], &b->items[i]))
      return false;
  return true;
}

static void
listings_copy (br_listings_t *to, const br_listings_t *from)
{
  br_listings_clear (to);
  for (size_t i = 0; i < from->len; i++)
    br_listings_push (to, from->items[i]);
}

/* Puts a new list in force; returns false if it equals the previous one. */
static bool
task_take_list (br_control_task_t *task, const br_listings_t *listings)
{
  br_listings_t marked = { 0 };
  bool changed;

  br_control_drop_removed (task, listings);
  listings_copy (&marked, listings);
  br_control_mark_leaving (task, &marked);
  changed = task->list_term != task->leads_term
            || !listings_equal (&task->listings, &marked);
  if (changed)
    listings_copy (&task->listings, &marked);
  br_listings_free (&marked);
  return changed;
}

void
br_control_on_list (void *context, br_site_list_t *list, const br_error_t *err)
{
  br_control_task_t *task = context;
  const br_listings_t *listings;

  task->reading_list = false;
  if (list == NULL)
    {
      br_list_log_unreadable (task->node, &task->list_reports, err);
      return;
    }
  if (task->leads_term == 0)
    return;
  br_site_list_drop_repeats (list, &task->listings);
  br_list_log_skipped (task->node, &task->list_reports, list);
  listings = &list->entries;
  task->list_as_of_ms = task->list_requested_ms;
  br_version_history_update (&task->history, listings,
                             br_node_now (task->node));
  if (!task_take_list (task, listings))
    return;
  br_control_discard_leaving (task);
  task->list_sequence
      = task->list_term == task->leads_term ? task->list_sequence + 1 : 1;
  task->list_term = task->leads_term;
  BR_LOG (&task->node->log, "site", "upstreams listed",
          br_field_int ("term", (int64_t)task->list_term),
          br_field_int ("sequence", (int64_t)task->list_sequence),
          br_field_int ("upstreams", (int64_t)listings->len),
          br_field_int ("skipped", (int64_t)list->n_skipped));
  br_control_send_heartbeat (task, br_node_now (task->node));
}
