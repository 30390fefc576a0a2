#include "contract/message.h"

#include <string.h>

#include "contract/contract.pb-c.h"

/* Maximum parts and bytes of an answer in one message.  A single longer part is
 * sent on its own. */
#define SLICE_PARTS_MAX 4096
#define SLICE_BYTES_MAX ((size_t)256 * 1024)

/* Maximum number of VMs with stale copies that a message lists. */
#define STALE_MAX 64

typedef Br__Contract__Message wire_t;

/* The memory that an unpacked message owns. */
typedef struct
{
  wire_t *wire;
  br_answer_part_t *parts;
  br_contract_request_t request;
  br_name_t stale[STALE_MAX];
} unpacked_t;

const char *
br_contract_message_name (br_contract_message_kind_t kind)
{
  static const char *const names[] = {
#define X(id, name) name,
    BR_CONTRACT_MESSAGE_TABLE (X)
#undef X
  };

  return (unsigned)kind < BR_CONTRACT_MESSAGE_COUNT ? names[kind] : "?";
}

int
br_contract_epoch_compare (const br_contract_epoch_t *a,
                           const br_contract_epoch_t *b)
{
  if (a->number != b->number)
    return a->number < b->number ? -1 : 1;
  return br_str_compare (br_name_str (&a->owner), br_name_str (&b->owner));
}

br_contract_slice_t
br_contract_slice (const br_answer_t *answer, size_t from)
{
  const br_answer_part_t *parts = answer->parts.items;
  br_contract_slice_t slice = { .offset = from };
  size_t end;

  if (from >= answer->parts.len)
    return slice;
  slice.parts = parts + from;
  slice.base = from > 0 ? parts[from - 1].end : 0;
  slice.n_parts = 1;
  while (from + slice.n_parts < answer->parts.len
         && slice.n_parts < SLICE_PARTS_MAX
         && parts[from + slice.n_parts].end - slice.base <= SLICE_BYTES_MAX)
    slice.n_parts++;
  end = slice.parts[slice.n_parts - 1].end;
  slice.bytes = br_str_make (answer->bytes.data + slice.base, end - slice.base);
  return slice;
}

bool
br_contract_slice_add (const br_contract_slice_t *slice, br_answer_t *answer)
{
  size_t start = slice->base;

  if (slice->offset > answer->parts.len)
    return false;
  for (size_t i = 0; i < slice->n_parts; i++)
    {
      const br_answer_part_t *part = &slice->parts[i];

      br_answer_add (answer, slice->offset + i, part->kind,
                     br_str_make (slice->bytes.data + start - slice->base,
                                  part->end - start));
      start = part->end;
    }
  return true;
}

static ProtobufCBinaryData
wire_bytes (br_str_t str)
{
  ProtobufCBinaryData bytes
      = { .len = str.len, .data = (uint8_t *)(uintptr_t)str.data };

  return bytes;
}

static char *
wire_name (const br_name_t *name)
{
  return (char *)(uintptr_t)name->data;
}

static void
wire_request (const br_contract_request_t *request, Br__Contract__Request *out)
{
  out->service = wire_name (&request->service);
  out->organisation = wire_name (&request->organisation);
  out->streamed = request->streamed;
  out->method = request->method;
  out->path = wire_bytes (br_buf_str (&request->path));
  out->body = wire_bytes (br_buf_str (&request->body));
  out->content_type = wire_bytes (br_buf_str (&request->content_type));
}

/* Sets *OUT to SLICE.  The caller frees out->parts. */
static void
wire_slice (const br_contract_slice_t *slice, Br__Contract__Slice *out)
{
  size_t start = slice->base;

  out->offset = slice->offset;
  out->bytes = wire_bytes (slice->bytes);
  out->n_parts = slice->n_parts;
  if (slice->n_parts == 0)
    return;
  out->parts = br_alloc (slice->n_parts * sizeof *out->parts);
  for (size_t i = 0; i < slice->n_parts; i++)
    {
      const br_answer_part_t *part = &slice->parts[i];

      out->parts[i] = (uint64_t)(part->end - start) << 1 | (part->kind & 1);
      start = part->end;
    }
}

static void
wire_stale (const br_contract_message_t *message, char **names, wire_t *wire)
{
  wire->n_stale = BR_MIN (message->keep.n_stale, STALE_MAX);
  wire->stale = names;
  for (size_t i = 0; i < wire->n_stale; i++)
    names[i] = wire_name (&message->keep.stale[i]);
}

static void
wire_failure (const br_error_t *failure, Br__Contract__Failure *out)
{
  out->code = failure->code;
  out->retry_after_ms = (uint64_t)failure->retry_after_ms;
  out->may_have_run = failure->may_have_run;
  out->step = (char *)(uintptr_t)failure->step;
  out->peer = (char *)(uintptr_t)failure->peer;
  out->text = (char *)(uintptr_t)failure->text;
}

