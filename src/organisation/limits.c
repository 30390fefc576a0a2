#include "organisation/limits.h"

#include <math.h>

#define MS_PER_S 1000

/* Weight of the newest period or request in smoothed values. */
#define SMOOTHING 0.5
#define HOLD_SMOOTHING 0.1

/* What is wanted beyond what was measured, so that a growing demand is not
 * held down by its own past. */
#define HEADROOM 1.25

/* When to come back if nothing was measured yet. */
#define WAIT_UNKNOWN_MS 1000

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
  br_limited_list_free (&limits->organisations);
  br_limits_peers_free (&limits->peers);
}

br_limited_t *
br_limits_find (br_limits_t *limits, const br_name_t *organisation)
{
  br_limited_t fresh = { .declared = { .name = *organisation, .weight = 1 } };

  for (size_t i = 0; i < limits->organisations.len; i++)
    if (br_name_equal (&limits->organisations.items[i].declared.name,
                       organisation))
      return &limits->organisations.items[i];
  return br_limited_list_push (&limits->organisations, fresh);
}

static void
limited_fill (br_limited_t *organisation, br_ms_t now)
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
  br_limited_t *organisation = br_limits_find (limits, &declared->name);

  /* A first limit starts with one request, not with an empty bucket. */
  if (organisation->declared.requests_per_second == 0)
    organisation->bucket = (br_token_bucket_t){ 0 };
  organisation->declared = *declared;
  organisation->known = true;
  br_lease_share_set (&organisation->rate,
                      (uint64_t)declared->requests_per_second
                          * BR_TOKEN_BUCKET_REQUEST,
                      limits->n_vms, limits->index, now);
  br_lease_share_set (&organisation->slots, (uint64_t)declared->in_flight,
                      limits->n_vms, limits->index, now);
  limited_fill (organisation, now);
}

void
br_limits_forget (br_limits_t *limits, const br_name_t *organisation)
{
  br_limited_t *found = br_limits_find (limits, organisation);

  found->known = false;
  found->declared.requests_per_second = 0;
  found->declared.in_flight = 0;
}

/* How long until one of the requests in flight has probably ended. */
static br_ms_t
limited_slot_wait (const br_limited_t *organisation)
{
  if (organisation->in_flight == 0 || organisation->hold_ms <= 0)
    return WAIT_UNKNOWN_MS;
  return (br_ms_t)ceil (organisation->hold_ms
                        / (double)organisation->in_flight);
}

static br_ms_t
limited_rate_wait (br_limited_t *organisation, br_ms_t now)
{
  br_ms_t wait;

  limited_fill (organisation, now);
  wait = br_token_bucket_wait (&organisation->bucket);
  return wait == BR_MS_NEVER ? WAIT_UNKNOWN_MS : wait;
}

br_ms_t
br_limits_request (br_limited_t *organisation, br_ms_t now)
{
  uint64_t slots = organisation->in_flight + 1;

  organisation->requested++;
  organisation->slots_peak = BR_MAX (organisation->slots_peak, slots);
  if (organisation->declared.in_flight > 0
      && slots > br_lease_share_usable (&organisation->slots, now))
    return BR_MAX (limited_slot_wait (organisation), 1);
  if (organisation->declared.requests_per_second > 0)
    return limited_rate_wait (organisation, now);
  return 0;
}

void
br_limits_take (br_limited_t *organisation, br_ms_t now)
{
  organisation->in_flight++;
  if (organisation->declared.requests_per_second > 0)
    br_token_bucket_take (&organisation->bucket, now);
}

void
br_limits_end (br_limited_t *organisation, br_ms_t held_ms)
{
  organisation->in_flight--;
  if (organisation->hold_ms <= 0)
    organisation->hold_ms = (double)held_ms;
  else
    organisation->hold_ms
        += HOLD_SMOOTHING * ((double)held_ms - organisation->hold_ms);
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
  /* A digest is whole: what it does not name is not lacked any more. */
  for (size_t i = 0; i < limits->organisations.len; i++)
    {
      br_limited_t *organisation = &limits->organisations.items[i];

      br_lease_share_receive (&organisation->rate, &digest->vm, 0, 0,
                              BR_MS_NEVER);
      br_lease_share_receive (&organisation->slots, &digest->vm, 0, 0,
                              BR_MS_NEVER);
    }
  for (size_t i = 0; i < digest->demands.len; i++)
    {
      const br_admission_demand_t *demand = &digest->demands.items[i];
      br_limited_t *organisation
          = br_limits_find (limits, &demand->organisation);

      br_lease_share_receive (&organisation->rate, &digest->vm,
                              demand->lacking_rate, demand->lent_rate, sent_ms);
      br_lease_share_receive (&organisation->slots, &digest->vm,
                              demand->lacking_slots, demand->lent_slots,
                              sent_ms);
    }
}

static void
limited_measure (br_limited_t *organisation, br_ms_t span_ms)
{
  double rate = (double)organisation->requested * MS_PER_S
                * BR_TOKEN_BUCKET_REQUEST / (double)span_ms;
  double before = (double)organisation->wanted_rate / HEADROOM;
  uint64_t peak = BR_MAX (organisation->slots_peak, organisation->in_flight);

  organisation->wanted_rate
      = (uint64_t)(HEADROOM * (before + SMOOTHING * (rate - before)));
  organisation->wanted_slots = (uint64_t)ceil (HEADROOM * (double)peak);
  organisation->requested = 0;
  organisation->slots_peak = 0;
}

/* What this VM lacks beyond its fixed part. */
static uint64_t
share_lacking (const br_lease_share_t *share, uint64_t wanted)
{
  return wanted > share->own ? wanted - share->own : 0;
}

static br_admission_demand_t
limited_demand (br_limited_t *organisation, const br_name_t *vm, br_ms_t now)
{
  br_admission_demand_t demand
      = { .organisation = organisation->declared.name };

  if (organisation->declared.requests_per_second > 0)
    {
      demand.lacking_rate
          = share_lacking (&organisation->rate, organisation->wanted_rate);
      demand.lent_rate = br_lease_share_lend (&organisation->rate, vm,
                                              organisation->wanted_rate, now);
    }
  if (organisation->declared.in_flight > 0)
    {
      demand.lacking_slots
          = share_lacking (&organisation->slots, organisation->wanted_slots);
      demand.lent_slots = br_lease_share_lend (&organisation->slots, vm,
                                               organisation->wanted_slots, now);
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
      br_limited_t *organisation = &limits->organisations.items[i];
      br_admission_demand_t demand;

      if (!organisation->known)
        continue;
      demand = limited_demand (organisation, &peer->vm, now);
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
    limited_fill (&limits->organisations.items[i], now);
  if (span_ms < BR_ADMISSION_DIGEST_MS)
    return;
  limits->digest_ms = now;
  for (size_t i = 0; i < limits->organisations.len; i++)
    limited_measure (&limits->organisations.items[i], span_ms);
  for (size_t i = 0; i < limits->peers.len; i++)
    limits_send_digest (limits, &limits->peers.items[i], now, outbox);
}
