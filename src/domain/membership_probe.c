#include "domain/membership_private.h"

/* Number of VMs requested to probe one that does not answer. */
#define PING_REQUESTS 3

/* One period in this many also probes a VM that is down. */
#define DOWN_PROBE_ROUNDS 3

void
br_membership_answer (br_membership_t *membership,
                      const br_member_t *from,
                      const br_domain_message_t *ping,
                      br_ms_t now)
{
  const br_member_t *origin = br_membership_member (membership, &ping->origin);
  br_domain_message_t *ack
      = br_membership_send (membership, from, BR_DOMAIN_ACK);

  ack->sequence = ping->sequence;
  if (origin != NULL && origin->link.received)
    {
      br_ms_t age = now - origin->link.last_seen_ms;

      ack->origin_seen = true;
      ack->origin_seen_ms_ago = (uint32_t)BR_MIN (age, UINT32_MAX - 1);
    }
  /* Shows the origin whether this direction of the link works. */
  if (origin != NULL)
    br_membership_ping (membership, origin);
}

void
br_membership_relay (br_membership_t *membership,
                     const br_member_t *from,
                     const br_domain_message_t *request,
                     br_ms_t now)
{
  const br_member_t *target
      = br_membership_member (membership, &request->target);
  relay_t *relay = &membership->relays[0];
  br_domain_message_t *ping;

  if (target == NULL)
    return;
  for (size_t i = 1; i < BR_MEMBERSHIP_RELAYS_MAX; i++)
    if (membership->relays[i].sequence < relay->sequence)
      relay = &membership->relays[i];
  relay->sequence = ++membership->last_sequence;
  relay->origin = from->vm.name;
  relay->origin_sequence = request->sequence;
  relay->target = request->target;
  relay->sent_ms = now;
  ping = br_membership_send (membership, target, BR_DOMAIN_PING);
  ping->sequence = relay->sequence;
  ping->origin = from->vm.name;
}

static void
membership_forward_ack (br_membership_t *membership,
                        const br_domain_message_t *ack,
                        relay_t *relay)
{
  const br_member_t *origin = br_membership_member (membership, &relay->origin);
  br_domain_message_t *forwarded;

  if (origin == NULL)
    return;
  forwarded = br_membership_send (membership, origin, BR_DOMAIN_ACK);
  forwarded->sequence = relay->origin_sequence;
  forwarded->target = relay->target;
  forwarded->origin_seen = ack->origin_seen;
  forwarded->origin_seen_ms_ago = ack->origin_seen_ms_ago;
  relay->sequence = 0;
}

void
br_membership_set_link (br_membership_t *membership,
                        br_member_t *member,
                        br_link_kind_t before)
{
  if (member->link.kind != before)
    br_membership_output (membership, BR_MEMBERSHIP_LINK, &member->vm.name)
        ->link
        = member->link.kind;
}

static void
membership_on_direct_ack (br_membership_t *membership,
                          br_member_t *from,
                          br_ms_t now)
{
  br_link_kind_t before = from->link.kind;

  br_link_on_ack (&from->link, membership->probe.sent_ms, now);
  br_membership_set_link (membership, from, before);
  membership->probe.acked = true;
  membership->probe.acked_directly = true;
}

void
br_membership_on_ack (br_membership_t *membership,
                      br_member_t *from,
                      const br_domain_message_t *ack,
                      br_ms_t now)
{
  probe_t *probe = &membership->probe;
  br_ms_t since_ms = now - probe->sent_ms;

  if (probe->running && ack->sequence == probe->sequence)
    {
      if (ack->target.len == 0
          && br_name_equal (&from->vm.name, &probe->target))
        membership_on_direct_ack (membership, from, now);
      else if (br_name_equal (&ack->target, &probe->target))
        {
          probe->acked = true;
          probe->received_from_us
              |= ack->origin_seen && ack->origin_seen_ms_ago <= since_ms;
        }
      return;
    }
  for (size_t i = 0; i < BR_MEMBERSHIP_RELAYS_MAX; i++)
    if (membership->relays[i].sequence != 0
        && membership->relays[i].sequence == ack->sequence
        && br_name_equal (&membership->relays[i].target, &from->vm.name))
      membership_forward_ack (membership, ack, &membership->relays[i]);
}

br_member_t *
br_membership_random_up (br_membership_t *membership)
{
  br_member_t *chosen = NULL;
  uint64_t n = 0;

  for (size_t i = 0; i < membership->members.len; i++)
    {
      br_member_t *each = &membership->members.items[i];

      if (each->vm.state != BR_VM_UP)
        continue;
      if (br_random_below (&membership->random, ++n) == 0)
        chosen = each;
    }
  return chosen;
}

