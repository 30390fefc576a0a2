#include "rollout/version_filter.h"

uint64_t
br_version_filter_rank (const br_listing_t *listing, uint64_t number)
{
  return br_str_hash (br_name_str (&listing->id), number);
}

bool
br_version_filter_admits (const br_version_filter_t *filter,
                          const br_listing_t *listing)
{
  br_version_t version;

  if (filter == NULL || !filter->is_set)
    return true;
  version = br_listing_version (listing);
  if (filter->target != 0 && version == filter->target)
    return br_version_filter_rank (listing, filter->number) >= filter->rank_min;
  for (size_t i = 0; i < filter->n_allowed; i++)
    if (filter->allowed[i] == version)
      return true;
  return false;
}
