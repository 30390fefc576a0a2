/* Replies to operators' queries: declarations, claims and the status of this
 * VM. */
#ifndef BR_SHELL_OPERATOR_VIEW_H
#define BR_SHELL_OPERATOR_VIEW_H

#include <event2/http.h>

#include "shell/operator_catalog.h"

BR_BEGIN_DECLS

/* GET /v1/declarations?kind=KIND&selector=SELECTOR; the selector is matched
 * against a declaration's labels with `kind` and `name` added. */
void br_operator_view_declarations (br_node_t *node,
                                    struct evhttp_request *request);

/* GET /v1/claims?state=STATE; without a state, the unknown ones. */
void br_operator_view_claims (br_node_t *node, struct evhttp_request *request);

/* GET /v1/status */
void br_operator_view_status (br_node_t *node,
                              const br_operator_catalog_t *catalog,
                              struct evhttp_request *request);

BR_END_DECLS

#endif
