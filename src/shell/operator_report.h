/* Evaluates a change of the declarations on this VM: lists what each selector
 * matches before and after it, and detects faults. */
#ifndef BR_SHELL_OPERATOR_REPORT_H
#define BR_SHELL_OPERATOR_REPORT_H

#include "shell/node.h"
#include "shell/operator_input.h"

BR_BEGIN_DECLS

/* "KIND/NAME" of the declarations that a change puts. */
BR_VEC (br_paths, br_buf_t);

/* Compares two catalogs and appends {"declaration", "field", "matches",
 * "before", "after"} to OUT, separated by commas, for each selector that is
 * new, matches something else or belongs to a declaration in PUT.  Returns
 * false, with *ERR set, when declarations of AFTER conflict, or when a selector
 * of a declaration in PUT matches no upstream or no workload. */
bool br_operator_report (const br_node_t *node,
                         const br_catalog_t *before,
                         const br_catalog_t *after,
                         const br_paths_t *put,
                         br_buf_t *out,
                         br_error_t *err);

/* Fills the empty CATALOG with the declarations that STATE would hold after
 * INPUT. */
void br_operator_overlay (const br_state_t *state,
                          const br_operator_input_t *input,
                          br_catalog_t *catalog);

BR_END_DECLS

#endif
