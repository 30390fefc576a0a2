/* Collects the load and the listed upstreams, and orders upstreams from the
 * platform.  The decision on their number is made in site/sizing.c. */
#include <math.h>
#include <string.h>

#include "shell/control_duties_private.h"
#include "shell/replica_task.h"

/* Time for which an entry VM's load report is used, in milliseconds. */
#define ENTRY_TIMEOUT_MS 3000

/* Time between two decisions on the number of upstreams. */
#define SIZING_PERIOD_MS 1000

/* After a refused order no more VMs of its kind are ordered in the failure
 * domain for this long, in milliseconds. */
#define REFUSED_BACKOFF_MS 3000

/* After reclaimable VMs were reclaimed, none are ordered in the failure domain
 * for this long, in milliseconds. */
#define RECLAIMED_BACKOFF_MS 4000

/* VMs that leave within this time after an order for fewer leave because of the
 * order and do not count as reclaimed, in milliseconds. */
#define EXPECTED_LEAVING_MS 8000

/* A lower number of upstreams is ordered only after it has been enough for this
 * long, in milliseconds, which is longer than common waves of load. */
#define SHRINK_DELAY_MS 12000

/* Weight of the newest load in the moving average. */
#define LOAD_WEIGHT 0.3

static upstream_group_t *
duties_group (br_control_duties_t *duties,
              const br_name_t *service,
              const br_name_t *failure_domain)
{
  upstream_group_t fresh = {
    .service = *service,
    .failure_domain = *failure_domain,
    .spot.desired_count = -1,
    .on_demand.desired_count = -1,
  };

  for (size_t i = 0; i < duties->groups.len; i++)
    if (br_name_equal (&duties->groups.items[i].service, service)
        && br_name_equal (&duties->groups.items[i].failure_domain,
                          failure_domain))
      return &duties->groups.items[i];
  return upstream_groups_push (&duties->groups, fresh);
}

static service_load_t *
duties_load (br_control_duties_t *duties, const br_name_t *service)
{
  service_load_t fresh = { .service = *service };

  for (size_t i = 0; i < duties->loads.len; i++)
    if (br_name_equal (&duties->loads.items[i].service, service))
      return &duties->loads.items[i];
  return service_loads_push (&duties->loads, fresh);
}

static void
load_add (br_sizing_load_t *sum,
          double *speed_sum,
          size_t *speeds,
          const Br__Site__ServiceDemand *demand)
{
  sum->prefill_per_s += demand->prefill_tokens_per_s;
  sum->in_flight += demand->in_flight;
  if (demand->prefill_per_ms > 0)
    {
      *speed_sum += demand->prefill_per_ms;
      (*speeds)++;
    }
}

/* Adds up what the live entry VMs report of the service. */
static br_sizing_load_t
duties_sum_load (const br_control_duties_t *duties,
                 const br_site_service_t *service,
                 br_ms_t now)
{
  const br_control_entries_t *entries = &duties->task->entries;
  br_sizing_load_t sum = { .slots = service->engine.slots };
  double speed_sum = 0;
  size_t speeds = 0;

  for (size_t i = 0; i < entries->len; i++)
    {
      const Br__Site__EntryReport *report
          = entries->items[i].last_report->report;

      if (now - entries->items[i].last_seen_ms >= ENTRY_TIMEOUT_MS)
        continue;
      for (size_t j = 0; j < report->n_services; j++)
        if (strcmp (report->services[j]->service, service->name.data) == 0)
          load_add (&sum, &speed_sum, &speeds, report->services[j]);
    }
  sum.prefill_per_ms = speeds > 0 ? speed_sum / (double)speeds : 0;
  return sum;
}

/* Returns the requests to the service, in requests a second, that the live
 * entry VMs report. */
static double
duties_sum_requests (const br_control_duties_t *duties,
                     const br_site_service_t *service,
                     br_ms_t now)
{
  const br_control_entries_t *entries = &duties->task->entries;
  double per_s = 0;

  for (size_t i = 0; i < entries->len; i++)
    {
      const Br__Site__EntryReport *report
          = entries->items[i].last_report->report;

      if (now - entries->items[i].last_seen_ms >= ENTRY_TIMEOUT_MS)
        continue;
      for (size_t j = 0; j < report->n_services; j++)
        if (strcmp (report->services[j]->service, service->name.data) == 0)
          per_s += report->services[j]->requests_per_s;
    }
  return per_s;
}

/* Returns how many upstreams' worth of capacity the limits of the service's
 * upstreams take away. */
static double
duties_sum_missing (const br_control_duties_t *duties,
                    const br_name_t *service,
                    double requests_per_s)
{
  const br_control_task_t *task = duties->task;
  size_t upstreams = 0;
  double missing = 0;

  for (size_t i = 0; i < task->listings.len; i++)
    upstreams
        += !task->listings.items[i].draining
           && br_name_equal (&task->listings.items[i].service, service)
           && br_control_version_is_allowed (task, &task->listings.items[i]);
  for (size_t i = 0; upstreams > 0 && i < task->listings.len; i++)
    {
      const br_listing_t *listing = &task->listings.items[i];
      const br_limit_pool_t *pool
          = br_limit_pools_find (&task->limits, &listing->id);

      if (!listing->draining && br_name_equal (&listing->service, service)
          && br_control_version_is_allowed (task, listing) && pool != NULL
          && pool->statement.named)
        missing += br_sizing_missing (pool->statement.per_s,
                                      requests_per_s / (double)upstreams);
    }
  return missing;
}

