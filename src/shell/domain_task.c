#include "shell/domain_task.h"

#include <inttypes.h>

#define TICK_MS 50

struct br_domain_task
{
  br_node_t *node;
  br_membership_t *membership;
  struct event *timer;
};

static void
task_send (br_domain_task_t *task, const br_membership_output_t *output)
{
  br_buf_t payload = { 0 };

  br_domain_message_pack (&output->message, br_node_now (task->node), &payload);
  br_node_send (task->node, &output->name, BR_PART_DOMAIN,
                br_buf_str (&payload));
  br_buf_free (&payload);
}

static br_node_message_kind_t
vm_message_kind (const br_vm_t *vm)
{
  switch (vm->state)
    {
    case BR_VM_SUSPECT:
      return BR_NODE_VM_SUSPECT;
    case BR_VM_DOWN:
      return BR_NODE_VM_DOWN;
    case BR_VM_UP:
    case BR_VM_STATE_COUNT:
      break;
    }
  return vm->leaving ? BR_NODE_VM_LEAVING : BR_NODE_VM_UP;
}

static void
task_post_member (br_domain_task_t *task,
                  br_node_message_kind_t kind,
                  const br_name_t *name,
                  uint64_t incarnation)
{
  br_node_message_t message = { .kind = kind };

  message.member.name = *name;
  message.member.incarnation = incarnation;
  br_node_post (task->node, message);
}

static void
task_on_vm (br_domain_task_t *task, const br_vm_t *vm)
{
  BR_LOG (&task->node->log, "domain", "vm",
          br_field_str ("peer", br_name_str (&vm->name)),
          br_field_int ("of_incarnation", (int64_t)vm->incarnation),
          br_field_z ("state", br_vm_state_name (vm->state)),
          br_field_int ("leaving", vm->leaving));
  task_post_member (task, vm_message_kind (vm), &vm->name, vm->incarnation);
}

static void
task_on_link (br_domain_task_t *task, const br_membership_output_t *output)
{
  BR_LOG (&task->node->log, "domain", "link",
          br_field_str ("peer", br_name_str (&output->name)),
          br_field_z ("kind", br_link_kind_name (output->link)));
}

static void
task_on_upstream_leaving (br_domain_task_t *task, const br_notice_t *notice)
{
  br_registry_leave (&task->node->registry, br_name_str (&notice->name),
                     notice->incarnation, br_node_now (task->node));
  br_quarantine_discard (&task->node->quarantine, &notice->name,
                         notice->incarnation);
  task_post_member (task, BR_NODE_UPSTREAM_CHANGED, &notice->name,
                    notice->incarnation);
}

static void
task_on_vm_leaving (br_domain_task_t *task, const br_notice_t *notice)
{
  br_node_t *node = task->node;
  br_node_message_t message = { .kind = BR_NODE_RECLAIM_NOTICE };

  if (!br_name_equal (&notice->name, &node->settings.vm)
      || notice->incarnation != node->incarnation || node->draining)
    return;
  message.leave_by_ms
      = br_node_now (node) + ((br_ms_t)notice->content - br_clock_wall ());
  br_node_post (node, message);
}

/* A crash of an upstream that was removed or is marked as leaving is caused by
 * its reclaim and is not reported to the quarantine. */
static void
task_on_crash (br_domain_task_t *task, const br_notice_t *notice)
{
  const br_upstream_t *upstream
      = br_registry_find (&task->node->registry, br_name_str (&notice->name));

  if (upstream == NULL || upstream->removed)
    return;
  if (br_registry_is_leaving (&task->node->registry,
                              br_name_str (&notice->name), notice->incarnation))
    return;
  br_quarantine_report (&task->node->quarantine, notice->content, &notice->name,
                        notice->incarnation, br_node_now (task->node));
}

static void
task_on_notice (br_domain_task_t *task, const br_notice_t *notice)
{
  BR_LOG (&task->node->log, "domain", "notice",
          br_field_z ("kind", br_notice_kind_name (notice->kind)),
          br_field_str ("peer", br_name_str (&notice->name)),
          br_field_int ("of_incarnation", (int64_t)notice->incarnation));
  switch (notice->kind)
    {
    case BR_NOTICE_UPSTREAM_LEAVING:
      task_on_upstream_leaving (task, notice);
      break;
    case BR_NOTICE_VM_LEAVING:
      task_on_vm_leaving (task, notice);
      break;
    case BR_NOTICE_CRASH:
      task_on_crash (task, notice);
      break;
    case BR_NOTICE_COUNT:
      break;
    }
}

