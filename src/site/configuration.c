#include "site/configuration.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

static const char *const kind_names[] = {
#define X(id, name) name,
  BR_ROUTE_KIND_TABLE (X)
#undef X
};

const char *
br_route_kind_name (br_route_kind_t kind)
{
  return kind_names[kind];
}

br_configuration_t *
br_configuration_new (void)
{
  br_configuration_t *configuration = br_alloc_zero (sizeof *configuration);

  configuration->references = 1;
  return configuration;
}

br_configuration_t *
br_configuration_ref (br_configuration_t *configuration)
{
  configuration->references++;
  return configuration;
}

static void
configuration_free (br_configuration_t *configuration)
{
  for (size_t i = 0; i < configuration->routes.len; i++)
    {
      br_site_route_t *route = &configuration->routes.items[i];

      br_buf_free (&route->host);
      br_buf_free (&route->prefix);
      br_splits_free (&route->splits);
    }
  for (size_t i = 0; i < configuration->services.len; i++)
    br_domain_prices_free (&configuration->services.items[i].scaling.domains);
  for (size_t i = 0; i < configuration->keys.len; i++)
    br_buf_free (&configuration->keys.items[i].key);
  br_site_routes_free (&configuration->routes);
  br_site_services_free (&configuration->services);
  br_site_organisations_free (&configuration->organisations);
  br_site_keys_free (&configuration->keys);
  free (configuration);
}

void
br_configuration_unref (br_configuration_t *configuration)
{
  if (configuration != NULL && --configuration->references == 0)
    configuration_free (configuration);
}

/* --- checks --- */

static bool
configuration_error (br_error_t *err, const char *what, const char *which)
{
  return br_error_set (err, BR_ERROR_INVALID, "check configuration", "",
                       "%s: %s", which, what);
}

static bool
route_check (const br_configuration_t *configuration,
             const br_site_route_t *route,
             br_error_t *err)
{
  uint64_t weights = 0;

  if (route->timeout_ms <= 0)
    return configuration_error (err, "the route's timeout is not above 0",
                                route->name.data);
  if (route->prefix.len == 0 || route->prefix.data[0] != '/'
      || route->prefix.data[route->prefix.len - 1] != '/')
    return configuration_error (
        err, "the path prefix does not begin and end with a slash",
        route->name.data);
  for (size_t i = 0; i < route->splits.len; i++)
    {
      const br_split_t *split = &route->splits.items[i];

      weights += split->weight;
      if (br_configuration_service (configuration,
                                    br_name_str (&split->service))
          == NULL)
        return configuration_error (err, "the route names an unknown service",
                                    route->name.data);
    }
  if (weights == 0)
    return configuration_error (err, "the route's weights add up to 0",
                                route->name.data);
  return true;
}

static bool
buf_equal (const br_buf_t *a, const br_buf_t *b)
{
  return br_str_equal (br_buf_str (a), br_buf_str (b));
}

/* A route and its index in the configuration; sorted to find duplicates. */
typedef struct
{
  const br_site_route_t *route;
  size_t index;
} indexed_route_t;

static int
indexed_route_compare (const void *a, const void *b)
{
  const indexed_route_t *left = a;
  const indexed_route_t *right = b;
  int order = br_str_compare (br_buf_str (&left->route->prefix),
                              br_buf_str (&right->route->prefix));

  if (order == 0)
    order = br_str_compare (br_buf_str (&left->route->host),
                            br_buf_str (&right->route->host));
  if (order != 0)
    return order;
  return left->index < right->index ? -1 : 1;
}

static bool
routes_check_unique (const br_site_routes_t *routes, br_error_t *err)
{
  indexed_route_t *sorted = br_alloc ((routes->len + 1) * sizeof *sorted);
  bool ok = true;

  for (size_t i = 0; i < routes->len; i++)
    sorted[i] = (indexed_route_t){ &routes->items[i], i };
  if (routes->len > 1)
    qsort (sorted, routes->len, sizeof *sorted, indexed_route_compare);
  for (size_t i = 1; ok && i < routes->len; i++)
    if (buf_equal (&sorted[i].route->prefix, &sorted[i - 1].route->prefix)
        && buf_equal (&sorted[i].route->host, &sorted[i - 1].route->host))
      ok = configuration_error (err,
                                "two routes share a host and a path prefix",
                                sorted[i].route->name.data);
  free (sorted);
  return ok;
}

