/* The configuration of a site: routes, services, limits and organisations.  The
 * configuration with the highest version is in force. */
#ifndef BR_SITE_CONFIGURATION_H
#define BR_SITE_CONFIGURATION_H

#include "base/clock.h"
#include "base/error.h"
#include "base/str.h"
#include "base/vec.h"
#include "http/http_server.h"

BR_BEGIN_DECLS

/* X (id, name): whether and how a request of a route may be repeated */
#define BR_ROUTE_KIND_TABLE(X)                                                 \
  X (IDEMPOTENT, "idempotent")                                                 \
  X (NON_IDEMPOTENT, "non_idempotent")                                         \
  X (STREAM, "streaming")

typedef enum
{
#define X(id, name) BR_ROUTE_##id,
  BR_ROUTE_KIND_TABLE (X)
#undef X
} br_route_kind_t;

/* A share of a route's requests that goes to one service. */
typedef struct
{
  br_name_t service;
  uint32_t weight;
} br_split_t;

BR_VEC (br_splits, br_split_t);

typedef struct
{
  br_name_t name;
  br_buf_t host;   /* owned */
  br_buf_t prefix; /* owned; begins and ends with a slash */
  br_route_kind_t kind;
  br_ms_t timeout_ms;   /* longest time a caller is kept waiting */
  br_ms_t objective_ms; /* latency objective, up to the first event */
  br_ms_t max_gap_ms;   /* between events of a stream; 0: not bounded */
  int priority;         /* 0 is the most urgent */
  int max_attempts;     /* upstreams that one request may reach */
  bool open;            /* needs no key */
  bool resumable;       /* a stream may resume on another upstream */
  br_splits_t splits;   /* owned */
} br_site_route_t;

BR_VEC (br_site_routes, br_site_route_t);

/* The capacity of one engine of a service. */
typedef struct
{
  int slots;            /* requests in one batch */
  int64_t cache_tokens; /* memory for running requests and cached prompts */
  int event_tokens;     /* generated tokens in one event */
  bool moves;           /* its runs may move to another engine */
  int64_t token_bytes;  /* of a run's memory, for each token */
  double link_mbps;     /* over which the memory is copied; 0: not given */
  br_ms_t handle_ms;    /* for which an unused copy is kept */
} br_engine_limits_t;

typedef struct
{
  br_name_t failure_domain;
  double price; /* of an upstream there, relative */
} br_domain_price_t;

BR_VEC (br_domain_prices, br_domain_price_t);

/* Bounds on the number of upstreams that may be ordered, by failure domain. */
typedef struct
{
  int min;
  int max;
  br_ms_t boot_ms;
  double spot_price;          /* of a reclaimable VM, relative; 0: none */
  br_domain_prices_t domains; /* owned */
} br_scaling_limits_t;

typedef struct
{
  br_name_t name;
  int max_connections; /* to one upstream, from all VMs together */
  bool has_engine;
  br_engine_limits_t engine;
  bool scalable;
  br_scaling_limits_t scaling;
} br_site_service_t;

BR_VEC (br_site_services, br_site_service_t);

typedef struct
{
  br_name_t name;
  int priority;        /* overrides the route's */
  bool by_tokens;      /* the quota counts tokens, else requests */
  double plain_tokens; /* counted for a request without a token count */
  double rate_per_s;   /* 0: no quota */
  double burst;
} br_site_organisation_t;

BR_VEC (br_site_organisations, br_site_organisation_t);

typedef struct
{
  br_buf_t key;
  size_t organisation; /* index in the configuration's organisations */
} br_site_key_t;

BR_VEC (br_site_keys, br_site_key_t);

typedef struct
{
  uint64_t version;
  br_site_routes_t routes;
  br_site_services_t services;
  br_site_organisations_t organisations;
  br_site_keys_t keys; /* sorted by key once it is checked */
  br_http_limits_t limits;
  size_t references;
} br_configuration_t;

br_configuration_t *br_configuration_new (void);
br_configuration_t *br_configuration_ref (br_configuration_t *configuration);
void br_configuration_unref (br_configuration_t *configuration);

/* Sorts the keys for look-ups and checks the parts against each other.  Returns
 * false, with the reason in *ERR, when the configuration must not come into
 * force. */
bool br_configuration_check (br_configuration_t *configuration,
                             br_error_t *err);

/* Returns the route with the longest prefix of PATH among those of HOST, or
 * NULL.  A port in HOST and a query in PATH are ignored. */
const br_site_route_t *
br_configuration_route (const br_configuration_t *configuration,
                        br_str_t host,
                        br_str_t path);

/* Returns the organisation that KEY belongs to, or NULL. */
const br_site_organisation_t *
br_configuration_key (const br_configuration_t *configuration, br_str_t key);

const br_site_organisation_t *
br_configuration_organisation (const br_configuration_t *configuration,
                               br_str_t name);

const br_site_service_t *
br_configuration_service (const br_configuration_t *configuration,
                          br_str_t name);

/* Picks the service of a request by weight; DRAW is in [0, 1). */
const br_name_t *br_site_route_service (const br_site_route_t *route,
                                        double draw);

const char *br_route_kind_name (br_route_kind_t kind);

BR_END_DECLS

#endif
