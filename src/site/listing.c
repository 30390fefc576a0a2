#include "site/listing.h"

#include <stdlib.h>
#include <string.h>

static int
index_compare (const void *a, const void *b, void *context)
{
  const br_listing_t *items = context;
  size_t x = *(const size_t *)a;
  size_t y = *(const size_t *)b;
  int order
      = br_str_compare (br_name_str (&items[x].id), br_name_str (&items[y].id));

  return order != 0 ? order : (x > y) - (x < y);
}

/* Returns whether A and B name the same process. */
static bool
listing_is_same (const br_listing_t *a, const br_listing_t *b)
{
  return br_name_equal (&a->service, &b->service)
         && br_name_equal (&a->address, &b->address) && a->port == b->port
         && a->started_ms == b->started_ms;
}

static bool
listing_is_known (const br_listing_t *listing, const br_listings_t *known)
{
  for (size_t i = 0; i < known->len; i++)
    if (br_name_equal (&known->items[i].id, &listing->id))
      return listing_is_same (&known->items[i], listing);
  return false;
}

/* Returns whether LATER holds instead of EARLIER, which has the same id.  An
 * upstream that restarted under its id is listed twice until its old entry is
 * gone.  An entry may move to a later page while the list is read. */
static bool
listing_supersedes (const br_listing_t *later,
                    const br_listing_t *earlier,
                    const br_listings_t *known)
{
  if (later->started_ms != earlier->started_ms)
    return later->started_ms > earlier->started_ms;
  return listing_is_same (later, earlier)
         || (listing_is_known (later, known)
             && !listing_is_known (earlier, known));
}

void
br_site_list_skip (br_site_list_t *list,
                   int64_t position,
                   const br_name_t *id,
                   const br_error_t *why)
{
  br_list_fault_t *fault;

  list->n_skipped++;
  if (list->n_faults == BR_LIST_FAULTS_MAX)
    return;
  fault = &list->faults[list->n_faults++];
  fault->position = position;
  fault->id = *id;
  memcpy (fault->why, why->text, sizeof fault->why);
}

static void
list_skip_repeat (br_site_list_t *list,
                  const br_listing_t *dropped,
                  const br_listing_t *kept)
{
  br_error_t err;

  if (listing_is_same (dropped, kept))
    return;
  br_error_set (&err, BR_ERROR_CONFLICT, "read list", "",
                "%s at %s:%u, started at %llu, has the id of %s at %s:%u, "
                "started at %llu",
                dropped->service.data, dropped->address.data, dropped->port,
                (unsigned long long)dropped->started_ms, kept->service.data,
                kept->address.data, kept->port,
                (unsigned long long)kept->started_ms);
  br_site_list_skip (list, -1, &dropped->id, &err);
}

void
br_site_list_drop_repeats (br_site_list_t *list, const br_listings_t *known)
{
  br_listing_t *items = list->entries.items;
  size_t len = list->entries.len;
  size_t *order = br_alloc ((len + 1) * sizeof *order);
  bool *dropped = br_alloc_zero (len + 1);
  size_t n_kept = 0;

  for (size_t i = 0; i < len; i++)
    order[i] = i;
  if (len > 1)
    qsort_r (order, len, sizeof *order, index_compare, items);
  for (size_t i = 1; i < len; i++)
    {
      size_t kept = order[i - 1];
      size_t other = order[i];

      if (!br_name_equal (&items[kept].id, &items[other].id))
        continue;
      if (listing_supersedes (&items[other], &items[kept], known))
        {
          kept = order[i];
          other = order[i - 1];
        }
      list_skip_repeat (list, &items[other], &items[kept]);
      dropped[other] = true;
      order[i] = kept; /* compared with the next one of this id */
    }
  for (size_t i = 0; i < len; i++)
    if (!dropped[i])
      items[n_kept++] = items[i];
  list->entries.len = n_kept;
  free (order);
  free (dropped);
}