static int
key_compare (const void *a, const void *b)
{
  return br_str_compare (br_buf_str (&((const br_site_key_t *)a)->key),
                         br_buf_str (&((const br_site_key_t *)b)->key));
}

static bool
keys_check (br_configuration_t *configuration, br_error_t *err)
{
  br_site_keys_t *keys = &configuration->keys;

  if (keys->len > 1)
    qsort (keys->items, keys->len, sizeof keys->items[0], key_compare);
  for (size_t i = 1; i < keys->len; i++)
    if (buf_equal (&keys->items[i].key, &keys->items[i - 1].key))
      return configuration_error (
          err, "one of its keys is configured twice",
          configuration->organisations.items[keys->items[i].organisation]
              .name.data);
  return true;
}

bool
br_configuration_check (br_configuration_t *configuration, br_error_t *err)
{
  for (size_t i = 0; i < configuration->routes.len; i++)
    if (!route_check (configuration, &configuration->routes.items[i], err))
      return false;
  return routes_check_unique (&configuration->routes, err)
         && keys_check (configuration, err);
}

/* --- look-ups --- */

static br_str_t
str_until (br_str_t str, char end)
{
  const char *at = str.len > 0 ? memchr (str.data, end, str.len) : NULL;

  return br_str_make (str.data, at != NULL ? (size_t)(at - str.data) : str.len);
}

const br_site_route_t *
br_configuration_route (const br_configuration_t *configuration,
                        br_str_t host,
                        br_str_t path)
{
  const br_site_route_t *best = NULL;

  host = str_until (host, ':');
  path = str_until (path, '?');
  for (size_t i = 0; i < configuration->routes.len; i++)
    {
      const br_site_route_t *route = &configuration->routes.items[i];

      if (br_str_starts_with (path, br_buf_str (&route->prefix))
          && (best == NULL || route->prefix.len > best->prefix.len)
          && route->host.len == host.len
          && strncasecmp (route->host.data, host.data, host.len) == 0)
        best = route;
    }
  return best;
}

static int
key_find (const void *key, const void *item)
{
  return br_str_compare (*(const br_str_t *)key,
                         br_buf_str (&((const br_site_key_t *)item)->key));
}

const br_site_organisation_t *
br_configuration_key (const br_configuration_t *configuration, br_str_t key)
{
  const br_site_keys_t *keys = &configuration->keys;
  const br_site_key_t *found = keys->len > 0
                                   ? bsearch (&key, keys->items, keys->len,
                                              sizeof keys->items[0], key_find)
                                   : NULL;

  return found != NULL
             ? &configuration->organisations.items[found->organisation]
             : NULL;
}

const br_site_organisation_t *
br_configuration_organisation (const br_configuration_t *configuration,
                               br_str_t name)
{
  const br_site_organisations_t *all = &configuration->organisations;

  for (size_t i = 0; i < all->len; i++)
    if (br_str_equal (br_name_str (&all->items[i].name), name))
      return &all->items[i];
  return NULL;
}

const br_site_service_t *
br_configuration_service (const br_configuration_t *configuration,
                          br_str_t name)
{
  for (size_t i = 0; i < configuration->services.len; i++)
    if (br_str_equal (br_name_str (&configuration->services.items[i].name),
                      name))
      return &configuration->services.items[i];
  return NULL;
}

const br_name_t *
br_site_route_service (const br_site_route_t *route, double draw)
{
  uint64_t total = 0;
  double at;

  for (size_t i = 0; i < route->splits.len; i++)
    total += route->splits.items[i].weight;
  at = draw * (double)total;
  for (size_t i = 0; i + 1 < route->splits.len; i++)
    {
      at -= route->splits.items[i].weight;
      if (at < 0)
        return &route->splits.items[i].service;
    }
  for (size_t i = route->splits.len; i-- > 0;)
    if (route->splits.items[i].weight > 0)
      return &route->splits.items[i].service;
  return NULL;
}
