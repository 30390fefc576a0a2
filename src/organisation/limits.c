#include "organisation/limits.h"

#include <math.h>

#define MS_PER_S 1000

/* Weight of the latest period or request in smoothed values. */
#define PERIOD_SMOOTHING 0.5
#define REQUEST_SMOOTHING 0.1

/* Factor from measured use to demand.  Without it, a growing demand would stay
 * limited by the share that its past use obtained. */
#define HEADROOM 1.25

/* Retry-after time when no time can be computed. */
#define RETRY_AFTER_DEFAULT_MS 1000

void
br_limits_init (br_limits_t *limits, const br_admission_options_t *options)
{
  *limits = (br_limits_t){
    .vm = options->vm,
    .incarnation = options->incarnation,
    .n_vms = options->vms->len,
    .digest_ms = options->now,
  };
  for (size_t i = 0; i < options->vms->len; i++)
    {
      const br_name_t *vm = &options->vms->items[i];
      int order = br_str_compare (br_name_str (vm), br_name_str (&options->vm));

      if (order < 0)
        limits->index++;
      if (order != 0)
        br_limits_peers_push (&limits->peers, (br_limits_peer_t){ .vm = *vm });
    }
}

void
br_limits_release (br_limits_t *limits)
{
  for (size_t i = 0; i < limits->organisations.len; i++)
    {
      br_lease_share_release (&limits->organisations.items[i].rate);
      br_lease_share_release (&limits->organisations.items[i].slots);
    }
  br_organisation_usages_free (&limits->organisations);
  br_limits_peers_free (&limits->peers);
}

br_organisation_usage_t *
br_limits_find (br_limits_t *limits, const br_name_t *organisation)
{
  br_organisation_usage_t added
      = { .declared = { .name = *organisation, .weight = 1 } };

  for (size_t i = 0; i < limits->organisations.len; i++)
    if (br_name_equal (&limits->organisations.items[i].declared.name,
                       organisation))
      return &limits->organisations.items[i];
  return br_organisation_usages_push (&limits->organisations, added);
}

static void
usage_fill (br_organisation_usage_t *organisation, br_ms_t now)
{
  br_token_bucket_set_rate (&organisation->bucket,
                            br_lease_share_usable (&organisation->rate, now),
                            now);
}

void
br_limits_declare (br_limits_t *limits,
                   const br_admission_limits_t *declared,
                   br_ms_t now)
{
  br_organisation_usage_t *organisation
      = br_limits_find (limits, &declared->name);

  /* A bucket that gets its first limit starts with one request, not empty. */
  if (organisation->declared.requests_per_second == 0)
    organisation->bucket = (br_token_bucket_t){ 0 };
  organisation->declared = *declared;
  organisation->is_declared = true;
  br_lease_share_set (&organisation->rate,
                      (uint64_t)declared->requests_per_second
                          * BR_TOKEN_BUCKET_REQUEST,
                      limits->n_vms, limits->index, now);
  br_lease_share_set (&organisation->slots, (uint64_t)declared->in_flight,
                      limits->n_vms, limits->index, now);
  usage_fill (organisation, now);
}

void
br_limits_remove (br_limits_t *limits, const br_name_t *organisation)
{
  br_organisation_usage_t *found = br_limits_find (limits, organisation);

  found->is_declared = false;
  found->declared.requests_per_second = 0;
  found->declared.in_flight = 0;
}

/* Returns the expected time until one of the requests in flight ends. */
static br_ms_t
usage_slot_wait (const br_organisation_usage_t *organisation)
{
  if (organisation->in_flight == 0 || organisation->request_ms <= 0)
    return RETRY_AFTER_DEFAULT_MS;
  return (br_ms_t)ceil (organisation->request_ms
                        / (double)organisation->in_flight);
}

static br_ms_t
usage_rate_wait (br_organisation_usage_t *organisation, br_ms_t now)
{
  br_ms_t wait;

  usage_fill (organisation, now);
  wait = br_token_bucket_wait (&organisation->bucket);
  return wait == BR_MS_NEVER ? RETRY_AFTER_DEFAULT_MS : wait;
}

br_ms_t
br_limits_request (br_organisation_usage_t *organisation, br_ms_t now)
{
  uint64_t slots = organisation->in_flight + 1;

  organisation->requests++;
  organisation->slots_peak = BR_MAX (organisation->slots_peak, slots);
  if (organisation->declared.in_flight > 0
      && slots > br_lease_share_usable (&organisation->slots, now))
    return BR_MAX (usage_slot_wait (organisation), 1);
  if (organisation->declared.requests_per_second > 0)
    return usage_rate_wait (organisation, now);
  return 0;
}

void
br_limits_take (br_organisation_usage_t *organisation, br_ms_t now)
{
  organisation->in_flight++;
  if (organisation->declared.requests_per_second > 0)
    br_token_bucket_take (&organisation->bucket, now);
}

void
br_limits_end (br_organisation_usage_t *organisation, br_ms_t in_flight_ms)
{
  organisation->in_flight--;
  if (organisation->request_ms <= 0)
    organisation->request_ms = (double)in_flight_ms;
  else
    organisation->request_ms
        += REQUEST_SMOOTHING
           * ((double)in_flight_ms - organisation->request_ms);
}

