#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "route/router.h"
}

/* A request suspected of crashing upstreams excludes all busy upstreams, which
 * may be many, not only the first few. */
TEST (Router, ExcludesManyUpstreams)
{
  br_router_options_t options = { br_name_from ("castillos"), 0 };
  br_router_t *router = br_router_new (&options);
  br_registry_t registry = {};
  br_catalog_t catalog = {};
  br_names_t tried = {};
  br_error_t err;
  ASSERT_TRUE (br_catalog_add (
      &catalog,
      br_str_from ("{\"kind\":\"service\",\"name\":\"lm\",\"selector\":\"\"}"),
      &err))
      << err.text;
  for (int i = 0; i < 100; i++)
    {
      br_upstream_t upstream = {};
      upstream.name = br_name_from (("e" + std::to_string (i)).c_str ());
      upstream.failure_domain = options.failure_domain;
      br_registry_put (&registry, upstream);
      if (i != 77)
        br_names_push (&tried, upstream.name);
    }
  br_router_build (router, &catalog, &registry);
  br_route_query_t query = {};
  query.service = br_str_from ("lm");
  query.tried = &tried;
  br_route_t route = br_router_choose (router, &query);
  ASSERT_NE (route.upstream, BR_ROUTE_NONE);
  EXPECT_STREQ (br_router_name (router, route.upstream)->data, "e77");
  br_names_free (&tried);
  br_router_free (router);
  br_registry_release (&registry);
  br_catalog_release (&catalog);
}
