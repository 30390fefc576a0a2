#include "shell/site_message.h"

#include <stdlib.h>
#include <string.h>

#include "shell/peer_task.h"

void
br_site_pack (const br_site_message_t *message, br_buf_t *out)
{
  size_t len = br__site__message__get_packed_size (message);

  br_buf_reserve (out, len);
  br__site__message__pack (message, (uint8_t *)out->data + out->len);
  out->len += len;
}

bool
br_site_send (br_node_t *node,
              const br_name_t *vm,
              const br_site_message_t *message)
{
  br_buf_t payload = { 0 };
  bool sent;

  br_site_pack (message, &payload);
  sent = br_node_send (node, vm, BR_PART_SITE, br_buf_str (&payload));
  br_buf_free (&payload);
  return sent;
}

br_site_message_t *
br_site_receive (br_node_t *node, const br_name_t *vm, br_str_t payload)
{
  br_site_message_t *message = br__site__message__unpack (
      NULL, payload.len, (const uint8_t *)payload.data);
  br_error_t err;

  if (message != NULL)
    return message;
  br_counters_add (&node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
  br_error_set (&err, BR_ERROR_PROTOCOL, "read message", vm->data,
                "payload of %zu bytes is not a valid site message",
                payload.len);
  br_log_error (&node->log, "site", "bad_message", &err);
  return NULL;
}

static void
listing_fill (const br_listing_t *from, Br__Site__Listing *to)
{
  *to = (Br__Site__Listing)BR__SITE__LISTING__INIT;
  to->id = (char *)from->id.data;
  to->service = (char *)from->service.data;
  to->address = (char *)from->address.data;
  to->port = from->port;
  to->failure_domain = (char *)from->failure_domain.data;
  to->version = (char *)from->version.data;
  to->draining = from->draining;
  to->spot = from->spot;
  to->born_ms = from->started_ms;
  to->slots = from->slots;
  to->cold_ms = (uint32_t)from->warmup_ms;
}

void
br_site_pack_fleet (const br_site_fleet_t *fleet, br_buf_t *out)
{
  size_t n = fleet->listings->len;
  Br__Site__Listing *wire = br_alloc_zero ((n + 1) * sizeof *wire);
  Br__Site__Listing **views = br_alloc_zero ((n + 1) * sizeof *views);
  Br__Site__Fleet body = BR__SITE__FLEET__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;

  for (size_t i = 0; i < n; i++)
    {
      listing_fill (&fleet->listings->items[i], &wire[i]);
      views[i] = &wire[i];
    }
  body.term = fleet->term;
  body.sequence = fleet->sequence;
  body.n_upstreams = n;
  body.upstreams = views;
  message.body_case = BR__SITE__MESSAGE__BODY_FLEET;
  message.fleet = &body;
  br_site_pack (&message, out);
  free (wire);
  free (views);
}

static bool
listing_read (const Br__Site__Listing *from, br_listing_t *to)
{
  *to = (br_listing_t){
    .port = (uint16_t)from->port,
    .draining = from->draining,
    .spot = from->spot,
    .started_ms = from->born_ms,
    .slots = from->slots,
    .warmup_ms = from->cold_ms,
  };
  return br_name_set (&to->id, br_str_from (from->id))
         && br_name_set (&to->service, br_str_from (from->service))
         && br_name_set (&to->address, br_str_from (from->address))
         && br_name_set (&to->version, br_str_from (from->version))
         && br_name_set (&to->failure_domain,
                         br_str_from (from->failure_domain));
}

void
br_site_read_fleet (const Br__Site__Fleet *fleet, br_listings_t *listings)
{
  for (size_t i = 0; i < fleet->n_upstreams; i++)
    {
      br_listing_t listing;

      if (listing_read (fleet->upstreams[i], &listing))
        br_listings_push (listings, listing);
    }
}

void
br_site_dial (br_node_t *node, br_str_t address)
{
  br_peer_settings_t peer = { .endpoint.port = node->settings.peers.port };

  if (address.len >= sizeof peer.endpoint.address
      || !br_name_set (&peer.name, address)
      || br_name_equal (&peer.name, &node->settings.vm))
    return;
  memcpy (peer.endpoint.address, address.data, address.len);
  br_peer_task_add (node->peers, &peer);
}

void
br_site_set_links (br_node_t *node, const br_names_t *vms)
{
  for (size_t i = 0; i < vms->len; i++)
    br_site_dial (node, br_name_str (&vms->items[i]));
  br_peer_task_keep (node->peers, vms);
}