static br_member_t *
membership_random_with_state (br_membership_t *membership, br_vm_state_t state)
{
  br_member_t *chosen = NULL;
  uint64_t n = 0;

  for (size_t i = 0; i < membership->members.len; i++)
    if (membership->members.items[i].vm.state == state
        && br_random_below (&membership->random, ++n) == 0)
      chosen = &membership->members.items[i];
  return chosen;
}

static void
membership_shuffle (br_membership_t *membership)
{
  br_members_t *members = &membership->members;

  for (size_t i = members->len; i > 1; i--)
    {
      size_t j = br_random_below (&membership->random, i);
      br_member_t last = members->items[i - 1];

      members->items[i - 1] = members->items[j];
      members->items[j] = last;
    }
}

/* Returns the next member in the probe order that is not down, or NULL.  The
 * order is shuffled after each cycle. */
static br_member_t *
membership_next_target (br_membership_t *membership)
{
  for (size_t i = 0; i < membership->members.len; i++)
    {
      if (membership->next >= membership->members.len)
        {
          membership_shuffle (membership);
          membership->next = 0;
        }
      if (membership->members.items[membership->next++].vm.state != BR_VM_DOWN)
        return &membership->members.items[membership->next - 1];
    }
  return NULL;
}

void
br_membership_start_probe (br_membership_t *membership, br_ms_t now)
{
  br_member_t *target = membership_next_target (membership);
  br_member_t *down = membership_random_with_state (membership, BR_VM_DOWN);
  br_member_t *suspect
      = membership_random_with_state (membership, BR_VM_SUSPECT);
  br_domain_message_t *ping;

  if (down != NULL
      && (target == NULL || membership->rounds % DOWN_PROBE_ROUNDS == 0))
    br_membership_ping (membership, down);
  /* The ping carries the view of the suspect, so that the suspect can refute
   * it. */
  if (suspect != NULL)
    br_membership_ping (membership, suspect);
  membership->rounds++;
  membership->probe.running = false;
  if (target == NULL)
    return;
  membership->probe = (probe_t){
    .running = true,
    .target = target->vm.name,
    .incarnation = target->vm.incarnation,
    .sequence = ++membership->last_sequence,
    .sent_ms = now,
  };
  ping = br_membership_send (membership, target, BR_DOMAIN_PING);
  ping->sequence = membership->probe.sequence;
}

void
br_membership_request_probes (br_membership_t *membership)
{
  probe_t *probe = &membership->probe;
  br_members_t *members = &membership->members;
  size_t from = br_random_below (&membership->random, members->len);
  int n = 0;

  probe->requested = true;
  for (size_t i = 0; i < members->len && n < PING_REQUESTS; i++)
    {
      const br_member_t *via = &members->items[(from + i) % members->len];
      br_domain_message_t *request;

      if (via->vm.state != BR_VM_UP
          || br_name_equal (&via->vm.name, &probe->target))
        continue;
      request = br_membership_send (membership, via, BR_DOMAIN_PING_REQUEST);
      request->sequence = probe->sequence;
      request->target = probe->target;
      n++;
    }
}

static void
membership_suspect (br_membership_t *membership,
                    br_member_t *member,
                    br_ms_t now)
{
  br_vm_t update = member->vm;

  if (member->vm.state != BR_VM_UP
      || member->vm.incarnation != membership->probe.incarnation)
    return;
  update.state = BR_VM_SUSPECT;
  br_member_merge (membership, member, &update, now);
}

void
br_membership_end_probe (br_membership_t *membership, br_ms_t now)
{
  probe_t *probe = &membership->probe;
  br_member_t *member;
  br_link_kind_t before;

  if (!probe->running)
    return;
  probe->running = false;
  member = br_membership_member (membership, &probe->target);
  if (member == NULL || probe->acked_directly)
    return;
  before = member->link.kind;
  br_link_on_miss (&member->link, probe->sent_ms, probe->received_from_us);
  br_membership_set_link (membership, member, before);
  if (!probe->acked && !br_link_received_since (&member->link, probe->sent_ms))
    membership_suspect (membership, member, now);
}

void
br_member_check_suspicion (br_membership_t *membership,
                           br_member_t *member,
                           br_ms_t now)
{
  br_vm_t update = member->vm;

  if (member->vm.state != BR_VM_SUSPECT || now < member->down_at_ms)
    return;
  if (br_link_received_since (&member->link, member->suspect_ms))
    {
      br_member_start_suspicion (member, now);
      return;
    }
  update.state = BR_VM_DOWN;
  br_member_merge (membership, member, &update, now);
}

void
br_membership_reset_after_pause (br_membership_t *membership, br_ms_t now)
{
  membership->probe.running = false;
  for (size_t i = 0; i < membership->members.len; i++)
    if (membership->members.items[i].vm.state == BR_VM_SUSPECT)
      br_member_start_suspicion (&membership->members.items[i], now);
}
