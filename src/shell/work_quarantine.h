/* Applies the quarantine to work: refuses content that crashed upstreams and
 * chooses the upstream of the next attempt. */
#ifndef BR_SHELL_WORK_QUARANTINE_H
#define BR_SHELL_WORK_QUARANTINE_H

#include "shell/work_task.h"

BR_BEGIN_DECLS

/* Returns a digest of service, path and body.  A resend of the same request has
 * the same digest. */
uint64_t br_work_content_digest (const br_work_t *work);

/* Returns whether the quarantine blocks the content of WORK because it crashed
 * upstreams.  *ERR is then set to the error for the caller. */
bool br_work_is_quarantined (br_node_t *node,
                             const br_work_t *work,
                             br_error_t *err);

/* Like br_route_task_take(), but keeps the same upstream after its connection
 * stalled, and prefers an idle upstream for work suspected of a crash. */
br_upstream_t *br_work_choose (br_node_t *node, br_work_t *work);

/* Records in the quarantine that an attempt starts, or has ended. */
void br_work_note_start (br_node_t *node, const br_work_t *work);
void br_work_note_end (br_node_t *node, const br_work_t *work);

/* Clears the content of WORK of suspicion: its answer is complete. */
void br_work_note_answered (br_node_t *node, const br_work_t *work);

BR_END_DECLS

#endif
