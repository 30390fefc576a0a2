#include "shell/list_log.h"

void
br_list_log_skipped (br_node_t *node,
                     br_list_reports_t *reports,
                     const br_site_list_t *list)
{
  br_counters_add (&node->counters, BR_COUNTER_LIST_ENTRIES_SKIPPED,
                   list->n_skipped);
  for (size_t i = 0; i < list->n_faults; i++)
    {
      const br_list_fault_t *fault = &list->faults[i];

      if (br_list_reports_take (reports, br_name_str (&fault->id),
                                br_str_from (fault->why), br_node_now (node)))
        BR_LOG (&node->log, "site", "list entry skipped",
                br_field_int ("position", fault->position),
                br_field_str ("id", br_name_str (&fault->id)),
                br_field_z ("why", fault->why),
                br_field_int ("skipped", (int64_t)list->n_skipped),
                br_field_int ("upstreams", (int64_t)list->entries.len));
    }
}

void
br_list_log_unreadable (br_node_t *node,
                        br_list_reports_t *reports,
                        const br_error_t *err)
{
  br_counters_add (&node->counters, BR_COUNTER_LISTS_UNREADABLE, 1);
  if (br_list_reports_take (reports, (br_str_t){ 0 }, br_str_from (err->text),
                            br_node_now (node)))
    br_log_error (&node->log, "site", "list_unreadable", err);
}
