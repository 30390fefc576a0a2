/* What the quarantine and silent connections mean for work: which content may
 * not run, and where an attempt goes next. */
#ifndef BR_SHELL_WORK_QUARANTINE_H
#define BR_SHELL_WORK_QUARANTINE_H

#include "shell/work_task.h"

BR_BEGIN_DECLS

/* Returns the digest that a resend of the same request has as well. */
uint64_t br_work_content (const br_work_t *work);

/* Whether the content of WORK has crashed upstreams; *ERR is then the final
 * answer. */
bool br_work_is_quarantined (br_node_t *node,
                             const br_work_t *work,
                             br_error_t *err);

/* Like br_route_task_take(), but keeps to the upstream whose connection went
 * silent, and suspects apart from other work where there is room. */
br_upstream_t *br_work_choose (br_node_t *node, br_work_t *work);

/* An attempt starts, or has ended. */
void br_work_note_start (br_node_t *node, const br_work_t *work);
void br_work_note_end (br_node_t *node, const br_work_t *work);

/* WORK was answered whole. */
void br_work_note_answered (br_node_t *node, const br_work_t *work);

BR_END_DECLS

#endif
