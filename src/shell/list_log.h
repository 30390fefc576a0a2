/* Logs and counts the faults of the platform's list. */
#ifndef BR_SHELL_LIST_LOG_H
#define BR_SHELL_LIST_LOG_H

#include "shell/node.h"
#include "site/list_report.h"
#include "site/listing.h"

BR_BEGIN_DECLS

void br_list_log_skipped (br_node_t *node,
                          br_list_reports_t *reports,
                          const br_site_list_t *list);
void br_list_log_unreadable (br_node_t *node,
                             br_list_reports_t *reports,
                             const br_error_t *err);

BR_END_DECLS

#endif
