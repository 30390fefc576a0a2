#include "route/catalog.h"

const br_service_t *
br_catalog_service (const br_catalog_t *catalog, br_str_t name)
{
  for (size_t i = 0; i < catalog->services.len; i++)
    if (br_str_equal (br_name_str (&catalog->services.items[i].name), name))
      return &catalog->services.items[i];
  return NULL;
}

const br_workload_t *
br_catalog_workload_by_key (const br_catalog_t *catalog, br_str_t key)
{
  br_digest_t digest = br_digest_of (key);
  const br_workload_t *found = NULL;

  for (size_t i = 0; i < catalog->workloads.len; i++)
    if (br_digest_equal (&catalog->workloads.items[i].key_digest, &digest))
      found = &catalog->workloads.items[i];
  return found;
}

const br_organisation_t *
br_catalog_organisation_of (const br_catalog_t *catalog,
                            const br_workload_t *workload,
                            br_error_t *err)
{
  const br_organisation_t *found = NULL;

  for (size_t i = 0; i < catalog->organisations.len; i++)
    {
      const br_organisation_t *each = &catalog->organisations.items[i];

      if (!br_selector_matches (&each->workloads, &workload->labels))
        continue;
      if (found != NULL)
        {
          br_error_set (err, BR_ERROR_CONFLICT, "find organisation",
                        workload->name.data,
                        "organisations %s and %s both match workload %s",
                        found->name.data, each->name.data, workload->name.data);
          return NULL;
        }
      found = each;
    }
  if (found == NULL)
    br_error_set (err, BR_ERROR_FORBIDDEN, "find organisation",
                  workload->name.data, "no organisation matches workload %s",
                  workload->name.data);
  return found;
}

void
br_catalog_labels_of (const br_catalog_t *catalog,
                      br_str_t target,
                      br_labels_t *labels)
{
  for (size_t i = 0; i < catalog->targets.len; i++)
    {
      const br_target_labels_t *each = &catalog->targets.items[i];

      if (!br_str_equal (br_name_str (&each->target), target))
        continue;
      for (size_t j = 0; j < each->labels.len; j++)
        br_labels_set (labels, br_name_str (&each->labels.items[j].key),
                       br_name_str (&each->labels.items[j].value));
    }
}
