#include "domain/membership_private.h"

/* Number of messages that carry one view or notice, for each doubling of the
 * number of VMs. */
#define SENDS_PER_DOUBLING 3

/* Minimum time between two transfers of notices to VMs whose sets differ, and
 * maximum number of messages in one transfer. */
#define SYNC_INTERVAL_MS 500
#define SYNC_MESSAGES 3

br_member_t *
br_membership_member (const br_membership_t *membership, const br_name_t *name)
{
  for (size_t i = 0; i < membership->members.len; i++)
    if (br_name_equal (&membership->members.items[i].vm.name, name))
      return &membership->members.items[i];
  return NULL;
}

static uint32_t
membership_send_count (const br_membership_t *membership)
{
  uint32_t doublings = 1;

  for (size_t n = membership->members.len; n > 1; n /= 2)
    doublings++;
  return SENDS_PER_DOUBLING * doublings;
}

br_membership_output_t *
br_membership_output (br_membership_t *membership,
                      br_membership_output_kind_t kind,
                      const br_name_t *name)
{
  br_membership_output_t *output = br_membership_outputs_push (
      &membership->outbox, (br_membership_output_t){ .kind = kind });

  output->name = *name;
  return output;
}

static void
member_changed (br_membership_t *membership, br_member_t *member)
{
  member->sends_remaining = membership_send_count (membership);
  br_membership_output (membership, BR_MEMBERSHIP_VM, &member->vm.name)->vm
      = member->vm;
}

void
br_member_start_suspicion (br_member_t *member, br_ms_t now)
{
  member->suspect_ms = now;
  member->down_at_ms = now + BR_MEMBERSHIP_SUSPICION_TIMEOUT_MS;
}

static bool
membership_has_leaving_notice (const br_membership_t *membership,
                               const br_vm_t *vm)
{
  for (size_t i = 0; i < membership->notices.entries.len; i++)
    {
      const br_notice_t *each = &membership->notices.entries.items[i].notice;

      if (each->kind == BR_NOTICE_VM_LEAVING
          && each->incarnation == vm->incarnation
          && br_name_equal (&each->name, &vm->name))
        return true;
    }
  return false;
}

void
br_member_merge (br_membership_t *membership,
                 br_member_t *member,
                 const br_vm_t *update,
                 br_ms_t now)
{
  br_vm_t before = member->vm;
  br_vm_t checked = *update;

  if (update->incarnation > before.incarnation)
    checked.leaving |= membership_has_leaving_notice (membership, update);
  if (!br_vm_merge (&member->vm, &checked))
    return;
  if (member->vm.state == BR_VM_SUSPECT
      && (before.state != BR_VM_SUSPECT
          || before.incarnation != member->vm.incarnation))
    br_member_start_suspicion (member, now);
  if (before.state == BR_VM_SUSPECT && member->vm.state == BR_VM_UP)
    membership->urgent = BR_UPDATE_PUSHES;
  if (member->vm.state == BR_VM_DOWN && member->link.kind == BR_LINK_BOTH_WAYS)
    member->link.kind = BR_LINK_DOWN;
  member_changed (membership, member);
}

/* Refutes a view of this VM as suspect or down by a higher version. */
static void
membership_refute (br_membership_t *membership, const br_vm_t *update)
{
  br_vm_t *self = &membership->self;

  if (update->incarnation != self->incarnation
      || update->version < self->version || update->state == BR_VM_UP)
    return;
  self->version = update->version + 1;
}

void
br_membership_merge (br_membership_t *membership,
                     const br_vm_t *update,
                     br_ms_t now)
{
  br_member_t *member;

  if (br_name_equal (&update->name, &membership->self.name))
    {
      membership_refute (membership, update);
      return;
    }
  member = br_membership_member (membership, &update->name);
  if (member != NULL)
    br_member_merge (membership, member, update, now);
}

/* Marks the VM that a notice names as leaving.  When its incarnation is not
 * known yet, br_member_merge() applies the notice later. */
static void
membership_apply_leaving (br_membership_t *membership,
                          const br_notice_t *notice,
                          br_ms_t now)
{
  br_member_t *member = br_membership_member (membership, &notice->name);
  br_vm_t *self = &membership->self;
  br_vm_t update = {
    .name = notice->name,
    .incarnation = notice->incarnation,
    .leaving = true,
  };

  if (br_name_equal (&notice->name, &self->name)
      && notice->incarnation == self->incarnation)
    self->leaving = true;
  else if (member != NULL && member->vm.incarnation == notice->incarnation)
    {
      update.version = member->vm.version;
      update.state = member->vm.state;
      br_member_merge (membership, member, &update, now);
    }
}

