#include "shell/route_task.h"

#include "route/router.h"
#include "shell/admit_task.h"

/* Period in which load reports are copied from the registry to the router. */
#define TICK_PERIOD_MS 100

/* Choices made for one request when the router chooses upstreams that are no
 * longer live.  After that the request gets no upstream. */
#define STALE_CHOICES_MAX 8

/* Limit on the answer tokens in the estimate of a run time.  A larger number
 * would not change the choice. */
#define ESTIMATED_TOKENS_MAX 100000

struct br_route_task
{
  br_node_t *node;
  br_router_t *router;
  uint64_t revision; /* of the declarations in ROUTER */
  size_t n_vms;      /* number of entry VMs of the site */
  struct event *tick;
};

static void
task_build (br_route_task_t *task)
{
  br_node_t *node = task->node;

  br_router_build (task->router, &node->catalog, &node->registry);
  task->revision = node->catalog.revision;
}

static void
task_set_capacity (br_route_task_t *task, const br_name_t *service)
{
  br_route_capacity_t capacity
      = br_router_capacity (task->router, br_name_str (service), task->n_vms);

  br_admit_task_set_capacity (task->node->admits, service, capacity.max,
                              capacity.unreserved);
}

static void
task_set_capacities (br_route_task_t *task)
{
  const br_services_t *services = &task->node->catalog.services;

  for (size_t i = 0; i < services->len; i++)
    task_set_capacity (task, &services->items[i].name);
}

void
br_route_task_update (br_route_task_t *task)
{
  task_build (task);
  task_set_capacities (task);
}

/* Copies load and state of UPSTREAM to the router.  Returns false when the
 * router does not have it yet. */
static bool
task_apply_report (br_route_task_t *task, const br_upstream_t *upstream)
{
  uint32_t number
      = br_router_find (task->router, br_name_str (&upstream->name));

  if (number == BR_ROUTE_NONE)
    return false;
  br_router_set_eligible (task->router, number,
                          upstream->state == BR_UPSTREAM_LIVE);
  if (upstream->load.known)
    br_router_report (task->router, number, &upstream->load);
  return true;
}

static void
task_on_tick (evutil_socket_t fd, short what, void *context)
{
  br_route_task_t *task = context;
  const br_upstreams_t *upstreams = &task->node->registry.upstreams;
  bool known = task->revision == task->node->catalog.revision;

  (void)fd;
  (void)what;
  for (size_t i = 0; i < upstreams->len && known; i++)
    known = task_apply_report (task, &upstreams->items[i]);
  if (!known)
    task_build (task);
  task_set_capacities (task);
}

/* Returns the upstream of ROUTE.  When it is no longer live, marks it as not
 * eligible in the router and returns NULL. */
static br_upstream_t *
task_live_upstream (br_route_task_t *task, const br_route_t *route)
{
  br_upstream_t *upstream = br_registry_find (
      &task->node->registry,
      br_name_str (br_router_name (task->router, route->upstream)));

  if (upstream != NULL && upstream->state == BR_UPSTREAM_LIVE)
    return upstream;
  br_router_set_eligible (task->router, route->upstream, false);
  return NULL;
}

static br_upstream_t *
task_choose (br_route_task_t *task,
             const br_route_query_t *query,
             br_route_t *route)
{
  for (int i = 0; i < STALE_CHOICES_MAX; i++)
    {
      br_upstream_t *upstream;

      *route = br_router_choose (task->router, query);
      if (route->upstream == BR_ROUTE_NONE)
        return NULL;
      upstream = task_live_upstream (task, route);
      if (upstream != NULL)
        return upstream;
    }
  return NULL;
}

/* Sets PREFIX from the prompt of WORK and the answer parts so far.  Returns
 * NULL for a plain service. */
static const br_prefix_t *
work_prefix (const br_work_t *work, br_prefix_t *prefix)
{
  if (work->kind != BR_SERVICE_MODEL)
    return NULL;
  br_prefix_set (prefix, br_buf_str (&work->body),
                 br_str_hash (br_name_str (&work->service), 0));
  prefix->tokens += work->answer.parts.len;
  return prefix;
}

static void
task_record_sent (br_route_task_t *task,
                  br_work_t *work,
                  const br_route_t *route,
                  const br_prefix_t *prefix)
{
  work->uncached = route->uncached;
  work->sent_ms = br_node_now (task->node);
  br_router_sent (task->router, route, prefix, work->sent_ms);
}

/* Estimates how long WORK will run, from its limit on answer tokens. */
static br_ms_t
work_estimate_ms (const br_work_t *work)
{
  uint64_t tokens = BR_MIN (work->max_tokens, ESTIMATED_TOKENS_MAX);

  return (br_ms_t)tokens * BR_ESTIMATE_TOKEN_MS;
}

br_upstream_t *
br_route_task_take (br_route_task_t *task,
                    br_work_t *work,
                    const br_names_t *tried)
{
  br_prefix_t prefix;
  br_route_query_t query = {
    .service = br_name_str (&work->service),
    .prefix = work_prefix (work, &prefix),
    .tried = tried,
    .hold_ms = work_estimate_ms (work),
    .now = br_node_now (task->node),
  };
  br_route_t route;
  br_upstream_t *upstream;

  if (task->revision != task->node->catalog.revision)
    task_build (task);
  upstream = task_choose (task, &query, &route);
  if (upstream != NULL)
    task_record_sent (task, work, &route, query.prefix);
  return upstream;
}

void
br_route_task_take_again (br_route_task_t *task, br_work_t *work)
{
  br_prefix_t prefix;
  br_route_t route = {
    .upstream = br_router_find (task->router, br_name_str (&work->upstream)),
  };

  if (route.upstream != BR_ROUTE_NONE)
    task_record_sent (task, work, &route, work_prefix (work, &prefix));
}

void
br_route_task_first_token (br_route_task_t *task, br_work_t *work)
{
  uint32_t number
      = br_router_find (task->router, br_name_str (&work->upstream));

  if (number != BR_ROUTE_NONE)
    br_router_first_token (task->router, number, work->uncached);
  work->uncached = 0;
  task_set_capacity (task, &work->service);
}

void
br_route_task_ended (br_route_task_t *task, br_work_t *work)
{
  br_ms_t now = br_node_now (task->node);
  uint32_t number
      = br_router_find (task->router, br_name_str (&work->upstream));

  br_route_task_first_token (task, work);
  if (number != BR_ROUTE_NONE)
    br_router_ended (task->router, number, now - work->sent_ms,
                     work->answer.complete, now);
}

br_route_task_t *
br_route_task_new (br_node_t *node)
{
  br_route_task_t *task = br_alloc_zero (sizeof *task);
  struct timeval period = { 0, TICK_PERIOD_MS * 1000 };
  br_router_options_t options = {
    .failure_domain = node->settings.failure_domain,
    .salt = br_str_hash (br_name_str (&node->settings.vm), 0),
  };

  task->node = node;
  task->router = br_router_new (&options);
  task->n_vms = node->settings.vms.len + 1;
  task_build (task);
  task->tick = event_new (node->base, -1, EV_PERSIST, task_on_tick, task);
  event_add (task->tick, &period);
  return task;
}

void
br_route_task_free (br_route_task_t *task)
{
  if (task == NULL)
    return;
  event_free (task->tick);
  br_router_free (task->router);
  free (task);
}
