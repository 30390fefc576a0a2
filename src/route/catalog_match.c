#include "route/catalog_match.h"

static void
list_add (br_catalog_selectors_t *out,
          br_declaration_kind_t kind,
          const br_name_t *name,
          const char *field,
          const br_selector_t *selector,
          br_match_scope_t scope)
{
  br_catalog_selector_t one = { kind, name, field, selector, scope };

  if (selector->len > 0)
    br_catalog_selectors_push (out, one);
}

void
br_catalog_list_selectors (const br_catalog_t *catalog,
                           br_catalog_selectors_t *out)
{
  for (size_t i = 0; i < catalog->services.len; i++)
    {
      const br_service_t *each = &catalog->services.items[i];

      list_add (out, BR_DECLARATION_SERVICE, &each->name, "selector",
                &each->upstreams, BR_MATCH_UPSTREAMS);
      list_add (out, BR_DECLARATION_SERVICE, &each->name, "workloads",
                &each->workloads, BR_MATCH_WORKLOADS);
    }
  for (size_t i = 0; i < catalog->organisations.len; i++)
    list_add (out, BR_DECLARATION_ORGANISATION,
              &catalog->organisations.items[i].name, "selector",
              &catalog->organisations.items[i].workloads, BR_MATCH_WORKLOADS);
  for (size_t i = 0; i < catalog->placements.len; i++)
    list_add (out, BR_DECLARATION_PLACEMENT, &catalog->placements.items[i].name,
              "selector", &catalog->placements.items[i].vms, BR_MATCH_OFFERS);
}

static bool
upstream_matches (const br_catalog_t *catalog,
                  const br_match_upstream_t *upstream,
                  const br_selector_t *selector)
{
  br_labels_t labels = { 0 };
  br_buf_t target = { 0 };
  bool matches;

  br_labels_copy (&labels, upstream->labels);
  br_buf_printf (&target, "upstream/%s", upstream->name.data);
  br_catalog_labels_of (catalog, br_buf_str (&target), &labels);
  matches = br_selector_matches (selector, &labels);
  br_buf_free (&target);
  br_labels_free (&labels);
  return matches;
}

void
br_catalog_match (const br_catalog_t *catalog,
                  const br_match_upstreams_t *upstreams,
                  const br_catalog_selector_t *selector,
                  br_names_t *out)
{
  switch (selector->scope)
    {
    case BR_MATCH_UPSTREAMS:
      for (size_t i = 0; i < upstreams->len; i++)
        if (upstream_matches (catalog, &upstreams->items[i],
                              selector->selector))
          br_names_push (out, upstreams->items[i].name);
      break;
    case BR_MATCH_WORKLOADS:
      for (size_t i = 0; i < catalog->workloads.len; i++)
        if (br_selector_matches (selector->selector,
                                 &catalog->workloads.items[i].labels))
          br_names_push (out, catalog->workloads.items[i].name);
      break;
    case BR_MATCH_OFFERS:
      break;
    }
}

static bool
conflict_error (const char *kind,
                const br_name_t *first,
                const br_name_t *second,
                const char *over,
                br_error_t *err)
{
  return br_error_set (err, BR_ERROR_CONFLICT, "check declarations", over,
                       "%s/%s and %s/%s clash over %s", kind, first->data, kind,
                       second->data, over);
}

static bool
check_organisations (const br_catalog_t *catalog, br_error_t *err)
{
  for (size_t i = 0; i < catalog->workloads.len; i++)
    {
      const br_workload_t *workload = &catalog->workloads.items[i];
      const br_organisation_t *first = NULL;

      for (size_t j = 0; j < catalog->organisations.len; j++)
        {
          const br_organisation_t *each = &catalog->organisations.items[j];

          if (!br_selector_matches (&each->workloads, &workload->labels))
            continue;
          if (first != NULL)
            return conflict_error ("organisation", &first->name, &each->name,
                                   workload->name.data, err);
          first = each;
        }
    }
  return true;
}

static bool
check_keys (const br_catalog_t *catalog, br_error_t *err)
{
  const br_workloads_t *all = &catalog->workloads;

  for (size_t i = 0; i < all->len; i++)
    for (size_t j = i + 1; j < all->len; j++)
      if (br_digest_equal (&all->items[i].key_digest,
                           &all->items[j].key_digest))
        return conflict_error ("workload", &all->items[i].name,
                               &all->items[j].name, "key_digest", err);
  return true;
}

static bool
term_equal (const br_selector_term_t *a, const br_selector_term_t *b)
{
  if (a->op != b->op || a->values.len != b->values.len
      || !br_name_equal (&a->key, &b->key))
    return false;
  for (size_t i = 0; i < a->values.len; i++)
    if (!br_name_equal (&a->values.items[i], &b->values.items[i]))
      return false;
  return true;
}

static bool
selector_equal (const br_selector_t *a, const br_selector_t *b)
{
  if (a->len != b->len)
    return false;
  for (size_t i = 0; i < a->len; i++)
    if (!term_equal (&a->items[i], &b->items[i]))
      return false;
  return true;
}

/* Returns whether two selectors are equal or both match one of UPSTREAMS. */
static bool
selectors_overlap (const br_catalog_t *catalog,
                   const br_match_upstreams_t *upstreams,
                   const br_selector_t *a,
                   const br_selector_t *b)
{
  if (selector_equal (a, b))
    return true;
  for (size_t i = 0; i < upstreams->len; i++)
    if (upstream_matches (catalog, &upstreams->items[i], a)
        && upstream_matches (catalog, &upstreams->items[i], b))
      return true;
  return false;
}

static bool
check_placements (const br_catalog_t *catalog,
                  const br_match_upstreams_t *upstreams,
                  br_error_t *err)
{
  const br_placements_t *all = &catalog->placements;

  for (size_t i = 0; i < all->len; i++)
    for (size_t j = i + 1; j < all->len; j++)
      if (br_name_equal (&all->items[i].service, &all->items[j].service)
          && selectors_overlap (catalog, upstreams, &all->items[i].vms,
                                &all->items[j].vms))
        return conflict_error ("placement", &all->items[i].name,
                               &all->items[j].name, all->items[i].service.data,
                               err);
  return true;
}

bool
br_catalog_check_conflicts (const br_catalog_t *catalog,
                            const br_match_upstreams_t *upstreams,
                            br_error_t *err)
{
  return check_organisations (catalog, err) && check_keys (catalog, err)
         && check_placements (catalog, upstreams, err);
}
