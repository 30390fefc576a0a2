#include "domain/membership_private.h"

#include <assert.h>
#include <string.h>

/* A longer gap between two ticks means that this VM was paused.  Timeouts that
 * expired during the pause are no evidence that other VMs are down. */
#define PAUSE_MS 1000

static void
membership_mark_seen (br_membership_t *membership,
                      br_member_t *from,
                      br_ms_t now)
{
  br_link_kind_t before = from->link.kind;

  br_link_on_receive (&from->link, now);
  br_membership_set_link (membership, from, before);
}

void
br_membership_receive (br_membership_t *membership,
                       const br_name_t *name,
                       const br_domain_message_t *message,
                       br_ms_t now)
{
  br_member_t *from = br_membership_member (membership, name);

  if (from == NULL || message->incarnation < from->vm.incarnation)
    return;
  membership_mark_seen (membership, from, now);
  br_member_set_up (membership, from, message->incarnation, message->version,
                    now);
  for (size_t i = 0; i < message->n_vms; i++)
    br_membership_merge (membership, &message->vms[i], now);
  for (size_t i = 0; i < message->n_notices; i++)
    br_membership_add_notice (membership, &message->notices[i], now);
  switch (message->kind)
    {
    case BR_DOMAIN_PING:
      br_membership_answer (membership, from, message, now);
      break;
    case BR_DOMAIN_ACK:
      br_membership_on_ack (membership, from, message, now);
      break;
    case BR_DOMAIN_PING_REQUEST:
      br_membership_relay (membership, from, message, now);
      break;
    case BR_DOMAIN_NOTICES:
    case BR_DOMAIN_MESSAGE_COUNT:
      break;
    }
  br_membership_compare_notices (membership, from, message, now);
}

const br_member_t *
br_membership_find (const br_membership_t *membership, const br_name_t *name)
{
  return br_membership_member (membership, name);
}

static void
membership_push_updates (br_membership_t *membership)
{
  for (int i = 0; i < BR_UPDATE_FANOUT; i++)
    {
      br_member_t *to = br_membership_random_up (membership);
      br_notice_t notices[BR_DOMAIN_NOTICES_MAX];
      br_domain_message_t *message;
      size_t n;

      if (to == NULL)
        return;
      n = br_notices_take (&membership->notices, true, notices,
                           BR_DOMAIN_NOTICES_MAX);
      membership->notices_due = n > 0;
      if (n == 0 && membership->urgent == 0)
        return;
      message = br_membership_send (membership, to, BR_DOMAIN_NOTICES);
      message->n_notices = n;
      memcpy (message->notices, notices, n * sizeof *notices);
    }
}

void
br_membership_tick (br_membership_t *membership, br_ms_t now)
{
  probe_t *probe = &membership->probe;

  if (membership->ticked && now - membership->last_tick_ms > PAUSE_MS)
    br_membership_reset_after_pause (membership, now);
  membership->ticked = true;
  membership->last_tick_ms = now;
  br_notices_expire (&membership->notices, now);
  if (membership->urgent > 0 || membership->notices_due)
    membership_push_updates (membership);
  membership->urgent -= membership->urgent > 0;
  if (probe->running && !probe->acked && !probe->requested
      && now - probe->sent_ms >= BR_MEMBERSHIP_DIRECT_TIMEOUT_MS)
    br_membership_request_probes (membership);
  for (size_t i = 0; i < membership->members.len; i++)
    br_member_check_suspicion (membership, &membership->members.items[i], now);
  if (now < membership->next_probe_ms)
    return;
  br_membership_end_probe (membership, now);
  br_membership_start_probe (membership, now);
  membership->next_probe_ms = now + BR_MEMBERSHIP_PROBE_PERIOD_MS;
}

void
br_membership_link_up (br_membership_t *membership,
                       const br_name_t *name,
                       uint64_t incarnation,
                       br_ms_t now)
{
  br_member_t *member = br_membership_member (membership, name);

  if (member == NULL || incarnation < member->vm.incarnation)
    return;
  membership_mark_seen (membership, member, now);
  if (incarnation > member->vm.incarnation)
    br_member_set_up (membership, member, incarnation, 0, now);
  else if (member->vm.state != BR_VM_UP)
    br_membership_ping (membership, member);
}

bool
br_membership_announce (br_membership_t *membership,
                        const br_notice_t *notice,
                        br_ms_t now)
{
  return br_membership_add_notice (membership, notice, now);
}

br_membership_outputs_t *
br_membership_outbox (br_membership_t *membership)
{
  return &membership->outbox;
}

const br_members_t *
br_membership_members (const br_membership_t *membership)
{
  return &membership->members;
}

bool
br_membership_is_leaving (const br_membership_t *membership)
{
  return membership->self.leaving;
}

void
br_membership_add (br_membership_t *membership,
                   const br_name_t *name,
                   const br_name_t *failure_domain)
{
  br_member_t member = { .failure_domain = *failure_domain };

  assert (!br_name_equal (name, &membership->self.name));
  member.vm.name = *name;
  member.vm.state = BR_VM_DOWN;
  br_members_push (&membership->members, member);
}

br_membership_t *
br_membership_new (const br_membership_options_t *options)
{
  br_membership_t *membership = br_alloc_zero (sizeof *membership);

  membership->self.name = options->vm;
  membership->self.incarnation = options->incarnation;
  membership->failure_domain = options->failure_domain;
  br_random_seed (&membership->random, options->seed);
  return membership;
}

void
br_membership_free (br_membership_t *membership)
{
  if (membership == NULL)
    return;
  br_members_free (&membership->members);
  br_notices_free (&membership->notices);
  br_membership_outputs_free (&membership->outbox);
  free (membership);
}
