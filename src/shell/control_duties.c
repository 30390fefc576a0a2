/* The duties of the leading control VM towards the platform: usage reports and
 * orders for upstreams.  Each call carries the term of the leader as its
 * fencing number, and follows a round of the log that confirms the term. */
#include <stdlib.h>
#include <string.h>

#include "shell/control_inside.h"
#include "shell/replica_task.h"
#include "site/sizing.h"
#include "state/command.h"

/* Time between two looks at what is due. */
#define LOOK_MS 200

/* After the end of a window the entry VMs' last counts are waited for: this
 * long in any case, in milliseconds, and at most this share of the time in
 * which the report is due, so that a second holder can still make it. */
#define SETTLE_MIN_MS 900
#define SETTLE_SHARE 0.65

/* Windows back to which a new leader reports. */
#define WINDOWS_BACK 3

/* What an entry VM told of its load is used for this long, in milliseconds. */
#define ENTRY_LIFE_MS 3000

/* An entry VM that was cut off may still have counts to tell for this long, in
 * milliseconds. */
#define ENTRY_AWAITED_MS 30000

/* A new leader acts after this time, in milliseconds: calls of the one before
 * are through, and most entry VMs have reported. */
#define TAKE_OVER_MS 700

/* A call that failed is made again after this time, in milliseconds. */
#define CALL_AGAIN_MS 600

/* Time between two decisions on the number of upstreams. */
#define SIZE_MS 1000

/* After an order that was turned down, the failure domain is left alone for
 * this long, in milliseconds. */
#define REFUSED_MS 3000

/* After reclaimable VMs were taken back, none are asked for there for this
 * long, in milliseconds. */
#define RECLAIMED_MS 4000

/* For this long after an order for fewer, VMs that leave were given up and not
 * taken back, in milliseconds. */
#define SHRUNK_MS 8000

/* A lower number of upstreams is ordered only when it was enough for this
 * long, in milliseconds: longer than the usual waves of load. */
#define SHRINK_MS 12000

/* Weight of the newest load report in the average. */
#define LOAD_WEIGHT 0.3

typedef enum
{
  CALL_NONE,
  CALL_DECIDING,   /* the counts are being fixed in the log */
  CALL_CONFIRMING, /* a round of the log confirms the term */
  CALL_POSTING,
} call_state_t;

/* What was ordered in one failure domain, of one kind. */
typedef struct
{
  int wanted; /* -1: nothing yet */
  br_ms_t refused_until_ms;
  br_ms_t retry_ms; /* no order before */
} order_state_t;

typedef struct
{
  br_name_t service;
  br_name_t failure_domain;
  order_state_t spot;
  order_state_t steady;
  br_ms_t shrunk_ms;    /* when fewer reclaimable VMs were last ordered */
  br_ms_t reclaimed_ms; /* when its reclaimable VMs were last seen leaving */
} place_t;

BR_VEC (places, place_t);

/* The load of one service, averaged. */
typedef struct
{
  br_name_t service;
  br_sizing_load_t load;
  int needed;
  int needed_now;  /* without foresight */
  int needed_peak; /* of the time since PEAK_MS */
  br_ms_t peak_ms;
} service_load_t;

BR_VEC (service_loads, service_load_t);

/* An order that is under way. */
typedef struct
{
  place_t place; /* copy of its names */
  bool spot;
  int wanted;
} order_t;

struct br_control_duties
{
  br_control_task_t *task;
  br_ms_t look_ms;
  br_ms_t size_ms;
  uint64_t acted_term; /* in which this VM last made a call */
  bool has_acted;      /* in a term before this one */
  uint64_t term;       /* for which the state below holds */

  call_state_t usage_state;
  uint64_t usage_ticket;
  uint64_t usage_window; /* being reported */
  uint64_t reported;     /* newest window that was accepted */
  br_ms_t usage_retry_ms;

  call_state_t order_state;
  uint64_t order_ticket;
  order_t order;
  places_t places;
  service_loads_t loads;
};

