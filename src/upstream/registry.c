#include "upstream/registry.h"

#include <assert.h>
#include <string.h>

static void
upstream_update_state (br_upstream_t *upstream, br_ms_t now)
{
  br_upstream_state_t state = BR_UPSTREAM_LIVE;

  if (upstream->leaving || upstream->removed)
    state = BR_UPSTREAM_LEAVING;
  else if (upstream->down)
    state = BR_UPSTREAM_DOWN;
  if (state == upstream->state)
    return;
  upstream->state = state;
  upstream->state_ms = now;
}

br_upstream_t *
br_registry_find (br_registry_t *registry, br_str_t name)
{
  for (size_t i = 0; i < registry->upstreams.len; i++)
    if (br_str_equal (br_name_str (&registry->upstreams.items[i].name), name))
      return &registry->upstreams.items[i];
  return NULL;
}

const br_upstream_t *
br_registry_find_address (const br_registry_t *registry,
                          const char *address,
                          uint16_t port)
{
  for (size_t i = 0; i < registry->upstreams.len; i++)
    if (registry->upstreams.items[i].port == port
        && strcmp (registry->upstreams.items[i].address, address) == 0)
      return &registry->upstreams.items[i];
  return NULL;
}

static br_departure_t *
registry_find_departure (const br_registry_t *registry, br_str_t name)
{
  for (size_t i = 0; i < registry->departures.len; i++)
    if (br_str_equal (br_name_str (&registry->departures.items[i].name), name))
      return &registry->departures.items[i];
  return NULL;
}

bool
br_registry_is_leaving (const br_registry_t *registry,
                        br_str_t name,
                        uint64_t incarnation)
{
  const br_departure_t *departure = registry_find_departure (registry, name);

  return departure != NULL && incarnation <= departure->incarnation;
}

static void
upstream_copy_state (br_upstream_t *upstream, const br_upstream_t *from)
{
  upstream->in_flight = from->in_flight;
  upstream->load = from->load;
  upstream->down = from->down;
  upstream->state = from->state;
  upstream->state_ms = from->state_ms;
}

br_upstream_t *
br_registry_put (br_registry_t *registry, br_upstream_t upstream)
{
  br_str_t name = br_name_str (&upstream.name);
  br_upstream_t *existing = br_registry_find (registry, name);
  br_ms_t now = upstream.state_ms;

  if (existing != NULL && existing->incarnation > upstream.incarnation)
    {
      br_labels_free (&upstream.labels);
      return existing;
    }
  if (existing != NULL && existing->incarnation == upstream.incarnation)
    upstream_copy_state (&upstream, existing);
  upstream.leaving
      = upstream.leaving
        || br_registry_is_leaving (registry, name, upstream.incarnation);
  upstream_update_state (&upstream, now);
  if (existing == NULL)
    return br_upstreams_push (&registry->upstreams, upstream);
  br_labels_free (&existing->labels);
  *existing = upstream;
  return existing;
}

static void
registry_drop_oldest_departure (br_registry_t *registry)
{
  br_departures_t *departures = &registry->departures;

  assert (departures->items != NULL && departures->len > 0);
  departures->len--;
  memmove (departures->items, departures->items + 1,
           departures->len * sizeof *departures->items);
}

bool
br_registry_leave (br_registry_t *registry,
                   br_str_t name,
                   uint64_t incarnation,
                   br_ms_t now)
{
  br_departure_t *departure = registry_find_departure (registry, name);
  br_upstream_t *upstream = br_registry_find (registry, name);
  br_departure_t added = { .incarnation = incarnation };

  if (departure != NULL && departure->incarnation >= incarnation)
    return false;
  if (departure != NULL)
    departure->incarnation = incarnation;
  else if (br_name_set (&added.name, name))
    {
      if (registry->departures.len == BR_DEPARTURES_MAX)
        registry_drop_oldest_departure (registry);
      br_departures_push (&registry->departures, added);
    }
  if (upstream != NULL && upstream->incarnation <= incarnation)
    {
      upstream->leaving = true;
      upstream_update_state (upstream, now);
    }
  return true;
}

bool
br_upstream_set_down (br_upstream_t *upstream, bool down, br_ms_t now)
{
  if (upstream->down == down)
    return false;
  upstream->down = down;
  upstream_update_state (upstream, now);
  return true;
}

bool
br_upstream_set_load (br_upstream_t *upstream, const br_load_t *load)
{
  if (upstream->load.known && load->taken_ms <= upstream->load.taken_ms)
    return false;
  upstream->load = *load;
  upstream->load.known = true;
  return true;
}

void
br_upstream_set_removed (br_upstream_t *upstream, bool removed, br_ms_t now)
{
  upstream->removed = removed;
  upstream_update_state (upstream, now);
}

void
br_registry_sweep (br_registry_t *registry)
{
  br_upstreams_t *upstreams = &registry->upstreams;
  size_t kept = 0;

  for (size_t i = 0; i < upstreams->len; i++)
    {
      br_upstream_t *each = &upstreams->items[i];

      if (each->removed && each->in_flight == 0)
        br_labels_free (&each->labels);
      else
        upstreams->items[kept++] = *each;
    }
  upstreams->len = kept;
}

void
br_registry_release (br_registry_t *registry)
{
  for (size_t i = 0; i < registry->upstreams.len; i++)
    br_labels_free (&registry->upstreams.items[i].labels);
  br_upstreams_free (&registry->upstreams);
  br_departures_free (&registry->departures);
}