static void
wire_append (const wire_t *wire, br_buf_t *out)
{
  size_t len = br__contract__message__get_packed_size (wire);

  br_buf_reserve (out, len);
  br__contract__message__pack (wire, (uint8_t *)out->data + out->len);
  out->len += len;
  out->data[out->len] = '\0';
}

void
br_contract_message_pack (const br_contract_message_t *message, br_buf_t *out)
{
  wire_t wire = BR__CONTRACT__MESSAGE__INIT;
  Br__Contract__Request request = BR__CONTRACT__REQUEST__INIT;
  Br__Contract__Slice slice = BR__CONTRACT__SLICE__INIT;
  Br__Contract__Failure failure = BR__CONTRACT__FAILURE__INIT;
  char *stale[STALE_MAX];

  wire.kind = message->kind;
  wire.vm = wire_name (&message->contract.vm);
  wire.incarnation = message->contract.incarnation;
  wire.number = message->contract.number;
  wire.epoch = message->epoch.number;
  wire.owner = wire_name (&message->epoch.owner);
  wire.owner_incarnation = message->epoch.owner_incarnation;
  switch (message->kind)
    {
    case BR_CONTRACT_KEEP:
      wire_request (&message->keep.request, &request);
      wire_stale (message, stale, &wire);
      wire.request = &request;
      break;
    case BR_CONTRACT_CHECKPOINT:
      wire_slice (&message->checkpoint.slice, &slice);
      wire.slice = &slice;
      wire.complete = message->checkpoint.complete;
      wire.status = message->checkpoint.status;
      break;
    case BR_CONTRACT_KEPT:
    case BR_CONTRACT_HELD:
      wire.offset = message->held.offset;
      wire.complete = message->held.complete;
      break;
    case BR_CONTRACT_LOCATED:
      wire.known = message->located.role;
      request.service = wire_name (&message->located.service);
      request.organisation = wire_name (&message->located.organisation);
      request.streamed = message->located.streamed;
      request.path = wire_bytes (message->located.path);
      wire.request = &request;
      break;
    case BR_CONTRACT_FOLLOW:
      wire.offset = message->follow.offset;
      wire.digest = message->follow.digest;
      break;
    case BR_CONTRACT_FEED:
      wire_slice (&message->feed.slice, &slice);
      wire.slice = &slice;
      wire.complete = message->feed.complete;
      wire.status = message->feed.status;
      wire_failure (&message->feed.failure, &failure);
      wire.failure = &failure;
      break;
    case BR_CONTRACT_RELEASE:
    case BR_CONTRACT_HAND_OVER:
    case BR_CONTRACT_SUPERSEDED:
    case BR_CONTRACT_UNKNOWN:
    case BR_CONTRACT_LEAVING:
    case BR_CONTRACT_LOCATE:
    case BR_CONTRACT_MESSAGE_COUNT:
      break;
    }
  wire_append (&wire, out);
  free (slice.parts);
}

static bool
unpack_error (const char *peer, const char *text, br_error_t *err)
{
  return br_error_set (err, BR_ERROR_PROTOCOL, "read contract message", peer,
                       "%s", text);
}

static bool
unpack_request (const Br__Contract__Request *wire,
                br_contract_request_t *request)
{
  request->streamed = wire->streamed;
  request->method = wire->method;
  br_buf_append (&request->path,
                 br_str_make ((const char *)wire->path.data, wire->path.len));
  br_buf_append (&request->body,
                 br_str_make ((const char *)wire->body.data, wire->body.len));
  br_buf_append (&request->content_type,
                 br_str_make ((const char *)wire->content_type.data,
                              wire->content_type.len));
  return br_name_set (&request->service, br_str_from (wire->service))
         && br_name_set (&request->organisation,
                         br_str_from (wire->organisation));
}

static bool
unpack_stale (const wire_t *wire,
              unpacked_t *unpacked,
              br_contract_message_t *message)
{
  if (wire->n_stale > STALE_MAX)
    return false;
  for (size_t i = 0; i < wire->n_stale; i++)
    if (!br_name_set (&unpacked->stale[i], br_str_from (wire->stale[i])))
      return false;
  message->keep.stale = unpacked->stale;
  message->keep.n_stale = wire->n_stale;
  return true;
}

static bool
unpack_slice (const Br__Contract__Slice *wire,
              unpacked_t *unpacked,
              br_contract_slice_t *slice)
{
  size_t end = 0;

  if (wire->n_parts > SLICE_PARTS_MAX)
    return false;
  slice->offset = wire->offset;
  slice->n_parts = wire->n_parts;
  slice->bytes = br_str_make ((const char *)wire->bytes.data, wire->bytes.len);
  unpacked->parts = br_alloc_zero ((wire->n_parts + 1) * sizeof *slice->parts);
  slice->parts = unpacked->parts;
  for (size_t i = 0; i < wire->n_parts; i++)
    {
      uint64_t len = wire->parts[i] >> 1;

      if (len > wire->bytes.len - end)
        return false;
      end += len;
      unpacked->parts[i].end = end;
      unpacked->parts[i].kind = (br_answer_kind_t)(wire->parts[i] & 1);
    }
  return end == wire->bytes.len;
}