br_control_duties_t *
br_control_duties_new (br_control_task_t *task)
{
  br_control_duties_t *duties = br_alloc_zero (sizeof *duties);

  duties->task = task;
  return duties;
}

void
br_control_duties_free (br_control_duties_t *duties)
{
  if (duties == NULL)
    return;
  places_free (&duties->places);
  service_loads_free (&duties->loads);
  free (duties);
}

static bool
duties_has (const br_control_duties_t *duties, const char *name)
{
  const br_buf_t *list = &duties->task->node->settings.site.duties;

  return list->len > 0 && strstr (list->data, name) != NULL;
}

static br_duty_holder_t
duties_holder (const br_control_duties_t *duties)
{
  br_duty_holder_t holder = {
    .vm = duties->task->node->settings.vm.data,
    .fencing = duties->task->leads_term,
  };

  return holder;
}

/* Whether this VM still leads in the term that a call was begun in. */
static bool
duties_hold (const br_control_duties_t *duties)
{
  return br_replica_task_is_leader (duties->task->node->replica)
         && br_replica_task_term (duties->task->node->replica) == duties->term;
}

/* --- usage --- */

static br_ms_t
duties_window_ms (const br_control_duties_t *duties)
{
  return (br_ms_t)(duties->task->node->settings.site.usage_window_s * 1000);
}

static void
usage_failed (br_control_duties_t *duties)
{
  duties->usage_state = CALL_NONE;
  duties->usage_retry_ms = br_node_now (duties->task->node) + CALL_AGAIN_MS;
}

static void
usage_on_posted (void *context, int status)
{
  br_control_duties_t *duties = context;

  BR_LOG (&duties->task->node->log, "duty", "usage reported",
          br_field_int ("window", (int64_t)duties->usage_window),
          br_field_int ("term", (int64_t)duties->term),
          br_field_int ("status", status));
  if (status != 200)
    {
      usage_failed (duties);
      return;
    }
  duties->usage_state = CALL_NONE;
  duties->reported = duties->usage_window;
}

static void
usage_post (br_control_duties_t *duties)
{
  const Br__State__UsageDecision *decision
      = br_state_usage (duties->task->node->state, duties->usage_window);
  br_duty_holder_t holder = duties_holder (duties);
  br_usage_count_t *counts;

  if (decision == NULL || !duties_hold (duties))
    {
      usage_failed (duties);
      return;
    }
  counts = br_alloc ((decision->n_counts + 1) * sizeof *counts);
  for (size_t i = 0; i < decision->n_counts; i++)
    counts[i] = (br_usage_count_t){ decision->counts[i]->organisation,
                                    decision->counts[i]->requests };
  duties->usage_state = CALL_POSTING;
  duties->acted_term = duties->term;
  br_cloud_report_usage (duties->task->cloud, &holder, duties->usage_window,
                         counts, decision->n_counts, usage_on_posted, duties);
  free (counts);
}

static void
usage_confirm (br_control_duties_t *duties)
{
  duties->usage_state = CALL_CONFIRMING;
  duties->usage_ticket = br_replica_task_read (duties->task->node->replica);
}

/* Fixes the counts in the log before they are told for the first time, so that
 * another leader would repeat the same. */
static void
usage_decide (br_control_duties_t *duties)
{
  br_usage_entries_t sum = { 0 };
  Br__State__UsageDecision decision = BR__STATE__USAGE_DECISION__INIT;
  Br__State__UsageCount *wire;
  Br__State__UsageCount **views;
  br_buf_t command = { 0 };

  br_usage_ledger_sum (&duties->task->ledger, duties->usage_window, &sum);
  wire = br_alloc ((sum.len + 1) * sizeof *wire);
  views = br_alloc ((sum.len + 1) * sizeof *views);
  for (size_t i = 0; i < sum.len; i++)
    {
      wire[i] = (Br__State__UsageCount)BR__STATE__USAGE_COUNT__INIT;
      wire[i].organisation = sum.items[i].organisation.data;
      wire[i].requests = sum.items[i].requests;
      views[i] = &wire[i];
    }
  decision.window = duties->usage_window;
  decision.n_counts = sum.len;
  decision.counts = views;
  br_state_command_usage (&decision, &command);
  duties->usage_state = CALL_DECIDING;
  duties->usage_ticket = br_replica_task_propose (duties->task->node->replica,
                                                  br_buf_str (&command));
  br_buf_free (&command);
  br_usage_entries_free (&sum);
  free (wire);
  free (views);
}

