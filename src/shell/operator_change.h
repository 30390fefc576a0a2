/* Handles operators' changes of the declarations, and claims that operators
 * settle: reads and checks a request, proposes it to the replicated log, and
 * replies once its outcome is known. */
#ifndef BR_SHELL_OPERATOR_CHANGE_H
#define BR_SHELL_OPERATOR_CHANGE_H

#include <event2/http.h>

#include "shell/node.h"

BR_BEGIN_DECLS

typedef struct br_operator_change br_operator_change_t;

br_operator_change_t *br_operator_change_new (br_node_t *node);
void br_operator_change_free (br_operator_change_t *changes);

/* POST /v1/declarations?operation=ID&expect=REVISION&dry_run=1 and
 * DELETE /v1/declarations/KIND/NAME with the same query. */
void br_operator_change_apply (br_operator_change_t *changes,
                               struct evhttp_request *request);
void br_operator_change_delete (br_operator_change_t *changes,
                                struct evhttp_request *request,
                                br_str_t path);

/* POST /v1/claims/settle?key=KEY&as=STATE. */
void br_operator_change_settle (br_operator_change_t *changes,
                                struct evhttp_request *request);

/* Returns false when the proposal belongs to none of these requests. */
bool br_operator_change_on_proposal (br_operator_change_t *changes,
                                     const br_proposal_message_t *message);

/* Called when the replicated state of this VM changed. */
void br_operator_change_on_applied (br_operator_change_t *changes);

BR_END_DECLS

#endif
