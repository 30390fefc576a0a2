#include "link/link.h"

/* Weight of the newest delay in the smoothed delay, as a divisor. */
#define DELAY_SMOOTHING 8

/* An inbound-only link counts as working inbound for this long after its last
 * message. */
#define INBOUND_KEEP_MS 10000

static const char *const kind_names[] = {
#define X(id, name) name,
  BR_LINK_KIND_TABLE (X)
#undef X
};

const char *
br_link_kind_name (br_link_kind_t kind)
{
  return (unsigned)kind < BR_LINK_KIND_COUNT ? kind_names[kind] : "invalid";
}

void
br_link_on_receive (br_link_t *link, br_ms_t now)
{
  link->received = true;
  link->last_seen_ms = now;
  if (link->kind == BR_LINK_DOWN)
    link->kind = BR_LINK_INBOUND_ONLY;
}

void
br_link_on_ack (br_link_t *link, br_ms_t sent_ms, br_ms_t now)
{
  br_ms_t delay_ms = (now - sent_ms) / 2;

  if (link->kind == BR_LINK_UNKNOWN)
    link->delay_ms = delay_ms;
  else
    link->delay_ms += (delay_ms - link->delay_ms) / DELAY_SMOOTHING;
  link->kind = BR_LINK_BOTH_WAYS;
}

void
br_link_on_miss (br_link_t *link, br_ms_t sent_ms, bool received_from_us)
{
  br_ms_t since_ms = sent_ms;

  if (link->kind == BR_LINK_INBOUND_ONLY)
    since_ms -= INBOUND_KEEP_MS;
  if (br_link_received_since (link, since_ms))
    link->kind = received_from_us ? BR_LINK_BOTH_WAYS : BR_LINK_INBOUND_ONLY;
  else
    link->kind = received_from_us ? BR_LINK_OUTBOUND_ONLY : BR_LINK_DOWN;
}

bool
br_link_received_since (const br_link_t *link, br_ms_t since_ms)
{
  return link->received && link->last_seen_ms >= since_ms;
}