static bool
usage_is_settled (const br_control_duties_t *duties,
                  uint64_t window,
                  br_ms_t wall,
                  br_ms_t now)
{
  br_ms_t end = (br_ms_t)(window + 1) * duties_window_ms (duties);
  br_ms_t late_ms
      = (br_ms_t)(duties->task->node->settings.site.usage_late_s * 1000);

  if (wall < end + SETTLE_MIN_MS)
    return false;
  return wall >= end + (br_ms_t)((double)late_ms * SETTLE_SHARE)
         || br_usage_ledger_is_complete (&duties->task->ledger,
                                         now - ENTRY_AWAITED_MS, end);
}

static void
usage_tick (br_control_duties_t *duties, br_ms_t now)
{
  br_control_task_t *task = duties->task;
  br_ms_t wall = br_site_clock_wall (&task->clock, now);
  uint64_t current = br_usage_window_of (wall, duties_window_ms (duties));
  uint64_t next = BR_MAX (duties->reported + 1, current - WINDOWS_BACK);

  if (duties->usage_state != CALL_NONE || now < duties->usage_retry_ms
      || next >= current || !usage_is_settled (duties, next, wall, now))
    return;
  duties->usage_window = next;
  if (br_state_usage (task->node->state, next) != NULL)
    usage_confirm (duties);
  else
    usage_decide (duties);
}

static void
usage_on_proposal (br_control_duties_t *duties,
                   const br_proposal_message_t *proposal)
{
  if (proposal->outcome != BR_PROPOSAL_COMMITTED)
    usage_failed (duties);
  else
    usage_post (duties);
}

/* --- the number of upstreams --- */

static place_t *
duties_place (br_control_duties_t *duties,
              const br_name_t *service,
              const br_name_t *failure_domain)
{
  place_t fresh = {
    .service = *service,
    .failure_domain = *failure_domain,
    .spot.wanted = -1,
    .steady.wanted = -1,
  };

  for (size_t i = 0; i < duties->places.len; i++)
    if (br_name_equal (&duties->places.items[i].service, service)
        && br_name_equal (&duties->places.items[i].failure_domain,
                          failure_domain))
      return &duties->places.items[i];
  return places_push (&duties->places, fresh);
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

/* What all entry VMs together tell of the service. */
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
      const Br__Site__EntryReport *report = entries->items[i].told->report;

      if (now - entries->items[i].heard_ms >= ENTRY_LIFE_MS)
        continue;
      for (size_t j = 0; j < report->n_services; j++)
        if (strcmp (report->services[j]->service, service->name.data) == 0)
          load_add (&sum, &speed_sum, &speeds, report->services[j]);
    }
  sum.prefill_per_ms = speeds > 0 ? speed_sum / (double)speeds : 0;
  return sum;
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
      load->needed_peak = br_sizing_begin (&service->scaling);
      load->peak_ms = now;
    }
  load->load.slots = sum.slots;
  load->load.prefill_per_ms = sum.prefill_per_ms;
  load->load.prefill_per_s
      += LOAD_WEIGHT * (sum.prefill_per_s - load->load.prefill_per_s);
  load->load.in_flight += LOAD_WEIGHT * (sum.in_flight - load->load.in_flight);
  needed = BR_MIN (br_sizing_needed (&load->load),
                   br_sizing_most (&service->scaling));
  /* Until callers come there is nothing to go by. */
  if (load->load.prefill_per_s < 1 && load->load.in_flight < 1)
    load->peak_ms = now;
  if (needed >= load->needed_peak || now - load->peak_ms > SHRINK_MS)
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
            br_field_int ("in_flight", (int64_t)load->load.in_flight));
  load->needed = load->needed_peak;
  load->needed_now = needed;
}

