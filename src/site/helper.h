/* Chooses an entry VM that may serve a request for this one, which has lost the
 * request's service. */
#ifndef BR_SITE_HELPER_H
#define BR_SITE_HELPER_H

#include "base/label.h"
#include "base/random.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t vm;
  br_names_t lost; /* owned; services that it does not reach either */
} br_helper_t;

BR_VEC (br_helpers, br_helper_t);

/* Adds VM, which has lost no service yet. */
br_helper_t *br_helpers_add (br_helpers_t *helpers, const br_name_t *vm);
void br_helpers_remove (br_helpers_t *helpers, const br_name_t *vm);
void br_helpers_release (br_helpers_t *helpers);

/* Returns one of the VMs that reach SERVICE, all with the same probability, and
 * none in TRIED if there is another; NULL if there is none.  Valid until
 * HELPERS changes. */
const br_name_t *br_helpers_choose (const br_helpers_t *helpers,
                                    const br_name_t *service,
                                    const br_name_t *tried,
                                    br_random_t *random);

BR_END_DECLS

#endif
