/* Connects admission to the event loop: passes it the declarations, requests,
 * digests and the time, and carries out its decisions.
 *
 * A request is checked before it is accepted as work.  When it is not refused,
 * its work keeps the ticket.  The work starts when br_admit_task_may_start()
 * returns true or br_work_task_admitted() is called; br_admit_task_done() ends
 * the ticket. */
#ifndef BR_SHELL_ADMIT_TASK_H
#define BR_SHELL_ADMIT_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

br_admit_task_t *br_admit_task_new (br_node_t *node);
void br_admit_task_free (br_admit_task_t *task);

/* Requests admission for a request of ORGANISATION that costs about TOKENS
 * prompt and answer tokens.  Returns its ticket.  When the request is refused
 * at once, returns 0 with *ERR set to BR_ERROR_LIMITED or BR_ERROR_UNAVAILABLE
 * and a retry-after time. */
uint64_t br_admit_task_request (br_admit_task_t *task,
                                const br_organisation_t *organisation,
                                const br_service_t *service,
                                uint64_t tokens,
                                br_error_t *err);

/* Returns whether the work with TICKET may start now.  Otherwise
 * br_work_task_admitted() or br_work_task_refused() is called for WORK later.
 * Ticket 0 may always start. */
bool
br_admit_task_may_start (br_admit_task_t *task, uint64_t ticket, uint64_t work);

/* Ends TICKET: its work has ended, or its caller disconnected while it waited.
 */
void br_admit_task_done (br_admit_task_t *task, uint64_t ticket);

/* Sets how many requests of SERVICE may run from this VM at once (MAX), and how
 * many of them may be for organisations that exceed their share (UNRESERVED).
 * UINT64_MAX stands for an unknown number. */
void br_admit_task_set_capacity (br_admit_task_t *task,
                                 const br_name_t *service,
                                 uint64_t max,
                                 uint64_t unreserved);

/* Applies new declarations. */
void br_admit_task_on_catalog (br_admit_task_t *task);

/* Handles a digest from another VM of the failure domain. */
void br_admit_task_on_peer (br_admit_task_t *task,
                            const br_peer_message_t *message);

BR_END_DECLS

#endif