static void
duties_update_load (br_control_duties_t *duties,
                    const br_site_service_t *service,
                    br_ms_t now)
{
  service_load_t *load = duties_load (duties, &service->name);
  br_sizing_load_t sum = duties_sum_load (duties, service, now);
  int needed;

  if (load->peak_ms == 0)
    {
      load->needed_peak = br_sizing_initial (&service->scaling);
      load->peak_ms = now;
    }
  load->load.slots = sum.slots;
  load->load.prefill_per_ms = sum.prefill_per_ms;
  load->load.prefill_per_s
      += LOAD_WEIGHT * (sum.prefill_per_s - load->load.prefill_per_s);
  load->load.in_flight += LOAD_WEIGHT * (sum.in_flight - load->load.in_flight);
  load->requests_per_s
      += LOAD_WEIGHT
         * (duties_sum_requests (duties, service, now) - load->requests_per_s);
  load->load.missing
      = duties_sum_missing (duties, &service->name, load->requests_per_s);
  needed = BR_MIN (br_sizing_needed (&load->load),
                   br_sizing_max (&service->scaling));
  /* Without load the number is not lowered. */
  if (load->load.prefill_per_s < 1 && load->load.in_flight < 1)
    load->peak_ms = now;
  if (needed >= load->needed_peak || now - load->peak_ms > SHRINK_DELAY_MS)
    {
      load->needed_peak = needed;
      load->peak_ms = now;
    }
  if (load->needed != load->needed_peak)
    BR_LOG (&duties->task->node->log, "duty", "upstreams needed",
            br_field_z ("service", service->name.data),
            br_field_int ("needed", load->needed_peak),
            br_field_int ("now", needed),
            br_field_int ("prefill_tokens_per_s",
                          (int64_t)load->load.prefill_per_s),
            br_field_int ("prefill_tokens_per_ms",
                          (int64_t)load->load.prefill_per_ms),
            br_field_int ("in_flight", (int64_t)load->load.in_flight),
            br_field_int ("limited", (int64_t)ceil (load->load.missing)));
  load->needed = load->needed_peak;
  load->needed_now = needed;
}

/* Returns whether the group's reclaimable VMs are being reclaimed, or were
 * less than RECLAIMED_BACKOFF_MS ago. */
static bool
group_is_reclaimed (const br_control_duties_t *duties,
                    upstream_group_t *group,
                    br_ms_t now)
{
  const br_listings_t *listings = &duties->task->listings;
  size_t draining = 0;
  size_t all = 0;

  for (size_t i = 0; i < listings->len; i++)
    {
      const br_listing_t *listing = &listings->items[i];

      if (!listing->spot || !br_name_equal (&listing->service, &group->service)
          || !br_name_equal (&listing->failure_domain, &group->failure_domain))
        continue;
      all++;
      draining += listing->draining ? 1 : 0;
    }
  if (br_sizing_is_reclaim (draining, all)
      && now - group->shrunk_ms > EXPECTED_LEAVING_MS)
    {
      /* The reclaimed VMs no longer count as ordered. */
      group->reclaimed_ms = now;
      group->spot.desired_count = 0;
    }
  return group->reclaimed_ms > 0
         && now - group->reclaimed_ms < RECLAIMED_BACKOFF_MS;
}

static void
query_count (br_sizing_query_t *query,
             const br_control_task_t *task,
             const br_name_t *service)
{
  const br_listings_t *listings = &task->listings;

  for (size_t i = 0; i < listings->len; i++)
    {
      const br_listing_t *listing = &listings->items[i];

      if (listing->draining || !br_name_equal (&listing->service, service)
          || !br_control_version_is_allowed (task, listing))
        continue;
      for (size_t j = 0; j < query->n_domains; j++)
        if (br_name_equal (&query->domains[j].failure_domain,
                           &listing->failure_domain))
          *(listing->spot ? &query->domains[j].spot
                          : &query->domains[j].on_demand)
              += 1;
    }
}

static void
query_fill (br_control_duties_t *duties,
            const br_site_service_t *service,
            br_sizing_query_t *query,
            br_ms_t now)
{
  const br_domain_prices_t *domains = &service->scaling.domains;

  *query = (br_sizing_query_t){
    .limits = &service->scaling,
    .needed = duties_load (duties, &service->name)->needed,
    .needed_now = duties_load (duties, &service->name)->needed_now,
  };
  for (size_t i = 0; i < domains->len && i < BR_SIZING_DOMAINS_MAX; i++)
    {
      upstream_group_t *group = duties_group (
          duties, &service->name, &domains->items[i].failure_domain);
      br_sizing_domain_t *domain = &query->domains[query->n_domains++];

      *domain = (br_sizing_domain_t){
        .failure_domain = domains->items[i].failure_domain,
        .price = domains->items[i].price,
        .spot_desired_count = group->spot.desired_count,
        .on_demand_desired_count = group->on_demand.desired_count,
        .spot_refused = now < group->spot.refused_until_ms
                        || group_is_reclaimed (duties, group, now),
      };
    }
  query_count (query, duties->task, &service->name);
}