/* Whether the place's reclaimable VMs are being taken back, or were lately. */
static bool
place_is_reclaimed (const br_control_duties_t *duties,
                    place_t *place,
                    br_ms_t now)
{
  const br_listings_t *listings = &duties->task->listings;

  for (size_t i = 0; i < listings->len; i++)
    {
      const br_listing_t *listing = &listings->items[i];

      if (listing->draining && listing->spot
          && now - place->shrunk_ms > SHRUNK_MS
          && br_name_equal (&listing->service, &place->service)
          && br_name_equal (&listing->failure_domain, &place->failure_domain))
        {
          /* They are gone from what was ordered. */
          place->reclaimed_ms = now;
          place->spot.wanted = 0;
        }
    }
  return place->reclaimed_ms > 0 && now - place->reclaimed_ms < RECLAIMED_MS;
}

static void
query_count (br_sizing_query_t *query,
             const br_listings_t *listings,
             const br_name_t *service)
{
  for (size_t i = 0; i < listings->len; i++)
    {
      const br_listing_t *listing = &listings->items[i];

      if (listing->draining || !br_name_equal (&listing->service, service))
        continue;
      for (size_t j = 0; j < query->n_domains; j++)
        if (br_name_equal (&query->domains[j].failure_domain,
                           &listing->failure_domain))
          *(listing->spot ? &query->domains[j].spot : &query->domains[j].steady)
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
      place_t *place = duties_place (duties, &service->name,
                                     &domains->items[i].failure_domain);
      br_sizing_domain_t *domain = &query->domains[query->n_domains++];

      *domain = (br_sizing_domain_t){
        .failure_domain = domains->items[i].failure_domain,
        .price = domains->items[i].price,
        .spot_wanted = place->spot.wanted,
        .steady_wanted = place->steady.wanted,
        .spot_refused = now < place->spot.refused_until_ms
                        || place_is_reclaimed (duties, place, now),
      };
    }
  query_count (query, &duties->task->listings, &service->name);
}

static void size_tick (br_control_duties_t *duties, br_ms_t now);

static order_state_t *
order_target (br_control_duties_t *duties, const order_t *order)
{
  place_t *place = duties_place (duties, &order->place.service,
                                 &order->place.failure_domain);

  return order->spot ? &place->spot : &place->steady;
}

static void
order_on_posted (void *context, int status)
{
  br_control_duties_t *duties = context;
  order_state_t *state = order_target (duties, &duties->order);
  br_ms_t now = br_node_now (duties->task->node);

  BR_LOG (
      &duties->task->node->log, "duty", "upstreams ordered",
      br_field_z ("service", duties->order.place.service.data),
      br_field_z ("failure_domain", duties->order.place.failure_domain.data),
      br_field_int ("spot", duties->order.spot),
      br_field_int ("wanted", duties->order.wanted),
      br_field_int ("term", (int64_t)duties->term),
      br_field_int ("status", status));
  duties->order_state = CALL_NONE;
  if (status == 200 && duties->order.spot
      && (state->wanted < 0 || duties->order.wanted < state->wanted))
    duties_place (duties, &duties->order.place.service,
                  &duties->order.place.failure_domain)
        ->shrunk_ms
        = now;
  if (status == 200)
    state->wanted = duties->order.wanted;
  else if (status == 409)
    state->refused_until_ms = now + REFUSED_MS;
  state->retry_ms = status == 200 ? 0 : now + CALL_AGAIN_MS;
  if (duties_hold (duties))
    size_tick (duties, now);
}

static void
order_post (br_control_duties_t *duties)
{
  br_duty_holder_t holder = duties_holder (duties);
  br_upstream_order_t order = {
    .service = duties->order.place.service.data,
    .failure_domain = duties->order.place.failure_domain.data,
    .wanted = duties->order.wanted,
    .spot = duties->order.spot,
  };

  if (!duties_hold (duties))
    {
      duties->order_state = CALL_NONE;
      return;
    }
  duties->order_state = CALL_POSTING;
  duties->acted_term = duties->term;
  br_cloud_order (duties->task->cloud, &holder, &order, order_on_posted,
                  duties);
}

