/* The shell of admission: feeds it the declarations, requests, digests and the
 * clock, and passes its decisions on.
 *
 * A request asks before it is accepted as work.  When it is let in, the ticket
 * goes with the work: the work starts when br_admit_task_may_start() says so,
 * and br_admit_task_done() ends the ticket. */
#ifndef BR_SHELL_ADMIT_TASK_H
#define BR_SHELL_ADMIT_TASK_H

#include "shell/node.h"

BR_BEGIN_DECLS

br_admit_task_t *br_admit_task_new (br_node_t *node);
void br_admit_task_free (br_admit_task_t *task);

/* Asks for a request of ORGANISATION that costs about TOKENS prompt and answer
 * tokens.  Returns its ticket, or 0 with
 * *ERR set (BR_ERROR_LIMITED or BR_ERROR_UNAVAILABLE, and when to come back)
 * when it is refused at once. */
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

/* The work of TICKET has ended, or its caller gave up while it waited. */
void br_admit_task_done (br_admit_task_t *task, uint64_t ticket);

/* Sets how many requests of SERVICE may run from this VM at once, and how many
 * of them for organisations that have more than their part running; UINT64_MAX
 * when it is not known. */
void br_admit_task_set_capacity (br_admit_task_t *task,
                                 const br_name_t *service,
                                 uint64_t max,
                                 uint64_t unreserved);

/* New declarations are in force. */
void br_admit_task_on_catalog (br_admit_task_t *task);

/* Another VM of the failure domain sent a digest. */
void br_admit_task_on_peer (br_admit_task_t *task,
                            const br_peer_message_t *message);

BR_END_DECLS

#endif