bool
br_membership_add_notice (br_membership_t *membership,
                          const br_notice_t *notice,
                          br_ms_t now)
{
  if (!br_notices_add (&membership->notices, notice,
                       membership_send_count (membership),
                       BR_UPDATE_PUSHES * BR_UPDATE_FANOUT, now))
    return false;
  if (notice->kind == BR_NOTICE_VM_LEAVING)
    membership_apply_leaving (membership, notice, now);
  br_membership_output (membership, BR_MEMBERSHIP_NOTICE, &notice->name)->notice
      = *notice;
  membership->notices_due = true;
  return true;
}

void
br_member_set_up (br_membership_t *membership,
                  br_member_t *member,
                  uint64_t incarnation,
                  uint32_t version,
                  br_ms_t now)
{
  br_vm_t update = {
    .name = member->vm.name,
    .incarnation = incarnation,
    .version = version,
    .state = BR_VM_UP,
  };

  br_member_merge (membership, member, &update, now);
}

static void
message_add_vm (br_domain_message_t *message, const br_vm_t *vm)
{
  if (message->n_vms < BR_DOMAIN_VMS_MAX)
    message->vms[message->n_vms++] = *vm;
}

static br_member_t *
membership_least_sent_member (br_membership_t *membership,
                              const br_domain_message_t *message)
{
  br_member_t *best = NULL;

  for (size_t i = 0; i < membership->members.len; i++)
    {
      br_member_t *each = &membership->members.items[i];
      bool included = false;

      for (size_t j = 0; j < message->n_vms; j++)
        included |= br_name_equal (&message->vms[j].name, &each->vm.name);
      if (included || each->sends_remaining == 0)
        continue;
      if (best == NULL || each->sends_remaining > best->sends_remaining)
        best = each;
    }
  return best;
}

/* Adds views to MESSAGE.  A view of the receiver as suspect or down comes
 * first, so that the receiver can refute it. */
static void
message_add_vms (br_membership_t *membership,
                 const br_member_t *receiver,
                 br_domain_message_t *message)
{
  if (receiver->vm.incarnation != 0 && receiver->vm.state != BR_VM_UP)
    message_add_vm (message, &receiver->vm);
  while (message->n_vms < BR_DOMAIN_VMS_MAX)
    {
      br_member_t *best = membership_least_sent_member (membership, message);

      if (best == NULL)
        return;
      best->sends_remaining--;
      message_add_vm (message, &best->vm);
    }
}

br_domain_message_t *
br_membership_send (br_membership_t *membership,
                    const br_member_t *to,
                    br_domain_message_kind_t kind)
{
  br_domain_message_t *message
      = &br_membership_output (membership, BR_MEMBERSHIP_SEND, &to->vm.name)
             ->message;

  message->kind = kind;
  message->incarnation = membership->self.incarnation;
  message->version = membership->self.version;
  message->notices_digest = membership->notices.digest;
  message_add_vms (membership, to, message);
  if (kind != BR_DOMAIN_NOTICES)
    message->n_notices = br_notices_take (
        &membership->notices, false, message->notices, BR_DOMAIN_NOTICES_MAX);
  return message;
}

void
br_membership_ping (br_membership_t *membership, const br_member_t *to)
{
  br_domain_message_t *ping
      = br_membership_send (membership, to, BR_DOMAIN_PING);

  ping->sequence = ++membership->last_sequence;
}

/* Sends the next part of the notices, up to all of them. */
static void
membership_sync (br_membership_t *membership, const br_member_t *to)
{
  size_t len = membership->notices.entries.len;
  size_t sent = 0;

  for (int i = 0; i < SYNC_MESSAGES && sent < len; i++)
    {
      br_domain_message_t *message
          = br_membership_send (membership, to, BR_DOMAIN_NOTICES);

      message->n_notices
          = br_notices_copy (&membership->notices, membership->sync_position,
                             message->notices, BR_DOMAIN_NOTICES_MAX);
      membership->sync_position += message->n_notices;
      sent += message->n_notices;
    }
}

void
br_membership_compare_notices (br_membership_t *membership,
                               const br_member_t *from,
                               const br_domain_message_t *message,
                               br_ms_t now)
{
  if (message->notices_digest == membership->notices.digest
      || now < membership->next_sync_ms)
    return;
  membership->next_sync_ms = now + SYNC_INTERVAL_MS;
  membership_sync (membership, from);
}