static void
text_set (char *to, size_t size, const char *from)
{
  size_t len = BR_MIN (strlen (from), size - 1);

  memcpy (to, from, len);
  to[len] = '\0';
}

static bool
unpack_failure (const Br__Contract__Failure *wire, br_error_t *failure)
{
  if (wire->code > BR_ERROR_CORRUPT)
    return false;
  failure->code = (br_error_code_t)wire->code;
  failure->retry_after_ms = (int64_t)wire->retry_after_ms;
  failure->may_have_run = wire->may_have_run;
  text_set (failure->step, sizeof failure->step, wire->step);
  text_set (failure->peer, sizeof failure->peer, wire->peer);
  text_set (failure->text, sizeof failure->text, wire->text);
  return true;
}

static bool
unpack_located (const wire_t *wire, br_contract_message_t *message)
{
  if (wire->known > BR_CONTRACT_ROLE_BACKUP)
    return false;
  message->located.role = (br_contract_role_t)wire->known;
  message->located.streamed = wire->request->streamed;
  message->located.path = br_str_make ((const char *)wire->request->path.data,
                                       wire->request->path.len);
  return br_name_set (&message->located.service,
                      br_str_from (wire->request->service))
         && br_name_set (&message->located.organisation,
                         br_str_from (wire->request->organisation));
}

static bool
unpack_body (const wire_t *wire,
             unpacked_t *unpacked,
             br_contract_message_t *message)
{
  switch (message->kind)
    {
    case BR_CONTRACT_KEEP:
      if (wire->request == NULL
          || !unpack_request (wire->request, &unpacked->request))
        return false;
      message->keep.request = unpacked->request;
      return unpack_stale (wire, unpacked, message);
    case BR_CONTRACT_CHECKPOINT:
      message->checkpoint.complete = wire->complete;
      message->checkpoint.status = wire->status;
      return wire->slice != NULL
             && unpack_slice (wire->slice, unpacked,
                              &message->checkpoint.slice);
    case BR_CONTRACT_KEPT:
    case BR_CONTRACT_HELD:
      message->held.offset = wire->offset;
      message->held.complete = wire->complete;
      return true;
    case BR_CONTRACT_LOCATED:
      return wire->request != NULL && unpack_located (wire, message);
    case BR_CONTRACT_FOLLOW:
      message->follow.offset = wire->offset;
      message->follow.digest = wire->digest;
      return true;
    case BR_CONTRACT_FEED:
      message->feed.complete = wire->complete;
      message->feed.status = wire->status;
      return wire->slice != NULL && wire->failure != NULL
             && unpack_slice (wire->slice, unpacked, &message->feed.slice)
             && unpack_failure (wire->failure, &message->feed.failure);
    case BR_CONTRACT_RELEASE:
    case BR_CONTRACT_HAND_OVER:
    case BR_CONTRACT_SUPERSEDED:
    case BR_CONTRACT_UNKNOWN:
    case BR_CONTRACT_LEAVING:
    case BR_CONTRACT_LOCATE:
      return true;
    case BR_CONTRACT_MESSAGE_COUNT:
      break;
    }
  return false;
}

bool
br_contract_message_unpack (br_str_t packed,
                            const char *peer,
                            br_contract_message_t *message,
                            br_error_t *err)
{
  unpacked_t *unpacked = br_alloc_zero (sizeof *unpacked);
  wire_t *wire = br__contract__message__unpack (NULL, packed.len,
                                                (const uint8_t *)packed.data);

  *message = (br_contract_message_t){ .unpacked = unpacked };
  unpacked->wire = wire;
  if (wire == NULL)
    return unpack_error (peer, "the message does not parse", err);
  if (wire->kind >= BR_CONTRACT_MESSAGE_COUNT)
    return unpack_error (peer, "the kind of message is unknown", err);
  message->kind = (br_contract_message_kind_t)wire->kind;
  message->contract.incarnation = wire->incarnation;
  message->contract.number = wire->number;
  message->epoch.number = wire->epoch;
  message->epoch.owner_incarnation = wire->owner_incarnation;
  if (!br_name_set (&message->contract.vm, br_str_from (wire->vm))
      || !br_name_set (&message->epoch.owner, br_str_from (wire->owner)))
    return unpack_error (peer, "the name of a VM is too long", err);
  if (!unpack_body (wire, unpacked, message))
    return unpack_error (peer, br_contract_message_name (message->kind), err);
  return true;
}

void
br_contract_message_release (br_contract_message_t *message)
{
  unpacked_t *unpacked = message->unpacked;

  if (unpacked == NULL)
    return;
  if (unpacked->wire != NULL)
    br__contract__message__free_unpacked (unpacked->wire, NULL);
  br_contract_request_free (&unpacked->request);
  free (unpacked->parts);
  free (unpacked);
  message->unpacked = NULL;
}
