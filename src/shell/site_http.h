/* Serves operators and the balancer over HTTP at a site that the platform runs:
 * readiness, metrics, status and the site's configuration. */
#ifndef BR_SHELL_SITE_HTTP_H
#define BR_SHELL_SITE_HTTP_H

#include "shell/node.h"

BR_BEGIN_DECLS

typedef struct br_site_http br_site_http_t;

/* One of ENTRY and CONTROL is NULL, depending on the VM's role.  Returns NULL,
 * with *ERR set, when the operators' address cannot be bound. */
br_site_http_t *br_site_http_new (br_node_t *node,
                                  br_entry_task_t *entry,
                                  br_control_task_t *control,
                                  br_error_t *err);
void br_site_http_free (br_site_http_t *http);

BR_END_DECLS

#endif