static br_limits_peer_t *
limits_peer (br_limits_t *limits, const br_name_t *vm)
{
  for (size_t i = 0; i < limits->peers.len; i++)
    if (br_name_equal (&limits->peers.items[i].vm, vm))
      return &limits->peers.items[i];
  return NULL;
}

void
br_limits_on_digest (br_limits_t *limits, const br_admission_digest_t *digest)
{
  br_limits_peer_t *peer = limits_peer (limits, &digest->vm);
  br_ms_t sent_ms = BR_MS_NEVER;

  if (peer == NULL || digest->incarnation < peer->incarnation
      || (digest->incarnation == peer->incarnation
          && digest->sent_ms <= peer->sent_ms))
    return;
  peer->incarnation = digest->incarnation;
  peer->sent_ms = digest->sent_ms;
  if (digest->echo_incarnation == limits->incarnation)
    sent_ms = digest->echo_sent_ms;
  /* A digest is complete: the sender lacks nothing of what it does not list. */
  for (size_t i = 0; i < limits->organisations.len; i++)
    {
      br_organisation_usage_t *organisation = &limits->organisations.items[i];

      br_lease_share_receive (&organisation->rate, &digest->vm, 0, 0,
                              BR_MS_NEVER);
      br_lease_share_receive (&organisation->slots, &digest->vm, 0, 0,
                              BR_MS_NEVER);
    }
  for (size_t i = 0; i < digest->demands.len; i++)
    {
      const br_admission_demand_t *demand = &digest->demands.items[i];
      br_organisation_usage_t *organisation
          = br_limits_find (limits, &demand->organisation);

      br_lease_share_receive (&organisation->rate, &digest->vm,
                              demand->lacking_rate, demand->lent_rate, sent_ms);
      br_lease_share_receive (&organisation->slots, &digest->vm,
                              demand->lacking_slots, demand->lent_slots,
                              sent_ms);
    }
}

static void
usage_measure (br_organisation_usage_t *organisation, br_ms_t span_ms)
{
  double rate = (double)organisation->requests * MS_PER_S
                * BR_TOKEN_BUCKET_REQUEST / (double)span_ms;
  double before = (double)organisation->demand_rate / HEADROOM;
  uint64_t peak = BR_MAX (organisation->slots_peak, organisation->in_flight);

  organisation->demand_rate
      = (uint64_t)(HEADROOM * (before + PERIOD_SMOOTHING * (rate - before)));
  organisation->demand_slots = (uint64_t)ceil (HEADROOM * (double)peak);
  organisation->requests = 0;
  organisation->slots_peak = 0;
}

/* Returns by how much DEMAND exceeds this VM's fixed share. */
static uint64_t
share_lacking (const br_lease_share_t *share, uint64_t demand)
{
  return demand > share->own ? demand - share->own : 0;
}

static br_admission_demand_t
usage_demand (br_organisation_usage_t *organisation,
              const br_name_t *vm,
              br_ms_t now)
{
  br_admission_demand_t demand
      = { .organisation = organisation->declared.name };

  if (organisation->declared.requests_per_second > 0)
    {
      demand.lacking_rate
          = share_lacking (&organisation->rate, organisation->demand_rate);
      demand.lent_rate = br_lease_share_lend (&organisation->rate, vm,
                                              organisation->demand_rate, now);
    }
  if (organisation->declared.in_flight > 0)
    {
      demand.lacking_slots
          = share_lacking (&organisation->slots, organisation->demand_slots);
      demand.lent_slots = br_lease_share_lend (&organisation->slots, vm,
                                               organisation->demand_slots, now);
    }
  return demand;
}

static void
limits_send_digest (br_limits_t *limits,
                    const br_limits_peer_t *peer,
                    br_ms_t now,
                    br_admission_outbox_t *outbox)
{
  br_admission_output_t output = { .kind = BR_ADMISSION_SEND_DIGEST };

  for (size_t i = 0; i < limits->organisations.len; i++)
    {
      br_organisation_usage_t *organisation = &limits->organisations.items[i];
      br_admission_demand_t demand;

      if (!organisation->is_declared)
        continue;
      demand = usage_demand (organisation, &peer->vm, now);
      if (demand.lacking_rate > 0 || demand.lacking_slots > 0
          || demand.lent_rate > 0 || demand.lent_slots > 0)
        br_admission_demands_push (&output.digest.demands, demand);
    }
  if (output.digest.demands.len == 0)
    return;
  output.digest.vm = peer->vm;
  output.digest.incarnation = limits->incarnation;
  output.digest.sent_ms = now;
  output.digest.echo_incarnation = peer->incarnation;
  output.digest.echo_sent_ms = peer->sent_ms;
  br_admission_outbox_push (outbox, output);
}

void
br_limits_tick (br_limits_t *limits, br_ms_t now, br_admission_outbox_t *outbox)
{
  br_ms_t span_ms = now - limits->digest_ms;

  for (size_t i = 0; i < limits->organisations.len; i++)
    usage_fill (&limits->organisations.items[i], now);
  if (span_ms < BR_ADMISSION_DIGEST_MS)
    return;
  limits->digest_ms = now;
  for (size_t i = 0; i < limits->organisations.len; i++)
    usage_measure (&limits->organisations.items[i], span_ms);
  for (size_t i = 0; i < limits->peers.len; i++)
    limits_send_digest (limits, &limits->peers.items[i], now, outbox);
}
