#include "site/service_link.h"

/* Age from which a failure is not counted, in milliseconds. */
#define FAILURE_LIFE_MS 3000

static br_service_link_t *
links_find (const br_service_links_t *links, const br_name_t *service)
{
  for (size_t i = 0; i < links->len; i++)
    if (br_name_equal (&links->items[i].service, service))
      return &links->items[i];
  return NULL;
}

static void
link_add_failure (br_service_link_t *link, const br_name_t *upstream)
{
  for (size_t i = 0; i < link->n_failed; i++)
    if (br_name_equal (&link->failed[i], upstream))
      return;
  if (link->n_failed < BR_SERVICE_LINK_LOST)
    link->failed[link->n_failed++] = *upstream;
}

void
br_service_link_failed (br_service_links_t *links,
                        const br_name_t *service,
                        const br_name_t *upstream,
                        size_t listed,
                        br_ms_t now)
{
  br_service_link_t *link = links_find (links, service);
  br_service_link_t fresh = { .service = *service };

  if (link == NULL)
    link = br_service_links_push (links, fresh);
  if (now - link->last_failed_ms > FAILURE_LIFE_MS && !link->is_lost)
    link->n_failed = 0;
  link->last_failed_ms = now;
  link_add_failure (link, upstream);
  link->is_suspected
      = link->n_failed >= BR_MIN (BR_SERVICE_LINK_SUSPECTED, listed);
  if (link->is_lost || link->n_failed < BR_MIN (BR_SERVICE_LINK_LOST, listed))
    return;
  link->is_lost = true;
  link->lost_ms = now;
}

void
br_service_link_connected (br_service_links_t *links, const br_name_t *service)
{
  br_service_link_t *link = links_find (links, service);

  if (link == NULL)
    return;
  link->n_failed = 0;
  link->is_suspected = false;
  link->is_lost = false;
}

bool
br_service_link_is_lost (const br_service_links_t *links,
                         const br_name_t *service)
{
  const br_service_link_t *link = links_find (links, service);

  return link != NULL && link->is_lost;
}