static bool
order_try (br_control_duties_t *duties,
           place_t *place,
           bool spot,
           int wanted,
           br_ms_t now)
{
  order_state_t *state = spot ? &place->spot : &place->steady;

  if (wanted == state->wanted || now < state->retry_ms
      || (wanted > state->wanted && now < state->refused_until_ms))
    return false;
  duties->order = (order_t){ .place = *place, .spot = spot, .wanted = wanted };
  duties->order_state = CALL_CONFIRMING;
  duties->order_ticket = br_replica_task_read (duties->task->node->replica);
  return true;
}

/* Starts the first order that differs from what was ordered: more before
 * fewer. */
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
        place_t *place
            = duties_place (duties, &service->name, &domain->failure_domain);

        if ((targets[i].spot < domain->spot) == (fewer == 1)
            && order_try (duties, place, true, targets[i].spot, now))
          return true;
        if ((targets[i].steady < domain->steady) == (fewer == 1)
            && order_try (duties, place, false, targets[i].steady, now))
          return true;
      }
  return false;
}

static void
size_tick (br_control_duties_t *duties, br_ms_t now)
{
  const br_site_services_t *services;
  bool update = now - duties->size_ms >= SIZE_MS;

  if (duties->task->configuration == NULL
      || duties->task->list_term != duties->task->leads_term)
    return;
  services = &duties->task->configuration->services;
  if (update)
    duties->size_ms = now;
  for (size_t i = 0; i < services->len; i++)
    {
      if (!services->items[i].scalable)
        continue;
      if (update)
        duties_update_load (duties, &services->items[i], now);
      if (duties->order_state == CALL_NONE)
        size_service (duties, &services->items[i], now);
    }
}

/* --- both --- */

static void
duties_begin_term (br_control_duties_t *duties)
{
  duties->has_acted = duties->acted_term > 0;
  duties->term = duties->task->leads_term;
  duties->usage_state = CALL_NONE;
  duties->order_state = CALL_NONE;
  duties->reported = 0;
  places_clear (&duties->places);
  service_loads_clear (&duties->loads);
}

bool
br_control_duties_on_proposal (br_control_duties_t *duties,
                               const br_proposal_message_t *proposal)
{
  if (duties->usage_ticket == proposal->ticket
      && (duties->usage_state == CALL_DECIDING
          || duties->usage_state == CALL_CONFIRMING))
    {
      duties->usage_ticket = 0;
      usage_on_proposal (duties, proposal);
      return true;
    }
  if (duties->order_ticket == proposal->ticket
      && duties->order_state == CALL_CONFIRMING)
    {
      duties->order_ticket = 0;
      duties->order_state = CALL_NONE;
      if (proposal->outcome == BR_PROPOSAL_COMMITTED)
        order_post (duties);
      return true;
    }
  return false;
}

/* How long a leader waits before it acts.  Calls that the leader before made
 * have arrived when its term is over; but a VM that acted in an earlier term
 * must not act again soon after another one, nor one that may have. */
static br_ms_t
duties_wait_ms (const br_control_duties_t *duties)
{
  const br_node_t *node = duties->task->node;
  br_ms_t lease_ms = node->settings.site.lease_ms;
  bool is_young = duties->task->leads_ms - node->started_ms < lease_ms;

  if (is_young && node->settings.site.founding)
    return TAKE_OVER_MS;
  return is_young || duties->has_acted ? lease_ms : TAKE_OVER_MS;
}

void
br_control_duties_tick (br_control_duties_t *duties, br_ms_t now)
{
  br_control_task_t *task = duties->task;

  if (duties->term != task->leads_term)
    duties_begin_term (duties);
  if (now - task->leads_ms < duties_wait_ms (duties)
      || br_state_site_version (task->node->state) == 0
      || now - duties->look_ms < LOOK_MS)
    return;
  duties->look_ms = now;
  if (duties_has (duties, "usage"))
    usage_tick (duties, now);
  if (duties_has (duties, "scaling"))
    size_tick (duties, now);
}