static void
task_drain_outbox (br_domain_task_t *task)
{
  br_membership_outputs_t *outbox = br_membership_outbox (task->membership);

  for (size_t i = 0; i < outbox->len; i++)
    {
      const br_membership_output_t *output = &outbox->items[i];

      switch (output->kind)
        {
        case BR_MEMBERSHIP_SEND:
          task_send (task, output);
          break;
        case BR_MEMBERSHIP_VM:
          task_on_vm (task, &output->vm);
          break;
        case BR_MEMBERSHIP_LINK:
          task_on_link (task, output);
          break;
        case BR_MEMBERSHIP_NOTICE:
          task_on_notice (task, &output->notice);
          break;
        }
    }
  br_membership_outputs_clear (outbox);
}

static void
task_on_timer (evutil_socket_t fd, short what, void *context)
{
  br_domain_task_t *task = context;

  (void)fd;
  (void)what;
  br_membership_tick (task->membership, br_node_now (task->node));
  task_drain_outbox (task);
}

void
br_domain_task_on_peer_up (br_domain_task_t *task,
                           const br_peer_message_t *peer)
{
  br_membership_link_up (task->membership, &peer->vm, peer->incarnation,
                         br_node_now (task->node));
  task_drain_outbox (task);
}

void
br_domain_task_receive (br_domain_task_t *task,
                        const br_peer_message_t *message)
{
  br_node_t *node = task->node;
  br_domain_message_t parsed;
  br_error_t err;

  if (!br_domain_message_unpack (br_buf_str (&message->payload),
                                 message->vm.data, br_node_now (node), &parsed,
                                 &err))
    {
      br_log_error (&node->log, "domain", "bad_message", &err);
      br_counters_add (&node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
      return;
    }
  br_membership_receive (task->membership, &message->vm, &parsed,
                         br_node_now (node));
  task_drain_outbox (task);
}

void
br_domain_task_announce (br_domain_task_t *task,
                         br_notice_kind_t kind,
                         const br_name_t *name,
                         uint64_t incarnation,
                         uint64_t content)
{
  br_ms_t now = br_node_now (task->node);
  br_notice_t notice = {
    .kind = kind,
    .name = *name,
    .incarnation = incarnation,
    .content = content,
    .expires_ms = now + BR_NOTICE_LIFE_MS,
  };

  br_membership_announce (task->membership, &notice, now);
  /* Sends the notice at once, because this process may end before the next
   * tick. */
  br_membership_tick (task->membership, now);
  task_drain_outbox (task);
}

void
br_domain_task_leave (br_domain_task_t *task)
{
  br_domain_task_announce (task, BR_NOTICE_VM_LEAVING, &task->node->settings.vm,
                           task->node->incarnation, 0);
}

bool
br_domain_task_is_live (const br_domain_task_t *task, const br_name_t *vm)
{
  const br_member_t *member = br_membership_find (task->membership, vm);

  return member != NULL && member->vm.state == BR_VM_UP && !member->vm.leaving;
}

const br_members_t *
br_domain_task_members (const br_domain_task_t *task)
{
  return br_membership_members (task->membership);
}

void
br_domain_task_status (const br_domain_task_t *task, br_buf_t *out)
{
  const br_members_t *members = br_domain_task_members (task);

  br_buf_append_char (out, '[');
  for (size_t i = 0; i < members->len; i++)
    {
      const br_member_t *each = &members->items[i];

      br_buf_printf (out,
                     "%s{\"vm\":\"%s\",\"failure_domain\":\"%s\","
                     "\"incarnation\":%" PRIu64 ",\"state\":\"%s\","
                     "\"leaving\":%s,\"link\":\"%s\",\"delay_ms\":%" PRId64 "}",
                     i > 0 ? "," : "", each->vm.name.data,
                     each->failure_domain.data, each->vm.incarnation,
                     br_vm_state_name (each->vm.state),
                     each->vm.leaving ? "true" : "false",
                     br_link_kind_name (each->link.kind), each->link.delay_ms);
    }
  br_buf_append_char (out, ']');
}

br_domain_task_t *
br_domain_task_new (br_node_t *node)
{
  br_domain_task_t *task = br_alloc_zero (sizeof *task);
  struct timeval period = { 0, TICK_MS * 1000 };
  br_membership_options_t options = {
    .vm = node->settings.vm,
    .failure_domain = node->settings.failure_domain,
    .incarnation = node->incarnation,
    .seed = br_random_below (&node->random, UINT32_MAX),
  };

  task->node = node;
  task->membership = br_membership_new (&options);
  for (size_t i = 0; i < node->settings.vms.len; i++)
    br_membership_add (task->membership, &node->settings.vms.items[i].name,
                       &node->settings.vms.items[i].failure_domain);
  task->timer = event_new (node->base, -1, EV_PERSIST, task_on_timer, task);
  event_add (task->timer, &period);
  return task;
}

void
br_domain_task_free (br_domain_task_t *task)
{
  if (task == NULL)
    return;
  event_free (task->timer);
  br_membership_free (task->membership);
  free (task);
}