static order_state_t *
order_target (br_control_duties_t *duties, const order_t *order)
{
  upstream_group_t *group = duties_group (duties, &order->group.service,
                                          &order->group.failure_domain);

  return order->spot ? &group->spot : &group->on_demand;
}

static void
order_on_posted (void *context, int status)
{
  br_control_duties_t *duties = context;
  order_state_t *state = order_target (duties, &duties->order);
  br_ms_t now = br_node_now (duties->task->node);

  BR_LOG (
      &duties->task->node->log, "duty", "upstreams ordered",
      br_field_z ("service", duties->order.group.service.data),
      br_field_z ("failure_domain", duties->order.group.failure_domain.data),
      br_field_int ("spot", duties->order.spot),
      br_field_int ("wanted", duties->order.desired_count),
      br_field_int ("term", (int64_t)duties->term),
      br_field_int ("status", status));
  duties->order_state = BR_CALL_NONE;
  if (status == 200 && duties->order.spot
      && (state->desired_count < 0
          || duties->order.desired_count < state->desired_count))
    duties_group (duties, &duties->order.group.service,
                  &duties->order.group.failure_domain)
        ->shrunk_ms
        = now;
  if (status == 200)
    state->desired_count = duties->order.desired_count;
  else if (status == 409)
    state->refused_until_ms = now + REFUSED_BACKOFF_MS;
  state->retry_ms = status == 200 ? 0 : now + CALL_RETRY_MS;
  if (br_duties_is_current (duties))
    br_duties_size_tick (duties, now);
}

void
br_duties_order_post (br_control_duties_t *duties)
{
  br_duty_holder_t holder = br_duties_holder (duties);
  br_upstream_order_t order = {
    .service = duties->order.group.service.data,
    .failure_domain = duties->order.group.failure_domain.data,
    .desired_count = duties->order.desired_count,
    .spot = duties->order.spot,
  };

  if (!br_duties_is_current (duties))
    {
      duties->order_state = BR_CALL_NONE;
      return;
    }
  duties->order_state = BR_CALL_POSTING;
  duties->last_call_term = duties->term;
  br_cloud_order (duties->task->cloud, &holder, &order, order_on_posted,
                  duties);
}

static bool
order_try (br_control_duties_t *duties,
           upstream_group_t *group,
           bool spot,
           int desired_count,
           br_ms_t now)
{
  order_state_t *state = spot ? &group->spot : &group->on_demand;

  if (desired_count == state->desired_count || now < state->retry_ms
      || (desired_count > state->desired_count
          && now < state->refused_until_ms))
    return false;
  duties->order = (order_t){ .group = *group,
                             .spot = spot,
                             .desired_count = desired_count };
  duties->order_state = BR_CALL_CONFIRMING;
  duties->order_ticket = br_replica_task_read (duties->task->node->replica);
  return true;
}

/* Starts the first order whose number differs from the last one ordered. Orders
 * for more upstreams come before orders for fewer. */
static bool
size_service (br_control_duties_t *duties,
              const br_site_service_t *service,
              br_ms_t now)
{
  br_sizing_target_t targets[BR_SIZING_DOMAINS_MAX];
  br_sizing_query_t query;

  query_fill (duties, service, &query, now);
  br_sizing_decide (&query, targets);
  for (int fewer = 0; fewer <= 1; fewer++)
    for (size_t i = 0; i < query.n_domains; i++)
      {
        const br_sizing_domain_t *domain = &query.domains[i];
        upstream_group_t *group
            = duties_group (duties, &service->name, &domain->failure_domain);

        if ((targets[i].spot < domain->spot) == (fewer == 1)
            && order_try (duties, group, true, targets[i].spot, now))
          return true;
        if ((targets[i].on_demand < domain->on_demand) == (fewer == 1)
            && order_try (duties, group, false, targets[i].on_demand, now))
          return true;
      }
  return false;
}

void
br_duties_size_tick (br_control_duties_t *duties, br_ms_t now)
{
  const br_site_services_t *services;
  bool update = now - duties->last_sizing_ms >= SIZING_PERIOD_MS;

  if (duties->task->configuration == NULL
      || duties->task->list_term != duties->task->leads_term)
    return;
  services = &duties->task->configuration->services;
  if (update)
    duties->last_sizing_ms = now;
  for (size_t i = 0; i < services->len; i++)
    {
      if (!services->items[i].scalable)
        continue;
      if (update)
        duties_update_load (duties, &services->items[i], now);
      /* An order would undo the platform's own starts. */
      if (duties->order_state == BR_CALL_NONE
          && !br_control_is_rolling_out (duties->task, &services->items[i].name,
                                         now))
        size_service (duties, &services->items[i], now);
    }
}
