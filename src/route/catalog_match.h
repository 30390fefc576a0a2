/* Finds what the selectors of a catalog match and which declarations conflict.
 */
#ifndef BR_ROUTE_CATALOG_MATCH_H
#define BR_ROUTE_CATALOG_MATCH_H

#include "route/catalog.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_MATCH_UPSTREAMS,
  BR_MATCH_WORKLOADS,
  BR_MATCH_OFFERS, /* VMs that the platform may start */
} br_match_scope_t;

/* One selector of a declaration; the pointers refer to the catalog. */
typedef struct
{
  br_declaration_kind_t kind;
  const br_name_t *name;
  const char *field;
  const br_selector_t *selector;
  br_match_scope_t scope;
} br_catalog_selector_t;

BR_VEC (br_catalog_selectors, br_catalog_selector_t);

/* An upstream with its own labels, without those of the operators. */
typedef struct
{
  br_name_t name;
  const br_labels_t *labels;
} br_match_upstream_t;

BR_VEC (br_match_upstreams, br_match_upstream_t);

/* Adds every selector with at least one term to OUT. */
void br_catalog_list_selectors (const br_catalog_t *catalog,
                                br_catalog_selectors_t *out);

/* Adds the names of the upstreams or workloads that SELECTOR matches to OUT.
 * Adds nothing for offers, which are not available here. */
void br_catalog_match (const br_catalog_t *catalog,
                       const br_match_upstreams_t *upstreams,
                       const br_catalog_selector_t *selector,
                       br_names_t *out);

/* Returns false, and names both declarations in *ERR, when two organisations
 * match the same workload, two workloads have the same key, or two placements
 * of one service overlap. */
bool br_catalog_check_conflicts (const br_catalog_t *catalog,
                                 const br_match_upstreams_t *upstreams,
                                 br_error_t *err);

BR_END_DECLS

#endif
