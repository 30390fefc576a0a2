#include "domain/domain_message.h"

#include "domain/domain.pb-c.h"

static const char *const kind_names[] = {
#define X(id, name) name,
  BR_DOMAIN_MESSAGE_TABLE (X)
#undef X
};

const char *
br_domain_message_name (br_domain_message_kind_t kind)
{
  return (unsigned)kind < BR_DOMAIN_MESSAGE_COUNT ? kind_names[kind]
                                                  : "unknown";
}

static void
message_wrap_vm (const br_vm_t *vm, Br__Domain__VmView *wire)
{
  br__domain__vm_view__init (wire);
  wire->name = (char *)vm->name.data;
  wire->incarnation = vm->incarnation;
  wire->version = vm->version;
  wire->state = vm->state;
}

static void
message_wrap_notice (const br_notice_t *notice,
                     br_ms_t now,
                     Br__Domain__Notice *wire)
{
  br__domain__notice__init (wire);
  wire->kind = notice->kind;
  wire->name = (char *)notice->name.data;
  wire->incarnation = notice->incarnation;
  wire->content = notice->content;
  wire->remaining_ms = (uint32_t)BR_MAX (notice->expires_ms - now, 0);
}

void
br_domain_message_pack (const br_domain_message_t *message,
                        br_ms_t now,
                        br_buf_t *out)
{
  Br__Domain__DomainMessage wire = BR__DOMAIN__DOMAIN_MESSAGE__INIT;
  Br__Domain__VmView vms[BR_DOMAIN_VMS_MAX];
  Br__Domain__VmView *vm_list[BR_DOMAIN_VMS_MAX];
  Br__Domain__Notice notices[BR_DOMAIN_NOTICES_MAX];
  Br__Domain__Notice *notice_list[BR_DOMAIN_NOTICES_MAX];
  size_t len;

  wire.kind = message->kind;
  wire.sequence = message->sequence;
  wire.incarnation = message->incarnation;
  wire.version = message->version;
  wire.target = (char *)message->target.data;
  wire.origin = (char *)message->origin.data;
  wire.origin_heard_ms
      = message->origin_seen ? message->origin_seen_ms_ago + 1 : 0;
  wire.notices_digest = message->notices_digest;
  for (size_t i = 0; i < message->n_vms; i++)
    {
      message_wrap_vm (&message->vms[i], &vms[i]);
      vm_list[i] = &vms[i];
    }
  for (size_t i = 0; i < message->n_notices; i++)
    {
      message_wrap_notice (&message->notices[i], now, &notices[i]);
      notice_list[i] = &notices[i];
    }
  wire.n_vms = message->n_vms;
  wire.vms = vm_list;
  wire.n_notices = message->n_notices;
  wire.notices = notice_list;
  len = br__domain__domain_message__get_packed_size (&wire);
  br_buf_reserve (out, len);
  br__domain__domain_message__pack (&wire, (uint8_t *)out->data + out->len);
  out->len += len;
  out->data[out->len] = '\0';
}

static bool
message_read_vm (const Br__Domain__VmView *wire, br_vm_t *vm)
{
  *vm = (br_vm_t){ 0 };
  vm->incarnation = wire->incarnation;
  vm->version = wire->version;
  vm->state = (br_vm_state_t)wire->state;
  return wire->state < BR_VM_STATE_COUNT && wire->name[0] != '\0'
         && br_name_set (&vm->name, br_str_from (wire->name));
}

static bool
message_read_notice (const Br__Domain__Notice *wire,
                     br_ms_t now,
                     br_notice_t *notice)
{
  *notice = (br_notice_t){ 0 };
  notice->kind = (br_notice_kind_t)wire->kind;
  notice->incarnation = wire->incarnation;
  notice->content = wire->content;
  notice->expires_ms = now + wire->remaining_ms;
  return wire->kind < BR_NOTICE_COUNT && wire->remaining_ms <= BR_NOTICE_LIFE_MS
         && wire->name[0] != '\0'
         && br_name_set (&notice->name, br_str_from (wire->name));
}

static bool
message_read (const Br__Domain__DomainMessage *wire,
              br_ms_t now,
              br_domain_message_t *message)
{
  if (wire->kind >= BR_DOMAIN_MESSAGE_COUNT || wire->n_vms > BR_DOMAIN_VMS_MAX
      || wire->n_notices > BR_DOMAIN_NOTICES_MAX)
    return false;
  message->kind = (br_domain_message_kind_t)wire->kind;
  message->sequence = wire->sequence;
  message->incarnation = wire->incarnation;
  message->version = wire->version;
  message->origin_seen = wire->origin_heard_ms > 0;
  message->origin_seen_ms_ago
      = message->origin_seen ? wire->origin_heard_ms - 1 : 0;
  message->notices_digest = wire->notices_digest;
  message->n_vms = wire->n_vms;
  for (size_t i = 0; i < wire->n_vms; i++)
    if (!message_read_vm (wire->vms[i], &message->vms[i]))
      return false;
  message->n_notices = wire->n_notices;
  for (size_t i = 0; i < wire->n_notices; i++)
    if (!message_read_notice (wire->notices[i], now, &message->notices[i]))
      return false;
  return br_name_set (&message->target, br_str_from (wire->target))
         && br_name_set (&message->origin, br_str_from (wire->origin));
}

bool
br_domain_message_unpack (br_str_t bytes,
                          const char *peer,
                          br_ms_t now,
                          br_domain_message_t *message,
                          br_error_t *err)
{
  Br__Domain__DomainMessage *wire = br__domain__domain_message__unpack (
      NULL, bytes.len, (const uint8_t *)bytes.data);
  bool ok;

  *message = (br_domain_message_t){ 0 };
  ok = wire != NULL && message_read (wire, now, message);
  if (wire != NULL)
    br__domain__domain_message__free_unpacked (wire, NULL);
  if (ok)
    return true;
  return br_error_set (err, BR_ERROR_PROTOCOL, "read membership message", peer,
                       "message of %zu bytes does not parse", bytes.len);
}
